"""Recent durations of answers, by route."""

from damaskcroft.clock import now_s

__all__ = ["AnswerTimes"]

# Minimum time for which an answer counts; the maximum is twice as long.
_WINDOW_S = 30.0


class AnswerTimes:
    """Longest recent answer of each route, from arrival to the last byte."""

    __slots__ = (
        "_began_at",
        "_earlier_by_route",
        "_longest_by_route",
        "_since_by_route",
    )

    def __init__(self) -> None:
        """Starts without any recorded answer."""
        self._longest_by_route: dict[str, float] = {}
        self._earlier_by_route: dict[str, float] = {}
        # Arrival of the first request whose answer was recorded.
        self._since_by_route: dict[str, float] = {}
        self._began_at = now_s()

    def record(self, route: str, seconds: float) -> None:
        """Records the duration of an answer that has just been completed."""
        self._evict_expired()
        self._since_by_route.setdefault(route, now_s() - seconds)
        if seconds > self._longest_by_route.get(route, 0.0):
            self._longest_by_route[route] = seconds

    def longest_s(self, route: str, timeout_s: float) -> float:
        """Longest recent answer of a route.

        Args:
            route: its name.
            timeout_s: timeout of the route. It is returned until the route has
                been observed for that long, because only quick answers can
                have been recorded by then.
        """
        self._evict_expired()
        since = self._since_by_route.get(route)
        if since is None or now_s() - since < timeout_s:
            return timeout_s
        return max(
            self._longest_by_route.get(route, 0.0),
            self._earlier_by_route.get(route, 0.0),
        )

    def _evict_expired(self) -> None:
        now = now_s()
        if now - self._began_at < _WINDOW_S:
            return
        is_recent = now - self._began_at < 2 * _WINDOW_S
        self._earlier_by_route = self._longest_by_route if is_recent else {}
        self._longest_by_route = {}
        self._since_by_route = {
            route: since
            for route, since in self._since_by_route.items()
            if route in self._earlier_by_route
        }
        self._began_at = now
