"""Back-off and draining, as targets announce them in their answers.

Both apply to one start of a target (one run of its process), and to this entry
alone: the target may still accept requests of other entries. After a back-off
one request is sent first, and the others follow once it is answered, so that
the back-off doesn't end in a burst (a half-open circuit breaker; Nygard,
"Release It!", 2007).
"""

import math
from collections.abc import Collection

from damaskcroft.clock import now_s
from damaskcroft.observe import log_event, metrics

__all__ = ["BackPressure"]

# A target that asks for a longer back-off is tried again after this time,
# because its answer may be a mistake or its load may have gone.
_MAX_BACK_OFF_S = 300.0


class BackPressure:
    """Targets in back-off and targets that drain, by the id of their start.

    Args:
        drain_s: time from a target's first announcement that it drains until
            no request may arrive there.
    """

    __slots__ = ("_half_open_ids", "_draining_since", "_back_off_until",
                 "_usable_while_draining_s")  # fmt: skip

    def __init__(self, drain_s: float):
        """Starts without back-off or draining."""
        # Half of the time, because a request arrives later than it is sent.
        self._usable_while_draining_s = drain_s / 2
        self._back_off_until: dict[str, float] = {}
        self._half_open_ids: set[str] = set()
        self._draining_since: dict[str, float] = {}

    @property
    def is_active(self) -> bool:
        """Whether any target has asked for back-off or drains; O(1)."""
        return bool(self._back_off_until or self._draining_since)

    def start_back_off(self, target_id: str, for_s: float) -> None:
        """Records that a target refused a request and asked for a back-off."""
        until = now_s() + min(for_s, _MAX_BACK_OFF_S)
        previous_until = self._back_off_until.get(target_id, -math.inf)
        self._back_off_until[target_id] = max(until, previous_until)
        self._half_open_ids.add(target_id)
        if previous_until < now_s():
            metrics.TARGETS_AVOIDED.labels("rest").inc()
            log_event("target_rests", target=target_id, for_s=for_s)

    def start_draining(self, target_id: str) -> None:
        """Records that a target announced that it drains."""
        if target_id in self._draining_since:
            return
        self._draining_since[target_id] = now_s()
        metrics.TARGETS_AVOIDED.labels("leaving").inc()
        log_event("target_says_leaving", target=target_id)

    def record_accepted(self, target_id: str) -> None:
        """Records an accepted request, which ends the half-open state."""
        if self.back_off_left_s(target_id) <= 0:
            self._half_open_ids.discard(target_id)

    def back_off_left_s(self, target_id: str) -> float:
        """Returns the remaining back-off of a target; 0 if there is none."""
        until = self._back_off_until.get(target_id, -math.inf)
        return max(0.0, until - now_s())

    def is_half_open(self, target_id: str) -> bool:
        """Whether a target is half-open: it gets one request at a time."""
        return target_id in self._half_open_ids

    def is_draining(self, target_id: str) -> bool:
        """Whether a target has announced that it drains, which is final."""
        return target_id in self._draining_since

    def accepts_requests(self, target_id: str) -> bool:
        """Whether back-off and draining allow a request to a target."""
        if self.back_off_left_s(target_id) > 0:
            return False
        since = self._draining_since.get(target_id)
        return since is None or now_s() - since < self._usable_while_draining_s

    def retain_only(self, target_ids: Collection[str]) -> None:
        """Drops the state of targets that are gone."""
        for times_by_id in (self._back_off_until, self._draining_since):
            for target_id in times_by_id.keys() - set(target_ids):
                del times_by_id[target_id]
        self._half_open_ids.intersection_update(target_ids)
