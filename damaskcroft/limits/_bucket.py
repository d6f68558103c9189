"""A token bucket (Tanenbaum, "Computer Networks", 4th ed., 5.3.4)."""

from damaskcroft.clock import now_s

__all__ = ["TokenBucket"]

# More than one request may leave at a moment where the rate is high; what a
# bucket holds then is what comes in this time.
_BURST_S = 0.25


class TokenBucket:
    """Lets so many requests leave a second; begins empty.

    Args:
        rate_s: tokens a second.
    """

    __slots__ = ("_at", "_tokens", "rate_s")

    def __init__(self, rate_s: float):
        """See the class."""
        self.rate_s = rate_s
        self._tokens = 0.0
        self._at = now_s()

    def set_rate(self, rate_s: float) -> None:
        """Changes the rate from now on; tokens stay."""
        if rate_s != self.rate_s:
            self._fill()
            self.rate_s = rate_s
            self._fill()

    def wait_s(self) -> float:
        """Until there is a token; 0 if there is one."""
        self._fill()
        if self._tokens >= 1:
            return 0.0
        return (1 - self._tokens) / self.rate_s

    def take(self) -> None:
        """Takes a token; the bucket may owe one."""
        self._fill()
        self._tokens -= 1

    def _fill(self) -> None:
        now = now_s()
        most = max(1.0, self.rate_s * _BURST_S)
        came = (now - self._at) * self.rate_s
        self._tokens = min(most, self._tokens + came)
        self._at = now
