"""Bounds how many lines of one event are written in a second.

Under a flood each event keeps its first lines of every second whole; the rest
are counted, by event and reason, and told in one line when the second is over.
"""

import collections
import time
from collections.abc import Callable, Iterator

__all__ = ["LineBudget"]

# Lines of one event and second: a few for each request of a busy entry, so
# that in usual times every decision is written.
_LINES_A_SECOND = 100
_SECOND_S = 1.0


class LineBudget:
    """Decides which lines are written.

    Args:
        lines_a_second: most lines of one event.
        clock_s: a monotonic clock in seconds.
    """

    def __init__(
        self,
        lines_a_second: int = _LINES_A_SECOND,
        clock_s: Callable[[], float] = time.monotonic,
    ):
        """See the class."""
        self._lines_a_second = lines_a_second
        self._clock_s = clock_s
        self._second_began = clock_s()
        self._written_by_event: collections.Counter[str] = collections.Counter()
        self._left_out: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def takes(self, event: str, reason: object) -> bool:
        """Whether a line is to be written now; counts it if not.

        Args:
            event: the line's event.
            reason: its field of that name, by which it is counted.
        """
        if self._written_by_event[event] < self._lines_a_second:
            self._written_by_event[event] += 1
            return True
        self._left_out[event, str(reason)] += 1
        return False

    def over(self) -> Iterator[tuple[str, str, int]]:
        """What was left out in a second that is over: event, reason, count."""
        now = self._clock_s()
        if now - self._second_began < _SECOND_S:
            return
        self._second_began = now
        self._written_by_event.clear()
        left_out = dict(self._left_out)
        self._left_out.clear()
        for (event, reason), count in left_out.items():
            yield event, reason, count
