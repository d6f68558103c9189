"""What targets ask of this entry in their answers: rest, and to be left.

Both hold for one start of a target, and for this entry alone: another one may
be welcome there. After a rest one request goes first, and the others follow
once it was answered, so that the rest doesn't end in a burst (a half-open
circuit breaker; Nygard, "Release It!", 2007).
"""

import math
from collections.abc import Collection

from damaskcroft.clock import now_s
from damaskcroft.observe import log_event, metrics

__all__ = ["BackPressure"]

# A target that asks for more is tried again by then: what it asks for may be a
# mistake, or its load be gone.
_MAX_REST_S = 300.0


class BackPressure:
    """Targets that asked to be left alone, by their start.

    Args:
        drain_s: from the first word of leaving until nothing may be sent.
    """

    __slots__ = ("_half_open_ids", "_leaving_since", "_rests_until",
                 "_used_while_leaving_s")  # fmt: skip

    def __init__(self, drain_s: float):
        """Nobody has asked for anything yet."""
        # A request that is sent now arrives a little later.
        self._used_while_leaving_s = drain_s / 2
        self._rests_until: dict[str, float] = {}
        self._half_open_ids: set[str] = set()
        self._leaving_since: dict[str, float] = {}

    @property
    def is_any(self) -> bool:
        """Whether any target has asked for anything; costs nothing to ask."""
        return bool(self._rests_until or self._leaving_since)

    def rest(self, target_id: str, for_s: float) -> None:
        """A target refused a request, and wants none for some seconds."""
        until = now_s() + min(for_s, _MAX_REST_S)
        known = self._rests_until.get(target_id, -math.inf)
        self._rests_until[target_id] = max(until, known)
        self._half_open_ids.add(target_id)
        if known < now_s():
            metrics.TARGETS_LEFT_ALONE.labels("rest").inc()
            log_event("target_rests", target=target_id, for_s=for_s)

    def leaving(self, target_id: str) -> None:
        """A target said that it leaves."""
        if target_id in self._leaving_since:
            return
        self._leaving_since[target_id] = now_s()
        metrics.TARGETS_LEFT_ALONE.labels("leaving").inc()
        log_event("target_says_leaving", target=target_id)

    def answered(self, target_id: str) -> None:
        """A target took a request; one that was tried takes others again."""
        if self.rests_s(target_id) <= 0:
            self._half_open_ids.discard(target_id)

    def rests_s(self, target_id: str) -> float:
        """For how long a target wants no request; 0 if it takes them."""
        until = self._rests_until.get(target_id, -math.inf)
        return max(0.0, until - now_s())

    def takes_one(self, target_id: str) -> bool:
        """Whether a target should get no second request beside a first."""
        return target_id in self._half_open_ids

    def is_leaving(self, target_id: str) -> bool:
        """Whether a target said that it leaves; it stays so."""
        return target_id in self._leaving_since

    def may_be_sent(self, target_id: str) -> bool:
        """Whether a request may be sent to a target at all."""
        if self.rests_s(target_id) > 0:
            return False
        since = self._leaving_since.get(target_id)
        return since is None or now_s() - since < self._used_while_leaving_s

    def forget_all_but(self, target_ids: Collection[str]) -> None:
        """Drops what is known of targets that are gone."""
        for known in (self._rests_until, self._leaving_since):
            for target_id in known.keys() - set(target_ids):
                del known[target_id]
        self._half_open_ids.intersection_update(target_ids)
