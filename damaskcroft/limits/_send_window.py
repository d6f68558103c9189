"""Times of the requests that one entry sent to one target recently."""

import bisect
import math

from damaskcroft.clock import now_s

__all__ = ["SendWindow"]

# A request counts for this time. What exceeds a second covers the delay between
# the decision to send a request and its first byte on a busy machine.
_WINDOW_S = 1.05


class SendWindow:
    """Limits the requests in any second (a sliding window log).

    A token bucket of the same rate may pass twice as many in a second: a full
    bucket and what arrives meanwhile.
    """

    __slots__ = ("_sent_at",)

    def __init__(self) -> None:
        """Starts without requests."""
        # Loop times in ascending order.
        self._sent_at: list[float] = []

    def add(self) -> None:
        """Counts a request that is about to be sent."""
        self._drop_expired()
        self._sent_at.append(now_s())

    def remove(self, taken_at: float) -> None:
        """Removes the request that was counted last until a given time."""
        index = bisect.bisect_right(self._sent_at, taken_at)
        if index:
            del self._sent_at[index - 1]

    def wait_s(self, max_requests: int) -> float:
        """Returns the time until another request is within the limit.

        Args:
            max_requests: requests allowed in any second.

        Returns:
            Seconds; 0 for now, infinite if no request is allowed.
        """
        if max_requests <= 0:
            return math.inf
        self._drop_expired()
        excess = len(self._sent_at) - max_requests
        if excess < 0:
            return 0.0
        return self._sent_at[excess] + _WINDOW_S - now_s()

    def _drop_expired(self) -> None:
        since = now_s() - _WINDOW_S
        del self._sent_at[: bisect.bisect_right(self._sent_at, since)]
