"""Writes log lines without ever holding up whoever logs.

Lines wait in a bounded buffer that a thread empties in batches. Whoever reads
the output may stop reading: then the buffer fills, further lines are dropped
and counted, and the count is the first thing written once there is room.
"""

import collections
import sys
import threading
from collections.abc import Callable
from typing import TextIO

__all__ = ["LineWriter"]

# At most so many lines wait: half a minute of a busy entry, about 2 MB.
_MAX_LINES = 8192
# Lines are gathered for this long, so that the thread wakes up seldom.
_GATHER_S = 0.05
# Tells of lines that were dropped, where nobody gives it another form.
_TOLD_DROPPED = "event=log_lines_dropped count={}"
# At its end a process waits for its last lines for this long; the platform may
# end it soon.
_LAST_S = 0.4


class LineWriter:
    """A thread that writes lines to a stream.

    Args:
        stream: where to; standard output unless a test says otherwise.
        max_lines: most lines that wait.
        told_dropped: the line that tells how many were dropped.
    """

    def __init__(
        self,
        stream: TextIO | None = None,
        max_lines: int = _MAX_LINES,
        told_dropped: Callable[[int], str] = _TOLD_DROPPED.format,
    ):
        """Starts the thread."""
        self._told_dropped = told_dropped
        self._stream = stream or sys.stdout
        self._max_lines = max_lines
        self._lines: collections.deque[str] = collections.deque()
        self._dropped = 0
        self._waiting = threading.Event()
        self._closed = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="log-writer", daemon=True
        )
        self._thread.start()

    def write(self, line: str) -> None:
        """Takes a line, or drops it if too many wait."""
        if len(self._lines) >= self._max_lines:
            self._dropped += 1
            return
        self._lines.append(line)
        if not self._waiting.is_set():
            self._waiting.set()

    def close(self, within_s: float = _LAST_S) -> None:
        """Waits a little for the last lines to be written."""
        self._closed.set()
        self._waiting.set()
        self._thread.join(within_s)

    def _run(self) -> None:
        while not (self._closed.is_set() and not self._lines):
            self._waiting.wait()
            self._closed.wait(_GATHER_S)
            self._waiting.clear()
            batch = self._taken()
            if not batch:
                continue
            try:
                self._stream.write(batch)
                self._stream.flush()
            except (OSError, ValueError):
                # Nobody reads any more, and there is no other place to say
                # so; the process goes on without its log.
                return

    def _taken(self) -> str:
        lines = []
        dropped, self._dropped = self._dropped, 0
        if dropped:
            lines.append(self._told_dropped(dropped))
        for _ in range(len(self._lines)):
            lines.append(self._lines.popleft())
        return "".join(f"{line}\n" for line in lines)
