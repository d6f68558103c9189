"""Writes log lines without blocking the code that logs.

Lines are put into a bounded buffer that a thread empties in batches. If the
reader of the output stalls, the buffer fills up and further lines are dropped
and counted. The count is written first once there is room again.
"""

import collections
import sys
import threading
from collections.abc import Callable
from typing import TextIO

__all__ = ["LineWriter"]

# Half a minute of a busy entry's log, about 2 MB.
_MAX_BUFFERED_LINES = 8192
# Lines are collected for this long, so that the thread wakes up less often.
_BATCH_DELAY_S = 0.05
# Default format of the report of dropped lines.
_DROPPED_LINE = "event=log_lines_dropped count={}"
# Longest wait for the remaining lines at process exit. It is short because the
# platform may kill the process soon.
_CLOSE_TIMEOUT_S = 0.4


class LineWriter:
    """A thread that writes lines to a stream.

    Args:
        stream: output stream; standard output if None.
        max_lines: maximum number of buffered lines.
        format_dropped: formats the line that reports how many lines were
            dropped.
    """

    def __init__(
        self,
        stream: TextIO | None = None,
        max_lines: int = _MAX_BUFFERED_LINES,
        format_dropped: Callable[[int], str] = _DROPPED_LINE.format,
    ):
        """Starts the thread."""
        self._format_dropped = format_dropped
        self._stream = stream or sys.stdout
        self._max_lines = max_lines
        self._lines: collections.deque[str] = collections.deque()
        self._dropped = 0
        self._has_lines = threading.Event()
        self._closed = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="log-writer", daemon=True
        )
        self._thread.start()

    def write(self, line: str) -> None:
        """Adds a line to the buffer, or drops it if the buffer is full."""
        if len(self._lines) >= self._max_lines:
            self._dropped += 1
            return
        self._lines.append(line)
        if not self._has_lines.is_set():
            self._has_lines.set()

    def close(self, timeout_s: float = _CLOSE_TIMEOUT_S) -> None:
        """Waits until the remaining lines are written, or for `timeout_s`."""
        self._closed.set()
        self._has_lines.set()
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while not (self._closed.is_set() and not self._lines):
            self._has_lines.wait()
            self._closed.wait(_BATCH_DELAY_S)
            self._has_lines.clear()
            batch = self._take_batch()
            if not batch:
                continue
            try:
                self._stream.write(batch)
                self._stream.flush()
            except (OSError, ValueError):
                # The output is closed, and there is no other place to report
                # it; the process continues without its log.
                return

    def _take_batch(self) -> str:
        lines = []
        dropped, self._dropped = self._dropped, 0
        if dropped:
            lines.append(self._format_dropped(dropped))
        for _ in range(len(self._lines)):
            lines.append(self._lines.popleft())
        return "".join(f"{line}\n" for line in lines)
