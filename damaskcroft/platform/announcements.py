"""What the platform's targets say of themselves, decoded once.

An announcement or a status report may come from another writer: fields
missing or of another type, words that nobody knows, bytes that can't be read.
"""

from collections.abc import Sequence
from typing import Annotated, TypeVar

import msgspec

from damaskcroft._generated import fleet_pb2
from damaskcroft.engines import EngineReport
from damaskcroft.fleet import Unusable

__all__ = ["decode_announcement", "decode_leave", "decode_report"]

_PHASES_BY_STATE = {
    "ready": fleet_pb2.TARGET_READY,
    "draining": fleet_pb2.TARGET_DRAINING,
}
_MAX_DETAIL = 120
# What a field of the schema holds at most.
_MAX_UINT64 = 2**64 - 1

_T = TypeVar("_T")


class _Model(msgspec.Struct):
    name: str
    version: Annotated[int, msgspec.Meta(ge=0)]


class _Layers(msgspec.Struct):
    # On the wire the end of a range of layers is called a target.
    first: int = msgspec.field(default=0, name="from")
    end: int = msgspec.field(default=0, name="target")
    version: int | None = None


class _Holding(msgspec.Struct, kw_only=True):
    """Fields that an announcement and a status report share."""

    sequence: int
    # Unix milliseconds; older writers don't tell it.
    born: int = 0
    models: list[_Model] | None = None
    # Told once for all models; a target that holds nothing tells none.
    layers: _Layers | list[_Layers] | None | msgspec.UnsetType = msgspec.UNSET


class _Announcement(_Holding, kw_only=True):
    service: str
    address: str
    state: str
    zone: str = ""
    slots: int = 0
    cold_remaining_ms: float = 0.0


class _Report(_Holding, kw_only=True):
    busy: bool
    active: int
    queued: int


class _Leave(msgspec.Struct):
    born: int = 0


_ANNOUNCEMENTS = msgspec.json.Decoder(_Announcement)
_REPORTS = msgspec.json.Decoder(_Report)
_LEAVES = msgspec.json.Decoder(_Leave)


def decode_announcement(
    target_id: str, body: bytes
) -> fleet_pb2.TargetState | Unusable:
    """Reads what a target says of itself.

    Whether it makes sense is for `damaskcroft.fleet.checked` to say.
    """
    word = _decoded(body, _ANNOUNCEMENTS)
    if isinstance(word, Unusable):
        return word
    phase = _PHASES_BY_STATE.get(word.state)
    if phase is None:
        return Unusable("unknown_state", word.state[:_MAX_DETAIL])
    try:
        return fleet_pb2.TargetState(
            id=target_id,
            service=word.service,
            address=word.address,
            failure_domain=word.zone,
            slots=word.slots,
            phase=phase,
            warming_ms=word.cold_remaining_ms,
            sequence=word.sequence,
            held=_held(word),
            born_ms=word.born,
        )
    except ValueError as error:
        return Unusable("out_of_range", str(error)[:_MAX_DETAIL])


def decode_leave(
    target_id: str, body: bytes
) -> fleet_pb2.TargetState | Unusable:
    """Reads which start of a target ends; older writers send no body."""
    word = _decoded(body or b"{}", _LEAVES)
    if isinstance(word, Unusable):
        return word
    if not 0 <= word.born <= _MAX_UINT64:
        return Unusable("out_of_range", f"born {word.born}")
    return fleet_pb2.TargetState(
        id=target_id, phase=fleet_pb2.TARGET_GONE, born_ms=word.born
    )


def decode_report(body: bytes) -> EngineReport | Unusable:
    """Reads what a target tells the agent beside it."""
    word = _decoded(body, _REPORTS)
    if isinstance(word, Unusable):
        return word
    if min(word.sequence, word.active, word.queued, word.born) < 0:
        return Unusable("out_of_range", "a count below zero")
    try:
        held = tuple(_held(word))
    except ValueError as error:
        return Unusable("out_of_range", str(error)[:_MAX_DETAIL])
    return EngineReport(
        held=held,
        busy=word.busy,
        sequence=word.sequence,
        running=word.active + word.queued,
        born_ms=word.born,
    )


def _held(word: _Holding) -> list[fleet_pb2.HeldLayers]:
    """The layers that a target says it holds, by model."""
    models = word.models or ()
    if word.layers is msgspec.UNSET:
        return [
            fleet_pb2.HeldLayers(model=model.name, version=model.version)
            for model in models
        ]
    return [
        fleet_pb2.HeldLayers(
            model=model.name,
            version=model.version if part.version is None else part.version,
            first_layer=part.first,
            end_layer=part.end,
        )
        for model in models
        for part in _ranges(word.layers)
    ]


def _ranges(
    layers: _Layers | list[_Layers] | msgspec.UnsetType | None,
) -> Sequence[_Layers]:
    if layers is None or isinstance(layers, msgspec.UnsetType):
        return ()
    return (layers,) if isinstance(layers, _Layers) else layers


def _decoded(body: bytes, decoder: msgspec.json.Decoder[_T]) -> _T | Unusable:
    try:
        return decoder.decode(body)
    except msgspec.ValidationError as error:
        return Unusable(_reason(error), str(error)[:_MAX_DETAIL])
    except (ValueError, RecursionError) as error:
        return Unusable("unreadable", str(error)[:_MAX_DETAIL])


def _reason(error: msgspec.ValidationError) -> str:
    """A fixed word for what the library says in prose."""
    if "missing required field" in str(error):
        return "missing_field"
    if "out of range" in str(error) or " >= " in str(error):
        return "out_of_range"
    return "wrong_type"
