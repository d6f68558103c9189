"""Which announcements a target can have made.

Another writer's word may be of the right shape and still make no sense. It
names no target to use, and nothing that is believed of others moves by it.
That the service is one that the configuration names is for `TargetBook`, since
a configuration may come after the word.
"""

import dataclasses
import ipaddress
import math
import time

from damaskcroft._generated import fleet_pb2
from damaskcroft.observe import log_event, metrics

__all__ = ["Unusable", "checked", "note_unusable"]

# Requests that one address can have under way: a connection each.
_MAX_SLOTS = 65_535
_MAX_PORT = 65_535
# Warming lasts some seconds to minutes.
_MAX_WARMING_MS = 24 * 3600 * 1000.0
# Clocks differ by seconds, and may jump by some. A start of next year would
# hold its id until then.
_MAX_AHEAD_MS = 24 * 3600 * 1000
_MS_IN_S = 1000
# Published models have some hundred layers.
_MAX_LAYERS = 100_000
# Sequences count announcements, one a second or so.
_MAX_SEQUENCE = 2**53


@dataclasses.dataclass(frozen=True, slots=True)
class Unusable:
    """A word that no target can have said.

    Attributes:
        reason: a fixed word, also a counter's label.
        detail: what is wrong, for the log.
    """

    reason: str
    detail: str = ""


def checked(
    word: fleet_pb2.TargetState | Unusable,
) -> fleet_pb2.TargetState | Unusable:
    """An announcement that makes sense, or what is wrong with it.

    Of a target's last word only its start is looked at.
    """
    if isinstance(word, Unusable):
        return word
    if word.born_ms > time.time() * _MS_IN_S + _MAX_AHEAD_MS:
        return Unusable("out_of_range", f"born_ms {word.born_ms}")
    if word.phase == fleet_pb2.TARGET_GONE:
        return word
    if not word.service:
        return Unusable("unknown_service", "no name")
    if not _can_be_connected_to(word.address):
        return Unusable("bad_address", word.address)
    fault = _number_without_sense(word)
    return Unusable("out_of_range", fault) if fault else word


def note_unusable(kind: str, target_id: str, unusable: Unusable) -> None:
    """Counts a word that changed nothing, and tells of it.

    Args:
        kind: announcement, leave or report.
        target_id: whose it claims to be.
        unusable: what is wrong with it.
    """
    metrics.UNUSABLE_WORDS.labels(kind, unusable.reason).inc()
    log_event(
        "word_unusable",
        kind=kind,
        id=target_id,
        reason=unusable.reason,
        detail=unusable.detail,
    )


def _can_be_connected_to(address: str) -> bool:
    """Whether it is an IP number and a port; names aren't looked up."""
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit()):
        return False
    if not 0 < int(port[:6]) <= _MAX_PORT:
        return False
    try:
        number = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return not (number.is_unspecified or number.is_multicast)


def _number_without_sense(word: fleet_pb2.TargetState) -> str:
    """Which number is beyond what a target can mean; empty if none is."""
    if word.slots > _MAX_SLOTS:
        return f"slots {word.slots}"
    if not (
        math.isfinite(word.warming_ms)
        and 0 <= word.warming_ms <= _MAX_WARMING_MS
    ):
        return f"warming_ms {word.warming_ms}"
    if word.sequence > _MAX_SEQUENCE:
        return f"sequence {word.sequence}"
    for part in word.held:
        if not part.first_layer <= part.end_layer <= _MAX_LAYERS:
            return f"layers {part.first_layer} to {part.end_layer}"
    return ""
