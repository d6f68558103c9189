"""Times to first answer by service, which decide what can still be in time."""

import collections
import math

from damaskcroft.clock import now_s

__all__ = ["FirstAnswers"]

# Answers up to this age describe the present.
_WINDOW_S = 2.0
# With fewer answers the default is used: some steps of a batch on a loaded
# target, and the time to read a usual prompt.
_MIN_ANSWERS = 8
_DEFAULT_S = 0.12
_MAX_KEPT_ANSWERS = 64
# Share of the requests sent at the last possible moment that are answered in
# time: work on the others is lost to requests that could still be in time.
_SHARE_IN_TIME = 0.9
# Time for which a computed value is reused.
_CACHE_S = 0.05


class _ServiceAnswers:
    __slots__ = ("answers", "p90_s", "p90_until")

    def __init__(self) -> None:
        self.answers: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=_MAX_KEPT_ANSWERS)
        )
        self.p90_s = _DEFAULT_S
        self.p90_until = -math.inf


class FirstAnswers:
    """Times from sending a request to the start of its answer, by service."""

    __slots__ = ("_answers_by_service",)

    def __init__(self) -> None:
        """Starts without answers."""
        self._answers_by_service: dict[str, _ServiceAnswers] = {}

    def record(self, service: str, took_s: float) -> None:
        """Records the time that a target has just needed.

        Args:
            service: the target's service.
            took_s: time from sending the request to the start of its answer.
        """
        recorded = self._answers_by_service.setdefault(
            service, _ServiceAnswers()
        )
        recorded.answers.append((now_s(), took_s))

    def p90_s(self, service: str) -> float:
        """Returns the 90th percentile of the recent times of a service."""
        recorded = self._answers_by_service.get(service)
        if recorded is None:
            return _DEFAULT_S
        now = now_s()
        if now >= recorded.p90_until:
            recorded.p90_s = _compute_p90_s(recorded, now - _WINDOW_S)
            recorded.p90_until = now + _CACHE_S
        return recorded.p90_s


def _compute_p90_s(recorded: _ServiceAnswers, since: float) -> float:
    times_s = sorted(took_s for at, took_s in recorded.answers if at >= since)
    if len(times_s) < _MIN_ANSWERS:
        return _DEFAULT_S
    return times_s[int(_SHARE_IN_TIME * len(times_s))]
