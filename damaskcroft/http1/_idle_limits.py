"""For how long connections may wait for a request while that limit changes."""

import dataclasses

__all__ = ["IdleLimits"]


class IdleLimits:
    """The limit of idleness in force, and longer ones that still bind.

    A caller reuses a connection by the limit that it knows. So each connection
    is kept for the longest that was in force since it began to wait: a longer
    one holds for those that wait already, a shorter one ends none of them.
    """

    __slots__ = ("_in_force_s", "_past")

    def __init__(self, limit_s: float):
        """Begins with a limit, in seconds."""
        self._in_force_s = limit_s
        # Longer than the one in force, the longest and oldest first.
        self._past: list[_PastLimit] = []

    def note(self, limit_s: float, now: float) -> None:
        """Takes note of the limit in force, changed or not.

        Args:
            limit_s: between requests.
            now: loop time.
        """
        if limit_s == self._in_force_s:
            return
        before = _PastLimit(self._in_force_s, now)
        self._in_force_s = limit_s
        self._past = [
            past
            for past in (*self._past, before)
            if past.limit_s > limit_s and past.until + past.limit_s > now
        ]

    def longest_s(self, since: float) -> float:
        """The longest limit that was in force at or after a loop time."""
        for past in self._past:
            if past.until >= since:
                return past.limit_s
        return self._in_force_s


@dataclasses.dataclass(frozen=True, slots=True)
class _PastLimit:
    """A limit that was in force until a loop time."""

    limit_s: float
    until: float
