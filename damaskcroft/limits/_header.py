"""Parsing of the answer header in which a target announces its rate limit."""

import dataclasses
import re
from collections.abc import Sequence

__all__ = ["LimitHeader", "Named", "Unnamed", "Unreadable", "parse_limit"]

_DECIMAL = re.compile(r"[0-9]+(\.[0-9]+)?", re.ASCII)
# No target runs more requests a second than this: a larger number is a mistake.
_MAX_RATE_S = 1e6
_MAX_LOGGED_CHARS = 40


@dataclasses.dataclass(frozen=True, slots=True)
class Named:
    """The target accepts `rate_s` requests a second from all senders."""

    rate_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Unnamed:
    """The answer announces no limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unreadable:
    """The answer's header is not a valid limit, and is ignored."""

    value: str


LimitHeader = Named | Unnamed | Unreadable


def parse_limit(values: Sequence[str]) -> LimitHeader:
    """Parses the values of the rate limit header.

    Args:
        values: the value of each such header of the answer.
    """
    if not values:
        return Unnamed()
    value = ", ".join(values).strip()
    if not _DECIMAL.fullmatch(value) or float(value) > _MAX_RATE_S:
        return Unreadable(value[:_MAX_LOGGED_CHARS])
    return Named(float(value))
