"""What the log lines of one request say of the targets that it was sent to."""

from damaskcroft.ctl._log_lines import Line

__all__ = ["asked", "failures", "target_of"]

# Before the status of a target that failed, in the reason of its attempt.
_STATUS = "status_"
# Reasons by which an attempt ended for want of time on the target's weights.
_OF_WEIGHTS = frozenset({"too_late_for_its_weights", "version_due"})


def asked(own: list[Line]) -> list[Line]:
    """The lines that name a target which was asked, in order."""
    return [line for line in own if line.event in ("attempt_failed", "sent")]


def failures(own: list[Line], besides: str = "") -> list[str]:
    """How each target failed a request, in words.

    Args:
        own: the request's lines in order.
        besides: id of a target that is left out; empty for none.
    """
    return [
        _failure(line, own)
        for line in own
        if line.event == "attempt_failed"
        and (not besides or line.field("target") != besides)
    ]


def target_of(line: Line) -> str:
    """The target that a line names."""
    return f"target {line.field('target')} at {line.field('address')}"


def _failure(failed: Line, own: list[Line]) -> str:
    reason = failed.field("reason")
    if reason.startswith(_STATUS):
        status = reason.removeprefix(_STATUS)
        return f"{target_of(failed)} answered with {status}, its own failure"
    told = f"{target_of(failed)} failed: {reason}"
    if reason not in _OF_WEIGHTS:
        return told
    return f"{told}, {_time_on_weights(failed, own)}"


def _time_on_weights(failed: Line, own: list[Line]) -> str:
    """How long a request had to begin, and what became of that time."""
    sent = [
        line
        for line in own
        if line.event == "sent"
        and line.field("target") == failed.field("target")
    ]
    connect_s = failed.number("connect_s")
    way = "over a kept connection"
    if connect_s is not None:
        way = f"connecting took {connect_s:.3g} s"
    if not sent:
        return way
    within_s = sent[-1].number("begins_within_s")
    had = "sent before a newer version was named"
    if within_s is not None:
        had = f"sent with {within_s:.3g} s left to begin on its weights"
    after_s = failed.at_s - sent[-1].at_s
    return f"{had}, {way}, given up {after_s:.3g} s after it was sent"
