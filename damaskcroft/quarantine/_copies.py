"""Sequential execution of the copies of a suspect request.

Copies of one suspect request run one after another. If the request crashes
targets, it crashes them one at a time; if it is innocent, the first copy that
ends clears it, and the others proceed at once.

Across entries the order is kept by turns. A turn is the permission to send one
copy of a suspect request, granted to one entry at a time.

Different requests with a suspect part in their prompts run one by one as well,
each for a bounded time.

Suspects of several crashes in sequence do not run beside each other either,
because where few targets are left, two suspects that were lost with the same
targets cannot be told apart. They also leave the last targets to other requests
for a while.
"""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator

from damaskcroft.clock import now_s
from damaskcroft.quarantine._crash_registry import CrashRegistry
from damaskcroft.tasks import Signal, cancel_all

__all__ = ["HoldTurn", "SerialCopies"]

# Number of crashes in sequence from which a request waits for other requests
# that have as many.
_MIN_SERIAL_CRASHES = 2
# Maximum duration of that wait, because innocent requests may run for long.
_MAX_SERIAL_WAIT_S = 2.0
# Share of its remaining time that a request waits for targets to restart.
_RESTART_WAIT_SHARE = 1 / 3
# Interval at which a waiting request checks whether targets have restarted.
_CHECK_INTERVAL_S = 0.05
# Key of the turn that these requests share.
_SHARED_TURN_KEY = b"several crashes in a row"

# Waits for this entry's turn and holds it until cancelled. Arguments: the
# fingerprint, the maximum time in seconds, and a callback for the moment at
# which the turn is granted.
HoldTurn = Callable[[bytes, float, Callable[[], None]], Awaitable[None]]


