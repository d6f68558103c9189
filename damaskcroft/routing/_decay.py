"""Exponential decay of counts, in steps."""

import math

from damaskcroft.clock import now_s

__all__ = ["Decay"]

# Counts halve in this time: long enough for some requests of each kind at one
# entry, and about as long as a burst takes to build up.
_HALF_LIFE_S = 2.0
# Counts are decayed in steps of this time.
_INTERVAL_S = _HALF_LIFE_S / 16


class Decay:
    """Tells by which factor counts have decayed since the last step."""

    __slots__ = ("_decayed_at",)

    def __init__(self) -> None:
        """Starts before the first step."""
        self._decayed_at = -math.inf

    def take_factor(self) -> float | None:
        """Returns the factor of a step that is due now; None if none is."""
        now = now_s()
        elapsed_s = now - self._decayed_at
        if elapsed_s < _INTERVAL_S:
            return None
        self._decayed_at = now
        return 0.5 ** (elapsed_s / _HALF_LIFE_S)
