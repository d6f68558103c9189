"""Tests of requests at targets that pause, and then continue or do not."""

import asyncio

import pytest

from damaskcroft._generated import fleet_pb2
from damaskcroft.forwarding.tests.fakes import (
    FakeTarget,
    running_entry,
)
from damaskcroft.forwarding.tests.silent import (
    assert_complete_stream,
    config,
    send_request,
    stream_config,
)
from damaskcroft.forwarding.tests.test_quarantined import note_crashes


def announce(entry, target, sequence, born_ms):
    state = fleet_pb2.TargetState(
        id=target.name, service="s", address=target.address, slots=4,
        sequence=sequence, born_ms=born_ms,
    )  # fmt: skip
    entry.view.merge([state])


@pytest.mark.parametrize("mode", ["stream_pauses", "stream_after_a_pause"])
@pytest.mark.parametrize("max_attempts", [1, 2])
def test_stream_survives_pause_of_only_target(mode, max_attempts):
    async def scenario():
        target = FakeTarget("a", mode)
        async with running_entry(
            target, config=stream_config(max_attempts)
        ) as entry:
            assert_complete_stream(await entry.send_request(x_deadline="4"))
            assert len(target.heads) == 1

    asyncio.run(scenario())


@pytest.mark.parametrize("mode", ["stream_pauses", "stream_after_a_pause"])
def test_stream_survives_pause_of_all_targets(mode):
    async def scenario():
        targets = FakeTarget("a", mode), FakeTarget("b", mode)
        async with running_entry(*targets, config=stream_config()) as entry:
            assert_complete_stream(await entry.send_request(x_deadline="4"))

    asyncio.run(scenario())


def test_stream_is_not_cut_without_retry_budget():
    async def scenario():
        silent, other = FakeTarget("a", "stream_pauses"), FakeTarget("b", "")
        async with running_entry(
            silent, other, config=stream_config(), ratio=0.0, extra=0.0
        ) as entry:
            assert_complete_stream(await send_request(entry, silent))
            assert other.heads == []

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "mode", ["not_run", "stream_fails", "unsealed", "silent_close", "hangs"]
)
def test_stream_is_not_cut_for_failing_hedge(mode):
    async def scenario():
        silent, other = FakeTarget("a", "stream_pauses"), FakeTarget("b", mode)
        async with running_entry(
            silent, other, config=stream_config()
        ) as entry:
            assert_complete_stream(await send_request(entry, silent))
            assert len(other.heads) == 1

    asyncio.run(scenario())


def test_suspect_stream_is_not_cut_for_unreachable_target():
    async def scenario():
        silent, other = FakeTarget("a", "stream_pauses"), FakeTarget("b", "")
        async with running_entry(
            silent, other, config=stream_config()
        ) as entry:
            note_crashes(entry, 1)
            other.server.close()
            assert_complete_stream(await send_request(entry, silent))

    asyncio.run(scenario())


def test_stream_is_not_cut_when_start_is_announced_late():
    # Guards against ending a stream when the start at which it already runs is
    # announced only afterwards.
    async def scenario():
        target = FakeTarget("a", "stream_slowly")
        async with running_entry(target, config=stream_config(1)) as entry:
            announce(entry, target, sequence=2, born_ms=1000)
            asking = asyncio.create_task(entry.send_request(x_deadline="4"))
            async with asyncio.timeout(5):
                while not target.heads:
                    await asyncio.sleep(0.01)
            announce(entry, target, sequence=1, born_ms=2000)
            assert_complete_stream(await asking)

    asyncio.run(scenario())


def test_request_survives_pause_of_only_target():
    async def scenario():
        target = FakeTarget("a", "pauses")
        repeatable = config(idempotent=True)
        async with running_entry(target, config=repeatable) as entry:
            status, _, body = await entry.send_request(x_deadline="4")
            assert (status, body, len(target.heads)) == (200, b"a", 1)

    asyncio.run(scenario())


@pytest.mark.parametrize("mode", ["stream_hangs", "hangs"])
def test_stream_moves_from_silent_target(mode):
    async def scenario():
        silent, other = FakeTarget("a", mode), FakeTarget("b", "stream")
        async with running_entry(
            silent, other, config=stream_config()
        ) as entry:
            assert_complete_stream(await send_request(entry, silent))
            async with asyncio.timeout(1):
                while not silent.disconnects:
                    await asyncio.sleep(0.01)

    asyncio.run(scenario())


def test_third_target_is_tried_while_two_are_silent():
    async def scenario():
        silent = FakeTarget("a", "stream_hangs")
        others = FakeTarget("b", "hangs"), FakeTarget("c", "hangs")
        for other in others:
            other.modes = others[0].modes
        others[0].modes[:] = ["hangs", "stream"]
        async with running_entry(
            silent, *others, config=stream_config(max_attempts=3)
        ) as entry:
            assert_complete_stream(await send_request(entry, silent))
            assert [len(other.heads) for other in others] == [1, 1]

    asyncio.run(scenario())


def test_resumed_target_ends_hedged_attempt():
    async def scenario():
        silent, other = FakeTarget("a", "stream_pauses"), FakeTarget("b", "")
        other.modes, other.pause_s = ["stream_after_a_pause"], 3.0
        async with running_entry(
            silent, other, config=stream_config()
        ) as entry:
            assert_complete_stream(await send_request(entry, silent))
            assert len(other.heads) == 1
            assert all(
                entry.placer.fullness(c) == 0 for c in entry.candidates()
            )

    asyncio.run(scenario())


def test_hedged_attempt_survives_death_of_silent_target():
    async def scenario():
        silent, other = FakeTarget("a", "stream_dies_late"), FakeTarget("b", "")
        other.modes, other.pause_s = ["stream_after_a_pause"], 1.0
        async with running_entry(
            silent, other, config=stream_config()
        ) as entry:
            assert_complete_stream(await send_request(entry, silent))

    asyncio.run(scenario())
