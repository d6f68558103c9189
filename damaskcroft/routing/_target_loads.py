"""How full targets are, by what an entry has sent them and what they told.

Written for targets that many entries share: each entry knows what it has sent
itself, and what the others have sent only from the load that targets tell in
their answers.
"""

import asyncio
import statistics
from collections.abc import Collection, Iterable

__all__ = ["TargetLoad", "TargetLoads"]

# What a target told of its load holds for a while, since whoever ends is
# replaced while a target is full. Held for as long as requests last, free
# slots would be missed where it isn't.
_REPORT_HOLDS_S = 0.75
# Later it counts for half as much with each such time.
_REPORT_HALF_LIFE_S = 0.5
# Targets that have told nothing lately are taken to be as full as the others on
# average, as far as so many have told something within that time: where many
# entries share many targets, each hears of one of them once in a second or two,
# and those that it has not heard of would look empty to all.
_HEARD_WITHIN_S = 1.0
_MIN_HEARD = 3
# But not quite full, or nobody would hear of them again.
_MOST_ASSUMED = 0.95


class TargetLoad:
    """What this entry knows of one target's load.

    Attributes:
        outstanding: requests of this entry under way there.
        suspects: those of them that other targets have crashed under.
        unread_tokens: prompts of this entry that it has not read.
        others: requests of other entries, as told last.
        told_at: when that was.
    """

    __slots__ = (
        "others",
        "outstanding",
        "suspects",
        "told_at",
        "unread_tokens",
    )

    def __init__(self) -> None:
        """Nothing is known."""
        self.outstanding = 0
        self.suspects = 0
        self.unread_tokens = 0
        self.others = 0.0
        self.told_at = float("-inf")

    def fullness(self, slots: int, usual: float, now: float) -> float:
        """Estimated requests for each of its slots.

        Args:
            slots: requests that it runs at once.
            usual: what it is taken to be where nothing is known.
            now: loop time.
        """
        slots = max(1, slots)
        stale_s = now - self.told_at - _REPORT_HOLDS_S
        if stale_s <= 0:
            return (self.outstanding + self.others) / slots
        known = 0.5 ** (stale_s / _REPORT_HALF_LIFE_S)
        unheard = max(self.outstanding, usual * slots)
        told = self.outstanding + self.others
        return (known * told + (1 - known) * unheard) / slots


class TargetLoads:
    """Loads of targets, by their id."""

    __slots__ = ("_loads_by_id",)

    def __init__(self) -> None:
        """Knows no target."""
        self._loads_by_id: dict[str, TargetLoad] = {}

    def find(self, target_id: str) -> TargetLoad | None:
        """What is known of a target; None for nothing."""
        return self._loads_by_id.get(target_id)

    def of(self, target_id: str) -> TargetLoad:
        """A target's load, to be changed."""
        return self._loads_by_id.setdefault(target_id, TargetLoad())

    @property
    def unread_tokens(self) -> int:
        """Prompts of this entry that no target has read."""
        return sum(load.unread_tokens for load in self._loads_by_id.values())

    def usual_fullness(
        self, slots_by_id: Iterable[tuple[str, int]], now: float
    ) -> float:
        """How full those are that told something lately; 0 if few did.

        Args:
            slots_by_id: targets that could run a request, and their slots.
            now: loop time.
        """
        since = now - _HEARD_WITHIN_S
        heard = []
        for target_id, slots in slots_by_id:
            load = self._loads_by_id.get(target_id)
            if load is not None and load.told_at >= since:
                requests = load.outstanding + load.others
                heard.append(requests / max(1, slots))
        if len(heard) < _MIN_HEARD:
            return 0.0
        return min(statistics.fmean(heard), _MOST_ASSUMED)

    def told(self, target_id: str, requests: int) -> None:
        """Takes a target's own word on how many requests it has."""
        load = self.of(target_id)
        load.others = max(0, requests - load.outstanding)
        load.told_at = asyncio.get_running_loop().time()

    def forget_all_but(self, target_ids: Collection[str]) -> None:
        """Drops what is known of targets that are gone."""
        for target_id in list(self._loads_by_id):
            if target_id not in target_ids:
                del self._loads_by_id[target_id]
