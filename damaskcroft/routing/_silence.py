"""Targets that say nothing while they have work.

A target that has died without a reset, that is frozen or cut off keeps its
connections open and silent. A model engine at work sends something on one of
its streams every few dozen milliseconds, and a plain service answers within
some hundred, so silence on all connections at once tells sooner than any one
request's deadline.
"""

import math

from damaskcroft.clock import now_s

__all__ = ["SilenceWatch"]

# Ten pauses between events of a loaded engine, and three times the longest
# work of a plain service; well below callers' patience of two seconds.
SILENT_AFTER_S = 0.8
# A pause between two looks, in seconds, after which silence was this process's
# own: it was suspended or frozen, or has much to read. Looks come every tenth
# of a second.
_OWN_PAUSE_S = SILENT_AFTER_S / 2


class _Seen:
    __slots__ = ("busy_since", "heard_at", "outstanding")

    def __init__(self) -> None:
        self.outstanding = 0
        self.busy_since = 0.0
        self.heard_at = 0.0


class SilenceWatch:
    """When each target was last heard, over all requests under way there."""

    __slots__ = ("_looked_at", "_looks_since", "_seen_by_id")

    def __init__(self) -> None:
        """Knows of no target yet."""
        self._seen_by_id: dict[str, _Seen] = {}
        # The last look, and the first after this process's last pause.
        self._looked_at = -math.inf
        self._looks_since = -math.inf

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

    def has_work(self, target_id: str) -> bool:
        """Whether requests are under way at a target."""
        return target_id in self._seen_by_id

    def silent_s(self, target_id: str) -> float:
        """For how long a target with work has said nothing; 0 without work.

        A pause of this process doesn't count, nor what was before it: what
        targets sent meanwhile may still be on its way.
        """
        seen = self._seen_by_id.get(target_id)
        if seen is None:
            return 0.0
        since = max(seen.busy_since, seen.heard_at, self._looks_since)
        return now_s() - since

    def silent_ids(self) -> list[str]:
        """Targets that have been silent for too long; to be asked often."""
        now = now_s()
        if now - self._looked_at > _OWN_PAUSE_S:
            self._looks_since = now
        self._looked_at = now
        return [
            target_id
            for target_id in self._seen_by_id
            if self.silent_s(target_id) > SILENT_AFTER_S
        ]
