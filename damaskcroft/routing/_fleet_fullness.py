"""Estimate of the fullness of all targets of a service together.

It is for loads that rise past the capacity of the targets within a second, at
many entries at once. An entry hears of each target only now and then, so that
some targets always look as if they had room, and requests of all entries then
wait at targets, first come, first served. The mean of recent reports is known
well, and lags by about a second. In this time other entries' requests are taken
to grow as this entry's own do.
"""

__all__ = ["FleetFullness"]

# Mean reports are used if at least this many are recent.
_MIN_REPORTS = 6
# Below this the targets together are not about to be full: one entry's burst is
# no sign of others.
_MIN_FULLNESS = 0.7
# From this on the targets together have no room.
_FULL = 1.0
# Part of an entry's equal share of all slots by which its own requests are
# smoothed, because a few requests more or less show no growth.
_SMOOTHING_SHARE = 0.25


class FleetFullness:
    """Sums over targets that have recently reported."""

    __slots__ = ("_entry_outstanding", "_fullness", "_reports", "_slots")

    def __init__(self) -> None:
        """Starts without reports."""
        self._reports = 0
        self._fullness = 0.0
        self._entry_outstanding = 0
        self._slots = 0

    def add_target(self, slots: int) -> None:
        """Adds a target's slots."""
        self._slots += slots

    def add_report(self, fullness: float, entry_outstanding: int) -> None:
        """Adds a recent report.

        Args:
            fullness: requests per slot that a target reported.
            entry_outstanding: this entry's requests at all targets then.
        """
        self._reports += 1
        self._fullness += fullness
        self._entry_outstanding += entry_outstanding

    def has_room(self, entry_outstanding: int, entries: int) -> bool:
        """Whether targets together should have room for another request.

        Args:
            entry_outstanding: this entry's requests at all targets now.
            entries: number of entries that share the targets.
        """
        if self._reports < _MIN_REPORTS:
            return True
        fullness = self._fullness / self._reports
        if fullness < _MIN_FULLNESS:
            return True
        smoothing = _SMOOTHING_SHARE * self._slots / max(1, entries)
        reported_outstanding = self._entry_outstanding / self._reports
        growth = (entry_outstanding + smoothing) / max(
            1.0, reported_outstanding + smoothing
        )
        return fullness * growth < _FULL
