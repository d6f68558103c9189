"""Time that a stopping entry waits for the calls in progress."""

import asyncio

import pytest

from damaskcroft.entry._running import RunningCalls


@pytest.fixture
def drain_time(loop):
    """Measures a drain; each call is its deadline and its end, in seconds."""

    async def call(running, deadline_s, ends_after_s):
        running.begin(deadline_s)
        await asyncio.sleep(ends_after_s)
        running.end()

    async def drain(calls):
        running = RunningCalls()
        tasks = [asyncio.create_task(call(running, *each)) for each in calls]
        await asyncio.sleep(0)
        began_at = loop.time()
        await running.drain()
        took_s = loop.time() - began_at
        await asyncio.gather(*tasks)
        return took_s

    return lambda *calls: loop.run_until_complete(drain(calls))


def test_drain_waits_for_the_last_answer(drain_time):
    # The entry must not end while an answer is in progress.
    assert 30.0 <= drain_time((5.0, 1.0), (30.0, 30.0), (2.0, 0.5)) < 30.1


def test_caller_that_stops_reading_does_not_block_the_drain(drain_time):
    # Callers must not be able to keep an entry from ending.
    assert 7.0 < drain_time((5.0, 1000.0), (3.0, 1.0)) < 7.1


def test_drain_without_calls_ends_at_once(drain_time):
    # The deadlines of calls that have been answered must not be waited for.
    assert drain_time() == 0
