"""How long answers have lately taken, by route."""

from damaskcroft.clock import now_s

__all__ = ["AnswerTimes"]

# Answers count for this long at least, and for twice that at most.
_WINDOW_S = 30.0


class AnswerTimes:
    """The longest answers of each route, from arrival to the last byte."""

    __slots__ = ("_began_at", "_earlier_by_route", "_longest_by_route")

    def __init__(self) -> None:
        """Knows of no answer."""
        self._longest_by_route: dict[str, float] = {}
        self._earlier_by_route: dict[str, float] = {}
        self._began_at = now_s()

    def took(self, route: str, seconds: float) -> None:
        """Takes note of an answer that has ended."""
        self._forget_old()
        if seconds > self._longest_by_route.get(route, 0.0):
            self._longest_by_route[route] = seconds

    def longest_s(self, route: str) -> float:
        """What the longest answer of late took; 0 if there was none."""
        self._forget_old()
        return max(
            self._longest_by_route.get(route, 0.0),
            self._earlier_by_route.get(route, 0.0),
        )

    def _forget_old(self) -> None:
        now = now_s()
        if now - self._began_at < _WINDOW_S:
            return
        is_recent = now - self._began_at < 2 * _WINDOW_S
        self._earlier_by_route = self._longest_by_route if is_recent else {}
        self._longest_by_route = {}
        self._began_at = now
