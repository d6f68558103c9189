"""What became of one request, from the logs of all processes.

Tells the request's way in order, what else happened to the processes and
targets that it met, and the cause in one line.
"""

from collections.abc import Iterable

from damaskcroft.ctl._causes import Met, cause
from damaskcroft.ctl._log_lines import Line

__all__ = ["story"]

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
    met = Met(
        before=beside,
        later=_later(own[-1], events),
        idle_agents=_idle_agents(own[-1], events),
    )
    told.append(f"cause: {cause(own, met)}")
    return told


def _later(last: Line, events: list[Line]) -> list[Line]:
    """What the process of a line wrote after it."""
    place = next(n for n, line in enumerate(events) if line is last)
    return [e for e in events[place + 1 :] if e.process == last.process]


def _idle_agents(last: Line, events: list[Line]) -> list[str]:
    """Agents that wanted no weights when a line of a service was written."""
    path_by_agent: dict[str, str] = {}
    for line in events:
        if line.time > last.time:
            break
        if line.event == "weights_wanted":
            if line.field("service") == last.field("service"):
                path_by_agent[line.process] = line.field("path")
    return sorted(agent for agent, path in path_by_agent.items() if not path)


def _beside(own: list[Line], events: list[Line]) -> list[Line]:
    processes = {line.process for line in own}
    targets = {line.fields.get("target") for line in own} - {None}
    since_s, until = own[0].at_s - _BEFORE_S, own[-1].time
    return [
        line
        for line in events
        if line.process in processes
        and line.at_s >= since_s
        and line.time <= until
        and (
            line.event in _BELIEFS
            or (
                line.event in _OF_TARGETS
                and line.fields.get("target", line.fields.get("id")) in targets
            )
        )
    ]
