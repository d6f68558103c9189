"""Checks that retries of all entries stay within the deployment's budget."""

import bisect
import collections
import dataclasses

RATIO = 0.2
WINDOW_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class RetryOverrun:
    """A window with more retries than allowed.

    Attributes:
        at: start of the window, by `time.monotonic`.
        got: arrivals beyond the first of their request.
        allowed: the maximum number of these.
    """

    at: float
    got: int
    allowed: float


def retry_overruns(sent_at, arrivals, extra):
    """Yields the windows in which there were too many retries.

    Args:
        sent_at: when callers sent the requests of a service.
        arrivals: time and request id of each arrival at its targets.
        extra: retries allowed in a window beyond the ratio.
    """
    requests = sorted(sent_at)
    retries, seen = [], collections.Counter()
    for at, request_id in sorted(arrivals):
        seen[request_id] += 1
        if seen[request_id] > 1:
            retries.append(at)
    for begin in retries:
        # The rule takes the highest of three counts of requests.
        count = max(
            _count(requests, begin - before_s)
            for before_s in (0, WINDOW_S / 2, WINDOW_S)
        )
        allowed = RATIO * count + extra
        got = _count(retries, begin)
        if got > allowed:
            yield RetryOverrun(begin, got, allowed)


def _count(times, begin):
    end = bisect.bisect_left(times, begin + WINDOW_S)
    return end - bisect.bisect_left(times, begin)
