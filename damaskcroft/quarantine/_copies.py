"""Copies of one suspect request run one after another.

Should it crash targets, it crashes one at a time; should it be innocent, the
first copy that ends clears it, and the others go on at once.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

from damaskcroft.clock import now_s
from damaskcroft.quarantine._book import CrashBook
from damaskcroft.tasks import Signal, end_all

__all__ = ["Copies", "HoldTurn"]

# Waits for this entry's turn among those of the fleet and holds it until
# cancelled: the fingerprint, for how many seconds at most, and what to call
# once it has come.
HoldTurn = Callable[[bytes, float, Callable[[], None]], Awaitable[None]]


class Copies:
    """Which suspects have a copy under way.

    Args:
        book: who is a suspect.
        hold_turn: keeps other entries from sending copies; None where there
            is no way to.
    """

    __slots__ = ("_book", "_changed", "_hold_turn", "_under_way")

    def __init__(self, book: CrashBook, hold_turn: HoldTurn | None = None):
        """See the class."""
        self._book = book
        self._hold_turn = hold_turn
        # Suspects with a copy of this entry under way.
        self._under_way: set[bytes] = set()
        # Given when a copy has ended, a turn has come, or a verdict changed.
        self._changed = Signal()
        book.listen(self._changed.give)

    @contextlib.asynccontextmanager
    async def one_at_a_time(
        self, fingerprint: bytes, until: float
    ) -> AsyncIterator[None]:
        """Waits while another copy of a suspect is under way.

        Args:
            fingerprint: of the request.
            until: loop time at which the request's own time is over.
        """
        await self._wait_while(
            lambda: fingerprint in self._under_way, fingerprint, until
        )
        if not self._waits(fingerprint):
            yield
            return
        self._under_way.add(fingerprint)
        try:
            async with self._turn(fingerprint, until):
                yield
        finally:
            self._under_way.discard(fingerprint)
            self._changed.give()

    @contextlib.asynccontextmanager
    async def _turn(
        self, fingerprint: bytes, until: float
    ) -> AsyncIterator[None]:
        """Waits for this entry's turn in the fleet, and holds it."""
        if self._hold_turn is None:
            yield
            return
        granted = asyncio.Event()

        def come() -> None:
            granted.set()
            self._changed.give()

        left_s = max(0.0, until - now_s())
        holding = asyncio.ensure_future(
            self._hold_turn(fingerprint, left_s, come)
        )
        try:
            await self._wait_while(
                lambda: not granted.is_set(), fingerprint, until
            )
            yield
        finally:
            await end_all([holding])

    async def _wait_while(
        self, is_held: Callable[[], bool], fingerprint: bytes, until: float
    ) -> None:
        """Waits until something no longer holds, or nobody need wait."""
        while is_held() and self._waits(fingerprint) and now_s() < until:
            seen = self._changed.count
            await self._changed.wait(seen, until - now_s())

    def _waits(self, fingerprint: bytes) -> bool:
        """Whether copies go one by one: neither cleared nor refused."""
        return self._book.is_suspect(
            fingerprint
        ) and not self._book.quarantined_s(fingerprint)
