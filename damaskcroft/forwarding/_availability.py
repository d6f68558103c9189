"""Which targets of a service take a request now, and when the first does."""

import random

from damaskcroft.forwarding._services import Services
from damaskcroft.routing import BackPressure, Candidate

__all__ = ["Availability", "returns_s"]

# Callers that were refused together return over so much more of their wait.
_RETURNS_SPREAD = 0.5


class Availability:
    """Targets that could run a request, less those that want none.

    Args:
        services: which targets could run a request.
        back_pressure: what targets ask for in their answers.
    """

    __slots__ = ("_back_pressure", "_services")

    def __init__(self, services: Services, back_pressure: BackPressure):
        """See the class."""
        self._services = services
        self._back_pressure = back_pressure

    def candidates(self, service: str, model: str) -> list[Candidate]:
        """Targets that take a request now.

        One that says that it leaves is used while there is no other.
        """
        candidates = self._services.candidates(service, model)
        if not self._back_pressure.is_any:
            return candidates
        taking = [
            candidate
            for candidate in candidates
            if self._back_pressure.may_be_sent(candidate.id)
        ]
        staying = [
            candidate
            for candidate in taking
            if not self._back_pressure.is_leaving(candidate.id)
        ]
        return staying or taking

    def closed_s(self, service: str, model: str) -> float:
        """Until the first of the targets takes a request; 0 if one does."""
        if self.candidates(service, model):
            return 0.0
        rests_s = (
            self._back_pressure.rests_s(candidate.id)
            for candidate in self._services.candidates(service, model)
            if not self._back_pressure.is_leaving(candidate.id)
        )
        return min(rests_s, default=0.0)


def returns_s(closed_s: float) -> float | None:
    """When to come back to targets that rest; None if they don't.

    Spread, since all that were refused meanwhile hear of the same end.
    """
    if not closed_s:
        return None
    return closed_s * (1 + _RETURNS_SPREAD * random.random())
