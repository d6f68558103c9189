"""Parses the log lines of key=value pairs that all processes write."""

import dataclasses
import datetime
import json
import re
from collections.abc import Iterable, Iterator

__all__ = ["Line", "parsed"]

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One event of one process.

    Attributes:
        time: as written; the text sorts chronologically.
        at_s: the same in seconds, for comparison with other lines only.
        process: name of the process that wrote it.
        event: name of the event.
        fields: all other pairs.
    """

    time: str
    at_s: float
    process: str
    event: str
    fields: dict[str, str]

    def text(self) -> str:
        """Returns the line as it is printed."""
        pairs = " ".join(f"{k}={v}" for k, v in self.fields.items())
        return f"{self.time} {self.process} {self.event} {pairs}"

    def time_before(self, seconds: float) -> str:
        """Returns the time `seconds` before the line, in the format of logs."""
        moment = datetime.datetime.fromisoformat(self.time)
        earlier = moment - datetime.timedelta(seconds=seconds)
        return earlier.isoformat(timespec="milliseconds")

    def field(self, name: str) -> str:
        """Returns the value of a field; empty if there is no such field."""
        return self.fields.get(name, "")

    def number(self, name: str) -> float | None:
        """Returns a field as a number; None if it is missing or not numeric."""
        try:
            return float(self.fields[name])
        except (KeyError, ValueError):
            return None


def parsed(lines: Iterable[str]) -> Iterator[Line]:
    """Yields the events in lines of text; text before `time=` is ignored."""
    for text in lines:
        start = text.find("time=")
        if start < 0:
            continue
        fields = {k: _unquote(v) for k, v in _PAIR.findall(text[start:])}
        if "event" not in fields or "process" not in fields:
            continue
        time = fields.pop("time")
        at_s = _to_seconds(time)
        if at_s is None:
            continue
        process, event = fields.pop("process"), fields.pop("event")
        yield Line(time, at_s, process, event, fields)


def _to_seconds(time: str) -> float | None:
    """Returns `time`, read as UTC, in seconds; None if it is no timestamp."""
    try:
        moment = datetime.datetime.fromisoformat(time)
    except ValueError:
        return None
    return moment.replace(tzinfo=datetime.UTC).timestamp()


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return json.loads(value)
    except ValueError:
        return value
