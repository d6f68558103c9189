"""Explains the outcome of one request from the logs of all processes.

The report contains the request's log lines in order, related events of the
processes and targets involved, and the cause in one line.
"""

from collections.abc import Iterable

from damaskcroft.ctl._causes import Context, explain_outcome
from damaskcroft.ctl._log_lines import Line

__all__ = ["explain_request"]

# State changes this long before a request may have affected it.
_LOOKBACK_S = 10.0
_STATE_EVENTS = frozenset(
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
_TARGET_EVENTS = frozenset({"target_aside", "target_back", "target_changed"})


def explain_request(request_id: str, lines: Iterable[Line]) -> list[str]:
    """Returns the request's lines and, last, its cause; empty if unknown."""
    events = sorted(lines, key=lambda line: line.time)
    request_lines = [
        line for line in events if line.fields.get("request") == request_id
    ]
    if not request_lines:
        return []
    report = [line.text() for line in request_lines]
    context_lines = _context_lines(request_lines, events)
    if context_lines:
        report.append("what its processes and targets met meanwhile:")
        report += [f"  {line.text()}" for line in context_lines]
    context = Context(
        lines_before=context_lines,
        later_lines=_lines_after(request_lines[-1], events),
        idle_agents=_idle_agents(request_lines[-1], events),
    )
    report.append(f"cause: {explain_outcome(request_lines, context)}")
    return report


def _lines_after(last: Line, events: list[Line]) -> list[Line]:
    """Returns the lines of the same process after a line."""
    index = next(n for n, line in enumerate(events) if line is last)
    return [e for e in events[index + 1 :] if e.process == last.process]


def _idle_agents(last: Line, events: list[Line]) -> list[str]:
    """Returns agents that wanted no weights at the time of a line.

    Only agents of the line's service are considered.
    """
    path_by_agent: dict[str, str] = {}
    for line in events:
        if line.time > last.time:
            break
        if line.event == "weights_wanted":
            if line.field("service") == last.field("service"):
                path_by_agent[line.process] = line.field("path")
    return sorted(agent for agent, path in path_by_agent.items() if not path)


def _context_lines(request_lines: list[Line], events: list[Line]) -> list[Line]:
    process_names = {line.process for line in request_lines}
    targets = {line.fields.get("target") for line in request_lines} - {None}
    start_s, end_time = (
        request_lines[0].at_s - _LOOKBACK_S,
        request_lines[-1].time,
    )
    return [
        line
        for line in events
        if line.process in process_names
        and line.at_s >= start_s
        and line.time <= end_time
        and (
            line.event in _STATE_EVENTS
            or (
                line.event in _TARGET_EVENTS
                and line.fields.get("target", line.fields.get("id")) in targets
            )
        )
    ]
