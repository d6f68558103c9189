"""Decoders for announcements, leave messages and status reports of targets.

Messages may come from other implementations or versions: fields can be missing
or of another type, values can be unknown, and bodies can be undecodable.
"""

from collections.abc import Sequence
from typing import Annotated, TypeVar

import msgspec

from damaskcroft._generated import fleet_pb2
from damaskcroft.engines import EngineReport
from damaskcroft.fleet import InvalidAnnouncement

__all__ = ["decode_announcement", "decode_leave", "decode_report"]

_PHASES_BY_STATE = {
    "ready": fleet_pb2.TARGET_READY,
    "draining": fleet_pb2.TARGET_DRAINING,
}
_MAX_DETAIL_CHARS = 120
# Largest value of a uint64 field of the schema.
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


class _CommonFields(msgspec.Struct, kw_only=True):
    """Fields that an announcement and a status report share."""

    sequence: int
    # Unix milliseconds; older senders omit it.
    born: int = 0
    models: list[_Model] | None = None
    # Sent once for all models; a target that holds no layers omits it.
    layers: _Layers | list[_Layers] | None | msgspec.UnsetType = msgspec.UNSET


class _Announcement(_CommonFields, kw_only=True):
    service: str
    address: str
    state: str
    zone: str = ""
    slots: int = 0
    cold_remaining_ms: float = 0.0


class _Report(_CommonFields, kw_only=True):
    busy: bool
    active: int
    queued: int


class _Leave(msgspec.Struct):
    born: int = 0


_ANNOUNCEMENT_DECODER = msgspec.json.Decoder(_Announcement)
_REPORT_DECODER = msgspec.json.Decoder(_Report)
_LEAVE_DECODER = msgspec.json.Decoder(_Leave)


def decode_announcement(
    target_id: str, body: bytes
) -> fleet_pb2.TargetState | InvalidAnnouncement:
    """Decodes an announcement of a target.

    Only the form is checked here; `damaskcroft.fleet.checked` validates values.
    """
    message = _decode(body, _ANNOUNCEMENT_DECODER)
    if isinstance(message, InvalidAnnouncement):
        return message
    phase = _PHASES_BY_STATE.get(message.state)
    if phase is None:
        return InvalidAnnouncement(
            "unknown_state", message.state[:_MAX_DETAIL_CHARS]
        )
    try:
        return fleet_pb2.TargetState(
            id=target_id,
            service=message.service,
            address=message.address,
            failure_domain=message.zone,
            slots=message.slots,
            phase=phase,
            warming_ms=message.cold_remaining_ms,
            sequence=message.sequence,
            held=_held_layers(message),
            born_ms=message.born,
        )
    except ValueError as error:
        return InvalidAnnouncement(
            "out_of_range", str(error)[:_MAX_DETAIL_CHARS]
        )


def decode_leave(
    target_id: str, body: bytes
) -> fleet_pb2.TargetState | InvalidAnnouncement:
    """Decodes which start of a target ends; older senders send no body."""
    message = _decode(body or b"{}", _LEAVE_DECODER)
    if isinstance(message, InvalidAnnouncement):
        return message
    if not 0 <= message.born <= _MAX_UINT64:
        return InvalidAnnouncement("out_of_range", f"born {message.born}")
    return fleet_pb2.TargetState(
        id=target_id, phase=fleet_pb2.TARGET_GONE, born_ms=message.born
    )


def decode_report(body: bytes) -> EngineReport | InvalidAnnouncement:
    """Decodes a status report that a target sends to its agent."""
    message = _decode(body, _REPORT_DECODER)
    if isinstance(message, InvalidAnnouncement):
        return message
    if min(message.sequence, message.active, message.queued, message.born) < 0:
        return InvalidAnnouncement("out_of_range", "negative count")
    try:
        held = tuple(_held_layers(message))
    except ValueError as error:
        return InvalidAnnouncement(
            "out_of_range", str(error)[:_MAX_DETAIL_CHARS]
        )
    return EngineReport(
        held=held,
        busy=message.busy,
        sequence=message.sequence,
        running=message.active + message.queued,
        born_ms=message.born,
    )


def _held_layers(message: _CommonFields) -> list[fleet_pb2.HeldLayers]:
    """Returns the layers that a target reports as held, by model."""
    models = message.models or ()
    if message.layers is msgspec.UNSET:
        return [
            fleet_pb2.HeldLayers(model=model.name, version=model.version)
            for model in models
        ]
    return [
        fleet_pb2.HeldLayers(
            model=model.name,
            version=model.version
            if layer_range.version is None
            else layer_range.version,
            first_layer=layer_range.first,
            end_layer=layer_range.end,
        )
        for model in models
        for layer_range in _layer_ranges(message.layers)
    ]


def _layer_ranges(
    layers: _Layers | list[_Layers] | msgspec.UnsetType | None,
) -> Sequence[_Layers]:
    if layers is None or isinstance(layers, msgspec.UnsetType):
        return ()
    return (layers,) if isinstance(layers, _Layers) else layers


def _decode(
    body: bytes, decoder: msgspec.json.Decoder[_T]
) -> _T | InvalidAnnouncement:
    try:
        return decoder.decode(body)
    except msgspec.ValidationError as error:
        return InvalidAnnouncement(
            _reason_code(error), str(error)[:_MAX_DETAIL_CHARS]
        )
    except (ValueError, RecursionError) as error:
        return InvalidAnnouncement("unreadable", str(error)[:_MAX_DETAIL_CHARS])


def _reason_code(error: msgspec.ValidationError) -> str:
    """Maps the prose of a validation error to a reason code."""
    if "missing required field" in str(error):
        return "missing_field"
    if "out of range" in str(error) or " >= " in str(error):
        return "out_of_range"
    return "wrong_type"
