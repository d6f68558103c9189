"""Phases in which an engine is slow, because it shares its machine."""

import random

from damaskcroft.clock import now_s

__all__ = ["SlowPhases"]

_PACE = 2.5
_SLOW_S = 0.6


class SlowPhases:
    """Pace of one engine, by turns usual and slow.

    Args:
        rng: random numbers of this engine alone.
        share: share of time for which it is slow; below 1.
    """

    __slots__ = ("_is_slow", "_rng", "_until", "_usual_s")

    def __init__(self, rng: random.Random, share: float):
        """Starts at a random point of a phase."""
        self._rng = rng
        self._usual_s = _SLOW_S * (1 - share) / share if share else 0.0
        self._is_slow = rng.random() < share
        self._until = float("inf")
        if share:
            self._until = rng.random() * _SLOW_S

    def __call__(self) -> float:
        """Returns how long work takes now; 1 as usual."""
        while now_s() >= self._until:
            self._is_slow = not self._is_slow
            self._until += (
                _SLOW_S
                if self._is_slow
                else self._rng.expovariate(1 / self._usual_s)
            )
        return _PACE if self._is_slow else 1.0
