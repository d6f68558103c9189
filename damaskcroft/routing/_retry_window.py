"""A limit on retries by a share of the requests in a sliding window."""

import collections

from damaskcroft.clock import now_s

__all__ = ["RetryWindow"]

# Share of the limit that is used: entries count the same window from different
# moments, and a retry arrives later than it is sent.
_USED_SHARE = 0.8


class RetryWindow:
    """Retries of one kind that one entry may send, as a share of its requests.

    Args:
        ratio: retries allowed for each request.
        window_s: length of the window.
    """

    __slots__ = ("_ratio", "_requests_at", "_retries_at", "_window_s")

    def __init__(self, ratio: float, window_s: float):
        """Starts with an empty window."""
        self._ratio = ratio
        self._window_s = window_s
        self._requests_at: collections.deque[float] = collections.deque()
        self._retries_at: collections.deque[float] = collections.deque()

    def earn(self) -> None:
        """Counts one request."""
        self._requests_at.append(now_s())

    def spend(self) -> bool:
        """Takes one retry; False if none is left."""
        if self.left < 1:
            return False
        self._retries_at.append(now_s())
        return True

    @property
    def left(self) -> float:
        """Number of retries left in the window now."""
        since = now_s() - self._window_s
        drop_before(self._requests_at, since)
        drop_before(self._retries_at, since)
        allowed = self._ratio * len(self._requests_at)
        return allowed * _USED_SHARE - len(self._retries_at)


def drop_before(times: collections.deque[float], begin: float) -> None:
    """Drops the leading times that are before a moment."""
    while times and times[0] < begin:
        times.popleft()
