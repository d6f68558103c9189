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
        allowed = allowed_retries(requests, begin, extra)
        got = count_in_window(retries, begin)
        if got > allowed:
            yield RetryOverrun(begin, got, allowed)


def allowed_retries(requests, begin, extra):
    """Retries that the rule allows in the window that begins then.

    Of the requests in that window, in the one before it and in the one half a
    window before it, the most count.

    Args:
        requests: times of the requests of a service, in ascending order.
        begin: start of the window.
        extra: retries allowed in a window beyond the ratio.
    """
    most = max(
        count_in_window(requests, begin - before_s)
        for before_s in (0, WINDOW_S / 2, WINDOW_S)
    )
    return RATIO * most + extra


def count_in_window(times, begin):
    """Number of ascending times in the window that begins then."""
    end = bisect.bisect_left(times, begin + WINDOW_S)
    return end - bisect.bisect_left(times, begin)
