"""Plausibility checks of announcements of targets.

An announcement of another sender may be well-formed and still describe no
usable target. Such announcements are rejected and change no state. Whether the
configuration names the service is checked by `TargetRegistry`, because the
configuration may arrive after the announcement.
"""

import dataclasses
import ipaddress
import math
import time

from damaskcroft._generated import fleet_pb2
from damaskcroft.observe import log_event, metrics

__all__ = ["InvalidAnnouncement", "checked", "record_invalid_announcement"]

# Maximum number of concurrent requests at one address: one connection each.
_MAX_SLOTS = 65_535
_MAX_PORT = 65_535
# A warm-up takes seconds to minutes.
_MAX_WARMING_MS = 24 * 3600 * 1000.0
# Clocks differ by seconds and may jump by some. A start dated a year ahead
# would block its id for that year.
_MAX_AHEAD_MS = 24 * 3600 * 1000
_MS_IN_S = 1000
# Published models have some hundreds of layers.
_MAX_LAYERS = 100_000
# Sequence numbers count announcements, about one a second.
_MAX_SEQUENCE = 2**53


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidAnnouncement:
    """An announcement that no target can have made.

    Attributes:
        reason: a fixed word, which is also the label of a counter.
        detail: what is wrong, for the log.
    """

    reason: str
    detail: str = ""


def checked(
    announcement: fleet_pb2.TargetState | InvalidAnnouncement,
) -> fleet_pb2.TargetState | InvalidAnnouncement:
    """Validates an announcement.

    Of the last announcement of a target only its start is checked.

    Returns:
        The announcement, or what is wrong with it.
    """
    if isinstance(announcement, InvalidAnnouncement):
        return announcement
    if announcement.born_ms > time.time() * _MS_IN_S + _MAX_AHEAD_MS:
        return InvalidAnnouncement(
            "out_of_range", f"born_ms {announcement.born_ms}"
        )
    if announcement.phase == fleet_pb2.TARGET_GONE:
        return announcement
    if not announcement.service:
        return InvalidAnnouncement("unknown_service", "no name")
    if not _is_connectable(announcement.address):
        return InvalidAnnouncement("bad_address", announcement.address)
    fault = _out_of_range_number(announcement)
    return InvalidAnnouncement("out_of_range", fault) if fault else announcement


def record_invalid_announcement(
    kind: str, target_id: str, invalid: InvalidAnnouncement
) -> None:
    """Counts and logs a rejected announcement.

    Args:
        kind: announcement, leave or report.
        target_id: id of the target that it names.
        invalid: what is wrong with it.
    """
    metrics.INVALID_ANNOUNCEMENTS.labels(kind, invalid.reason).inc()
    log_event(
        "word_unusable",
        kind=kind,
        id=target_id,
        reason=invalid.reason,
        detail=invalid.detail,
    )


def _is_connectable(address: str) -> bool:
    """Whether it is an IP address and a port; names are not resolved."""
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


def _out_of_range_number(announcement: fleet_pb2.TargetState) -> str:
    """Describes the first number that is out of range; empty if none is."""
    if announcement.slots > _MAX_SLOTS:
        return f"slots {announcement.slots}"
    if not (
        math.isfinite(announcement.warming_ms)
        and 0 <= announcement.warming_ms <= _MAX_WARMING_MS
    ):
        return f"warming_ms {announcement.warming_ms}"
    if announcement.sequence > _MAX_SEQUENCE:
        return f"sequence {announcement.sequence}"
    for part in announcement.held:
        if not part.first_layer <= part.end_layer <= _MAX_LAYERS:
            return f"layers {part.first_layer} to {part.end_layer}"
    return ""
