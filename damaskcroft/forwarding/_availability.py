"""Targets of a service that accept a request now, or when one will.

Leaves out targets that have requested a back-off, are leaving, have reached
their rate limit, or are cold and get all that this entry may send them.
"""

import random

from damaskcroft.forwarding._services import Services
from damaskcroft.limits import ColdTargets, RateLimits
from damaskcroft.routing import BackPressure, Candidate, TargetsUnavailable

__all__ = ["Availability", "spread_retry_after_s"]

# Callers that are refused together get Retry-After times that are spread over
# this additional share of the wait.
_RETRY_AFTER_SPREAD = 0.5


class Availability:
    """Filters the targets that could run a request by what they accept.

    Args:
        services: targets that could run a request.
        back_pressure: back-off and leaving that targets have announced.
        limits: rate limits of targets.
        cold_targets: limits of cold targets.
    """

    __slots__ = ("_back_pressure", "_cold_targets", "_limits", "_services")

    def __init__(
        self,
        services: Services,
        back_pressure: BackPressure,
        limits: RateLimits,
        cold_targets: ColdTargets,
    ):
        """Stores the sources of the filters."""
        self._services = services
        self._back_pressure = back_pressure
        self._limits = limits
        self._cold_targets = cold_targets

    def candidates(
        self,
        service: str,
        model: str,
        allowed_regions: frozenset[str] | None = None,
    ) -> list[Candidate]:
        """Targets that accept a request now.

        Targets that are leaving are used only while there is no other.

        Args:
            service: name of the service.
            model: requested model; empty for services without models.
            allowed_regions: regions of the targets; None for all.
        """
        candidates = self._services.candidates(service, model, allowed_regions)
        if not self._has_restrictions:
            return candidates
        accepting = [
            candidate
            for candidate in candidates
            if self._back_pressure.accepts_requests(candidate.id)
            and not self._time_to_send_s(candidate.id)
        ]
        staying = [
            candidate
            for candidate in accepting
            if not self._back_pressure.is_draining(candidate.id)
        ]
        return staying or accepting

    def closed(
        self,
        service: str,
        model: str,
        before: int,
        allowed_regions: frozenset[str] | None = None,
    ) -> TargetsUnavailable | None:
        """Why no target accepts a request; None if one does or none exists.

        Args:
            service: name of the service.
            model: requested model; empty for services without models.
            before: how many requests are ahead in the queue.
            allowed_regions: regions of the targets; None for all.
        """
        if not self._has_restrictions or self.candidates(
            service, model, allowed_regions
        ):
            return None
        staying_ids = [
            candidate.id
            for candidate in self._services.candidates(
                service, model, allowed_regions
            )
            if not self._back_pressure.is_draining(candidate.id)
        ]
        if not staying_ids:
            return None
        open_ids = [
            target_id
            for target_id in staying_ids
            if not self._back_pressure.back_off_left_s(target_id)
        ]
        if not open_ids:
            back_off_left_s = min(
                map(self._back_pressure.back_off_left_s, staying_ids)
            )
            return TargetsUnavailable(
                "resting", back_off_left_s, back_off_left_s
            )
        time_to_send_s = min(map(self._time_to_send_s, open_ids))
        retry_in_s = min(map(self._retry_in_s, open_ids))
        share_s = sum(map(self._share_s, open_ids))
        if before and share_s:
            time_to_send_s += before / share_s
            retry_in_s += before / share_s
        is_cold = self._cold_targets.is_active and any(
            map(self._cold_targets.time_to_send_s, open_ids)
        )
        reason = "cold" if is_cold else "rate_limited"
        return TargetsUnavailable(reason, time_to_send_s, retry_in_s)

    @property
    def _has_restrictions(self) -> bool:
        return (
            self._back_pressure.is_active
            or self._limits.is_active
            or self._cold_targets.is_active
        )

    def _time_to_send_s(self, start_id: str) -> float:
        return max(
            self._limits.time_to_send_s(start_id),
            self._cold_targets.time_to_send_s(start_id),
        )

    def _retry_in_s(self, start_id: str) -> float:
        return max(
            self._limits.retry_in_s(start_id),
            self._cold_targets.retry_in_s(start_id),
        )

    def _share_s(self, start_id: str) -> float:
        return min(
            self._limits.share_s(start_id), self._cold_targets.share_s(start_id)
        )


def spread_retry_after_s(closed_s: float) -> float | None:
    """Retry-After for targets that accept nothing; None if unknown.

    It is spread randomly, because all callers that are refused meanwhile would
    otherwise get the same time and retry together.
    """
    if not closed_s:
        return None
    return closed_s * (1 + _RETRY_AFTER_SPREAD * random.random())
