"""Which targets of a service take a request now, and when the first does."""

import random

from damaskcroft.forwarding._services import Services
from damaskcroft.limits import RateLimits
from damaskcroft.routing import BackPressure, Candidate, Closed

__all__ = ["Availability", "returns_s"]

# Callers that were refused together return over so much more of their wait.
_RETURNS_SPREAD = 0.5


class Availability:
    """Targets that could run a request, less those that want none.

    Args:
        services: which targets could run a request.
        back_pressure: what targets ask for in their answers.
        limits: how many requests a second targets take.
    """

    __slots__ = ("_back_pressure", "_limits", "_services")

    def __init__(
        self,
        services: Services,
        back_pressure: BackPressure,
        limits: RateLimits,
    ):
        """See the class."""
        self._services = services
        self._back_pressure = back_pressure
        self._limits = limits

    def candidates(self, service: str, model: str) -> list[Candidate]:
        """Targets that take a request now.

        One that says that it leaves is used while there is no other.
        """
        candidates = self._services.candidates(service, model)
        if not self._is_any:
            return candidates
        taking = [
            candidate
            for candidate in candidates
            if self._back_pressure.may_be_sent(candidate.id)
            and not self._limits.waits_s(candidate.id)
        ]
        staying = [
            candidate
            for candidate in taking
            if not self._back_pressure.is_leaving(candidate.id)
        ]
        return staying or taking

    def closed(self, service: str, model: str, before: int) -> Closed | None:
        """Why no target takes a request; None if one does, or there is none.

        Args:
            service: its name.
            model: what the request asks for; empty for plain services.
            before: how many requests go before it.
        """
        if not self._is_any or self.candidates(service, model):
            return None
        staying_ids = [
            candidate.id
            for candidate in self._services.candidates(service, model)
            if not self._back_pressure.is_leaving(candidate.id)
        ]
        if not staying_ids:
            return None
        awake_ids = [
            target_id
            for target_id in staying_ids
            if not self._back_pressure.rests_s(target_id)
        ]
        if not awake_ids:
            rests_s = min(map(self._back_pressure.rests_s, staying_ids))
            return Closed("resting", rests_s, rests_s)
        waits_s = min(map(self._limits.waits_s, awake_ids))
        returns_s = min(map(self._limits.returns_s, awake_ids))
        share_s = sum(map(self._limits.share_s, awake_ids))
        if before and share_s:
            waits_s += before / share_s
            returns_s += before / share_s
        return Closed("rate_limited", waits_s, returns_s)

    @property
    def _is_any(self) -> bool:
        return self._back_pressure.is_any or self._limits.is_any


def returns_s(closed_s: float) -> float | None:
    """When to come back to targets that take nothing; None if unknown.

    Spread, since all that were refused meanwhile hear of the same time.
    """
    if not closed_s:
        return None
    return closed_s * (1 + _RETURNS_SPREAD * random.random())
