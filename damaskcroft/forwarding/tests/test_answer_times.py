"""What is remembered of how long answers took."""

import asyncio

from damaskcroft.forwarding._answer_times import AnswerTimes

TIMEOUT_S = 6.0


def test_an_answer_counts_for_a_while_and_no_longer(loop):
    # Against routes judged by answers of hours ago, or by none just now.
    async def scenario():
        times = AnswerTimes()
        times.took("a", 2.0)
        times.took("a", 1.0)
        await asyncio.sleep(29.0)
        assert times.longest_s("a", TIMEOUT_S) == 2.0
        assert times.longest_s("b", TIMEOUT_S) == TIMEOUT_S
        await asyncio.sleep(2.0)
        times.took("a", 1.0)
        assert times.longest_s("a", TIMEOUT_S) == 2.0
        await asyncio.sleep(30.0)
        assert times.longest_s("a", TIMEOUT_S) == 1.0
        await asyncio.sleep(300.0)
        assert times.longest_s("a", TIMEOUT_S) == TIMEOUT_S

    loop.run_until_complete(scenario())


def test_quick_answers_tell_nothing_before_slow_ones_could_have_ended(loop):
    # Against an entry just started that takes its first answers for all.
    async def scenario():
        times = AnswerTimes()
        await asyncio.sleep(0.5)
        times.took("a", 0.5)
        await asyncio.sleep(5.4)
        assert times.longest_s("a", TIMEOUT_S) == TIMEOUT_S
        await asyncio.sleep(0.2)
        assert times.longest_s("a", TIMEOUT_S) == 0.5

    loop.run_until_complete(scenario())
