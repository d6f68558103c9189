"""Count of the calls in progress, for draining an entry that stops."""

import asyncio

from damaskcroft.clock import now_s
from damaskcroft.observe import log_event, metrics

_POLL_S = 0.05
# Time after a call's deadline in which its caller can read the rest of the
# answer.
_READ_GRACE_S = 2.0


class RunningCalls:
    """Counts calls from their arrival to the last byte of their answers."""

    __slots__ = ("_last_deadline_at", "count")

    def __init__(self) -> None:
        """Starts with no call in progress."""
        self.count = 0
        self._last_deadline_at = 0.0

    def begin(self, deadline_s: float) -> None:
        """Records the arrival of a call with this deadline."""
        deadline_at = now_s() + deadline_s
        self._last_deadline_at = max(self._last_deadline_at, deadline_at)
        self.count += 1
        metrics.ADMISSION_OUTSTANDING.set(self.count)

    def end(self) -> None:
        """Records that the answer of a call has been sent or has failed."""
        self.count -= 1
        metrics.ADMISSION_OUTSTANDING.set(self.count)

    async def drain(self) -> None:
        """Waits for all calls, except for callers that stop reading.

        The wait ends `_READ_GRACE_S` after the latest deadline.
        """
        while self.count:
            if now_s() > self._last_deadline_at + _READ_GRACE_S:
                log_event("answers_held_up", count=self.count)
                return
            await asyncio.sleep(_POLL_S)
