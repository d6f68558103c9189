"""Derives the cause of a request's outcome, as one line, from log lines."""

import dataclasses

from damaskcroft.ctl._attempts import (
    attempt_lines,
    describe_failures,
    describe_target,
)
from damaskcroft.ctl._log_lines import Line
from damaskcroft.ctl._unfinished import explain_unfinished

__all__ = ["Context", "explain_outcome"]

# Lowest HTTP status that reports a failure of the server (RFC 9110).
_MIN_SERVER_ERROR = 500
# Events of a request that waits for a slot.
_WAITING_EVENTS = frozenset({"held_back", "queued"})


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """Log lines and state around a request.

    Attributes:
        lines_before: events of its processes and targets up to its last line.
        later_lines: lines of the process of its last line after that line.
        idle_agents: agents of its service that wanted no weights then.
    """

    lines_before: list[Line]
    later_lines: list[Line]
    idle_agents: list[str]


def explain_outcome(request_lines: list[Line], context: Context) -> str:
    """Explains the outcome of a request.

    Args:
        request_lines: its lines in order, at least one.
        context: events around the request.
    """
    last = request_lines[-1]
    match last.event:
        case "answered" | "answered_late":
            return _explain_answered(request_lines, last)
        case "answer_broken_off":
            reason = last.fields.get("reason")
            ending = f"the answer had begun and was broken off: {reason}"
            return _with_failures(request_lines, ending)
        case "caller_left":
            return _explain_disconnect(request_lines, last)
        case "refused":
            return _explain_refused(request_lines, last, context)
    return explain_unfinished(last, context.later_lines)


def _explain_answered(request_lines: list[Line], last: Line) -> str:
    late_text = _explain_late(last) if last.event == "answered_late" else ""
    if (last.number("status") or 0) >= _MIN_SERVER_ERROR:
        return _explain_failed(request_lines, last) + (
            f"; {late_text}" if late_text else ""
        )
    if not late_text:
        return f"answered in time with {last.field('status')}"
    return _with_failures(request_lines, late_text)


def _explain_failed(request_lines: list[Line], last: Line) -> str:
    """Explains an error status of a target that was passed to the caller."""
    status = last.field("status")
    attempts = attempt_lines(request_lines)
    if not attempts:
        return f"answered with {status} by a target of which no line is left"
    answering_attempt = attempts[-1]
    text = (
        f"{describe_target(answering_attempt)} answered with {status},"
        " its own failure"
    )
    target_count = last.field("targets")
    if target_count and target_count != "1":
        text += f"; {target_count} targets were tried"
    return "; ".join(
        [
            text,
            *describe_failures(
                request_lines, answering_attempt.field("target")
            ),
        ]
    )


def _explain_late(last: Line) -> str:
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


def _explain_disconnect(request_lines: list[Line], last: Line) -> str:
    text = f"the caller left after {last.field('after_s')} s"
    attempts = attempt_lines(request_lines)
    if attempts and attempts[-1].event == "sent":
        text += f", while {describe_target(attempts[-1])} had it"
    elif not attempts and request_lines[0].event in _WAITING_EVENTS:
        text += ", in line all that time"
    return _with_failures(request_lines, text)


def _explain_refused(
    request_lines: list[Line], last: Line, context: Context
) -> str:
    fields = last.fields
    reason = fields.get("reason", "")
    retry_after_s = fields.get("retry_after_s", "None")
    retry_after_text = (
        ""
        if retry_after_s == "None"
        else f"; told to come back in {retry_after_s} s"
    )
    service = fields.get("service", "")
    match reason:
        case "overloaded":
            detail = fields.get("detail", "")
            overload_text = (
                f"every target of {service} was full, {detail}"
                f"{retry_after_text}"
            )
            return overload_text + _describe_weights_wait(request_lines)
        case "no_weights":
            return _explain_no_weights(service, context) + retry_after_text
        case "no_target" if not attempt_lines(request_lines):
            return f"no target of {service} was ready{retry_after_text}"
        case "no_target":
            ending = f"no other target of {service} was left{retry_after_text}"
            return _with_failures(request_lines, ending)
        case "no_configuration":
            return f"the entry had no configuration yet{retry_after_text}"
        case "unknown_route" | "unknown_key":
            missing_kind = "route" if reason == "unknown_route" else "key"
            return (
                f"configuration {fields.get('configuration')} of"
                f" {last.process} has no such {missing_kind}; it heard control"
                f" {fields.get('heard_s')} s before"
            )
        case "quarantined":
            detail = fields.get("detail", "")
            are_parts = detail.startswith("prompt parts")
            under = "requests with" if are_parts else "this request,"
            ending = f"targets crashed under {under} {detail}{retry_after_text}"
            return _with_failures(request_lines, ending)
        case "resting":
            return _with_failures(
                request_lines, f"targets of {service} rest{retry_after_text}"
            )
        case "rate_limited":
            ending = (
                f"targets of {service} get all that they take{retry_after_text}"
            )
            return _with_failures(request_lines, ending)
        case "cold":
            ending = (
                f"targets of {service} are cold and get all that they bear"
                f"{retry_after_text}"
            )
            return _with_failures(request_lines, ending)
        case "stopping":
            return f"the entry was about to end{retry_after_text}"
    return _with_failures(
        request_lines, f"refused as {reason}{retry_after_text}"
    )


def _explain_no_weights(service: str, context: Context) -> str:
    announced_versions = [
        line for line in context.lines_before if line.event == "weights_named"
    ]
    version_text = (
        f", version {announced_versions[-1].field('version')}"
        if announced_versions
        else ""
    )
    text = (
        f"no target of {service} holds the weights that are due{version_text}"
    )
    if context.idle_agents:
        text += f"; these agents wanted none: {', '.join(context.idle_agents)}"
    return text


def _describe_weights_wait(request_lines: list[Line]) -> str:
    """Describes a wait for weights that preceded another final reason."""
    for line in request_lines:
        if line.event == "queued" and line.field("reason") == "no_weights":
            return (
                f"; {line.field('waited_s')} s after it came no target held"
                " the weights that were due"
            )
    return ""


def _with_failures(request_lines: list[Line], ending: str) -> str:
    return "; ".join([ending, *describe_failures(request_lines)])
