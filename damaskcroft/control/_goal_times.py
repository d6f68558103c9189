"""When each version of weights was named, as far as one control node knows."""

import math

from damaskcroft.clock import now_s

__all__ = ["GoalTimes"]

# A version is of no interest once a newer one was named this long ago: several
# times the bound for weights of any deployment, in seconds.
_KEPT_S = 60.0


class GoalTimes:
    """Times of goals on this process's clock, beside the replicated state."""

    __slots__ = ("_accepted", "_named_at")

    def __init__(self) -> None:
        """Knows of no goal."""
        self._named_at: dict[str, dict[int, float]] = {}
        # What this node accepted as leader, by model: some a day.
        self._accepted: dict[str, set[int]] = {}

    def accept(self, model: str, version: int) -> None:
        """Notes that this node itself has had a version committed just now."""
        self._accepted.setdefault(model, set()).add(version)

    def is_accepted(self, model: str, version: int) -> bool:
        """Whether a version's time is its acceptance's, and no replay's."""
        return version in self._accepted.get(model, ())

    def name(self, model: str, version: int) -> None:
        """Notes that a version has been named now."""
        named_at = self._named_at.setdefault(model, {})
        named_at[version] = now_s()
        self._forget_before(named_at)

    def restore(self, model: str, version: int) -> None:
        """Notes a version that may have been named at any time before."""
        named_at = self._named_at.setdefault(model, {})
        named_at.setdefault(version, -math.inf)
        self._forget_before(named_at)

    def of(self, model: str) -> list[tuple[int, float]]:
        """Versions that may still matter, oldest first, each with its time.

        The time is minus infinity where it isn't known.
        """
        return sorted(self._named_at.get(model, {}).items())

    def _forget_before(self, named_at: dict[int, float]) -> None:
        # A time that isn't known here settles nothing: another node may know.
        limit = now_s() - _KEPT_S
        settled = max(
            (v for v, at in named_at.items() if -math.inf < at <= limit),
            default=0,
        )
        for version in [v for v in named_at if v < settled]:
            del named_at[version]
