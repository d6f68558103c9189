"""Limits how many log lines of one event are written per second.

Under a flood of events, the first lines of each event in every second are
written in full. Further lines are counted by event and reason, and each count
is reported in one line after the second.
"""

import collections
import time
from collections.abc import Callable, Iterator

__all__ = ["LineBudget"]

# Maximum per event. It allows a few lines for each request of a busy entry, so
# that under normal load every decision is written.
_MAX_LINES_PER_S = 100
_WINDOW_S = 1.0


class LineBudget:
    """Rate limiter for log lines, with a limit for each event.

    Args:
        max_lines_per_s: maximum number of lines of one event.
        clock_s: a monotonic clock in seconds.
    """

    def __init__(
        self,
        max_lines_per_s: int = _MAX_LINES_PER_S,
        clock_s: Callable[[], float] = time.monotonic,
    ):
        """Starts the first window, without any lines."""
        self._max_lines_per_s = max_lines_per_s
        self._clock_s = clock_s
        self._window_start_s = clock_s()
        self._written_by_event: collections.Counter[str] = collections.Counter()
        self._suppressed: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def admit(self, event: str, reason: object) -> bool:
        """Returns whether to write a line; counts the line if not.

        Args:
            event: name of the line's event.
            reason: its field `reason`; suppressed lines are counted by it.
        """
        if self._written_by_event[event] < self._max_lines_per_s:
            self._written_by_event[event] += 1
            return True
        self._suppressed[event, str(reason)] += 1
        return False

    def take_summaries(self) -> Iterator[tuple[str, str, int]]:
        """Yields event, reason and count of lines suppressed in a past window.

        Starts a new window if the current one has ended, and otherwise yields
        nothing.
        """
        now_s = self._clock_s()
        if now_s - self._window_start_s < _WINDOW_S:
            return
        self._window_start_s = now_s
        self._written_by_event.clear()
        suppressed = dict(self._suppressed)
        self._suppressed.clear()
        for (event, reason), count in suppressed.items():
            yield event, reason, count
