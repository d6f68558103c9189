"""Calls to targets that name how many a second they take."""

import asyncio

from damaskcroft.entry.tests.fakes import ran_word
from damaskcroft.limits import Named


async def ask_for(world, seconds):
    """Calls to both entries, every fifty milliseconds; their answers."""
    asked = []
    for number in range(int(seconds * 20)):
        asked.append(world.ask(number % 2, "", body_key=f"b{number}"))
        await asyncio.sleep(0.05)
    return await asyncio.gather(*asked)


def test_a_target_gets_what_it_named_from_all_entries_together(loop, world):
    for engine in world.engines.values():
        engine.limit = Named(2.0)

    async def scenario():
        await ask_for(world, 3)
        before = len(world.journal)
        await ask_for(world, 10)
        assert len(world.journal) - before <= 3 * 2 * 10 + 3

    loop.run(scenario())


def test_who_gets_no_token_is_told_so_as_not_run_and_when(loop, world):
    for engine in world.engines.values():
        engine.limit = Named(0.5)

    async def scenario():
        answers = await ask_for(world, 5)
        refused = [a for a in answers[20:] if a.status_code != 200]
        assert refused
        for answer in refused:
            assert (answer.status_code, ran_word(answer)) == (503, "not_run")
            assert int(answer.headers["Retry-After"]) >= 1

    loop.run(scenario())


def test_others_serve_beside_a_limited_target(loop, world):
    first, *_ = world.engines.values()
    first.limit = Named(0.0)

    async def scenario():
        answers = await ask_for(world, 5)
        assert all(answer.status_code == 200 for answer in answers)

    loop.run(scenario())
