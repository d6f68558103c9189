"""How long targets take to begin answers, which decides who can be in time."""

import collections
import math

from damaskcroft.clock import now_s

__all__ = ["FirstAnswers"]

# Answers of so long ago tell of now.
_WINDOW_S = 2.0
# With fewer of them nothing is known; a loaded target then needs some steps of
# a batch and the reading of a usual prompt.
_MIN_KNOWN = 8
_UNKNOWN_S = 0.12
_KEPT = 64
# Of those sent at the last moment so many are in time: work on the others is
# lost to some that could be.
_SHARE_IN_TIME = 0.9
# For how long one answer to the question is given again.
_HOLDS_S = 0.05


class _Service:
    __slots__ = ("answers", "usual_s", "usual_until")

    def __init__(self) -> None:
        self.answers: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=_KEPT)
        )
        self.usual_s = _UNKNOWN_S
        self.usual_until = -math.inf


class FirstAnswers:
    """Times from sending a request to the first of its answer, by service."""

    __slots__ = ("_services_by_name",)

    def __init__(self) -> None:
        """Nothing was answered yet."""
        self._services_by_name: dict[str, _Service] = {}

    def note(self, service: str, took_s: float) -> None:
        """Takes the time that a target has just needed.

        Args:
            service: the target's.
            took_s: from sending the request to the first of its answer.
        """
        known = self._services_by_name.setdefault(service, _Service())
        known.answers.append((now_s(), took_s))

    def usual_s(self, service: str) -> float:
        """What most answers take now."""
        known = self._services_by_name.get(service)
        if known is None:
            return _UNKNOWN_S
        now = now_s()
        if now >= known.usual_until:
            known.usual_s = _usual_s(known, now - _WINDOW_S)
            known.usual_until = now + _HOLDS_S
        return known.usual_s


def _usual_s(known: _Service, since: float) -> float:
    took = sorted(took_s for at, took_s in known.answers if at >= since)
    if len(took) < _MIN_KNOWN:
        return _UNKNOWN_S
    return took[int(_SHARE_IN_TIME * len(took))]
