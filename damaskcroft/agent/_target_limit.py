"""The rate that an agent's target names; the agent is its only sender."""

from damaskcroft.agent._crashes import TargetWatch
from damaskcroft.limits import LimitBook, LimitWord, RateLimits

__all__ = ["TargetLimit"]


class TargetLimit:
    """Keeps the rate of one target, for all entries together.

    Args:
        target: tells its starts apart; a new one begins without a limit.
    """

    __slots__ = ("_limits", "_target")

    def __init__(self, target: TargetWatch):
        """See the class."""
        self._target = target
        book = LimitBook()
        self._limits = RateLimits(book, "", frozenset, book.take_all)

    def answered(self, word: LimitWord, start: int, sent_at: float) -> None:
        """Takes what an answer says.

        Args:
            word: the limit, or that none is named.
            start: number of the target's start that was asked.
            sent_at: loop time at which the request was sent.
        """
        self._limits.answered(str(start), word, sent_at)

    def wait_s(self) -> float:
        """Until the target takes a request; 0 if it does now."""
        return self._limits.waits_s(str(self._target.start))

    def sending(self) -> None:
        """Takes a token for a request that is about to be sent."""
        self._limits.sending(str(self._target.start))
