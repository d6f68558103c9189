"""What an answer's header says of its target's limit."""

import dataclasses
import re
from collections.abc import Sequence

__all__ = ["LimitWord", "Named", "Unnamed", "Unreadable", "limit_named"]

_DECIMAL = re.compile(r"[0-9]+(\.[0-9]+)?", re.ASCII)
# No target runs as many; such a number is a mistake, not a wish.
_MAX_RATE_S = 1e6
_MAX_SHOWN = 40


@dataclasses.dataclass(frozen=True, slots=True)
class Named:
    """The target takes so many requests a second from all senders."""

    rate_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Unnamed:
    """The answer names no limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unreadable:
    """The answer names something that is no limit; nothing follows from it."""

    value: str


LimitWord = Named | Unnamed | Unreadable


def limit_named(values: Sequence[str]) -> LimitWord:
    """Reads the values of a limit's header.

    Args:
        values: one for each such header of the answer.
    """
    if not values:
        return Unnamed()
    value = ", ".join(values).strip()
    if not _DECIMAL.fullmatch(value) or float(value) > _MAX_RATE_S:
        return Unreadable(value[:_MAX_SHOWN])
    return Named(float(value))
