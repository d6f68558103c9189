"""Division of scarce slots among priorities, with a floor for each of them.

It is for loads above the capacity of the targets. More urgent requests often
have shorter latency objectives, so that they are the first to be refused as too
late, and the slots that they would need go to less urgent ones, which can wait
for longer. So while requests of a priority lack room, less urgent ones are held
back, down to a floor: each priority is granted slots at least a fixed part as
often as all requests together (a reservation as in weighted fair queueing;
Demers, Keshav and Shenker, "Analysis and Simulation of a Fair Queueing
Algorithm", 1989).

Requests are counted as they arrive, so a retry of a refused caller counts
again: the floor is one of requests, not of callers.
"""

import math

from damaskcroft.clock import now_s
from damaskcroft.routing._decay import Decay

__all__ = ["PriorityShares"]

# A priority lacks room for this time after one of its requests was too late or
# refused, as for a standing queue.
_PRESSED_S = 1.0
# Lowest share of granted requests of a priority, relative to that of all: twice
# what callers of any kind must get, since an entry sees only a part of them.
_FLOOR = 0.55
# With fewer requests of a priority its share is not known.
_MIN_ASKED = 2.0


class _Level:
    """Decayed counts of one priority.

    Attributes:
        asked: requests that arrived.
        granted: requests that got a slot.
        pressed_at: time at which one last lacked room.
    """

    __slots__ = ("asked", "granted", "pressed_at")

    def __init__(self) -> None:
        self.asked = self.granted = 0.0
        self.pressed_at = -math.inf


class PriorityShares:
    """Requests and grants of one service at one entry, by priority."""

    __slots__ = ("_decay", "_levels_by_priority")

    def __init__(self) -> None:
        """Starts without requests."""
        self._levels_by_priority: dict[int, _Level] = {}
        self._decay = Decay()

    def record_arrival(self, priority: int) -> None:
        """Counts a request that has arrived."""
        self._level(priority).asked += 1

    def record_grant(self, priority: int) -> None:
        """Counts a request that has got a slot."""
        self._level(priority).granted += 1

    def record_pressed(self, priority: int) -> None:
        """Notes that a request lacks room or was refused for lack of it."""
        self._level(priority).pressed_at = now_s()

    @property
    def is_pressed(self) -> bool:
        """Whether requests of any priority have just lacked room."""
        since = now_s() - _PRESSED_S
        return any(
            level.pressed_at >= since
            for level in self._levels_by_priority.values()
        )

    def is_held_back(self, priority: int) -> bool:
        """Whether slots are left to requests of more urgent priorities."""
        since = now_s() - _PRESSED_S
        is_pressed = any(
            level.pressed_at >= since
            for other, level in self._levels_by_priority.items()
            if other < priority
        )
        return is_pressed and priority not in self.below_floor()

    def below_floor(self) -> frozenset[int]:
        """Returns the priorities that are granted less often than the floor."""
        self._decay_counts()
        levels = self._levels_by_priority.values()
        asked = sum(level.asked for level in levels)
        if not asked:
            return frozenset()
        floor = _FLOOR * sum(level.granted for level in levels) / asked
        return frozenset(
            priority
            for priority, level in self._levels_by_priority.items()
            if level.asked >= _MIN_ASKED and level.granted < floor * level.asked
        )

    def _level(self, priority: int) -> _Level:
        self._decay_counts()
        level = self._levels_by_priority.get(priority)
        if level is None:
            level = self._levels_by_priority[priority] = _Level()
        return level

    def _decay_counts(self) -> None:
        factor = self._decay.take_factor()
        if factor is None:
            return
        for level in self._levels_by_priority.values():
            level.asked *= factor
            level.granted *= factor
