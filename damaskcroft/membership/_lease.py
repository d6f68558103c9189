"""The lease as its holder sees it."""

from collections.abc import Callable

from damaskcroft.clock import now_s

# Share of the lease duration by which a holder stops early, to allow for clock
# drift.
_SAFETY_MARGIN_SHARE = 0.1


class Lease:
    """The right to act on the current configuration, until it expires.

    Args:
        clock_s: returns the time of a monotonic clock in seconds.
    """

    __slots__ = ("_clock_s", "_expires_at")

    def __init__(self, clock_s: Callable[[], float] = now_s):
        """Creates a lease that is not held."""
        self._clock_s = clock_s
        self._expires_at = float("-inf")

    def grant(self, sent_at: float, duration_s: float) -> None:
        """Extends the lease, counted from when its renewal was sent."""
        expires_at = sent_at + duration_s * (1 - _SAFETY_MARGIN_SHARE)
        self._expires_at = max(self._expires_at, expires_at)

    def release(self) -> None:
        """Ends the lease at once."""
        self._expires_at = float("-inf")

    @property
    def is_held(self) -> bool:
        """Whether the lease is held now."""
        return self.remaining_s > 0

    @property
    def remaining_s(self) -> float:
        """Remaining time in seconds; 0 or negative once it has expired."""
        return self._expires_at - self._clock_s()
