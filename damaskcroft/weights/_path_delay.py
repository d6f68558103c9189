"""How long data waits in queues between two machines.

One-way delays, after "Low Extra Delay Background Transport" (LEDBAT, RFC
6817): the sender stamps what it sends by its own clock, and the receiver
compares with the least difference seen lately. Clocks need not agree; what
they differ by is in every difference alike.
"""

from damaskcroft.clock import now_s

__all__ = ["PathDelay"]

# The least difference is taken over this time and the one before it: long
# enough that a queue under control was empty at some moment, short enough to
# get over a machine whose clock stood still while it was frozen.
_BASE_WINDOW_S = 4.0


class PathDelay:
    """Queueing delay of one path, from the stamps of what came over it."""

    __slots__ = ("_base_s", "_base_until", "_last_base_s")

    def __init__(self) -> None:
        """Knows nothing of the path."""
        self._base_s = float("inf")
        self._last_base_s = float("inf")
        self._base_until = float("-inf")

    def queued_s(self, sent_at: float) -> float:
        """How much longer than at best something was on its way.

        Args:
            sent_at: its sender's clock when it was sent, in seconds.
        """
        now = now_s()
        difference_s = now - sent_at
        if now >= self._base_until:
            self._last_base_s = self._base_s
            self._base_s = difference_s
            self._base_until = now + _BASE_WINDOW_S
        self._base_s = min(self._base_s, difference_s)
        return difference_s - min(self._base_s, self._last_base_s)
