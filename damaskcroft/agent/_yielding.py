"""Live requests first: weight traffic yields when first tokens get slow."""

import asyncio

from damaskcroft.observe import log_event, metrics
from damaskcroft.weights import Pacer

_TICK_S = 0.2
_DECREASE = 0.5
_INCREASE = 0.1
_SMOOTHING = 0.3


class LiveGuard:
    """Additive increase, multiplicative decrease of the link's share.

    After Chiu and Jain, "Analysis of the Increase and Decrease Algorithms for
    Congestion Avoidance in Computer Networks" (1989).

    Args:
        limit_s: first-token time above which weight traffic yields.
        pacers: what is slowed.
    """

    def __init__(self, limit_s: float, pacers: list[Pacer]):
        """See the class."""
        self._limit_s = limit_s
        self._pacers = pacers
        self._smoothed_s = 0.0
        self._seen = False

    def first_piece_seen(self, took_s: float) -> None:
        """Takes one request's time to its first body piece."""
        self._seen = True
        self._smoothed_s += _SMOOTHING * (took_s - self._smoothed_s)

    async def run(self) -> None:
        """Adjusts the shares until cancelled."""
        while True:
            await asyncio.sleep(_TICK_S)
            slow = self._seen and self._smoothed_s > self._limit_s
            self._seen = False
            for pacer in self._pacers:
                if slow:
                    pacer.share *= _DECREASE
                else:
                    pacer.share += _INCREASE
            if slow:
                metrics.BURST_YIELDS.inc()
                log_event(
                    "burst_yields",
                    first_token_s=self._smoothed_s,
                    share=self._pacers[0].share,
                )
