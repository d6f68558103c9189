"""A token bucket (Tanenbaum, "Computer Networks", 4th ed., 5.3.4)."""

from damaskcroft.clock import now_s

__all__ = ["TokenBucket"]

# At high rates more than one request may be sent at a moment: the capacity of a
# bucket is the number of tokens that arrive in this time, and at least one.
_BURST_S = 0.25


class TokenBucket:
    """Limits the rate of requests with a token bucket that starts empty.

    Args:
        rate_s: tokens a second.
    """

    __slots__ = ("_refilled_at", "_tokens", "rate_s")

    def __init__(self, rate_s: float):
        """Starts without a token."""
        self.rate_s = rate_s
        self._tokens = 0.0
        self._refilled_at = now_s()

    def set_rate(self, rate_s: float) -> None:
        """Changes the rate from now on; tokens up to the capacity stay."""
        if rate_s != self.rate_s:
            self._refill()
            self.rate_s = rate_s
            self._refill()

    def wait_s(self) -> float:
        """Returns the time until a token is available; 0 if one is."""
        self._refill()
        if self._tokens >= 1:
            return 0.0
        return (1 - self._tokens) / self.rate_s

    def take(self) -> None:
        """Takes a token; the number of tokens may become negative."""
        self._refill()
        self._tokens -= 1

    def _refill(self) -> None:
        now = now_s()
        capacity = max(1.0, self.rate_s * _BURST_S)
        added = (now - self._refilled_at) * self.rate_s
        self._tokens = min(capacity, self._tokens + added)
        self._refilled_at = now
