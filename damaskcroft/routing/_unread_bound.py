"""How much unread text engines may have, by how late their answers begin.

Engines read prompts between the steps of what they write, so how long some
unread text takes depends on their load. The bound follows the first events that
callers get: it falls by a share while these take more of their goal than they
should and rises slowly while they take less (additive increase, multiplicative
decrease; Chiu and Jain, "Analysis of the Increase and Decrease Algorithms for
Congestion Avoidance in Computer Networks", 1989).
"""

import statistics

from damaskcroft.clock import now_s

__all__ = ["UnreadBound"]

# As the time that reading takes at best, over all entries.
_MOST_S = 0.12
_LEAST_S = 0.02
_RISES_BY_S = 0.01
_FALLS_TO = 0.8
# Of their goal, first events shall take no more than this at engines: the rest
# is for waiting in the queue and for chance.
_GOAL_SHARE = 0.5
# Between two changes an engine reads what it had at the first.
_EVERY_S = 0.25
_MIN_ANSWERS = 4


class UnreadBound:
    """The bound of one entry.

    Attributes:
        unread_s: text that may be unread at each engine over all entries, as
            the time in seconds that reading it takes at best.
    """

    __slots__ = ("_changed_at", "_shares", "unread_s")

    def __init__(self) -> None:
        """Begins with the highest bound."""
        self.unread_s = _MOST_S
        self._shares: list[float] = []
        self._changed_at = 0.0

    def note(self, took_s: float, goal_s: float) -> None:
        """Takes how long an engine needed to begin an answer.

        Args:
            took_s: from sending the request to its first event.
            goal_s: the goal for that; 0 for none.
        """
        if not goal_s:
            return
        self._shares.append(took_s / goal_s)
        now = now_s()
        is_due = now - self._changed_at >= _EVERY_S
        if not is_due or len(self._shares) < _MIN_ANSWERS:
            return
        if statistics.median(self._shares) > _GOAL_SHARE:
            self.unread_s = max(_LEAST_S, self.unread_s * _FALLS_TO)
        else:
            self.unread_s = min(_MOST_S, self.unread_s + _RISES_BY_S)
        self._shares.clear()
        self._changed_at = now
