"""Agents that control no longer hears, and the calls under way there."""

import asyncio

import pytest

from damaskcroft.entry.tests.fakes import AGENTS
from damaskcroft.routing import RetryBudget


@pytest.mark.parametrize("key", ["", "k"], ids=["repeatable", "once"])
def test_a_call_is_answered_by_an_agent_that_only_control_lost(
    loop, world, key
):
    # Against an attempt that is ended with nothing to put in its place.
    for engine in world.engines.values():
        engine.work_s = 0.5

    async def scenario():
        asked = world.ask(0, key, body_key="b")
        await asyncio.sleep(0.2)
        await world.tell(lapsed=AGENTS)
        return await asked

    assert loop.run(scenario()).status_code == 200
    assert len(world.journal) == 1


def test_a_stream_goes_on_at_an_agent_that_only_control_lost(loop, world):
    # Against a stream that ends with an error while its target writes.
    for engine in world.engines.values():
        engine.work_s = 0.5
        engine.content_type = "text/event-stream"

    async def scenario():
        response = await world.ask(0, "", body_key="b")
        await world.tell(lapsed=AGENTS)
        return b"".join([piece async for piece in response.body_iterator])

    assert loop.run(scenario()) == b"answer to b, whole"


def test_a_lapsed_agent_is_left_while_another_can_answer(loop, world):
    # Against calls that wait for a dead agent until their deadline.
    async def scenario():
        for name in AGENTS[1:]:
            world.agents[name].thawed.clear()
        asked = [world.ask(0, "", body_key="b") for _ in range(6)]
        await asyncio.sleep(0.2)
        await world.tell(lapsed=AGENTS[1:])
        async with asyncio.timeout(1):
            return await asyncio.gather(*asked)

    assert {answer.status_code for answer in loop.run(scenario())} == {200}
    assert len(world.journal) == 6


def test_a_lapsed_agent_is_kept_while_no_retry_may_follow(loop, world):
    # Against attempts that are ended before the budget for others was taken.
    for engine in world.engines.values():
        engine.work_s = 0.5
    world.entries[0].dispatcher.budget = budget = RetryBudget(0.0)
    while budget.spend():
        pass

    async def scenario():
        asked = [world.ask(0, "", body_key="b") for _ in range(6)]
        await asyncio.sleep(0.2)
        await world.tell(lapsed=AGENTS[1:])
        return await asyncio.gather(*asked)

    assert {answer.status_code for answer in loop.run(scenario())} == {200}
    assert len(world.journal) == 6
