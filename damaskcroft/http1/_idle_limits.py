"""Idle timeout of connections while the configured value changes."""

import dataclasses

__all__ = ["IdleLimits"]


class IdleLimits:
    """The idle timeout in force, and longer past ones that still apply.

    A caller reuses a connection by the timeout that it knows. Therefore each
    connection is kept for the longest timeout in force since it became idle: a
    longer one applies to connections already idle, a shorter one closes none
    of them.
    """

    __slots__ = ("_in_force_s", "_past")

    def __init__(self, limit_s: float):
        """Starts with an idle timeout in seconds."""
        self._in_force_s = limit_s
        # Past timeouts longer than the one in force, longest and oldest first.
        self._past: list[_PastLimit] = []

    def note(self, limit_s: float, now: float) -> None:
        """Records the timeout in force, changed or not.

        Args:
            limit_s: maximum time between requests.
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

    def longest_timeout_s(self, since: float) -> float:
        """Returns the longest timeout in force at or after a loop time."""
        for past in self._past:
            if past.until >= since:
                return past.limit_s
        return self._in_force_s


@dataclasses.dataclass(frozen=True, slots=True)
class _PastLimit:
    """A timeout that was in force until a loop time."""

    limit_s: float
    until: float
