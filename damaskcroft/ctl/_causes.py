"""The cause of what became of a request, in one line, from its log lines."""

import dataclasses

from damaskcroft.ctl._attempts import asked, failures, target_of
from damaskcroft.ctl._log_lines import Line
from damaskcroft.ctl._unended import why_unended

__all__ = ["Met", "cause"]

# HTTP statuses from here on are failures of whoever answers (RFC 9110).
_SERVER_ERROR = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Met:
    """What happened around a request.

    Attributes:
        before: what its processes and targets met until its last line.
        later: what the process of its last line wrote afterwards.
        idle_agents: agents of its service that wanted no weights then.
    """

    before: list[Line]
    later: list[Line]
    idle_agents: list[str]


def cause(own: list[Line], met: Met) -> str:
    """Why a request ended as it did.

    Args:
        own: its lines in order, one at least.
        met: what happened around it.
    """
    last = own[-1]
    match last.event:
        case "answered" | "answered_late":
            return _why_answered(own, last)
        case "answer_broken_off":
            reason = last.fields.get("reason")
            ending = f"the answer had begun and was broken off: {reason}"
            return _why_lost(own, ending)
        case "caller_left":
            return _why_left(own, last)
        case "refused":
            return _why_refused(own, last, met)
    return why_unended(last, met.later)


def _why_answered(own: list[Line], last: Line) -> str:
    late = _why_late(last) if last.event == "answered_late" else ""
    if (last.number("status") or 0) >= _SERVER_ERROR:
        return _why_failed(own, last) + (f"; {late}" if late else "")
    if not late:
        return f"answered in time with {last.field('status')}"
    return _why_lost(own, late)


def _why_failed(own: list[Line], last: Line) -> str:
    """A target's own failure, that the caller got as its answer."""
    status = last.field("status")
    attempts = asked(own)
    if not attempts:
        return f"answered with {status} by a target of which no line is left"
    answering = attempts[-1]
    told = f"{target_of(answering)} answered with {status}, its own failure"
    tried = last.field("targets")
    if tried and tried != "1":
        told += f"; {tried} targets were tried"
    return "; ".join([told, *failures(own, answering.field("target"))])


def _why_late(last: Line) -> str:
    queued_s = last.number("queued_s") or 0.0
    first_s = last.number("first_s") or 0.0
    longest_gap_s = last.number("longest_gap_s") or 0.0
    parts = []
    if queued_s > first_s / 2:
        parts.append(f"{queued_s:.3g} s in line for a target")
    else:
        parts.append(
            f"first event {first_s:.3g} s after it came, at the target"
        )
    if int(last.field("targets") or 1) > 1:
        parts.append(f"{last.field('targets')} targets were tried")
    parts.append(f"longest pause {longest_gap_s:.3g} s")
    return "answered late: " + ", ".join(parts)


def _why_left(own: list[Line], last: Line) -> str:
    told = f"the caller left after {last.field('after_s')} s"
    attempts = asked(own)
    if attempts and attempts[-1].event == "sent":
        told += f", while {target_of(attempts[-1])} had it"
    elif not attempts and own[0].event == "queued":
        told += ", in line all that time"
    return _why_lost(own, told)


def _why_refused(own: list[Line], last: Line, met: Met) -> str:
    fields = last.fields
    reason = fields.get("reason", "")
    back = fields.get("retry_after_s", "None")
    after = "" if back == "None" else f"; told to come back in {back} s"
    service = fields.get("service", "")
    match reason:
        case "overloaded":
            detail = fields.get("detail", "")
            full = f"every target of {service} was full, {detail}{after}"
            return full + _waited_for_weights(own)
        case "no_weights":
            return _why_no_weights(service, met) + after
        case "no_target" if not asked(own):
            return f"no target of {service} was ready{after}"
        case "no_target":
            ending = f"no other target of {service} was left{after}"
            return _why_lost(own, ending)
        case "no_configuration":
            return f"the entry had no configuration yet{after}"
        case "unknown_route" | "unknown_key":
            what = "route" if reason == "unknown_route" else "key"
            return (
                f"configuration {fields.get('configuration')} of"
                f" {last.process} has no such {what}; it heard control"
                f" {fields.get('heard_s')} s before"
            )
        case "quarantined":
            detail = fields.get("detail", "")
            ending = f"targets crashed under this request, {detail}{after}"
            return _why_lost(own, ending)
        case "resting":
            return _why_lost(own, f"targets of {service} rest{after}")
        case "rate_limited":
            ending = f"targets of {service} get all that they take{after}"
            return _why_lost(own, ending)
        case "stopping":
            return f"the entry was about to end{after}"
    return _why_lost(own, f"refused as {reason}{after}")


def _why_no_weights(service: str, met: Met) -> str:
    named = [line for line in met.before if line.event == "weights_named"]
    due = f", version {named[-1].field('version')}" if named else ""
    told = f"no target of {service} holds the weights that are due{due}"
    if met.idle_agents:
        told += f"; these agents wanted none: {', '.join(met.idle_agents)}"
    return told


def _waited_for_weights(own: list[Line]) -> str:
    """What was wanting first, where that is not what decided in the end."""
    for line in own:
        if line.event == "queued" and line.field("reason") == "no_weights":
            return (
                f"; {line.field('waited_s')} s after it came no target held"
                " the weights that were due"
            )
    return ""


def _why_lost(own: list[Line], ending: str) -> str:
    return "; ".join([ending, *failures(own)])
