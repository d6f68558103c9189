"""Rate limit of one target, kept by its agent for all entries together.

All requests to the target pass its agent, so one token bucket suffices.
"""

from damaskcroft.agent._crashes import TargetWatch
from damaskcroft.limits import LimitHeader, LimitRegistry, RateLimits

__all__ = ["TargetLimit"]


class TargetLimit:
    """Applies the rate limit that one target announces in its answers.

    Args:
        target: numbers the target's starts; each begins without a limit.
    """

    __slots__ = ("_limits", "_target")

    def __init__(self, target: TargetWatch):
        """Starts without a limit."""
        self._target = target
        registry = LimitRegistry()
        self._limits = RateLimits(registry, "", frozenset, registry.merge_all)

    def record_answer(
        self, header: LimitHeader, start: int, sent_at: float
    ) -> None:
        """Records the rate limit that an answer announces.

        Args:
            header: the limit, or that none is announced.
            start: number of the target's start that gave the answer.
            sent_at: loop time at which the request was sent.
        """
        self._limits.record_answer(str(start), header, sent_at)

    def wait_s(self) -> float:
        """Returns the time until a request may be sent; 0 for now."""
        return self._limits.time_to_send_s(str(self._target.start))

    def consume_token(self) -> None:
        """Consumes a token for a request that is about to be sent."""
        self._limits.consume_token(str(self._target.start))
