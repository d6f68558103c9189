"""Calls in progress at agents whose lease expires."""

import asyncio

import pytest

from damaskcroft.entry.tests.fakes import AGENTS
from damaskcroft.routing import RetryBudget


@pytest.mark.parametrize("key", ["", "k"], ids=["repeatable", "once"])
def test_call_is_answered_by_an_agent_that_is_cut_off_from_control(
    loop, cluster, key
):
    # An attempt must not be abandoned if no other target can be tried.
    for engine in cluster.engines.values():
        engine.work_s = 0.5

    async def scenario():
        task = cluster.send(0, key, body_key="b")
        await asyncio.sleep(0.2)
        await cluster.publish_roster(lapsed=AGENTS)
        return await task

    assert loop.run(scenario()).status_code == 200
    assert len(cluster.journal) == 1


def test_stream_goes_on_at_an_agent_that_is_cut_off_from_control(loop, cluster):
    # A stream must not end with an error while its target still sends.
    for engine in cluster.engines.values():
        engine.work_s = 0.5
        engine.content_type = "text/event-stream"

    async def scenario():
        response = await cluster.send(0, "", body_key="b")
        await cluster.publish_roster(lapsed=AGENTS)
        return b"".join([piece async for piece in response.body_iterator])

    assert loop.run(scenario()) == b"answer to b, whole"


def test_agent_with_expired_lease_is_abandoned_if_another_can_answer(
    loop, cluster
):
    # Calls must not wait for a dead agent until their deadline.
    async def scenario():
        for name in AGENTS[1:]:
            cluster.agents[name].thawed.clear()
        tasks = [cluster.send(0, "", body_key="b") for _ in range(6)]
        await asyncio.sleep(0.2)
        await cluster.publish_roster(lapsed=AGENTS[1:])
        async with asyncio.timeout(1):
            return await asyncio.gather(*tasks)

    assert {answer.status_code for answer in loop.run(scenario())} == {200}
    assert len(cluster.journal) == 6


def test_agent_with_expired_lease_is_kept_if_no_retry_is_in_budget(
    loop, cluster
):
    # The retry budget must be spent before an attempt is abandoned.
    for engine in cluster.engines.values():
        engine.work_s = 0.5
    cluster.entries[0].dispatcher.budget = budget = RetryBudget(0.0)
    while budget.spend():
        pass

    async def scenario():
        tasks = [cluster.send(0, "", body_key="b") for _ in range(6)]
        await asyncio.sleep(0.2)
        await cluster.publish_roster(lapsed=AGENTS[1:])
        return await asyncio.gather(*tasks)

    assert {answer.status_code for answer in loop.run(scenario())} == {200}
    assert len(cluster.journal) == 6
