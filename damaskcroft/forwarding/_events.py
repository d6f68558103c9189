"""Splits the bytes of an event stream into complete events.

Follows the "Server-sent events" section of the HTML standard: an event ends
with an empty line, and its `id` field identifies it. A target may stop in the
middle of an event, and a partial event must not reach the caller.
"""

import dataclasses
import re

__all__ = ["Event", "EventSplitter"]

# Far above the size of an event of a few tokens; a longer one means that the
# body is not an event stream.
_MAX_EVENT_BYTES = 1024 * 1024
_EVENT_END = re.compile(rb"\r?\n\r?\n")
_MAX_END_BYTES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One complete event.

    Attributes:
        data: its bytes, including the empty line at its end.
        id: its number, or None if it has none.
    """

    data: bytes
    id: int | None


class EventSplitter:
    """Incremental splitter of a byte stream into events."""

    __slots__ = ("_remainder",)

    def __init__(self) -> None:
        """Starts at the boundary between two events."""
        self._remainder = bytearray()

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._remainder)

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that are completed by `data`.

        Raises:
            ValueError: the data is not an event stream.
        """
        # An end may have begun within the remainder, which has been searched.
        searched = max(0, len(self._remainder) - _MAX_END_BYTES)
        # Extended in place: a copy for each of many small parts of one event
        # would take a time that grows with the square of its size.
        self._remainder += data
        events = []
        start = 0
        for end in _EVENT_END.finditer(self._remainder, searched):
            event_bytes = bytes(self._remainder[start : end.end()])
            events.append(Event(event_bytes, _event_id(event_bytes)))
            start = end.end()
        del self._remainder[:start]
        if len(self._remainder) > _MAX_EVENT_BYTES:
            raise ValueError("event longer than 1 MiB")
        return events


def _event_id(event_bytes: bytes) -> int | None:
    for line in event_bytes.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"id":
            text = value.strip()
            return int(text) if text.isdigit() else None
    return None
