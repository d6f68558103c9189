"""Answers of a control node to operators and other nodes."""

import dataclasses
from typing import Any

from damaskcroft.observe import log_event, metrics

__all__ = ["EXPIRED", "Accepted", "Invalid", "Unavailable", "record_refusal"]


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change is durable on a majority.

    Attributes:
        version: the version in force, which may be higher than the requested
            one.
    """

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The change failed validation and was not applied."""

    fault: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """This node cannot answer now; another node or a later attempt may.

    Attributes:
        reason: one of a few fixed texts, used as a metric label.
        detail: the variable part of the reason.
        is_not_committed: whether it is certain that the change will not be
            committed.
    """

    reason: str
    detail: str = ""
    is_not_committed: bool = False


# The caller of an order no longer waits for it, or may no longer do so.
EXPIRED = Unavailable("the order is too old")


def record_refusal(call: str, refusal: Unavailable, **details: Any) -> None:
    """Counts and logs a call that a control node could not answer."""
    metrics.CONTROL_REFUSALS.labels(call, refusal.reason).inc()
    log_event(
        "control_refused",
        call=call,
        reason=refusal.reason,
        detail=refusal.detail,
        **details,
    )
