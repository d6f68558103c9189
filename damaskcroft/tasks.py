"""Ending work that is no longer wanted, within a bounded time."""

import asyncio
from collections.abc import Iterable

from damaskcroft.observe import log_event

__all__ = ["cancelled", "end_all"]

# How long tasks that were cancelled may take to end, before they are told once
# more: one that waited for another may have taken the first word for its.
_END_S = 2.0
_TRIES = 3


async def cancelled(task: asyncio.Task | None) -> None:
    """Cancels a task, if there is one, and waits until it has ended.

    How it ended is not raised here; whoever waits may itself be cancelled.
    """
    if task is None:
        return
    task.cancel()
    await asyncio.wait([task])
    _note_failure(task)


async def end_all(tasks: Iterable[asyncio.Task]) -> None:
    """Cancels tasks and waits for them, but not for ever."""
    waiting = set(tasks)
    for _ in range(_TRIES):
        if not waiting:
            return
        for task in waiting:
            task.cancel()
        done, waiting = await asyncio.wait(waiting, timeout=_END_S)
        for task in done:
            _note_failure(task)
    for task in waiting:
        log_event("task_left", task=task.get_coro())


def _note_failure(task: asyncio.Task) -> None:
    if task.cancelled() or task.exception() is None:
        return
    log_event("task_failed", task=task.get_coro(), reason=task.exception())
