"""How long an entry that stops waits for its calls."""

import asyncio

import pytest

from damaskcroft.entry._running import RunningCalls


@pytest.fixture
def finishing(loop):
    """Seconds that calls take to finish; each is a deadline and its end."""

    async def call(running, deadline_s, ends_after_s):
        running.begin(deadline_s)
        await asyncio.sleep(ends_after_s)
        running.end()

    async def finish(calls):
        running = RunningCalls()
        tasks = [asyncio.create_task(call(running, *each)) for each in calls]
        await asyncio.sleep(0)
        began_at = loop.time()
        await running.finish()
        took_s = loop.time() - began_at
        await asyncio.gather(*tasks)
        return took_s

    return lambda *calls: loop.run_until_complete(finish(calls))


def test_calls_are_waited_for_until_their_last_answer(finishing):
    # Against an entry that ends while an answer is under way.
    assert 30.0 <= finishing((5.0, 1.0), (30.0, 30.0), (2.0, 0.5)) < 30.1


def test_a_caller_that_reads_no_further_does_not_keep_an_entry(finishing):
    # Against an entry that its callers can keep from ending.
    assert 7.0 < finishing((5.0, 1000.0), (3.0, 1.0)) < 7.1


def test_nothing_is_waited_for_where_nothing_runs(finishing):
    # Against waits for the deadlines of calls that were answered long ago.
    assert finishing() == 0
