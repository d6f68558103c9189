"""Copies of one suspect request run one after another.

Should it crash targets, it crashes one at a time; should it be innocent, the
first copy that ends clears it, and the others go on at once.

Suspects of several crashes in a row don't run beside each other either: where
few targets are left, two that were lost with the same ones can't be told apart.
They also leave the last targets to other requests for a while.
"""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator

from damaskcroft.clock import now_s
from damaskcroft.quarantine._book import CrashBook
from damaskcroft.tasks import Signal, end_all

__all__ = ["Copies", "HoldTurn"]

# So many crashes in a row make a request wait for others that have as many.
_SEVERAL = 2
# For so long at most, since sound requests may take their time.
_SEVERAL_WAIT_S = 2.0
# Share of its time for which a request waits for targets to come back.
_BACK_SHARE = 1 / 3
# How often they look whether targets are back.
_LOOK_S = 0.05
# Names the turn that they share.
_SEVERAL_TURN = b"several crashes in a row"

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
        # Suspects with a copy of this entry under way, and the shared turn.
        self._under_way: set[bytes] = set()
        # Given when a copy has ended, a turn has come, or a verdict changed.
        self._changed = Signal()
        book.listen(self._changed.give)

    @contextlib.asynccontextmanager
    async def one_at_a_time(
        self,
        fingerprint: bytes,
        until: float,
        few_left: Callable[[], bool] = lambda: False,
    ) -> AsyncIterator[None]:
        """Waits while another copy of a suspect is under way.

        Args:
            fingerprint: of the request.
            until: loop time at which the request's own time is over.
            few_left: whether few targets are left that could run it.
        """
        await self._wait_while(
            lambda: fingerprint in self._under_way, fingerprint, until
        )
        if not self._waits(fingerprint):
            yield
            return
        with self._held_here(fingerprint):
            async with self._turn(fingerprint, fingerprint, until, until):
                async with self._apart(fingerprint, until, few_left):
                    yield

    @contextlib.asynccontextmanager
    async def _apart(
        self, fingerprint: bytes, until: float, few_left: Callable[[], bool]
    ) -> AsyncIterator[None]:
        """Waits a while after several crashes in a row.

        For targets to come back, if few are left, and for other requests with
        several crashes.
        """
        if self._book.chain(fingerprint) < _SEVERAL:
            yield
            return
        now = now_s()
        soon = min(until, now + _SEVERAL_WAIT_S)
        # Enough of its time must be left for its answer.
        back_until = min(soon, now + (until - now) * _BACK_SHARE)
        await self._wait_while(few_left, fingerprint, back_until, _LOOK_S)
        await self._wait_while(
            lambda: _SEVERAL_TURN in self._under_way, fingerprint, soon
        )
        with self._held_here(_SEVERAL_TURN):
            async with self._turn(_SEVERAL_TURN, fingerprint, soon, until):
                yield

    @contextlib.contextmanager
    def _held_here(self, key: bytes) -> Iterator[None]:
        """Keeps a key under way at this entry, unless another one does."""
        is_first = key not in self._under_way
        self._under_way.add(key)
        try:
            yield
        finally:
            if is_first:
                self._under_way.discard(key)
                self._changed.give()

    @contextlib.asynccontextmanager
    async def _turn(
        self, key: bytes, fingerprint: bytes, wait_until: float, until: float
    ) -> AsyncIterator[None]:
        """Waits for this entry's turn in the fleet, and holds it.

        Args:
            key: names the turn.
            fingerprint: of the request.
            wait_until: loop time at which it goes on without a turn.
            until: loop time at which the request's own time is over.
        """
        if self._hold_turn is None:
            yield
            return
        granted = asyncio.Event()

        def come() -> None:
            granted.set()
            self._changed.give()

        left_s = max(0.0, until - now_s())
        holding = asyncio.ensure_future(self._hold_turn(key, left_s, come))
        try:
            await self._wait_while(
                lambda: not granted.is_set(), fingerprint, wait_until
            )
            yield
        finally:
            await end_all([holding])

    async def _wait_while(
        self,
        is_held: Callable[[], bool],
        fingerprint: bytes,
        until: float,
        look_s: float = math.inf,
    ) -> None:
        """Waits until something no longer holds, or nobody need wait.

        Args:
            is_held: whether it holds; asked after each change.
            fingerprint: of the request.
            until: loop time at which the wait ends.
            look_s: how often it is asked anyhow.
        """
        while is_held() and self._waits(fingerprint) and now_s() < until:
            seen = self._changed.count
            await self._changed.wait(seen, min(look_s, until - now_s()))

    def _waits(self, fingerprint: bytes) -> bool:
        """Whether copies go one by one: neither cleared nor refused."""
        return self._book.is_suspect(
            fingerprint
        ) and not self._book.quarantined_s(fingerprint)
