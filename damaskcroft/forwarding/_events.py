"""Whole events out of an event stream's bytes.

After the "Server-sent events" section of the HTML standard: an event ends
with an empty line; `id` names it. A target may stop in the middle of one, and
half an event must not reach the caller.
"""

import dataclasses
import re

__all__ = ["Event", "EventSplitter"]

# No event of a few tokens comes near this; more is no event stream.
_MAX_EVENT_BYTES = 1024 * 1024
_EVENT_END = re.compile(rb"\r?\n\r?\n")


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One whole event.

    Attributes:
        data: its bytes with the empty line.
        id: its number, or None if it has none.
    """

    data: bytes
    id: int | None


class EventSplitter:
    """Cuts bytes into events."""

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        """Starts between two events."""
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes after the last whole event."""
        return self._rest

    def feed(self, data: bytes) -> list[Event]:
        """The events that end in `data`.

        Raises:
            ValueError: what comes is no event stream.
        """
        held = self._rest + data
        events = []
        start = 0
        for end in _EVENT_END.finditer(held):
            piece = held[start : end.end()]
            events.append(Event(piece, _id(piece)))
            start = end.end()
        self._rest = held[start:]
        if len(self._rest) > _MAX_EVENT_BYTES:
            raise ValueError("an event without end")
        return events


def _id(piece: bytes) -> int | None:
    for line in piece.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"id":
            text = value.strip()
            return int(text) if text.isdigit() else None
    return None
