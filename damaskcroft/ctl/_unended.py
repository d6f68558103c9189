"""What became of a request whose lines end without an outcome.

A process that is killed writes no last line for the requests that it has. Its
next `starting` line says when it was back: what had begun before was lost with
it, unless the process lived past the request's time or left lines out.
"""

from damaskcroft.ctl._attempts import target_of
from damaskcroft.ctl._log_lines import Line

__all__ = ["why_unended"]

# Events that tell what became of a request; a line of them that was left out
# may be the one that is missed.
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
# What a request waits for, by the reason of its line.
_WANTING = {
    "no_weights": "no target held the weights that were due",
    "overloaded": "all targets were full",
}
# A request ends so long after its time at most: the process looks at its
# timers more often, and a pause of it may be this long.
_LATE_S = 1.0


def why_unended(last: Line, later: list[Line]) -> str:
    """What can be said of a request that has no outcome.

    Args:
        last: its last line.
        later: what the same process wrote afterwards.
    """
    unknown = f"no outcome is logged; the last word is {last.event}"
    ended = next(
        (n for n, line in enumerate(later) if line.event == "starting"), None
    )
    if ended is None:
        if later:
            return unknown
        return f"{unknown}, and {last.process} wrote nothing after it"
    before_end = later[:ended]
    again = f"{last.process} started anew at {later[ended].time}"
    if _outlived(last, before_end):
        return f"{unknown}; its time was over before {again}"
    lost = f"{_state(last)}; {again}: lost with it"
    if any(_leaves_out(line) for line in before_end):
        return f"{lost}, or its later lines were left out of the log"
    return lost


def _state(last: Line) -> str:
    """Where a request was when its process wrote of it last."""
    match last.event:
        case "queued":
            return (
                f"waited in line at {last.process} since"
                f" {last.time_before(last.number('waited_s') or 0.0)},"
                f" {last.field('waiting')} waiting, while"
                f" {_WANTING.get(last.field('reason'), 'none could take it')};"
                " no line says that it was sent"
            )
        case "sent":
            return (
                f"sent to {target_of(last)} by {last.process} at {last.time},"
                " and may have run"
            )
        case "attempt_failed":
            reason = last.field("reason")
            return f"{target_of(last)} failed it at {last.time}: {reason}"
    return f"the last word is {last.event} at {last.time}"


def _outlived(last: Line, before_end: list[Line]) -> bool:
    """Whether the process lived on until the request's time was over."""
    left_s = last.number("left_s")
    if left_s is None or not before_end:
        return False
    return before_end[-1].at_s > last.at_s + left_s + _LATE_S


def _leaves_out(line: Line) -> bool:
    if line.event == "log_lines_dropped":
        return True
    return line.event == "log_lines_summed" and line.field("of") in _OUTCOMES
