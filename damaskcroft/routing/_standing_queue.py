"""Detection of standing queues, which arise when load exceeds capacity."""

import math

__all__ = ["LateSpan"]

# A queue in which some requests are late for this long, without an interval of
# the same length in which none is, doesn't drain by itself.
_STANDING_AFTER_S = 1.0


class LateSpan:
    """The time span in which waiting requests were already too late."""

    __slots__ = ("_last_late_at", "_began_at")

    def __init__(self) -> None:
        """Starts without late requests."""
        self._began_at = self._last_late_at = -math.inf

    def note_late(self, now: float) -> None:
        """Records that a request waits now that cannot be in time."""
        if now - self._last_late_at > _STANDING_AFTER_S:
            self._began_at = now
        self._last_late_at = now

    def is_standing(self, now: float) -> bool:
        """Whether the span goes on, and is long enough for a standing queue."""
        goes_on = now - self._last_late_at <= _STANDING_AFTER_S
        return goes_on and now - self._began_at >= _STANDING_AFTER_S
