"""A retry budget over a sliding window, shared by all entries."""

import asyncio
import collections

__all__ = ["RetryWindow"]

# Share of the deployment's bound that is used: entries count the same window
# from different moments, and a retry arrives later than it is sent.
_USED_SHARE = 0.8


class RetryWindow:
    """Retries that one entry may send to one service.

    The deployment bounds the arrivals of a request beyond its first, over all
    entries and in any window. Each entry applies the ratio to the requests that
    it receives itself, and uses its share of the constant.

    Args:
        ratio: retries allowed for each request.
        extra: retries allowed in a window beyond the ratio, over all entries.
        window_s: length of the window.
    """

    __slots__ = ("_extra", "_ratio", "_repeats", "_requests", "_window_s",
                 "entries")  # fmt: skip

    def __init__(self, ratio: float, extra: float, window_s: float):
        """Starts with an empty window."""
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()
        self.entries = 1

    def earn(self) -> None:
        """Counts one request."""
        self._requests.append(asyncio.get_running_loop().time())

    def spend(self) -> bool:
        """Takes one retry from the budget; False if none is left."""
        now = asyncio.get_running_loop().time()
        if self.left < 1:
            return False
        self._repeats.append(now)
        return True

    @property
    def left(self) -> float:
        """Number of retries left in the window now."""
        since = asyncio.get_running_loop().time() - self._window_s
        _drop_before(self._requests, since)
        _drop_before(self._repeats, since)
        allowed = self._ratio * len(self._requests)
        allowed += self._extra / max(1, self.entries)
        return allowed * _USED_SHARE - len(self._repeats)

    def give_back(self) -> None:
        """Returns the last retry to the budget, because it was not sent."""
        if self._repeats:
            self._repeats.pop()


def _drop_before(times: collections.deque[float], begin: float) -> None:
    while times and times[0] < begin:
        times.popleft()
