"""Checks that targets receive no more requests than their rate limits allow."""

import bisect
import collections
import dataclasses
import math

WINDOW_S = 4.0
# The platform's rule allows this multiple of a rate limit, plus a constant.
_ALLOWED_FACTOR = 1.5
_ALLOWED_EXTRA = 5
# An entry's requests count from this long after a target first announced a
# limit to it.
_ENTRY_REACTION_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Overrun:
    """A window in which a target received more requests than allowed.

    Attributes:
        start: the start of the target.
        at: start of the window, by `time.monotonic`.
        got: number of requests in the window.
        allowed: maximum number of requests in the window.
    """

    start: str
    at: float
    got: int
    allowed: float


class AnnouncedLimits:
    """Rate limits that each start of a target announced, with time and entry.

    Args:
        contact_s: time after the first announcement in which a target may
            still receive too many requests.
    """

    def __init__(self, contact_s):
        self._contact_s = contact_s
        # Each change: time and limit; infinite where none is announced.
        self._changes_by_start = collections.defaultdict(list)
        self._announced_since = {}

    def announced(self, start, entry, limit, at):
        """Records that an answer to an entry announces a limit, or none."""
        changes = self._changes_by_start[start]
        rate = math.inf if limit is None else limit
        if not isinstance(rate, int | float):
            # Entries ignore an invalid limit.
            return
        if not changes and math.isinf(rate):
            return
        if not changes or changes[-1][1] != rate:
            changes.append((at, rate))
        self._announced_since.setdefault((entry, start), at)

    def overruns(self, arrivals):
        """Yields the first window of each start with too many arrivals.

        Args:
            arrivals: tuples of time, entry and start of the arrivals that
                count.
        """
        times_by_start = collections.defaultdict(list)
        for at, entry, start in arrivals:
            announced_at = self._announced_since.get((entry, start), math.inf)
            if at >= announced_at + _ENTRY_REACTION_S:
                times_by_start[start].append(at)
        for start, times in times_by_start.items():
            first_at = self._changes_by_start[start][0][0] + self._contact_s
            times.sort()
            for index, at in enumerate(times):
                end = bisect.bisect_left(times, at + WINDOW_S)
                allowed = self._allowed(start, at)
                if at >= first_at and end - index > allowed:
                    yield Overrun(start, at, end - index, allowed)
                    break

    def _allowed(self, start, at):
        """Bound by the highest limit in force in or just before a window."""
        rates = []
        for since, rate in self._changes_by_start[start]:
            if since <= at - self._contact_s:
                rates = []
            if since < at + WINDOW_S:
                rates.append(rate)
        return (
            _ALLOWED_FACTOR * WINDOW_S * max(rates, default=math.inf)
            + _ALLOWED_EXTRA
        )
