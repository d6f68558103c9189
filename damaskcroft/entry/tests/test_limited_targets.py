"""Calls to targets that announce a rate limit."""

import asyncio

from damaskcroft.entry.tests.fakes import ran_status
from damaskcroft.limits import Named


async def send_for(cluster, seconds):
    """Sends a call every 50 ms, to both entries by turns; returns answers."""
    tasks = []
    for number in range(int(seconds * 20)):
        tasks.append(cluster.send(number % 2, "", body_key=f"b{number}"))
        await asyncio.sleep(0.05)
    return await asyncio.gather(*tasks)


def test_rate_limit_holds_over_all_entries_together(loop, cluster):
    for engine in cluster.engines.values():
        engine.limit = Named(2.0)

    async def scenario():
        await send_for(cluster, 3)
        before = len(cluster.journal)
        await send_for(cluster, 10)
        assert len(cluster.journal) - before <= 3 * 2 * 10 + 3

    loop.run(scenario())


def test_call_without_a_token_is_refused_as_not_run_with_retry_after(
    loop, cluster
):
    for engine in cluster.engines.values():
        engine.limit = Named(0.5)

    async def scenario():
        answers = await send_for(cluster, 5)
        refused = [a for a in answers[20:] if a.status_code != 200]
        assert refused
        for answer in refused:
            assert (answer.status_code, ran_status(answer)) == (503, "not_run")
            assert int(answer.headers["Retry-After"]) >= 1

    loop.run(scenario())


def test_other_targets_serve_calls_beside_a_limited_target(loop, cluster):
    first, *_ = cluster.engines.values()
    first.limit = Named(0.0)

    async def scenario():
        answers = await send_for(cluster, 5)
        assert all(answer.status_code == 200 for answer in answers)

    loop.run(scenario())
