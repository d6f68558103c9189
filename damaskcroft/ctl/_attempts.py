"""Describes the attempts of one request from its log lines."""

from damaskcroft.ctl._log_lines import Line

__all__ = ["attempt_lines", "describe_failures", "describe_target"]

# Prefix of the reason of an attempt that the target answered with an error
# status.
_STATUS_PREFIX = "status_"
# Reason of an attempt that a hedge has outrun.
_OUTRUN = "outrun"
# Reasons of attempts that ended because the time for the answer to begin on the
# target's weights was too short or over.
_WEIGHTS_REASONS = frozenset({"too_late_for_its_weights", "version_due"})


def attempt_lines(request_lines: list[Line]) -> list[Line]:
    """Returns the lines of attempts, in order."""
    return [
        line
        for line in request_lines
        if line.event in ("attempt_failed", "sent")
    ]


def describe_failures(
    request_lines: list[Line], excluded_target_id: str = ""
) -> list[str]:
    """Describes how each target failed a request.

    Args:
        request_lines: the request's lines in order.
        excluded_target_id: target to leave out; empty for none.
    """
    return [
        _describe_failure(line, request_lines)
        for line in request_lines
        if line.event == "attempt_failed"
        and (
            not excluded_target_id or line.field("target") != excluded_target_id
        )
    ]


def describe_target(line: Line) -> str:
    """Returns id and address of a line's target."""
    return f"target {line.field('target')} at {line.field('address')}"


def _describe_failure(failed: Line, request_lines: list[Line]) -> str:
    reason = failed.field("reason")
    if reason.startswith(_STATUS_PREFIX):
        status = reason.removeprefix(_STATUS_PREFIX)
        return (
            f"{describe_target(failed)} answered with {status}, its own failure"
        )
    if reason == _OUTRUN:
        return f"{describe_target(failed)} was slow and a hedge answered first"
    text = f"{describe_target(failed)} failed: {reason}"
    if reason not in _WEIGHTS_REASONS:
        return text
    return f"{text}, {_describe_weights_deadline(failed, request_lines)}"


def _describe_weights_deadline(failed: Line, request_lines: list[Line]) -> str:
    """Describes the time left for the answer to begin, and how it was spent."""
    sent_lines = [
        line
        for line in request_lines
        if line.event == "sent"
        and line.field("target") == failed.field("target")
    ]
    connect_s = failed.number("connect_s")
    connection_text = "over a kept connection"
    if connect_s is not None:
        connection_text = f"connecting took {connect_s:.3g} s"
    if not sent_lines:
        return connection_text
    within_s = sent_lines[-1].number("begins_within_s")
    deadline_text = "sent before a newer version was named"
    if within_s is not None:
        deadline_text = (
            f"sent with {within_s:.3g} s left to begin on its weights"
        )
    after_s = failed.at_s - sent_lines[-1].at_s
    return (
        f"{deadline_text}, {connection_text},"
        f" given up {after_s:.3g} s after it was sent"
    )
