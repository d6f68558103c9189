"""A second attempt beside one whose target is silent.

A silent target may be dead, or pause and then go on. Its attempt is ended only
once another one has something for the caller: hedged requests (J. Dean and
L. A. Barroso, "The Tail at Scale", CACM 56(2), 2013).
"""

import asyncio
import contextlib
from collections.abc import Coroutine, Iterator
from typing import Any

from damaskcroft.forwarding._attempt import Attempt
from damaskcroft.forwarding._job import Ending
from damaskcroft.observe import log_warning

__all__ = ["Hedge", "hedged"]

# Why an attempt was ended for another one.
_SILENT = "silent"


class Hedge:
    """An attempt, and a second one beside it.

    Attributes:
        attempt: the one that may have a second beside it; None before it is
            made.
    """

    __slots__ = ("_instead_of", "_is_awaited", "_second", "attempt")

    def __init__(self, instead_of: "Hedge | None" = None):
        """Has no second attempt yet.

        Args:
            instead_of: where the attempt is itself a second one.
        """
        self.attempt: Attempt | None = None
        self._instead_of = instead_of
        self._second: asyncio.Task[Ending | None] | None = None
        self._is_awaited = False

    @property
    def is_second(self) -> bool:
        """Whether the attempt was made beside another one."""
        return self._instead_of is not None

    @property
    def stands_beside(self) -> bool:
        """Whether another attempt that it was made beside is under way."""
        return any(outer.is_open for outer in self._outer_attempts())

    @property
    def is_running(self) -> bool:
        """Whether a second attempt is under way."""
        return self._second is not None and not self._second.done()

    @property
    def may_begin(self) -> bool:
        """Whether the attempt waits for its target, without a second."""
        if self.attempt is None or not self.attempt.is_waiting:
            return False
        return not self.is_running

    def begin(
        self, trial: Coroutine[Any, Any, Ending | None]
    ) -> asyncio.Task[Ending | None]:
        """Starts the second attempt."""
        self._is_awaited = False
        self._second = asyncio.create_task(trial)
        self._second.add_done_callback(self._tell)
        return self._second

    def takes_over(self) -> None:
        """The attempt is about to answer the caller: others are ended."""
        self.close()
        for outer in self._outer_attempts():
            outer.give_up(_SILENT)

    async def ending(self) -> Ending | None:
        """How the second attempt ends; None if there is none to wait for."""
        if self._second is None or self._second.cancelling():
            return None
        self._is_awaited = True
        return await self._second

    def close(self) -> None:
        """Ends the second attempt, if it is still under way."""
        if self._second is not None:
            self._second.cancel()

    def _outer_attempts(self) -> Iterator[Attempt]:
        outer = self._instead_of
        while outer is not None:
            if outer.attempt is not None:
                yield outer.attempt
            outer = outer._instead_of

    def _tell(self, second: asyncio.Task[Ending | None]) -> None:
        """Logs a fault of a second attempt that nobody waited for."""
        if second.cancelled() or self._is_awaited:
            return
        error = second.exception()
        if error is not None:
            log_warning("second_attempt_failed", reason=repr(error))


@contextlib.contextmanager
def hedged(instead_of: Hedge | None) -> Iterator[Hedge]:
    """A hedge whose second attempt ends with the block."""
    hedge = Hedge(instead_of)
    try:
        yield hedge
    finally:
        hedge.close()
