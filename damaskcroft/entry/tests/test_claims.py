import asyncio

from damaskcroft.entry.tests.fakes import ran_word


async def ask(world, entry, key, **options):
    return await world.ask(entry, key, **options)


def test_answer_survives_the_entry(loop, world):
    """The agent records the outcome, so the resend gets the same answer."""

    async def scenario():
        world.ask(0, "k")
        await asyncio.sleep(0.02)
        world.entries[0].kill()
        return await ask(world, 1, "k")

    response = loop.run(scenario())
    assert response.body == b"answer to k, whole"
    assert response.headers["Damask-Replayed"] == "yes"
    assert len(world.journal) == 1


def test_claim_of_a_dead_entry_is_taken_over(loop, world):
    """Claimed but never sent: the agent certifies that, and it runs once."""

    async def scenario():
        world.entries[0].thawed.clear()
        world.ask(0, "k")
        await asyncio.sleep(0.02)
        world.entries[0].kill()
        return await ask(world, 1, "k")

    response = loop.run(scenario())
    assert response.body == b"answer to k, whole"
    assert len(world.journal) == 1


def test_same_key_with_another_body_is_a_typed_error(loop, world):
    async def scenario():
        await ask(world, 0, "k")
        return await ask(world, 1, "k", body_key="other")

    response = loop.run(scenario())
    assert response.status_code == 422
    assert ran_word(response) == "not_run"
    assert len(world.journal) == 1


def test_without_a_quorum_it_is_refused_as_not_run(loop, world):
    world.control.mode = "no_quorum"
    response = loop.run(ask(world, 0, "k"))
    assert ran_word(response) == "not_run"
    assert "Retry-After" in response.headers
    assert world.journal == []


def test_outcome_lost_with_the_agent_is_unknown_and_never_rerun(loop, world):
    async def scenario():
        world.ask(0, "k")
        await asyncio.sleep(0.02)
        for name in list(world.agents):
            await world.kill_agent(name)
            await world.start_agent(name)
        await world.tell()
        return [await ask(world, 1, "k"), await ask(world, 0, "k")]

    for response in loop.run(scenario()):
        assert ran_word(response) == "unknown"
    assert len(world.journal) == 1


def test_refusal_is_given_at_once_not_at_the_deadline(loop, world):
    for name in list(world.agents):
        loop.run(world.kill_agent(name))
    loop.run(world.tell())
    before = loop.time()
    response = loop.run(ask(world, 0, "k", deadline_s=60.0))
    assert loop.time() - before < 0.5
    assert response.status_code in (404, 503)