class SerialCopies:
    """Runs the copies of each suspect request at one entry one by one.

    Args:
        registry: registry of crashes, which says which requests are suspect.
        hold_turn: acquires the turn of this entry in the fleet; None where no
            node grants turns.
    """

    __slots__ = ("_changed", "_hold_turn", "_in_progress", "_registry")

    def __init__(
        self, registry: CrashRegistry, hold_turn: HoldTurn | None = None
    ):
        """Starts without any copy in progress."""
        self._registry = registry
        self._hold_turn = hold_turn
        # Fingerprints with a copy in progress at this entry, and the key of the
        # shared turn.
        self._in_progress: set[bytes] = set()
        # Signalled when a copy has ended, a turn is granted, or a verdict
        # changes.
        self._changed = Signal()
        registry.add_listener(self._changed.notify)

    @contextlib.asynccontextmanager
    async def one_at_a_time(
        self,
        fingerprint: bytes,
        until: float,
        few_left: Callable[[], bool] = lambda: False,
        is_refused: Callable[[], bool] = lambda: False,
    ) -> AsyncIterator[None]:
        """Waits while another copy of a suspect request is in progress.

        Args:
            fingerprint: fingerprint of the request.
            until: loop time of the request's deadline.
            few_left: whether few targets are left that could run it.
            is_refused: whether the request is refused for its parts by now.
        """

        def must_run_alone() -> bool:
            return self._must_run_alone(fingerprint) and not is_refused()

        await self._wait_while(
            lambda: fingerprint in self._in_progress, must_run_alone, until
        )
        if not must_run_alone():
            yield
            return
        with self._marked_in_progress(fingerprint):
            async with self._held_turn(
                fingerprint, must_run_alone, until, until
            ):
                async with self._wait_after_several_crashes(
                    fingerprint, must_run_alone, until, few_left
                ):
                    yield

    @contextlib.asynccontextmanager
    async def one_with_part_at_a_time(
        self, part: bytes, until: float, is_refused: Callable[[], bool]
    ) -> AsyncIterator[None]:
        """Waits briefly while another request with a suspect part runs.

        Args:
            part: key of the part.
            until: loop time of the request's deadline.
            is_refused: whether the request is quarantined by now.
        """

        def must_run_alone() -> bool:
            return self._registry.is_suspect(part) and not is_refused()

        bounded_until = min(until, now_s() + _MAX_SERIAL_WAIT_S)
        await self._wait_while(
            lambda: part in self._in_progress, must_run_alone, bounded_until
        )
        if not must_run_alone():
            yield
            return
        with self._marked_in_progress(part):
            async with self._held_turn(
                part, must_run_alone, bounded_until, until
            ):
                yield

    @contextlib.asynccontextmanager
    async def _wait_after_several_crashes(
        self,
        fingerprint: bytes,
        must_run_alone: Callable[[], bool],
        until: float,
        few_left: Callable[[], bool],
    ) -> AsyncIterator[None]:
        """Delays a request after several crashes in sequence.

        It waits for targets to restart, if few are left, and for other requests
        with several crashes, each for a bounded time.
        """
        if self._registry.chain(fingerprint) < _MIN_SERIAL_CRASHES:
            yield
            return
        now = now_s()
        bounded_until = min(until, now + _MAX_SERIAL_WAIT_S)
        # Enough time must be left to answer the request.
        restart_wait_until = min(
            bounded_until, now + (until - now) * _RESTART_WAIT_SHARE
        )
        await self._wait_while(
            few_left, must_run_alone, restart_wait_until, _CHECK_INTERVAL_S
        )
        await self._wait_while(
            lambda: _SHARED_TURN_KEY in self._in_progress,
            must_run_alone,
            bounded_until,
        )
        with self._marked_in_progress(_SHARED_TURN_KEY):
            async with self._held_turn(
                _SHARED_TURN_KEY, must_run_alone, bounded_until, until
            ):
                yield

    @contextlib.contextmanager
    def _marked_in_progress(self, key: bytes) -> Iterator[None]:
        """Marks a key as in progress here, unless another copy has done so."""
        is_owner = key not in self._in_progress
        self._in_progress.add(key)
        try:
            yield
        finally:
            if is_owner:
                self._in_progress.discard(key)
                self._changed.notify()

    @contextlib.asynccontextmanager
    async def _held_turn(
        self,
        key: bytes,
        must_run_alone: Callable[[], bool],
        wait_until: float,
        until: float,
    ) -> AsyncIterator[None]:
        """Waits for this entry's turn in the fleet, and holds it.

        Args:
            key: key of the turn.
            must_run_alone: whether the request has to wait at all.
            wait_until: loop time at which it proceeds without a turn.
            until: loop time of the request's deadline.
        """
        if self._hold_turn is None:
            yield
            return
        granted = asyncio.Event()

        def on_granted() -> None:
            granted.set()
            self._changed.notify()

        left_s = max(0.0, until - now_s())
        turn_task = asyncio.ensure_future(
            self._hold_turn(key, left_s, on_granted)
        )
        try:
            await self._wait_while(
                lambda: not granted.is_set(), must_run_alone, wait_until
            )
            yield
        finally:
            await cancel_all([turn_task])

    async def _wait_while(
        self,
        condition: Callable[[], bool],
        must_run_alone: Callable[[], bool],
        until: float,
        check_interval_s: float = math.inf,
    ) -> None:
        """Waits until a condition ends or the request no longer has to wait.

        Args:
            condition: the condition, checked after each change.
            must_run_alone: whether the request has to wait at all.
            until: loop time at which the wait ends.
            check_interval_s: interval at which the condition is checked without
                a change.
        """
        while condition() and must_run_alone() and now_s() < until:
            last_count = self._changed.count
            await self._changed.wait(
                last_count, min(check_interval_s, until - now_s())
            )

    def _must_run_alone(self, fingerprint: bytes) -> bool:
        """Whether its copies run one by one: neither cleared nor refused."""
        return self._registry.is_suspect(
            fingerprint
        ) and not self._registry.quarantined_s(fingerprint)
