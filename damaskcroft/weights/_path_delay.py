"""Measures how long data is queued on the path between two machines.

One-way delays, after "Low Extra Delay Background Transport" (LEDBAT, RFC 6817):
the sender stamps each message with its own clock, and the receiver compares the
difference to its own clock with the smallest difference of recent messages.
Clocks need not agree, because their offset is the same in every difference.
"""

from damaskcroft.clock import now_s

__all__ = ["PathDelay"]

# The base delay is the minimum over this time and the period before it: long
# enough that a queue under control was empty at some moment, short enough to
# recover from a sender whose clock stood still while its machine was frozen.
_BASE_WINDOW_S = 4.0


class PathDelay:
    """Queueing delay of one path, from the time stamps of its messages."""

    __slots__ = ("_base_s", "_base_until", "_previous_base_s")

    def __init__(self) -> None:
        """The path has no base delay until the first message."""
        self._base_s = float("inf")
        self._previous_base_s = float("inf")
        self._base_until = float("-inf")

    def queueing_delay_s(self, sent_at: float) -> float:
        """How much longer than the minimum a message was in transit.

        Args:
            sent_at: the sender's clock when it was sent, in seconds.
        """
        now = now_s()
        difference_s = now - sent_at
        if now >= self._base_until:
            self._previous_base_s = self._base_s
            self._base_s = difference_s
            self._base_until = now + _BASE_WINDOW_S
        self._base_s = min(self._base_s, difference_s)
        return difference_s - min(self._base_s, self._previous_base_s)
