"""What answers' delays tell of a target."""

import asyncio

from damaskcroft.routing import AnswerDelays


async def answer_after(delays, target_id, delay_s):
    with delays.timed(target_id) as answered:
        await asyncio.sleep(delay_s)
        answered()


def test_the_quickest_of_the_last_answers_counts(loop):
    async def scenario():
        delays = AnswerDelays()
        assert delays.quickest_s("a") == 0.0
        await asyncio.gather(
            *(answer_after(delays, "a", d) for d in (0.9, 0.1, 0.4))
        )
        assert abs(delays.quickest_s("a") - 0.1) < 1e-6
        assert delays.quickest_s("b") == 0.0

    loop.run(scenario())


def test_a_link_that_turned_narrow_shows_within_two_seconds(loop):
    async def scenario():
        delays = AnswerDelays()
        await answer_after(delays, "a", 0.1)
        await asyncio.gather(
            *(answer_after(delays, "a", 1.2) for _ in range(3))
        )
        await asyncio.sleep(1.0)
        assert abs(delays.quickest_s("a") - 1.2) < 1e-6

    loop.run(scenario())


def test_without_answers_the_oldest_question_tells(loop):
    async def scenario():
        delays = AnswerDelays()
        never = asyncio.create_task(answer_after(delays, "a", 100))
        await asyncio.sleep(1.5)
        assert abs(delays.quickest_s("a") - 1.5) < 1e-6
        never.cancel()
        await asyncio.gather(never, return_exceptions=True)
        # Given up in vain, which speaks of the target for a while.
        await asyncio.sleep(1.0)
        assert abs(delays.quickest_s("a") - 1.5) < 1e-6
        await asyncio.sleep(9.5)
        assert delays.quickest_s("a") == 0.0
        delays.forget_all_but(set())
        assert delays.quickest_s("a") == 0.0

    loop.run(scenario())


def test_a_slow_target_that_is_left_is_remembered_as_slow(loop):
    """It gets nothing for some seconds, since others are quicker."""

    async def scenario():
        delays = AnswerDelays()
        await answer_after(delays, "a", 1.2)
        await asyncio.sleep(5.0)
        assert abs(delays.quickest_s("a") - 1.2) < 1e-6
        await asyncio.sleep(5.5)
        assert delays.quickest_s("a") == 0.0

    loop.run(scenario())


def test_a_quick_answer_does_not_hide_those_that_stay_away(loop):
    """An entry foresaw 0.35 s, its last request took 1.24 s to arrive.

    One answer of a second before had been quick; the requests after it had
    none.
    """

    async def scenario():
        delays = AnswerDelays()
        await answer_after(delays, "a", 0.35)
        never = asyncio.create_task(answer_after(delays, "a", 100))
        await asyncio.sleep(0.8)
        assert abs(delays.quickest_s("a") - 0.35) < 1e-6
        assert abs(delays.foreseen_s("a") - 0.8) < 1e-6
        await answer_after(delays, "a", 0.1)
        assert abs(delays.foreseen_s("a") - 0.1) < 1e-6
        never.cancel()
        await asyncio.gather(never, return_exceptions=True)
        assert delays.foreseen_s("b") == 0.0

    loop.run(scenario())
