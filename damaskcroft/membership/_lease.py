"""A holder's own view of its lease."""

from collections.abc import Callable

from damaskcroft.clock import now_s

# A holder gives up this share of its lease early, for clocks that drift.
_MARGIN_SHARE = 0.1


class Lease:
    """When the right to act on the current configuration ends.

    Args:
        clock_s: a monotonic clock in seconds.
    """

    __slots__ = ("_clock_s", "_expires_at")

    def __init__(self, clock_s: Callable[[], float] = now_s):
        """Creates a lease that is not held yet."""
        self._clock_s = clock_s
        self._expires_at = float("-inf")

    def grant(self, sent_at: float, duration_s: float) -> None:
        """Takes a grant, counted from when its renewal was sent."""
        expires_at = sent_at + duration_s * (1 - _MARGIN_SHARE)
        self._expires_at = max(self._expires_at, expires_at)

    def release(self) -> None:
        """Gives the lease up at once."""
        self._expires_at = float("-inf")

    @property
    def is_held(self) -> bool:
        """Whether it is held at this instant."""
        return self.remaining_s > 0

    @property
    def remaining_s(self) -> float:
        """Time left in seconds; not above 0 when it has lapsed."""
        return self._expires_at - self._clock_s()
