"""When desired versions of weights were set, as far as one node knows."""

import math

from damaskcroft.clock import now_s

__all__ = ["DesiredVersionTimes"]

# A version is dropped once a newer one was set this long ago: several times the
# longest time within which any deployment must switch its weights.
_RETENTION_S = 60.0


class DesiredVersionTimes:
    """Times on the clock of this process; not part of the replicated state."""

    __slots__ = ("_accepted_by_model", "_set_at_by_model")

    def __init__(self) -> None:
        """Starts without a version of any model."""
        self._set_at_by_model: dict[str, dict[int, float]] = {}
        # Versions that this node accepted as the leader: a few a day.
        self._accepted_by_model: dict[str, set[int]] = {}

    def mark_accepted(self, model: str, version: int) -> None:
        """Notes that this node, as the leader, has just committed a version."""
        self._accepted_by_model.setdefault(model, set()).add(version)

    def is_accepted_here(self, model: str, version: int) -> bool:
        """Whether the time of a version is that of its acceptance.

        A time noted while the log is replayed may be much later.
        """
        return version in self._accepted_by_model.get(model, ())

    def record_set(self, model: str, version: int) -> None:
        """Notes that a version has been set now."""
        set_at_by_version = self._set_at_by_model.setdefault(model, {})
        set_at_by_version[version] = now_s()
        self._drop_superseded(set_at_by_version)

    def record_restored(self, model: str, version: int) -> None:
        """Notes a version that was set at an unknown time in the past."""
        set_at_by_version = self._set_at_by_model.setdefault(model, {})
        set_at_by_version.setdefault(version, -math.inf)
        self._drop_superseded(set_at_by_version)

    def retained(self, model: str) -> list[tuple[int, float]]:
        """Versions not yet dropped, oldest first, with the times they were set.

        An unknown time is minus infinity.
        """
        return sorted(self._set_at_by_model.get(model, {}).items())

    def _drop_superseded(self, set_at_by_version: dict[int, float]) -> None:
        # A version of unknown age supersedes no older ones, because another
        # node may know that it was set recently.
        latest_set_at = now_s() - _RETENTION_S
        superseding = max(
            (
                v
                for v, at in set_at_by_version.items()
                if -math.inf < at <= latest_set_at
            ),
            default=0,
        )
        for version in [v for v in set_at_by_version if v < superseding]:
            del set_at_by_version[version]
