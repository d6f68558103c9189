"""A coroutine that is suspended between any two of its steps."""

import asyncio
import itertools
import types


async def suspended_at(step, work, pause):
    """Awaits a coroutine; before one of its steps it stands still.

    A step ends where the coroutine waits for something. Timeouts and results
    that come while it is suspended reach it afterwards, as they reach a process
    that continues.

    Args:
        step: number of the step, from 0.
        work: the coroutine.
        pause: coroutine function that is awaited once while `work` is
            suspended.

    Returns:
        The result of the coroutine.
    """
    return await _step_by_step(step, work, pause)


@types.coroutine
def _step_by_step(step, work, pause):
    resume, argument = work.send, None
    for number in itertools.count():
        if number == step:
            cancellation = yield from _pass_uncancelled(pause()).__await__()
            if cancellation is not None:
                resume, argument = work.throw, cancellation
        try:
            awaited = resume(argument)
        except StopIteration as end:
            return end.value
        try:
            yield awaited
            resume, argument = work.send, None
        except BaseException as error:  # noqa: BLE001
            resume, argument = work.throw, error


async def _pass_uncancelled(pause):
    """Awaits to the end; returns the cancellation that came meanwhile."""
    cancellation = None
    pausing = asyncio.ensure_future(pause)
    while not pausing.done():
        try:
            await asyncio.shield(pausing)
        except asyncio.CancelledError as error:
            cancellation = error
    pausing.result()
    return cancellation
