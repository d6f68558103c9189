"""What is remembered of how long answers took."""

import asyncio

from damaskcroft.forwarding._answer_times import AnswerTimes


def test_an_answer_counts_for_a_while_and_no_longer(loop):
    # Against routes judged by answers of hours ago, or by none just now.
    async def scenario():
        times = AnswerTimes()
        times.took("a", 2.0)
        times.took("a", 1.0)
        await asyncio.sleep(29.0)
        assert times.longest_s("a") == 2.0
        assert times.longest_s("b") == 0.0
        await asyncio.sleep(2.0)
        times.took("a", 1.0)
        assert times.longest_s("a") == 2.0
        await asyncio.sleep(30.0)
        assert times.longest_s("a") == 1.0
        await asyncio.sleep(300.0)
        assert times.longest_s("a") == 0.0

    loop.run_until_complete(scenario())
