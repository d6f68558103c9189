"""Targets of a service that accept a request now, or when one will.

Leaves out targets that have requested a back-off, are leaving or have reached
their rate limit.
"""

import random

from damaskcroft.forwarding._services import Services
from damaskcroft.limits import RateLimits
from damaskcroft.routing import BackPressure, Candidate, Closed

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
    """

    __slots__ = ("_back_pressure", "_limits", "_services")

    def __init__(
        self,
        services: Services,
        back_pressure: BackPressure,
        limits: RateLimits,
    ):
        """Stores the sources of the filters."""
        self._services = services
        self._back_pressure = back_pressure
        self._limits = limits

    def candidates(self, service: str, model: str) -> list[Candidate]:
        """Targets that accept a request now.

        Targets that are leaving are used only while there is no other.
        """
        candidates = self._services.candidates(service, model)
        if not self._has_restrictions:
            return candidates
        accepting = [
            candidate
            for candidate in candidates
            if self._back_pressure.may_be_sent(candidate.id)
            and not self._limits.waits_s(candidate.id)
        ]
        staying = [
            candidate
            for candidate in accepting
            if not self._back_pressure.is_leaving(candidate.id)
        ]
        return staying or accepting

    def closed(self, service: str, model: str, before: int) -> Closed | None:
        """Why no target accepts a request; None if one does or none exists.

        Args:
            service: name of the service.
            model: requested model; empty for services without models.
            before: how many requests are ahead in the queue.
        """
        if not self._has_restrictions or self.candidates(service, model):
            return None
        staying_ids = [
            candidate.id
            for candidate in self._services.candidates(service, model)
            if not self._back_pressure.is_leaving(candidate.id)
        ]
        if not staying_ids:
            return None
        open_ids = [
            target_id
            for target_id in staying_ids
            if not self._back_pressure.rests_s(target_id)
        ]
        if not open_ids:
            rests_s = min(map(self._back_pressure.rests_s, staying_ids))
            return Closed("resting", rests_s, rests_s)
        waits_s = min(map(self._limits.waits_s, open_ids))
        returns_s = min(map(self._limits.returns_s, open_ids))
        share_s = sum(map(self._limits.share_s, open_ids))
        if before and share_s:
            waits_s += before / share_s
            returns_s += before / share_s
        return Closed("rate_limited", waits_s, returns_s)

    @property
    def _has_restrictions(self) -> bool:
        return self._back_pressure.is_any or self._limits.is_any


def spread_retry_after_s(closed_s: float) -> float | None:
    """Retry-After for targets that accept nothing; None if unknown.

    It is spread randomly, because all callers that are refused meanwhile would
    otherwise get the same time and retry together.
    """
    if not closed_s:
        return None
    return closed_s * (1 + _RETRY_AFTER_SPREAD * random.random())
