"""Targets that say nothing while they have work.

A target that has died without a reset, that is frozen or cut off keeps its
connections open and silent. A model engine at work sends something on one of
its streams every few dozen milliseconds, and a plain service answers within
some hundred, so silence on all connections at once tells sooner than any one
request's deadline.
"""

from damaskcroft.clock import now_s

__all__ = ["SilenceWatch"]

# Ten pauses between events of a loaded engine, and three times the longest
# work of a plain service; well below callers' patience of two seconds.
SILENT_AFTER_S = 0.8


class _Seen:
    __slots__ = ("busy_since", "heard_at", "outstanding")

    def __init__(self) -> None:
        self.outstanding = 0
        self.busy_since = 0.0
        self.heard_at = 0.0


class SilenceWatch:
    """When each target was last heard, over all requests under way there."""

    __slots__ = ("_seen_by_id",)

    def __init__(self) -> None:
        """Knows of no target yet."""
        self._seen_by_id: dict[str, _Seen] = {}

    def sent(self, target_id: str) -> None:
        """Takes note of a request that was sent."""
        seen = self._seen_by_id.setdefault(target_id, _Seen())
        if not seen.outstanding:
            seen.busy_since = now_s()
        seen.outstanding += 1

    def ended(self, target_id: str) -> None:
        """Takes note of a request that is no longer under way."""
        seen = self._seen_by_id.get(target_id)
        if seen is None:
            return
        seen.outstanding -= 1
        if not seen.outstanding:
            del self._seen_by_id[target_id]

    def heard(self, target_id: str) -> None:
        """Takes note of bytes that came from a target."""
        seen = self._seen_by_id.get(target_id)
        if seen is not None:
            seen.heard_at = now_s()

    def silent_s(self, target_id: str) -> float:
        """For how long a target with work has said nothing; 0 without work."""
        seen = self._seen_by_id.get(target_id)
        if seen is None:
            return 0.0
        return now_s() - max(seen.busy_since, seen.heard_at)

    def silent_ids(self) -> list[str]:
        """Targets that have been silent for too long."""
        return [
            target_id
            for target_id in self._seen_by_id
            if self.silent_s(target_id) > SILENT_AFTER_S
        ]
