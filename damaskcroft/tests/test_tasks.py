"""Cancellation and restart of tasks, and notification of waiters."""

import asyncio

import pytest

from damaskcroft.tasks import Signal, background, cancel_all, cancelled


def test_cancelling_task_may_itself_be_cancelled(loop):
    """Its own cancellation must not be taken for that of the other task."""

    async def scenario():
        async def end_slowly():
            try:
                await asyncio.sleep(100)
            finally:
                await asyncio.sleep(1)

        async def outer():
            work = asyncio.create_task(end_slowly())
            await asyncio.sleep(0)
            await cancelled(work)
            await asyncio.sleep(100)

        task = asyncio.create_task(outer())
        await asyncio.sleep(0.5)
        task.cancel()
        async with asyncio.timeout(5):
            await asyncio.wait([task])
        assert task.cancelled()

    loop.run(scenario())


def test_tasks_that_ignore_one_cancellation_are_cancelled_again(loop):
    async def scenario():
        async def ignore_one_cancellation():
            try:
                await asyncio.sleep(100)
            except asyncio.CancelledError:
                await asyncio.sleep(100)

        async def ignore_cancellation():
            while True:
                try:
                    await asyncio.sleep(100)
                except asyncio.CancelledError:
                    continue

        tasks = [
            asyncio.create_task(ignore_one_cancellation()) for _ in range(3)
        ]
        stuck = asyncio.create_task(ignore_cancellation())
        await asyncio.sleep(0)
        started_at = loop.time()
        await cancel_all([*tasks, stuck])
        assert all(task.done() for task in tasks)
        assert loop.time() - started_at < 7

    loop.run(scenario())


def test_uncancellable_work_delays_its_block_no_longer_than_allowed(loop):
    # Guards against a program that waits for such work at exit until its
    # platform kills it.
    async def scenario():
        async def ignore_cancellation():
            while True:
                try:
                    await asyncio.sleep(100)
                except asyncio.CancelledError:
                    continue

        async with background(ignore_cancellation, end_s=0.1):
            await asyncio.sleep(1.0)
            ended_at = loop.time()
        assert loop.time() - ended_at < 0.5

    loop.run(scenario())


def test_earlier_failure_of_a_task_is_not_raised(loop):
    async def scenario():
        async def fails():
            raise ValueError("disk")

        task = asyncio.create_task(fails())
        await asyncio.sleep(0)
        await cancelled(task)
        await cancelled(None)
        await cancel_all([task])

    loop.run(scenario())


def test_endless_work_restarts_after_a_failure(loop, caplog):
    start_times = []

    async def follows():
        start_times.append(loop.time())
        if len(start_times) < 3:
            raise KeyError("not foreseen")
        await asyncio.sleep(1e6)

    async def scenario():
        async with background(follows):
            await asyncio.sleep(30.0)

    loop.run(scenario())
    assert len(start_times) == 3
    failures = [text for text in caplog.messages if "event=task_failed" in text]
    assert len(failures) == 2
    assert "follows" in failures[0]
    assert "not foreseen" in failures[0]


def test_single_task_that_ignores_a_cancellation_is_cancelled_again(loop):
    async def scenario():
        async def ignore_one_cancellation():
            try:
                await asyncio.sleep(1e6)
            except asyncio.CancelledError:
                await asyncio.sleep(1e6)

        task = asyncio.create_task(ignore_one_cancellation())
        await asyncio.sleep(0)
        async with asyncio.timeout(10):
            await cancelled(task)
        assert task.done()

    loop.run(scenario())


def test_signal_wakes_all_waiters_and_is_not_missed(loop):
    async def scenario():
        signal = Signal()
        seen = signal.count
        waiting = [asyncio.create_task(signal.wait(seen)) for _ in range(3)]
        await asyncio.sleep(1)
        signal.notify()
        assert await asyncio.gather(*waiting) == [seen + 1] * 3
        # Notified between the check and the wait.
        started_at = loop.time()
        assert await signal.wait(seen) == seen + 1
        assert loop.time() == started_at
        # Without a notification, the timeout ends the wait.
        assert await signal.wait(seen + 1, 2.0) == seen + 1
        assert loop.time() == pytest.approx(started_at + 2)

    loop.run(scenario())
