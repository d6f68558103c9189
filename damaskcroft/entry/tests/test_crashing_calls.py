"""Calls that are lost with their targets, and calls that crash targets."""

import asyncio

from damaskcroft.entry._calls import MAX_PREFIX_CHARACTERS
from damaskcroft.entry.tests.fakes import ran_status


def test_call_lost_by_every_target_is_not_refused_as_not_run(loop, cluster):
    for engine in cluster.engines.values():
        engine.mode = "breaks"

    async def scenario():
        return await cluster.send(0, "", body_key="b")

    response = loop.run(scenario())
    assert len(cluster.journal) == len(cluster.engines)
    assert response.status_code == 502
    assert ran_status(response) == "unknown"


def test_call_that_crashes_three_targets_is_refused_by_every_entry(
    loop, cluster
):
    for engine in cluster.engines.values():
        engine.mode = "crashes"

    async def scenario():
        first = await cluster.send(0, "", body_key="b")
        # Attempts of this call ran, so the refusal names no time for a retry.
        assert (first.status_code, ran_status(first)) == (502, "unknown")
        assert "Retry-After" not in first.headers
        assert len(cluster.journal) == 3
        for engine in cluster.engines.values():
            engine.mode = "healthy"
        for entry_index in (0, 1):
            again = await cluster.send(entry_index, "", body_key="b")
            assert (again.status_code, ran_status(again)) == (503, "not_run")
            assert int(again.headers["Retry-After"]) > 60
            keyed = await cluster.send(
                entry_index, f"k{entry_index}", body_key="b"
            )
            assert ran_status(keyed) == "not_run"
        assert len(cluster.journal) == 3
        other = await cluster.send(1, "", body_key="c")
        assert other.status_code == 200

    loop.run(scenario())


def test_calls_whose_prompts_begin_alike_are_refused_by_every_entry(
    loop, cluster
):
    # Guards against calls that are each a first offender, because only the
    # beginning of their prompts crashes targets.
    shared, other = b"s" * MAX_PREFIX_CHARACTERS, b"o" * MAX_PREFIX_CHARACTERS

    async def scenario():
        for engine in cluster.engines.values():
            engine.mode = "crashes"
        for number in range(3):
            await cluster.send(
                number % 2, "", body_key=f"b{number}", prefix=shared
            )
        ran = len(cluster.journal)
        for engine in cluster.engines.values():
            engine.mode = "healthy"
        for entry_index in (0, 1):
            held = await cluster.send(
                entry_index, "", body_key=f"c{entry_index}", prefix=shared
            )
            assert (held.status_code, ran_status(held)) == (503, "not_run")
            assert int(held.headers["Retry-After"]) > 60
        assert len(cluster.journal) == ran
        for prefix in (other, b"short"):
            sound = await cluster.send(0, "", body_key="d", prefix=prefix)
            assert sound.status_code == 200

    loop.run(scenario())


def test_recently_answered_call_is_not_quarantined_after_three_crashes(
    loop, cluster
):
    async def scenario():
        for mode, status in (
            ("healthy", 200),
            ("crashes", 502),
            ("healthy", 200),
        ):
            for engine in cluster.engines.values():
                engine.mode = mode
            answer = await cluster.send(0, "", body_key="b")
            assert answer.status_code == status

    loop.run(scenario())


def test_successful_answer_clears_a_suspect_call(loop, cluster):
    async def scenario():
        first, *others = cluster.engines.values()
        first.mode = "crashes"
        for engine in others:
            engine.mode = "healthy"
        for _ in range(8):
            answer = await cluster.send(0, "", body_key="b")
            assert answer.status_code == 200
        for entry in cluster.entries:
            assert not entry.client.roster.crashes.has_suspects

    loop.run(scenario())


def test_error_status_does_not_clear_a_suspect_call(loop, cluster):
    async def scenario():
        first, *others = cluster.engines.values()
        first.mode = "crashes"
        for engine in others:
            engine.mode = "fails"
        async with asyncio.timeout(600):
            while not cluster.entries[0].client.roster.crashes.has_suspects:
                await cluster.send(0, "", body_key="b")
        for _ in range(8):
            await cluster.send(0, "", body_key="b")
        assert cluster.entries[0].client.roster.crashes.has_suspects

    loop.run(scenario())


def test_broken_connection_to_a_live_target_is_not_a_crash(loop, cluster):
    for engine in cluster.engines.values():
        engine.mode = "breaks"

    async def scenario():
        await cluster.send(0, "", body_key="b")
        assert not cluster.entries[0].client.roster.crashes.has_suspects

    loop.run(scenario())


def test_repeated_crashes_of_one_target_are_all_counted(loop, cluster):
    """A restarted target runs the same call first, and crashes again."""

    async def scenario():
        for name in list(cluster.agents)[1:]:
            await cluster.kill_agent(name)
        await cluster.publish_roster()
        (name,) = cluster.agents
        engine = cluster.engines[name]
        for _ in range(3):
            engine.mode = "crashes"
            await cluster.send(0, "", body_key="b")
        answer = await cluster.send(0, "", body_key="b")
        assert ran_status(answer) == "not_run"
        assert len(cluster.journal) == 3

    loop.run(scenario())
