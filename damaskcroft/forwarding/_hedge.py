"""A second attempt beside one whose target is silent.

A silent target may be dead, or pause and then go on. Its attempt is ended only
for an answer that another target has begun: hedged requests (J. Dean and
L. A. Barroso, "The Tail at Scale", CACM 56(2), 2013).
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Coroutine
from typing import Any

from damaskcroft.forwarding._attempt import Attempt
from damaskcroft.forwarding._job import Ending
from damaskcroft.observe import log_warning

__all__ = ["SILENT", "Hedge", "hedged"]

# An attempt that was ended since another target has begun to answer.
SILENT = "silent"


class Hedge:
    """Two attempts of one job, of which whichever has an answer goes on.

    Attributes:
        first: the attempt that may have a second beside it; None before it
            is made.
    """

    __slots__ = ("_instead_of", "_is_awaited", "_second", "first")

    def __init__(self, instead_of: "Hedge | None" = None):
        """Has no second attempt yet.

        Args:
            instead_of: where the first attempt is itself a second one.
        """
        self.first: Attempt | None = None
        self._instead_of = instead_of
        self._second: asyncio.Task[Ending | None] | None = None
        self._is_awaited = False

    @property
    def is_second(self) -> bool:
        """Whether the first attempt is itself a second one of another hedge."""
        return self._instead_of is not None

    @property
    def is_running(self) -> bool:
        """Whether a second attempt is under way."""
        return self._second is not None and not self._second.done()

    @property
    def may_begin(self) -> bool:
        """Whether the first attempt waits for its target, without a second."""
        if self.first is None or not self.first.is_waiting:
            return False
        return not self.is_running

    def begin(
        self, trial: Coroutine[Any, Any, Ending | None]
    ) -> asyncio.Task[Ending | None]:
        """Starts the second attempt."""
        self._tell()
        self._second = asyncio.create_task(trial)
        return self._second

    def takes_over(self) -> None:
        """The first attempt is about to answer the caller: others are ended."""
        if self._second is not None:
            self._second.cancel()
        outer = self._instead_of
        while outer is not None:
            if outer.first is not None:
                outer.first.give_up(SILENT)
            outer = outer._instead_of

    async def ending(self) -> Ending | None:
        """How the second attempt ends; None if there is none to wait for."""
        if self._second is None or self._second.cancelling():
            return None
        self._is_awaited = True
        return await self._second

    async def close(self) -> None:
        """Ends the second attempt if it is still under way."""
        if self._second is None:
            return
        self._second.cancel()
        await asyncio.wait([self._second])
        self._tell()

    def _tell(self) -> None:
        """Logs a fault of a second attempt that nobody waited for."""
        second = self._second
        if second is None or second.cancelled() or self._is_awaited:
            return
        error = second.exception()
        if error is not None:
            log_warning("second_attempt_failed", reason=repr(error))


@contextlib.asynccontextmanager
async def hedged(instead_of: Hedge | None) -> AsyncIterator[Hedge]:
    """A hedge whose second attempt ends with the block."""
    hedge = Hedge(instead_of)
    try:
        yield hedge
    finally:
        await hedge.close()
