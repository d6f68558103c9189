"""What became of one request, from the logs of all processes.

Reads lines of key=value pairs as every process writes them, in any order and
with anything before them on the line, and tells the request's way in order,
what else happened to the processes and targets that it met, and the cause in
one line.
"""

import dataclasses
import json
import re
from collections.abc import Iterable, Iterator

__all__ = ["Line", "parsed", "story"]

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
# Changes of belief so long before a request may have decided it.
_BEFORE_S = 10.0
_BELIEFS = frozenset(
    {
        "configuration_applied",
        "control_in_touch",
        "control_lost",
        "log_lines_dropped",
        "log_lines_summed",
        "starting",
        "stopping",
        "weights_named",
    }
)
_OF_TARGETS = frozenset({"target_aside", "target_back", "target_changed"})


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One event of one process.

    Attributes:
        time: as written, which sorts by time.
        process: who wrote it.
        event: its name.
        fields: its other pairs.
    """

    time: str
    process: str
    event: str
    fields: dict[str, str]

    def text(self) -> str:
        """The line as it is shown."""
        pairs = " ".join(f"{k}={v}" for k, v in self.fields.items())
        return f"{self.time} {self.process} {self.event} {pairs}"


def parsed(lines: Iterable[str]) -> Iterator[Line]:
    """The events among some lines of text."""
    for text in lines:
        start = text.find("time=")
        if start < 0:
            continue
        fields = {k: _plain(v) for k, v in _PAIR.findall(text[start:])}
        if "event" not in fields or "process" not in fields:
            continue
        yield Line(
            fields.pop("time"),
            fields.pop("process"),
            fields.pop("event"),
            fields,
        )


def story(request_id: str, lines: Iterable[Line]) -> list[str]:
    """The request's way, and its cause as the last line; empty if unknown."""
    events = sorted(lines, key=lambda line: line.time)
    own = [line for line in events if line.fields.get("request") == request_id]
    if not own:
        return []
    told = [line.text() for line in own]
    beside = _beside(own, events)
    if beside:
        told.append("what its processes and targets met meanwhile:")
        told += [f"  {line.text()}" for line in beside]
    told.append(f"cause: {_cause(own, beside)}")
    return told


def _beside(own: list[Line], events: list[Line]) -> list[Line]:
    processes = {line.process for line in own}
    targets = {line.fields.get("target") for line in own} - {None}
    first, last = own[0].time, own[-1].time
    return [
        line
        for line in events
        if line.process in processes
        and _seconds(first) - _seconds(line.time) <= _BEFORE_S
        and line.time <= last
        and (
            line.event in _BELIEFS
            or (
                line.event in _OF_TARGETS
                and line.fields.get("target", line.fields.get("id")) in targets
            )
        )
    ]


def _seconds(time: str) -> float:
    """Seconds of a day, enough to compare within a log."""
    hours, minutes, seconds = time.partition("T")[2].split(":")
    return int(hours) * 3600 + int(minutes) * 60 + float(seconds)


def _plain(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return json.loads(value)
    except ValueError:
        return value


# --- Causes ------------------------------------------------------------------


def _cause(own: list[Line], beside: list[Line]) -> str:
    last = own[-1]
    match last.event:
        case "answered":
            return f"answered in time with {last.fields.get('status')}"
        case "answered_late":
            return _why_late(last)
        case "answer_broken_off":
            reason = last.fields.get("reason")
            ending = f"the answer had begun and was broken off: {reason}"
            return _why_lost(own, ending)
        case "caller_left":
            return f"the caller left after {last.fields.get('after_s')} s"
        case "refused":
            return _why_refused(own, last, beside)
    return f"no outcome is logged; the last word is {last.event}"


def _why_late(last: Line) -> str:
    fields = last.fields
    queued_s, first_s = _number(fields, "queued_s"), _number(fields, "first_s")
    parts = []
    if queued_s > first_s / 2:
        parts.append(f"{queued_s:.3g} s in line for a target")
    else:
        parts.append(
            f"first event {first_s:.3g} s after it came, at the target"
        )
    if int(fields.get("targets") or 1) > 1:
        parts.append(f"{fields['targets']} targets were tried")
    parts.append(f"longest pause {_number(fields, 'longest_gap_s'):.3g} s")
    return "answered late: " + ", ".join(parts)


def _why_refused(own: list[Line], last: Line, beside: list[Line]) -> str:
    fields = last.fields
    reason = fields.get("reason", "")
    back = fields.get("retry_after_s", "None")
    after = "" if back == "None" else f"; told to come back in {back} s"
    service = fields.get("service", "")
    match reason:
        case "overloaded":
            detail = fields.get("detail", "")
            return f"every target of {service} was full, {detail}{after}"
        case "no_target":
            named = [b for b in beside if b.event == "weights_named"]
            due = f" of version {named[-1].fields['version']}" if named else ""
            return f"no target of {service} had weights{due} to serve{after}"
        case "no_configuration":
            return f"the entry had no configuration yet{after}"
        case "unknown_route" | "unknown_key":
            what = "route" if reason == "unknown_route" else "key"
            return (
                f"configuration {fields.get('configuration')} of"
                f" {last.process} has no such {what}; it heard control"
                f" {fields.get('heard_s')} s before"
            )
        case "stopping":
            return f"the entry was about to end{after}"
    return _why_lost(own, f"refused as {reason}{after}")


def _why_lost(own: list[Line], ending: str) -> str:
    failed = [line for line in own if line.event == "attempt_failed"]
    if not failed:
        return ending
    lost = "; ".join(
        f"target {line.fields.get('target')} at {line.fields.get('address')}"
        f" failed: {line.fields.get('reason')}"
        for line in failed
    )
    return f"{ending}; {lost}"


def _number(fields: dict[str, str], name: str) -> float:
    try:
        return float(fields[name])
    except (KeyError, ValueError):
        return 0.0
