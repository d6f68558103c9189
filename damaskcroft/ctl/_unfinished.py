"""Explains requests whose log lines end without an outcome.

A process that is killed logs no outcome for its running requests. Its next
`starting` line states when it was restarted: earlier requests were lost with
the old process, unless that process ran beyond the request's deadline or left
lines out of its log.
"""

from damaskcroft.ctl._attempts import describe_target
from damaskcroft.ctl._log_lines import Line

__all__ = ["explain_unfinished"]

# Events that state an outcome or an attempt. If lines of these events were
# suppressed, the missing outcome may be one of them.
_OUTCOMES = frozenset(
    {
        "answer_broken_off",
        "answered",
        "answered_late",
        "attempt_failed",
        "caller_left",
        "refused",
        "sent",
    }
)
# Why a request was queued, by the reason of its line.
_WAITS = {
    "no_weights": "no target held the weights that were due",
    "overloaded": "all targets were full",
}
# Upper bound on how long a request runs beyond its deadline. Timers are checked
# more often, but the process itself may pause for this long.
_MAX_OVERRUN_S = 1.0


def explain_unfinished(last: Line, later_lines: list[Line]) -> str:
    """Explains a request without a logged outcome.

    Args:
        last: its last line.
        later_lines: lines of the same process after that line.
    """
    unknown_text = f"no outcome is logged; the last word is {last.event}"
    restart_index = next(
        (n for n, line in enumerate(later_lines) if line.event == "starting"),
        None,
    )
    if restart_index is None:
        if later_lines:
            return unknown_text
        return f"{unknown_text}, and {last.process} wrote nothing after it"
    lines_before_restart = later_lines[:restart_index]
    restart_text = (
        f"{last.process} started anew at {later_lines[restart_index].time}"
    )
    if _outlived_request(last, lines_before_restart):
        return f"{unknown_text}; its time was over before {restart_text}"
    lost_text = f"{_describe_last_state(last)}; {restart_text}: lost with it"
    if any(_hides_outcome(line) for line in lines_before_restart):
        return f"{lost_text}, or its later lines were left out of the log"
    return lost_text


def _describe_last_state(last: Line) -> str:
    """Describes the state of a request at its last line."""
    match last.event:
        case "queued":
            return (
                f"waited in line at {last.process} since"
                f" {last.time_before(last.number('waited_s') or 0.0)},"
                f" {last.field('waiting')} waiting, while"
                f" {_WAITS.get(last.field('reason'), 'none could take it')};"
                " no line says that it was sent"
            )
        case "sent":
            return (
                f"sent to {describe_target(last)} by {last.process}"
                f" at {last.time}, and may have run"
            )
        case "attempt_failed":
            reason = last.field("reason")
            return f"{describe_target(last)} failed it at {last.time}: {reason}"
    return f"the last word is {last.event} at {last.time}"


def _outlived_request(last: Line, lines_before_restart: list[Line]) -> bool:
    """Returns whether the process ran beyond the request's deadline."""
    left_s = last.number("left_s")
    if left_s is None or not lines_before_restart:
        return False
    return lines_before_restart[-1].at_s > last.at_s + left_s + _MAX_OVERRUN_S


def _hides_outcome(line: Line) -> bool:
    if line.event == "log_lines_dropped":
        return True
    return line.event == "log_lines_summed" and line.field("of") in _OUTCOMES
