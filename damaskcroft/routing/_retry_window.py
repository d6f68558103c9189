"""A budget for repeats over a sliding window, shared by all entries."""

import asyncio
import collections

__all__ = ["RetryWindow"]

# Kept back from the deployment's bound: entries count the same window from
# different moments, and a retry sent now arrives a little later.
_USED_SHARE = 0.8


class RetryWindow:
    """Repeats that one entry may send to one service.

    The deployment bounds arrivals beyond the first of each request, over all
    entries and in any window. Each entry takes the ratio of the requests
    that it sees itself, and its part of the constant.

    Args:
        ratio: repeats for each request.
        extra: repeats in a window beyond the ratio, over all entries.
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
        """Takes note of one request."""
        self._requests.append(asyncio.get_running_loop().time())

    def spend(self) -> bool:
        """Takes one repeat if the window has room for it."""
        now = asyncio.get_running_loop().time()
        if self.left < 1:
            return False
        self._repeats.append(now)
        return True

    @property
    def left(self) -> float:
        """How many repeats the window has room for now."""
        since = asyncio.get_running_loop().time() - self._window_s
        _forget_before(self._requests, since)
        _forget_before(self._repeats, since)
        allowed = self._ratio * len(self._requests)
        allowed += self._extra / max(1, self.entries)
        return allowed * _USED_SHARE - len(self._repeats)

    def give_back(self) -> None:
        """Takes back the last repeat, which was not sent."""
        if self._repeats:
            self._repeats.pop()


def _forget_before(times: collections.deque[float], limit: float) -> None:
    while times and times[0] < limit:
        times.popleft()
