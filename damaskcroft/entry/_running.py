"""Calls that an entry is answering."""

import asyncio

from damaskcroft.clock import now_s
from damaskcroft.observe import log_event, metrics

_POLL_S = 0.05
# After a call's deadline, for its caller to read what is left of the answer.
_READ_S = 2.0


class RunningCalls:
    """Counts calls from arrival to the last byte of their answers."""

    __slots__ = ("_last_deadline_at", "count")

    def __init__(self) -> None:
        """None is running."""
        self.count = 0
        self._last_deadline_at = 0.0

    def begin(self, deadline_s: float) -> None:
        """Takes note of a call that its caller waits for so long."""
        deadline_at = now_s() + deadline_s
        self._last_deadline_at = max(self._last_deadline_at, deadline_at)
        self.count += 1
        metrics.ADMISSION_OUTSTANDING.set(self.count)

    def end(self) -> None:
        """Takes note that a call's answer is out, or will never be."""
        self.count -= 1
        metrics.ADMISSION_OUTSTANDING.set(self.count)

    async def finish(self) -> None:
        """Waits for all calls, but not for callers that read no further."""
        while self.count:
            if now_s() > self._last_deadline_at + _READ_S:
                log_event("answers_held_up", count=self.count)
                return
            await asyncio.sleep(_POLL_S)
