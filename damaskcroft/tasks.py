"""Background tasks: restarted on failure, cancelled within bounded time."""

import asyncio
import contextlib
import functools
import math
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable

from damaskcroft.observe import log_event, log_warning, metrics

__all__ = ["Signal", "Work", "background", "cancel_all", "cancelled", "kept_up"]

Work = Callable[[], Awaitable[None]]

# Delay between an unexpected failure and the restart: long enough that repeated
# immediate failures cost little.
_RESTART_DELAY_S = 0.5

# How long cancelled tasks may take to end before they are cancelled again: a
# task that waited for another may have taken the first cancellation for that of
# the other.
_CANCEL_TIMEOUT_S = 2.0
_CANCEL_ATTEMPTS = 3


class Signal:
    """Notifies all waiters of a change, in the order in which they waited.

    Attributes:
        count: number of notifications so far.
    """

    __slots__ = ("_waiters", "count")

    def __init__(self) -> None:
        """Starts without notifications or waiters."""
        self.count = 0
        self._waiters: dict[asyncio.Future[None], None] = {}

    def notify(self) -> None:
        """Counts a notification and wakes all waiters."""
        self.count += 1
        for waiter in self._waiters:
            _wake(waiter)
        self._waiters.clear()

    async def wait(self, seen_count: int, timeout_s: float = math.inf) -> int:
        """Waits until the count exceeds `seen_count`, or until the timeout.

        Args:
            seen_count: count when the caller last checked the state.
            timeout_s: longest wait.

        Returns:
            The current count.
        """
        if self.count > seen_count:
            return self.count
        loop = asyncio.get_running_loop()
        waiter = loop.create_future()
        self._waiters[waiter] = None
        timer = None
        if timeout_s < math.inf:
            timer = loop.call_later(timeout_s, _wake, waiter)
        try:
            await waiter
        finally:
            if timer is not None:
                timer.cancel()
            self._waiters.pop(waiter, None)
        return self.count

    async def wait_next(self, timeout_s: float = math.inf) -> int:
        """Waits for the next notification, or until the timeout; see `wait`."""
        return await self.wait(self.count, timeout_s)


def _wake(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)


async def kept_up(work: Work) -> None:
    """Runs work that should never end, and restarts it when it fails.

    Without the restart, a task that ends by a programming error would go
    unnoticed: a process without the task that renews its lease looks healthy
    and serves nothing.
    """
    while True:
        try:
            await work()
            return
        except Exception as error:
            name = _qualified_name(work)
            metrics.TASK_FAILURES.labels(name).inc()
            log_warning("task_failed", task=name, reason=repr(error))
        await asyncio.sleep(_RESTART_DELAY_S)


def _qualified_name(work: Work) -> str:
    if isinstance(work, functools.partial):
        return _qualified_name(work.func)
    return getattr(work, "__qualname__", type(work).__name__)


@contextlib.asynccontextmanager
async def background(
    *works: Work, end_s: float = _CANCEL_TIMEOUT_S
) -> AsyncIterator[None]:
    """Runs work during the block, and cancels it at the end of the block.

    Args:
        *works: task functions, restarted when they fail.
        end_s: see `cancel_all`.
    """
    tasks = [asyncio.create_task(kept_up(work)) for work in works]
    try:
        yield
    finally:
        await cancel_all(tasks, end_s)


async def cancelled(task: asyncio.Task | None) -> None:
    """Cancels a task, if there is one, and waits until it has ended.

    A failure of the task is logged and not raised. The caller may itself be
    cancelled while it waits.
    """
    if task is None:
        return
    while not task.done():
        # The cancellation is repeated because a library may take it for its own
        # and suppress it, so that the task continues.
        task.cancel()
        await asyncio.wait([task], timeout=_CANCEL_TIMEOUT_S)
    _log_failure(task)


async def cancel_all(
    tasks: Iterable[asyncio.Task], end_s: float = _CANCEL_TIMEOUT_S
) -> None:
    """Cancels tasks and waits for them for a bounded time.

    Args:
        tasks: each is cancelled three times at most.
        end_s: longest wait after each cancellation.
    """
    pending = set(tasks)
    for _ in range(_CANCEL_ATTEMPTS):
        if not pending:
            return
        for task in pending:
            task.cancel()
        done, pending = await asyncio.wait(pending, timeout=end_s)
        for task in done:
            _log_failure(task)
    for task in pending:
        log_event("task_left", task=task.get_coro())


def _log_failure(task: asyncio.Task) -> None:
    if task.cancelled() or task.exception() is None:
        return
    log_event("task_failed", task=task.get_coro(), reason=task.exception())
