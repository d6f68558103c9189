"""At-most-once execution of requests with an idempotency key."""

import asyncio

from damaskcroft.entry.tests.fakes import ran_status


async def send(cluster, entry, key, **options):
    return await cluster.send(entry, key, **options)


def test_retry_after_an_entry_crash_gets_the_stored_answer(loop, cluster):
    """The agent settles the claim, so that a retry gets the same answer."""

    async def scenario():
        cluster.send(0, "k")
        await asyncio.sleep(0.02)
        cluster.entries[0].kill()
        return await send(cluster, 1, "k")

    response = loop.run(scenario())
    assert response.body == b"answer to k, whole"
    assert response.headers["Damask-Replayed"] == "yes"
    assert len(cluster.journal) == 1


def test_claim_of_a_crashed_entry_is_taken_over(loop, cluster):
    """The agent certifies that the run was never sent, so it runs once."""

    async def scenario():
        cluster.entries[0].thawed.clear()
        cluster.send(0, "k")
        await asyncio.sleep(0.02)
        cluster.entries[0].kill()
        return await send(cluster, 1, "k")

    response = loop.run(scenario())
    assert response.body == b"answer to k, whole"
    assert len(cluster.journal) == 1


def test_key_reused_with_another_body_is_refused(loop, cluster):
    async def scenario():
        await send(cluster, 0, "k")
        return await send(cluster, 1, "k", body_key="other")

    response = loop.run(scenario())
    assert response.status_code == 422
    assert ran_status(response) == "not_run"
    assert len(cluster.journal) == 1


def test_request_without_quorum_is_refused_as_not_run(loop, cluster):
    cluster.control.mode = "no_quorum"
    response = loop.run(send(cluster, 0, "k"))
    assert ran_status(response) == "not_run"
    assert "Retry-After" in response.headers
    assert cluster.journal == []


def test_run_lost_with_its_agent_is_unknown_and_not_rerun(loop, cluster):
    async def scenario():
        cluster.send(0, "k")
        await asyncio.sleep(0.02)
        for name in list(cluster.agents):
            await cluster.kill_agent(name)
            await cluster.start_agent(name)
        await cluster.publish_roster()
        return [await send(cluster, 1, "k"), await send(cluster, 0, "k")]

    for response in loop.run(scenario()):
        assert ran_status(response) == "unknown"
    assert len(cluster.journal) == 1


def test_refusal_without_targets_does_not_wait_for_the_deadline(loop, cluster):
    for name in list(cluster.agents):
        loop.run(cluster.kill_agent(name))
    loop.run(cluster.publish_roster())
    before = loop.time()
    response = loop.run(send(cluster, 0, "k", deadline_s=60.0))
    assert loop.time() - before < 0.5
    assert response.status_code in (404, 503)
