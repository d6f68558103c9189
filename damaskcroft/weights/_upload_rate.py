"""Keeps the queue before the sending machine's link short.

Callers' answers wait in that queue behind weights. Receivers tell how long
parts were queued on their way; the part of it that all of them see is the
sender's own queue.
"""

from damaskcroft.clock import now_s
from damaskcroft.weights._pacer import Pacer

__all__ = ["UploadRate"]

# Queueing that is aimed at: two parts of 18 ms. Callers' pauses and delays are
# counted in tenths of a second.
_TARGET_QUEUE_S = 0.04
# What receivers told within this time is compared: a few parts from each.
_HEARD_WITHIN_S = 0.15
# At most so often the rate is cut, since a cut shows only after the queue that
# is there has drained.
_CUT_EVERY_S = 0.06
_CUT = 0.92
# For each part that was not queued: back to the full rate from half in a
# second.
_GROWTH = 0.01


class UploadRate:
    """Sets a pacer's share by what receivers tell.

    Args:
        pacer: paces all that this machine sends of weights.
    """

    __slots__ = ("_cut_at", "_heard_by_receiver", "_pacer")

    def __init__(self, pacer: Pacer):
        """See the class."""
        self._pacer = pacer
        self._cut_at = float("-inf")
        self._heard_by_receiver: dict[str, tuple[float, float]] = {}

    def heard(self, receiver: str, queued_s: float) -> None:
        """Takes one receiver's word on its last part.

        Args:
            receiver: who tells.
            queued_s: how much longer than at best that part took.
        """
        now = now_s()
        self._heard_by_receiver[receiver] = (now, queued_s)
        for other, (at, _) in list(self._heard_by_receiver.items()):
            if now - at > _HEARD_WITHIN_S:
                del self._heard_by_receiver[other]
        own_s = min(queued for _, queued in self._heard_by_receiver.values())
        if own_s <= _TARGET_QUEUE_S:
            self._pacer.share += _GROWTH
        elif now - self._cut_at >= _CUT_EVERY_S:
            self._pacer.share *= _CUT
            self._cut_at = now
