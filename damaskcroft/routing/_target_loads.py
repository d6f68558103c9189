"""Estimates of target load, from requests sent here and reported loads.

Many entries share the targets: each entry knows the requests that it has sent
itself, and those of the others only from the load that targets report in their
answers.
"""

import asyncio
import statistics
from collections.abc import Collection, Iterable

from damaskcroft.routing._fleet_fullness import FleetFullness

__all__ = ["TargetLoad", "TargetLoads"]

# A reported load counts in full for this time, because requests that end are
# replaced while a target is full. If it did for as long as requests last, free
# slots of targets that aren't full would be missed.
_REPORT_FRESH_S = 0.75
# After that, its weight halves in each such time.
_REPORT_HALF_LIFE_S = 0.5
# Targets without a recent report are assumed to be as full as the others on
# average, if at least this many have reported within this time: where many
# entries share many targets, each entry receives a report of a given target
# once in a second or two, and targets without one would look empty to all.
_RECENT_REPORT_S = 1.0
_MIN_RECENT_REPORTS = 3
# The assumption stays below full, because otherwise no request would be sent to
# these targets, and no report would come from them.
_MAX_ASSUMED_FULLNESS = 0.95


class TargetLoad:
    """Load of one target, as far as this entry knows it.

    Attributes:
        outstanding: number of this entry's requests under way there.
        suspects: number of those that are suspect: they ran on another target
            when it crashed.
        unread_tokens: length of this entry's prompts that it has not read.
        reported_others: number of other entries' requests, as last reported.
        reported_at: loop time of that report.
        reported_pace: how long work took at the target at that time; 1 as
            usual, 2 for twice as long.
        reported_requests: all requests there, as last reported.
        entry_outstanding: this entry's requests at all targets at that time.
    """

    __slots__ = (
        "entry_outstanding",
        "reported_others",
        "reported_requests",
        "reported_pace",
        "outstanding",
        "suspects",
        "reported_at",
        "unread_tokens",
    )

    def __init__(self) -> None:
        """Starts without requests and without a report."""
        self.outstanding = 0
        self.suspects = 0
        self.unread_tokens = 0
        self.reported_others = 0.0
        self.reported_pace = 1.0
        self.reported_at = float("-inf")
        self.reported_requests = 0
        self.entry_outstanding = 0

    def fullness(self, slots: int, assumed: float, now: float) -> float:
        """Returns the estimated number of requests per slot.

        Args:
            slots: number of requests that the target runs at once.
            assumed: fullness assumed without a recent report.
            now: loop time.
        """
        slots = max(1, slots)
        stale_s = now - self.reported_at - _REPORT_FRESH_S
        if stale_s <= 0:
            return (self.outstanding + self.reported_others) / slots
        weight = 0.5 ** (stale_s / _REPORT_HALF_LIFE_S)
        unreported = max(self.outstanding, assumed * slots)
        reported = self.outstanding + self.reported_others
        return (weight * reported + (1 - weight) * unreported) / slots


class TargetLoads:
    """Loads of targets, by their id."""

    __slots__ = ("_loads_by_id",)

    def __init__(self) -> None:
        """Starts without targets."""
        self._loads_by_id: dict[str, TargetLoad] = {}

    def find(self, target_id: str) -> TargetLoad | None:
        """Returns a target's load; None if nothing is known of it."""
        return self._loads_by_id.get(target_id)

    def get_or_add(self, target_id: str) -> TargetLoad:
        """Returns a target's load for a change, added if it is missing."""
        return self._loads_by_id.setdefault(target_id, TargetLoad())

    @property
    def unread_tokens(self) -> int:
        """Total length of this entry's prompts that no target has read."""
        return sum(load.unread_tokens for load in self._loads_by_id.values())

    @property
    def outstanding(self) -> int:
        """Number of this entry's requests at all targets."""
        return sum(load.outstanding for load in self._loads_by_id.values())

    def fleet_fullness(
        self, slots_by_id: Iterable[tuple[str, int]], now: float
    ) -> FleetFullness:
        """Returns what recent reports say of targets together.

        Args:
            slots_by_id: targets that could run a request, and their slots.
            now: loop time.
        """
        since = now - _RECENT_REPORT_S
        fleet = FleetFullness()
        for target_id, slots in slots_by_id:
            fleet.add_target(slots)
            load = self._loads_by_id.get(target_id)
            if load is not None and load.reported_at >= since:
                fleet.add_report(
                    load.reported_requests / max(1, slots),
                    load.entry_outstanding,
                )
        return fleet

    def assumed_fullness(
        self, slots_by_id: Iterable[tuple[str, int]], now: float
    ) -> float:
        """Returns the mean fullness of recent reports; 0 if there are too few.

        Args:
            slots_by_id: targets that could run a request, and their slots.
            now: loop time.
        """
        since = now - _RECENT_REPORT_S
        fullness_values = []
        for target_id, slots in slots_by_id:
            load = self._loads_by_id.get(target_id)
            if load is not None and load.reported_at >= since:
                requests = load.outstanding + load.reported_others
                fullness_values.append(requests / max(1, slots))
        if len(fullness_values) < _MIN_RECENT_REPORTS:
            return 0.0
        return min(statistics.fmean(fullness_values), _MAX_ASSUMED_FULLNESS)

    def record_report(
        self, target_id: str, requests: int, pace: float = 1.0
    ) -> None:
        """Records the number of requests and the pace that a target reports."""
        load = self.get_or_add(target_id)
        load.reported_pace = pace
        load.reported_requests = requests
        load.entry_outstanding = self.outstanding
        load.reported_others = max(0, requests - load.outstanding)
        load.reported_at = asyncio.get_running_loop().time()

    def retain_only(self, target_ids: Collection[str]) -> None:
        """Drops the loads of targets that are gone."""
        for target_id in list(self._loads_by_id):
            if target_id not in target_ids:
                del self._loads_by_id[target_id]
