"""Ending work that is no longer wanted."""

import asyncio
import contextlib


async def cancelled(task: asyncio.Task | None) -> None:
    """Cancels a task, if there is one, and waits until it has ended."""
    if task is None:
        return
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
