"""Keeps the queue at the sending machine's link short.

Answers to callers wait in that queue behind weights. Receivers report how long
parts were queued on their way; the queueing delay that all receivers see is
that of the sender's own queue.
"""

from damaskcroft.clock import now_s
from damaskcroft.weights._pacer import Pacer

__all__ = ["UploadRate"]

# Queueing delay that is aimed at: two parts of 18 ms. The pauses and delays
# that callers notice are tenths of a second.
_TARGET_QUEUEING_DELAY_S = 0.04
# Reports up to this age are compared: a few parts from each receiver.
_REPORT_LIFETIME_S = 0.15
# Minimum time between two decreases of the rate, because a decrease takes
# effect only after the present queue has drained.
_MIN_DECREASE_INTERVAL_S = 0.06
_DECREASE_FACTOR = 0.92
# Increase for each part that was not queued: from half the rate back to the
# full rate in a second.
_INCREASE_SHARE = 0.01


class UploadRate:
    """Sets a pacer's share from the queueing delays that receivers report.

    Args:
        pacer: paces all weights that this machine sends.
    """

    __slots__ = ("_decreased_at", "_pacer", "_reports_by_receiver")

    def __init__(self, pacer: Pacer):
        """No receiver has reported at first."""
        self._pacer = pacer
        self._decreased_at = float("-inf")
        self._reports_by_receiver: dict[str, tuple[float, float]] = {}

    def record_queueing_delay(self, receiver: str, queued_s: float) -> None:
        """Adjusts the rate to one receiver's report on its last part.

        Args:
            receiver: the receiver that reports.
            queued_s: how much longer than the minimum the part was in transit.
        """
        now = now_s()
        self._reports_by_receiver[receiver] = (now, queued_s)
        for other, (reported_at, _) in list(self._reports_by_receiver.items()):
            if now - reported_at > _REPORT_LIFETIME_S:
                del self._reports_by_receiver[other]
        own_queue_s = min(
            queued for _, queued in self._reports_by_receiver.values()
        )
        if own_queue_s <= _TARGET_QUEUEING_DELAY_S:
            self._pacer.share += _INCREASE_SHARE
        elif now - self._decreased_at >= _MIN_DECREASE_INTERVAL_S:
            self._pacer.share *= _DECREASE_FACTOR
            self._decreased_at = now
