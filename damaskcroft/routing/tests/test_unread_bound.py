"""The bound on unread prompts follows the time to first event of engines."""

import asyncio

import pytest

from damaskcroft.routing._unread_bound import UnreadBound

OBJECTIVE_S = 0.4


@pytest.fixture
def bound():
    return UnreadBound()


async def record_answers(bound, took_s, seconds):
    """Records twenty answers a second with the same time to first event."""
    for _ in range(int(20 * seconds)):
        await asyncio.sleep(0.05)
        bound.record(took_s, OBJECTIVE_S)


def test_bound_falls_while_answers_begin_late_and_rises_again(loop, bound):
    async def scenario():
        highest = bound.share
        await record_answers(bound, 0.1, 2)
        assert bound.share == highest
        await record_answers(bound, 0.6, 2)
        lowered = bound.share
        assert lowered < highest / 3
        await record_answers(bound, 0.1, 1)
        assert lowered < bound.share < highest
        await record_answers(bound, 0.1, 10)
        assert bound.share == highest

    loop.run(scenario())


def test_bound_never_falls_to_zero(loop, bound):
    async def scenario():
        await record_answers(bound, 5.0, 60)
        assert bound.share == pytest.approx(0.02)

    loop.run(scenario())


def test_one_late_answer_among_many_does_not_lower_the_bound(loop, bound):
    async def scenario():
        highest = bound.share
        for _ in range(20):
            bound.record(5.0, OBJECTIVE_S)
            await record_answers(bound, 0.1, 0.3)
        assert bound.share == highest

    loop.run(scenario())


def test_requests_without_a_latency_objective_do_not_change_the_bound(
    loop, bound
):
    async def scenario():
        for _ in range(100):
            await asyncio.sleep(0.05)
            bound.record(5.0, 0.0)
        assert bound.share == UnreadBound().share

    loop.run(scenario())
