"""Calls that are lost with their targets, and those that crash them."""

from damaskcroft.entry.tests.fakes import ran_word


def test_a_call_that_every_target_lost_is_not_told_as_not_run(loop, world):
    for engine in world.engines.values():
        engine.mode = "breaks"

    async def scenario():
        return await world.ask(0, "", body_key="b")

    response = loop.run(scenario())
    assert len(world.journal) == len(world.engines)
    assert response.status_code == 502
    assert ran_word(response) == "unknown"
