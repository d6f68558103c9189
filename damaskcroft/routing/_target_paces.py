"""How long work takes at targets now, compared with what is usual there.

Targets that share their machines with other work slow down for fractions of a
second to seconds. Two things show it: the pace that a target reports in the
heads of its answers, and the gaps between the events that it writes. Heads are
rare where many entries share the targets, and late from a slow one; gaps come
many times a second, but only from targets that answer this entry.
"""

import asyncio
from collections.abc import Collection

from damaskcroft.observe import log_event, metrics

__all__ = ["TargetPaces"]

_USUAL = 1.0
# Slower than this, and a target counts as slow. An engine that reads a prompt
# between two events takes about this long for them.
_SLOW = 1.6
# Bound on what one observation may claim.
_MAX_PACE = 4.0
# What is known of a slow target loses half of its weight in this time, or in
# the time for which the target has been slow without a break, if that is
# longer: what has lasted goes on for about as long again.
_MIN_HALF_LIFE_S = 0.5
_MAX_HALF_LIFE_S = 4.0
# Step of the running median of gaps: it covers a factor of two in 35 events.
_MEDIAN_STEP = 0.02
# Events this close, as a share of the usual gap, were written in one pass of
# the engine, and tell no more than one of them.
_SAME_PASS_SHARE = 0.25
# A target that is slow for this long is logged, once.
_LOGGED_AFTER_S = 5.0


class _TargetPace:
    __slots__ = (
        "half_life_s",
        "is_logged",
        "last_gap_at",
        "last_gap_s",
        "observed_at",
        "pace",
        "slow_since",
    )

    def __init__(self) -> None:
        self.pace = _USUAL
        self.observed_at = float("-inf")
        self.half_life_s = _MIN_HALF_LIFE_S
        self.slow_since: float | None = None
        self.is_logged = False
        self.last_gap_s = 0.0
        self.last_gap_at = float("-inf")


class TargetPaces:
    """Paces of targets: 1 as usual, 2 for twice as long.

    Attributes:
        is_active: whether any target has reported another pace than the usual;
            before that, gaps are ignored and all paces are the usual one.
    """

    __slots__ = ("_paces_by_id", "_usual_gap_s_by_service", "is_active")

    def __init__(self) -> None:
        """Starts with all targets as usual."""
        self.is_active = False
        self._paces_by_id: dict[str, _TargetPace] = {}
        self._usual_gap_s_by_service: dict[str, float] = {}

    def record_report(self, target_id: str, pace: float) -> None:
        """Records the pace that a target reports."""
        if pace != _USUAL:
            self.is_active = True
        if self.is_active:
            self._observe(target_id, self._get_or_add(target_id), pace)

    def record_gap(self, service: str, target_id: str, gap_s: float) -> None:
        """Records the time between two events of an answer.

        Args:
            service: service of the target; its targets are compared.
            target_id: the target that wrote them.
            gap_s: how long the target took for the second.
        """
        if not self.is_active:
            return
        usual_gap_s = self._usual_gap_s_by_service.get(service, gap_s)
        step = _MEDIAN_STEP if gap_s > usual_gap_s else -_MEDIAN_STEP
        self._usual_gap_s_by_service[service] = usual_gap_s * (1 + step)
        state = self._get_or_add(target_id)
        now = asyncio.get_running_loop().time()
        if now - state.last_gap_at < usual_gap_s * _SAME_PASS_SHARE:
            return
        # The shorter of two gaps in a row: one prompt that is read lengthens
        # one gap, a slow machine lengthens all.
        shorter_s = min(gap_s, state.last_gap_s)
        state.last_gap_s, state.last_gap_at = gap_s, now
        pace = shorter_s / usual_gap_s if usual_gap_s else _USUAL
        self._observe(target_id, state, pace)

    def pace(self, target_id: str, now: float) -> float:
        """Returns a target's pace now, as far as it is known; at least 1."""
        state = self._paces_by_id.get(target_id)
        if state is None or state.slow_since is None:
            return _USUAL
        age_s = now - state.observed_at
        excess = state.pace - _USUAL
        return float(_USUAL + excess * 0.5 ** (age_s / state.half_life_s))

    def is_slow(self, target_id: str) -> bool:
        """Whether a target counts as slow now."""
        if not self.is_active:
            return False
        return self.pace(target_id, asyncio.get_running_loop().time()) >= _SLOW

    def retain_only(self, target_ids: Collection[str]) -> None:
        """Drops the paces of targets that are gone."""
        for target_id in list(self._paces_by_id):
            if target_id not in target_ids:
                del self._paces_by_id[target_id]

    def _get_or_add(self, target_id: str) -> _TargetPace:
        state = self._paces_by_id.get(target_id)
        if state is None:
            state = self._paces_by_id[target_id] = _TargetPace()
        return state

    def _observe(self, target_id: str, state: _TargetPace, pace: float) -> None:
        if pace < _SLOW:
            state.slow_since = None
            state.is_logged = False
            return
        now = asyncio.get_running_loop().time()
        if state.slow_since is None:
            state.slow_since = now
        slow_s = now - state.slow_since
        state.pace = min(pace, _MAX_PACE)
        state.observed_at = now
        state.half_life_s = min(max(slow_s, _MIN_HALF_LIFE_S), _MAX_HALF_LIFE_S)
        if slow_s >= _LOGGED_AFTER_S and not state.is_logged:
            state.is_logged = True
            metrics.TARGETS_SLOW_FOR_LONG.inc()
            log_event("target_slow", target=target_id, pace=pace, slow_s=slow_s)
