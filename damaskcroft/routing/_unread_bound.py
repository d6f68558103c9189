"""How much unread text engines may have, by how late their answers begin.

Engines read prompts between the steps of what they write, and many entries send
to them, so how long some unread text takes depends on their load. What an entry
may have unread over all engines follows the first events that its callers get:
it falls in proportion while these take more of their goal than they should and
rises slowly while they take less (additive increase, multiplicative decrease;
Chiu and Jain, "Analysis of the Increase and Decrease Algorithms for Congestion
Avoidance in Computer Networks", 1989).
"""

import statistics

from damaskcroft.clock import now_s

__all__ = ["UnreadBound"]

# Of what all engines may have unread. Entries whose callers are many need more
# than others.
_MOST = 1.0
_LEAST = 0.02
_RISES_BY = 0.03
_FALLS_TO_AT_LEAST = 0.5
# Of their goal, first events shall take no more than this at engines: the rest
# is for waiting in the queue and for chance.
_GOAL_SHARE = 0.5
# Between two changes an engine reads what it had at the first.
_EVERY_S = 0.25
_MIN_ANSWERS = 4


class UnreadBound:
    """The bound of one entry.

    Attributes:
        part: what this entry may have unread, as a share of what all engines
            may have.
    """

    __slots__ = ("_changed_at", "_shares", "part")

    def __init__(self) -> None:
        """Begins with the highest bound."""
        self.part = _MOST
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
        median = statistics.median(self._shares)
        if median > _GOAL_SHARE:
            falls_to = max(_GOAL_SHARE / median, _FALLS_TO_AT_LEAST)
            self.part = max(_LEAST, self.part * falls_to)
        else:
            self.part = min(_MOST, self.part + _RISES_BY)
        self._shares.clear()
        self._changed_at = now
