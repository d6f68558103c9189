"""Hedged requests: a second attempt while the first one's target is silent.

A silent target may be dead, or may pause and then continue; a slow one may
answer at any moment. Its attempt is ended only when another attempt has output
for the caller (J. Dean and L. A. Barroso, "The Tail at Scale", CACM 56(2),
2013).
"""

import asyncio
import contextlib
import enum
from collections.abc import Coroutine, Iterator
from typing import Any

from damaskcroft.clock import now_s
from damaskcroft.forwarding._attempt import Attempt
from damaskcroft.forwarding._job import Ending
from damaskcroft.observe import log_warning

__all__ = ["OUTRUN", "Hedge", "HedgeCause", "hedged"]

# Reason of an attempt at a slow target that a hedged one has outrun.
OUTRUN = "outrun"


class HedgeCause(enum.Enum):
    """Why an attempt is hedged; the value is the reason for ending it."""

    SILENT = "silent"
    SLOW = OUTRUN


class Hedge:
    """An attempt and the hedged attempt that may run concurrently.

    Attributes:
        attempt: the attempt that may be hedged; None before it is opened.
        has_taken_over: whether this attempt has had output for the caller.
        sent_at: loop time at which the slot of the attempt was taken.
    """

    __slots__ = (
        "_cause",
        "_is_awaited",
        "_primary",
        "_second",
        "attempt",
        "has_taken_over",
        "sent_at",
    )

    def __init__(self, primary: "Hedge | None" = None):
        """Starts without a hedged attempt.

        Args:
            primary: hedge of the silent attempt, where this attempt is
                itself a hedged one.
        """
        self.attempt: Attempt | None = None
        self._primary = primary
        self._second: asyncio.Task[Ending | None] | None = None
        self._is_awaited = False
        self._cause = HedgeCause.SILENT
        self.has_taken_over = False
        self.sent_at = now_s()

    @property
    def is_second(self) -> bool:
        """Whether this attempt is itself a hedged one."""
        return self._primary is not None

    @property
    def needs_new_connection(self) -> bool:
        """Whether idle connections may be as silent as the first attempt's."""
        return (
            self._primary is not None
            and self._primary._cause is HedgeCause.SILENT
        )

    @property
    def first_sent_at(self) -> float:
        """Loop time at which the slot of the first attempt was taken."""
        sent_at = self.sent_at
        for earlier in self._earlier():
            sent_at = earlier.sent_at
        return sent_at

    @property
    def has_open_primary(self) -> bool:
        """Whether an attempt that this one hedges is still running."""
        return any(
            earlier.attempt is not None and earlier.attempt.is_open
            for earlier in self._earlier()
        )

    @property
    def is_running(self) -> bool:
        """Whether a hedged attempt is running."""
        return self._second is not None and not self._second.done()

    @property
    def may_begin(self) -> bool:
        """Whether the attempt waits for its target and is not hedged yet."""
        if self.attempt is None or not self.attempt.is_waiting:
            return False
        return not self.is_running

    def begin(
        self,
        hedged_attempt: Coroutine[Any, Any, Ending | None],
        cause: HedgeCause = HedgeCause.SILENT,
    ) -> asyncio.Task[Ending | None]:
        """Starts the hedged attempt.

        Args:
            hedged_attempt: the attempt.
            cause: why it is made.
        """
        self._is_awaited = False
        self._cause = cause
        self._second = asyncio.create_task(hedged_attempt)
        self._second.add_done_callback(self._log_failure)
        return self._second

    def take_over(self) -> None:
        """Ends the other attempts, so that only this one goes on."""
        self.has_taken_over = True
        self.close()
        for earlier in self._earlier():
            if earlier.attempt is not None:
                earlier.attempt.abort(earlier._cause.value)

    async def ending(self) -> Ending | None:
        """Waits for the hedged attempt; None if there is none."""
        if self._second is None or self._second.cancelling():
            return None
        self._is_awaited = True
        return await self._second

    def close(self) -> None:
        """Cancels the hedged attempt if it is still running."""
        if self._second is not None:
            self._second.cancel()

    def _earlier(self) -> Iterator["Hedge"]:
        """Yields the hedges of the attempts before this one, last first."""
        earlier = self._primary
        while earlier is not None:
            yield earlier
            earlier = earlier._primary

    def _log_failure(self, second: asyncio.Task[Ending | None]) -> None:
        """Logs an exception of a hedged attempt that nothing awaited."""
        if second.cancelled() or self._is_awaited:
            return
        error = second.exception()
        if error is not None:
            log_warning("second_attempt_failed", reason=repr(error))


@contextlib.contextmanager
def hedged(primary: Hedge | None) -> Iterator[Hedge]:
    """Yields a hedge whose second attempt is cancelled after the block."""
    hedge = Hedge(primary)
    try:
        yield hedge
    finally:
        hedge.close()
