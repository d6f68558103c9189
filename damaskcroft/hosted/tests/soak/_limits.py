"""How many requests targets got that had named a limit of requests a second."""

import bisect
import collections
import dataclasses
import math

WINDOW_S = 4.0
# What the platform's rule allows of a limit, and beside it.
_SHARE = 1.5
_EXTRA = 5
# An entry counts from so long after it was first told.
_TOLD_FOR_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Overrun:
    """A window in which a target got more than it may.

    Attributes:
        start: which start of the target.
        at: when the window began, by `time.monotonic`.
        got: requests in it.
        allowed: how many there may be.
    """

    start: str
    at: float
    got: int
    allowed: float


class NamedLimits:
    """What each start of a target named, when, and to whom.

    Args:
        contact_s: after the first word a target may get too much for so long.
    """

    def __init__(self, contact_s):
        self._contact_s = contact_s
        # Each change: when, and the limit; infinite where none is named.
        self._changes_by_start = collections.defaultdict(list)
        self._told_since = {}

    def told(self, start, entry, limit, at):
        """A target names a limit to an entry in an answer, or none."""
        changes = self._changes_by_start[start]
        rate = math.inf if limit is None else limit
        if not isinstance(rate, int | float):
            # Nonsense is no word.
            return
        if not changes and math.isinf(rate):
            return
        if not changes or changes[-1][1] != rate:
            changes.append((at, rate))
        self._told_since.setdefault((entry, start), at)

    def overruns(self, arrivals):
        """Windows with too many arrivals.

        Args:
            arrivals: tuples of when, entry and start, of those that count.
        """
        times_by_start = collections.defaultdict(list)
        for at, entry, start in arrivals:
            told_at = self._told_since.get((entry, start), math.inf)
            if at >= told_at + _TOLD_FOR_S:
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
        """By the highest limit in force in a window, or shortly before it."""
        rates = []
        for since, rate in self._changes_by_start[start]:
            if since <= at - self._contact_s:
                rates = []
            if since < at + WINDOW_S:
                rates.append(rate)
        return _SHARE * WINDOW_S * max(rates, default=math.inf) + _EXTRA
