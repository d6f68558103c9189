"""Bound on unread prompts at engines, controlled by the time to first event.

Engines read prompts between the steps of the answers that they write, and many
entries send to them, so the time to read a prompt depends on their load. The
bound on the text that an entry may have unread over all engines follows the
time to first event of its requests: it falls in proportion while this takes
more than its share of the latency objective, and rises slowly while it takes
less (additive increase, multiplicative decrease; Chiu and Jain, "Analysis of
the Increase and Decrease Algorithms for Congestion Avoidance in Computer
Networks", 1989).
"""

import statistics

from damaskcroft.clock import now_s

__all__ = ["UnreadBound"]

# Bounds, as shares of the text that all engines may have unread. Entries with
# many callers need a larger share than others.
_MAX_BOUND = 1.0
_MIN_BOUND = 0.02
_INCREASE = 0.03
_MIN_DECREASE_FACTOR = 0.5
# Maximum share of the latency objective that first events should take at
# engines: the remainder is for waiting in the queue and for variance.
_MAX_OBJECTIVE_SHARE = 0.5
# In the interval between two changes an engine reads the prompts that it had at
# the first.
_UPDATE_INTERVAL_S = 0.25
_MIN_ANSWERS = 4


class UnreadBound:
    """The bound of one entry.

    Attributes:
        share: the text that this entry may have unread, as a share of what all
            engines may have unread.
    """

    __slots__ = ("_changed_at", "_objective_shares", "share")

    def __init__(self) -> None:
        """Starts with the highest bound."""
        self.share = _MAX_BOUND
        self._objective_shares: list[float] = []
        self._changed_at = 0.0

    def record(self, took_s: float, latency_objective_s: float) -> None:
        """Records how long an engine needed to begin an answer.

        Args:
            took_s: time from sending the request to its first event.
            latency_objective_s: the request's latency objective; 0 for none.
        """
        if not latency_objective_s:
            return
        self._objective_shares.append(took_s / latency_objective_s)
        now = now_s()
        is_update_due = now - self._changed_at >= _UPDATE_INTERVAL_S
        if not is_update_due or len(self._objective_shares) < _MIN_ANSWERS:
            return
        median = statistics.median(self._objective_shares)
        if median > _MAX_OBJECTIVE_SHARE:
            factor = max(_MAX_OBJECTIVE_SHARE / median, _MIN_DECREASE_FACTOR)
            self.share = max(_MIN_BOUND, self.share * factor)
        else:
            self.share = min(_MAX_BOUND, self.share + _INCREASE)
        self._objective_shares.clear()
        self._changed_at = now
