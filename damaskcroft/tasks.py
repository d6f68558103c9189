"""Work that goes on beside other work: kept up, and ended in bounded time."""

import asyncio
import contextlib
import functools
import math
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable

from damaskcroft.observe import log_event, log_warning, metrics

__all__ = ["Signal", "Work", "background", "cancelled", "end_all", "kept_up"]

Work = Callable[[], Awaitable[None]]

# Between a failure that nobody foresaw and the next beginning: long enough
# that one which comes again at once costs little.
_BEGIN_AGAIN_S = 0.5

# How long tasks that were cancelled may take to end, before they are told once
# more: one that waited for another may have taken the first word for its.
_END_S = 2.0
_TRIES = 3


class Signal:
    """Wakes all who wait for something to change, in the order of waiting.

    Attributes:
        count: how often it was given.
    """

    __slots__ = ("_waiting", "count")

    def __init__(self) -> None:
        """Was never given."""
        self.count = 0
        self._waiting: dict[asyncio.Future[None], None] = {}

    def give(self) -> None:
        """Wakes whoever waits."""
        self.count += 1
        for waiting in self._waiting:
            _wake(waiting)
        self._waiting.clear()

    async def wait(self, seen: int, timeout_s: float = math.inf) -> int:
        """Waits until it was given more often than `seen`, or for a time.

        Args:
            seen: its count when whoever waits last looked.
            timeout_s: longest wait.

        Returns:
            How often it was given by now.
        """
        if self.count > seen:
            return self.count
        loop = asyncio.get_running_loop()
        waiting = loop.create_future()
        self._waiting[waiting] = None
        timer = None
        if timeout_s < math.inf:
            timer = loop.call_later(timeout_s, _wake, waiting)
        try:
            await waiting
        finally:
            if timer is not None:
                timer.cancel()
            self._waiting.pop(waiting, None)
        return self.count

    async def next(self, timeout_s: float = math.inf) -> int:
        """Waits until it is given once more, or for a time; see `wait`."""
        return await self.wait(self.count, timeout_s)


def _wake(waiting: asyncio.Future[None]) -> None:
    if not waiting.done():
        waiting.set_result(None)


async def kept_up(work: Work) -> None:
    """Does work that should go on for ever; begins again when it fails.

    A task that ends by a failure of ours would else be missed in silence: a
    process without the task that keeps its lease looks well and serves
    nothing.
    """
    while True:
        try:
            await work()
            return
        except Exception as error:
            name = _name(work)
            metrics.TASK_FAILURES.labels(name).inc()
            log_warning("task_failed", task=name, reason=repr(error))
        await asyncio.sleep(_BEGIN_AGAIN_S)


def _name(work: Work) -> str:
    if isinstance(work, functools.partial):
        return _name(work.func)
    return getattr(work, "__qualname__", type(work).__name__)


@contextlib.asynccontextmanager
async def background(
    *works: Work, end_s: float = _END_S
) -> AsyncIterator[None]:
    """Keeps work up beside the block, and ends it with the block.

    Args:
        *works: begin again when they fail.
        end_s: see `end_all`.
    """
    tasks = [asyncio.create_task(kept_up(work)) for work in works]
    try:
        yield
    finally:
        await end_all(tasks, end_s)


async def cancelled(task: asyncio.Task | None) -> None:
    """Cancels a task, if there is one, and waits until it has ended.

    How it ended is not raised here; whoever waits may itself be cancelled.
    """
    if task is None:
        return
    while not task.done():
        # Told again until it hears: a library may take a cancellation for its
        # own, and the task goes on as if nothing had been said.
        task.cancel()
        await asyncio.wait([task], timeout=_END_S)
    _note_failure(task)


async def end_all(tasks: Iterable[asyncio.Task], end_s: float = _END_S) -> None:
    """Cancels tasks and waits for them, but not for ever.

    Args:
        tasks: told three times at most.
        end_s: wait after each time.
    """
    waiting = set(tasks)
    for _ in range(_TRIES):
        if not waiting:
            return
        for task in waiting:
            task.cancel()
        done, waiting = await asyncio.wait(waiting, timeout=end_s)
        for task in done:
            _note_failure(task)
    for task in waiting:
        log_event("task_left", task=task.get_coro())


def _note_failure(task: asyncio.Task) -> None:
    if task.cancelled() or task.exception() is None:
        return
    log_event("task_failed", task=task.get_coro(), reason=task.exception())
