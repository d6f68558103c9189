"""When slow requests are hedged, and how many of them.

For services whose answers usually begin at similar times, where a few targets
are slow for a while. Where all are slow, the delay follows them, and the
limit bounds the work that hedges add to them.
"""

import collections
import math

from damaskcroft.clock import now_s
from damaskcroft.routing import RetryWindow

__all__ = ["HedgePolicy"]

# Answers up to this age describe the present.
_ANSWERS_WINDOW_S = 10.0
_MAX_KEPT_ANSWERS = 256
# The 95th percentile of fewer answers is not known.
_MIN_ANSWERS = 20
# Share of a service's answers that begin before a hedge would. Dean and Barroso
# use the same percentile.
_PERCENTILE = 0.95
# Time for which a computed delay is reused.
_CACHE_S = 0.25
# Window in which hedges are limited to a share of the requests.
_LIMIT_WINDOW_S = 10.0


class _ServiceState:
    __slots__ = ("answers", "delay_s", "delay_until", "window")

    def __init__(self, share: float) -> None:
        self.answers: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=_MAX_KEPT_ANSWERS)
        )
        self.delay_s: float | None = None
        self.delay_until = -math.inf
        self.window = RetryWindow(share, _LIMIT_WINDOW_S)


class HedgePolicy:
    """Delay and limit of hedges, by service, at one entry.

    The limits of all entries add up to a share of all requests, because each
    entry applies it to the requests that it receives itself.

    Args:
        share: hedges allowed for each request; 0 for none.
    """

    __slots__ = ("_services_by_name", "_share")

    def __init__(self, share: float):
        """Starts without answers."""
        self._share = share
        self._services_by_name: dict[str, _ServiceState] = {}

    @property
    def is_on(self) -> bool:
        """Whether any request may be hedged."""
        return self._share > 0

    def count_request(self, service: str) -> None:
        """Counts a request, of which a share may be hedged."""
        if self.is_on:
            self._state(service).window.earn()

    def record_first_answer(self, service: str, took_s: float) -> None:
        """Records a time from sending a request to its answer's start.

        Where a hedge answers first, that is the time since the first attempt:
        without the times of those that were outrun, the delay would fall with
        each hedge.
        """
        if self.is_on:
            self._state(service).answers.append((now_s(), took_s))

    def delay_s(self, service: str) -> float | None:
        """Time after which a request counts as slow; None if unknown."""
        state = self._state(service)
        now = now_s()
        if state.delay_s is None or now >= state.delay_until:
            state.delay_s = _percentile_s(
                state.answers, now - _ANSWERS_WINDOW_S
            )
            state.delay_until = now + _CACHE_S
        return state.delay_s

    def is_within_limit(self, service: str) -> bool:
        """Whether the limit allows one more hedge."""
        return self._state(service).window.left >= 1

    def spend(self, service: str) -> None:
        """Counts a hedge."""
        self._state(service).window.spend()

    def _state(self, service: str) -> _ServiceState:
        state = self._services_by_name.get(service)
        if state is None:
            state = _ServiceState(self._share)
            self._services_by_name[service] = state
        return state


def _percentile_s(
    answers: collections.deque[tuple[float, float]], since: float
) -> float | None:
    times_s = sorted(took_s for at, took_s in answers if at >= since)
    if len(times_s) < _MIN_ANSWERS:
        return None
    return times_s[int(_PERCENTILE * len(times_s))]
