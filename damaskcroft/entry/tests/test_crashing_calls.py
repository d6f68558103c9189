"""Calls that are lost with their targets, and those that crash them."""

import asyncio

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


def test_a_call_that_crashes_three_targets_is_refused_by_every_entry(
    loop, world
):
    for engine in world.engines.values():
        engine.mode = "crashes"

    async def scenario():
        first = await world.ask(0, "", body_key="b")
        # Its own attempts ran; no invitation to come back.
        assert (first.status_code, ran_word(first)) == (502, "unknown")
        assert "Retry-After" not in first.headers
        assert len(world.journal) == 3
        for engine in world.engines.values():
            engine.mode = "well"
        for place in (0, 1):
            again = await world.ask(place, "", body_key="b")
            assert (again.status_code, ran_word(again)) == (503, "not_run")
            assert int(again.headers["Retry-After"]) > 60
            keyed = await world.ask(place, f"k{place}", body_key="b")
            assert ran_word(keyed) == "not_run"
        assert len(world.journal) == 3
        other = await world.ask(1, "", body_key="c")
        assert other.status_code == 200

    loop.run(scenario())


def test_a_call_answered_just_before_is_not_refused_after_three_crashes(
    loop, world
):
    async def scenario():
        for mode, status in (("well", 200), ("crashes", 502), ("well", 200)):
            for engine in world.engines.values():
                engine.mode = mode
            answer = await world.ask(0, "", body_key="b")
            assert answer.status_code == status

    loop.run(scenario())


def test_a_call_that_is_served_after_a_crash_is_cleared(loop, world):
    async def scenario():
        first, *others = world.engines.values()
        first.mode = "crashes"
        for engine in others:
            engine.mode = "well"
        for _ in range(8):
            answer = await world.ask(0, "", body_key="b")
            assert answer.status_code == 200
        for entry in world.entries:
            assert not entry.client.roster.crashes.has_suspects

    loop.run(scenario())


def test_a_failure_that_is_answered_clears_no_call(loop, world):
    async def scenario():
        first, *others = world.engines.values()
        first.mode = "crashes"
        for engine in others:
            engine.mode = "fails"
        async with asyncio.timeout(600):
            while not world.entries[0].client.roster.crashes.has_suspects:
                await world.ask(0, "", body_key="b")
        for _ in range(8):
            await world.ask(0, "", body_key="b")
        assert world.entries[0].client.roster.crashes.has_suspects

    loop.run(scenario())


def test_connections_that_break_at_living_targets_are_no_crash(loop, world):
    for engine in world.engines.values():
        engine.mode = "breaks"

    async def scenario():
        await world.ask(0, "", body_key="b")
        assert not world.entries[0].client.roster.crashes.has_suspects

    loop.run(scenario())


def test_each_crash_of_one_target_counts_though_it_answered_nothing(
    loop, world
):
    """A target that is back runs the same call first, and crashes again."""

    async def scenario():
        for name in list(world.agents)[1:]:
            await world.kill_agent(name)
        await world.tell()
        (name,) = world.agents
        engine = world.engines[name]
        for _ in range(3):
            engine.mode = "crashes"
            await world.ask(0, "", body_key="b")
        answer = await world.ask(0, "", body_key="b")
        assert ran_word(answer) == "not_run"
        assert len(world.journal) == 3

    loop.run(scenario())
