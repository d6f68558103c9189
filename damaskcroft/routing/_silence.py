"""Detection of targets that send nothing while they have work.

A target that died without a reset, is frozen or is cut off keeps its
connections open and silent. A model engine at work sends something on one of
its streams every few dozen milliseconds, and a plain service answers within
some hundred, so silence on all connections at once reveals the failure sooner
than the deadline of any single request.
"""

import math

from damaskcroft.clock import now_s

__all__ = ["SilenceWatch"]

# Ten pauses between events of a loaded engine, and three times the longest
# work of a plain service; well below the two seconds that callers wait.
_SILENCE_TIMEOUT_S = 0.8
# Interval between two polls, in seconds, above which the silence is attributed
# to this process itself: it was suspended or frozen, or has much to read. Polls
# come every tenth of a second.
_MAX_POLL_GAP_S = _SILENCE_TIMEOUT_S / 2


class _TargetActivity:
    __slots__ = ("busy_since", "last_data_at", "outstanding")

    def __init__(self) -> None:
        self.outstanding = 0
        self.busy_since = 0.0
        self.last_data_at = 0.0


class SilenceWatch:
    """Time of the last data of each target, over all requests under way."""

    __slots__ = ("_last_poll_at", "_polling_since", "_activity_by_id")

    def __init__(self) -> None:
        """Starts without targets."""
        self._activity_by_id: dict[str, _TargetActivity] = {}
        # The last poll, and the first one after this process's last pause.
        self._last_poll_at = -math.inf
        self._polling_since = -math.inf

    def sent(self, target_id: str) -> None:
        """Counts a request that was sent."""
        activity = self._activity_by_id.setdefault(target_id, _TargetActivity())
        if not activity.outstanding:
            activity.busy_since = now_s()
        activity.outstanding += 1

    def ended(self, target_id: str) -> None:
        """Stops counting a request that is no longer under way."""
        activity = self._activity_by_id.get(target_id)
        if activity is None:
            return
        activity.outstanding -= 1
        if not activity.outstanding:
            del self._activity_by_id[target_id]

    def record_data(self, target_id: str) -> None:
        """Records that data was received from a target."""
        activity = self._activity_by_id.get(target_id)
        if activity is not None:
            activity.last_data_at = now_s()

    def has_work(self, target_id: str) -> bool:
        """Whether requests are under way at a target."""
        return target_id in self._activity_by_id

    def silent_s(self, target_id: str) -> float:
        """Returns for how long a target with work has been silent, else 0.

        Time in and before a pause of this process doesn't count, because what
        targets sent in the meantime may not have been read yet.
        """
        activity = self._activity_by_id.get(target_id)
        if activity is None:
            return 0.0
        since = max(
            activity.busy_since, activity.last_data_at, self._polling_since
        )
        return now_s() - since

    def silent_ids(self) -> list[str]:
        """Returns targets that are silent for too long; to be polled often."""
        now = now_s()
        if now - self._last_poll_at > _MAX_POLL_GAP_S:
            self._polling_since = now
        self._last_poll_at = now
        return [
            target_id
            for target_id in self._activity_by_id
            if self.silent_s(target_id) > _SILENCE_TIMEOUT_S
        ]
