"""How much may be on its way to this machine at once.

Weights share the machine's link with callers' requests. What is queued before
the link delays both, so the window shrinks when parts take long to come and
grows while they come soon, after "Low Extra Delay Background Transport"
(LEDBAT, RFC 6817).
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from damaskcroft.clock import now_s

__all__ = ["PartWindow"]

# Time from asking for a part to its arrival that the window aims at. Callers'
# answers should come within some hundred milliseconds; a tenth of a second
# also covers round trips between regions.
_TARGET_DELAY_S = 0.08
_MIN_PARTS = 1.0
# Eight parts of 4 KiB keep a link of 10 Mbit/s full over 25 ms.
_MAX_PARTS = 8.0
_FIRST_PARTS = 3.0
_GROWTH = 0.25
_SHRINKAGE = 0.8


class PartWindow:
    """Counts parts that were asked for and have not come."""

    __slots__ = ("_outstanding", "_changed", "limit")

    def __init__(self) -> None:
        """Starts small, with nothing on its way."""
        self.limit = _FIRST_PARTS
        self._outstanding = 0
        self._changed = asyncio.Condition()

    @contextlib.asynccontextmanager
    async def room(self) -> AsyncIterator[None]:
        """Waits until a part may be asked for; the block ends as it comes."""
        async with self._changed:
            await self._changed.wait_for(lambda: self._outstanding < self.limit)
        self._outstanding += 1
        asked_at = now_s()
        try:
            yield
            self._adapt(now_s() - asked_at)
        finally:
            self._outstanding -= 1
            async with self._changed:
                self._changed.notify_all()

    def _adapt(self, delay_s: float) -> None:
        if delay_s > _TARGET_DELAY_S:
            self.limit = max(_MIN_PARTS, self.limit * _SHRINKAGE)
        else:
            self.limit = min(_MAX_PARTS, self.limit + _GROWTH / self.limit)
