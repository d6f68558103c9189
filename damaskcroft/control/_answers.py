"""Answers of a control node to operators and other nodes."""

import dataclasses

__all__ = ["Accepted", "Invalid", "Unavailable"]


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
