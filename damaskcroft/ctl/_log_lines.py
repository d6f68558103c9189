"""Lines of key=value pairs as every process writes them, read back."""

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
        time: as written, which sorts by time.
        at_s: the same in seconds, to be compared with other lines only.
        process: who wrote it.
        event: its name.
        fields: its other pairs.
    """

    time: str
    at_s: float
    process: str
    event: str
    fields: dict[str, str]

    def text(self) -> str:
        """The line as it is shown."""
        pairs = " ".join(f"{k}={v}" for k, v in self.fields.items())
        return f"{self.time} {self.process} {self.event} {pairs}"

    def time_before(self, seconds: float) -> str:
        """The time so long before the line, written as lines write it."""
        moment = datetime.datetime.fromisoformat(self.time)
        earlier = moment - datetime.timedelta(seconds=seconds)
        return earlier.isoformat(timespec="milliseconds")

    def field(self, name: str) -> str:
        """One of its fields; empty if there is none of that name."""
        return self.fields.get(name, "")

    def number(self, name: str) -> float | None:
        """A field as a number; None if there is none or it says nothing."""
        try:
            return float(self.fields[name])
        except (KeyError, ValueError):
            return None


def parsed(lines: Iterable[str]) -> Iterator[Line]:
    """The events among some lines of text, with anything before them."""
    for text in lines:
        start = text.find("time=")
        if start < 0:
            continue
        fields = {k: _plain(v) for k, v in _PAIR.findall(text[start:])}
        if "event" not in fields or "process" not in fields:
            continue
        time = fields.pop("time")
        at_s = _seconds(time)
        if at_s is None:
            continue
        process, event = fields.pop("process"), fields.pop("event")
        yield Line(time, at_s, process, event, fields)


def _seconds(time: str) -> float | None:
    """Seconds since some moment; None for what is no time of day."""
    try:
        moment = datetime.datetime.fromisoformat(time)
    except ValueError:
        return None
    return moment.replace(tzinfo=datetime.UTC).timestamp()


def _plain(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return json.loads(value)
    except ValueError:
        return value
