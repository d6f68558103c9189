"""Answer delays of targets that are slow or don't answer."""

import asyncio

from damaskcroft.routing import AnswerDelays


async def answer_after(delays, target_id, delay_s):
    with delays.timed(target_id) as answered:
        await asyncio.sleep(delay_s)
        answered()


def test_the_shortest_recent_delay_counts(loop):
    async def scenario():
        delays = AnswerDelays()
        assert delays.shortest_delay_s("a") == 0.0
        await asyncio.gather(
            *(answer_after(delays, "a", d) for d in (0.9, 0.1, 0.4))
        )
        assert abs(delays.shortest_delay_s("a") - 0.1) < 1e-6
        assert delays.shortest_delay_s("b") == 0.0

    loop.run(scenario())


def test_a_narrowed_link_is_detected_within_two_seconds(loop):
    async def scenario():
        delays = AnswerDelays()
        await answer_after(delays, "a", 0.1)
        await asyncio.gather(
            *(answer_after(delays, "a", 1.2) for _ in range(3))
        )
        await asyncio.sleep(1.0)
        assert abs(delays.shortest_delay_s("a") - 1.2) < 1e-6

    loop.run(scenario())


def test_without_answers_the_oldest_request_decides(loop):
    async def scenario():
        delays = AnswerDelays()
        unanswered = asyncio.create_task(answer_after(delays, "a", 100))
        await asyncio.sleep(1.5)
        assert abs(delays.shortest_delay_s("a") - 1.5) < 1e-6
        unanswered.cancel()
        await asyncio.gather(unanswered, return_exceptions=True)
        # The abandoned request counts against the target for a while.
        await asyncio.sleep(1.0)
        assert abs(delays.shortest_delay_s("a") - 1.5) < 1e-6
        await asyncio.sleep(9.5)
        assert delays.shortest_delay_s("a") == 0.0
        delays.retain_only(set())
        assert delays.shortest_delay_s("a") == 0.0

    loop.run(scenario())


def test_a_slow_target_without_requests_is_remembered_as_slow(loop):
    """It gets no requests for some seconds, because others are faster."""

    async def scenario():
        delays = AnswerDelays()
        await answer_after(delays, "a", 1.2)
        await asyncio.sleep(5.0)
        assert abs(delays.shortest_delay_s("a") - 1.2) < 1e-6
        await asyncio.sleep(5.5)
        assert delays.shortest_delay_s("a") == 0.0

    loop.run(scenario())


def test_a_fast_answer_does_not_hide_missing_ones(loop):
    """Guards against a prediction of 0.35 s where arrival took 1.24 s.

    One answer a second earlier had been fast, and the requests after it had
    not been answered.
    """

    async def scenario():
        delays = AnswerDelays()
        await answer_after(delays, "a", 0.35)
        unanswered = asyncio.create_task(answer_after(delays, "a", 100))
        await asyncio.sleep(0.8)
        assert abs(delays.shortest_delay_s("a") - 0.35) < 1e-6
        assert abs(delays.expected_delay_s("a") - 0.8) < 1e-6
        await answer_after(delays, "a", 0.1)
        assert abs(delays.expected_delay_s("a") - 0.1) < 1e-6
        unanswered.cancel()
        await asyncio.gather(unanswered, return_exceptions=True)
        assert delays.expected_delay_s("b") == 0.0

    loop.run(scenario())
