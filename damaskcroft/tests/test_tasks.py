"""Tasks are ended, whatever they do about it."""

import asyncio

import pytest

from damaskcroft.tasks import Signal, background, cancelled, end_all


def test_whoever_waits_for_another_to_end_may_be_cancelled(loop):
    """Its own cancellation must not be taken for the other's."""

    async def scenario():
        async def slow_to_end():
            try:
                await asyncio.sleep(100)
            finally:
                await asyncio.sleep(1)

        async def outer():
            work = asyncio.create_task(slow_to_end())
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


def test_a_task_that_overhears_one_word_is_told_again(loop):
    async def scenario():
        async def deaf_once():
            try:
                await asyncio.sleep(100)
            except asyncio.CancelledError:
                await asyncio.sleep(100)

        async def never():
            while True:
                try:
                    await asyncio.sleep(100)
                except asyncio.CancelledError:
                    continue

        tasks = [asyncio.create_task(deaf_once()) for _ in range(3)]
        stuck = asyncio.create_task(never())
        await asyncio.sleep(0)
        began_at = loop.time()
        await end_all([*tasks, stuck])
        assert all(task.done() for task in tasks)
        assert loop.time() - began_at < 7

    loop.run(scenario())


def test_work_that_hears_no_word_holds_its_block_up_no_longer_than_told(loop):
    # Against a program that its platform kills while it waits for such work.
    async def scenario():
        async def never():
            while True:
                try:
                    await asyncio.sleep(100)
                except asyncio.CancelledError:
                    continue

        async with background(never, end_s=0.1):
            await asyncio.sleep(1.0)
            ended_at = loop.time()
        assert loop.time() - ended_at < 0.5

    loop.run(scenario())


def test_what_failed_before_is_told_and_not_raised(loop):
    async def scenario():
        async def fails():
            raise ValueError("disk")

        task = asyncio.create_task(fails())
        await asyncio.sleep(0)
        await cancelled(task)
        await cancelled(None)
        await end_all([task])

    loop.run(scenario())


def test_work_that_should_never_end_begins_again_after_a_failure(loop, caplog):
    begun = []

    async def follows():
        begun.append(loop.time())
        if len(begun) < 3:
            raise KeyError("not foreseen")
        await asyncio.sleep(1e6)

    async def scenario():
        async with background(follows):
            await asyncio.sleep(30.0)

    loop.run(scenario())
    assert len(begun) == 3
    told = [text for text in caplog.messages if "event=task_failed" in text]
    assert len(told) == 2
    assert "follows" in told[0]
    assert "not foreseen" in told[0]


def test_one_task_that_overhears_its_cancellation_is_told_again(loop):
    async def scenario():
        async def deaf_once():
            try:
                await asyncio.sleep(1e6)
            except asyncio.CancelledError:
                await asyncio.sleep(1e6)

        task = asyncio.create_task(deaf_once())
        await asyncio.sleep(0)
        async with asyncio.timeout(10):
            await cancelled(task)
        assert task.done()

    loop.run(scenario())


def test_a_signal_wakes_all_who_wait_and_is_not_missed(loop):
    async def scenario():
        signal = Signal()
        seen = signal.count
        waiting = [asyncio.create_task(signal.wait(seen)) for _ in range(3)]
        await asyncio.sleep(1)
        signal.give()
        assert await asyncio.gather(*waiting) == [seen + 1] * 3
        # Given between the look and the wait.
        began_at = loop.time()
        assert await signal.wait(seen) == seen + 1
        assert loop.time() == began_at
        # Not given: the time ends the wait.
        assert await signal.wait(seen + 1, 2.0) == seen + 1
        assert loop.time() == pytest.approx(began_at + 2)

    loop.run(scenario())
