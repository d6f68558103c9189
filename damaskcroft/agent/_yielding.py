"""Throttling of weight transfers while live requests have slow first tokens."""

import asyncio

from damaskcroft.observe import log_event, metrics
from damaskcroft.weights import Pacer

_TICK_S = 0.2
_DECREASE = 0.5
_INCREASE = 0.1
_SMOOTHING = 0.3


class LiveGuard:
    """Controls the link share of weight transfers (AIMD).

    Additive increase, multiplicative decrease, after Chiu and Jain, "Analysis
    of the Increase and Decrease Algorithms for Congestion Avoidance in
    Computer Networks" (1989).

    Args:
        limit_s: time to the first token above which weight transfers slow
            down.
        pacers: pacers of the weight transfers.
    """

    def __init__(self, limit_s: float, pacers: list[Pacer]):
        """Starts without measurements; the shares are left as they are."""
        self._limit_s = limit_s
        self._pacers = pacers
        self._smoothed_s = 0.0
        self._has_samples = False

    def record_first_piece(self, took_s: float) -> None:
        """Records the time that one request took to its first body piece."""
        self._has_samples = True
        self._smoothed_s += _SMOOTHING * (took_s - self._smoothed_s)

    async def run(self) -> None:
        """Adjusts the shares until cancelled."""
        while True:
            await asyncio.sleep(_TICK_S)
            slow = self._has_samples and self._smoothed_s > self._limit_s
            self._has_samples = False
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
