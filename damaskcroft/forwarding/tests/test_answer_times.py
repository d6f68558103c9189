"""Tests of the recorded durations of answers."""

import asyncio

from damaskcroft.forwarding._answer_times import AnswerTimes

TIMEOUT_S = 6.0


def test_answer_durations_expire(loop):
    # Guards against judging a route by answers of hours ago, and against
    # forgetting the most recent ones.
    async def scenario():
        times = AnswerTimes()
        times.record("a", 2.0)
        times.record("a", 1.0)
        await asyncio.sleep(29.0)
        assert times.longest_s("a", TIMEOUT_S) == 2.0
        assert times.longest_s("b", TIMEOUT_S) == TIMEOUT_S
        await asyncio.sleep(2.0)
        times.record("a", 1.0)
        assert times.longest_s("a", TIMEOUT_S) == 2.0
        await asyncio.sleep(30.0)
        assert times.longest_s("a", TIMEOUT_S) == 1.0
        await asyncio.sleep(300.0)
        assert times.longest_s("a", TIMEOUT_S) == TIMEOUT_S

    loop.run_until_complete(scenario())


def test_timeout_is_returned_until_slow_answers_could_have_ended(loop):
    # Guards against a newly started entry that takes its first answers, which
    # are the quick ones, as representative.
    async def scenario():
        times = AnswerTimes()
        await asyncio.sleep(0.5)
        times.record("a", 0.5)
        await asyncio.sleep(5.4)
        assert times.longest_s("a", TIMEOUT_S) == TIMEOUT_S
        await asyncio.sleep(0.2)
        assert times.longest_s("a", TIMEOUT_S) == 0.5

    loop.run_until_complete(scenario())
