"""Requests whose targets end one after another."""

import asyncio

import pytest

from damaskcroft._generated import fleet_pb2
from damaskcroft.forwarding.tests.fakes import (
    FakeTarget,
    entry_before,
    unchunked,
)
from damaskcroft.forwarding.tests.silent import (
    ask,
    assert_whole,
    config,
    stream_config,
)


def targets(first, *then):
    """One target that is asked first; the others answer in that order."""
    others = [FakeTarget(name, *then) for name in "bcdef"[: len(then)]]
    for other in others:
        other.modes = others[0].modes
    return FakeTarget("a", first), *others


def asked(*others):
    return sum(len(other.heads) for other in others)


def test_a_stream_is_not_cut_since_two_targets_ended_under_it():
    async def scenario():
        first, *others = targets("streams_and_dies", "dies", "stream")
        async with entry_before(first, *others, config=stream_config()) as e:
            assert_whole(await ask(e, first))
            assert asked(*others) == 2

    asyncio.run(scenario())


def test_a_request_that_may_crash_its_targets_gets_no_attempt_more():
    async def scenario():
        first, *others = targets("dies", "dies", "whole")
        safe = config(idempotent=True)
        async with entry_before(first, *others, config=safe) as entry:
            status, _, _ = await ask(entry, first)
            assert (status, asked(*others)) == (502, 1)

    asyncio.run(scenario())


def test_ended_targets_allow_two_attempts_more_and_no_third():
    async def scenario():
        first, *others = targets(
            "streams_and_dies", "dies", "dies", "dies", "stream"
        )
        async with entry_before(first, *others, config=stream_config()) as e:
            _, _, body = await ask(e, first)
            assert not unchunked(body)[1]
            assert asked(*others) <= 3

    asyncio.run(scenario())


@pytest.mark.parametrize("mode", ["silent_close", "cut_body", "fails"])
def test_attempts_at_targets_that_live_on_all_count(mode):
    async def scenario():
        first, *others = targets(mode, mode, "whole")
        safe = config(idempotent=True)
        async with entry_before(first, *others, config=safe) as entry:
            status, _, _ = await ask(entry, first)
            assert status in (500, 502)
            assert asked(*others) == 1

    asyncio.run(scenario())


def test_a_stream_is_not_cut_since_a_target_lacked_its_weights():
    async def scenario():
        first, *others = targets("stream_cut", "misdirected", "stream")
        async with entry_before(first, *others, config=stream_config()) as e:
            assert_whole(await ask(e, first))
            assert asked(*others) == 2

    asyncio.run(scenario())


def test_what_may_run_once_is_sent_on_by_a_target_that_lacks_its_weights():
    async def scenario():
        first, *others = targets("misdirected", "whole")
        async with entry_before(first, *others, config=config(1)) as entry:
            status, _, _ = await ask(entry, first)
            assert (status, asked(*others)) == (200, 1)

    asyncio.run(scenario())


def test_what_may_run_once_is_not_sent_again_though_its_target_ended():
    async def scenario():
        first, *others = targets("dies", "whole")
        async with entry_before(first, *others, config=config()) as entry:
            status, _, _ = await ask(entry, first)
            assert (status, asked(*others)) == (502, 0)

    asyncio.run(scenario())


def hold(entry, target, sequence, *versions):
    """A target says which versions of the model it holds."""
    state = fleet_pb2.TargetState(
        id=target.name, service="s", address=target.address, slots=4,
        sequence=sequence,
        held=[held(version) for version in versions],
    )  # fmt: skip
    entry.view.take([state])


def held(version):
    return fleet_pb2.HeldLayers(model="m", version=version)


async def ask_while_weights_change(mode, then, **fields):
    """An answer that the change of its only target's weights breaks off."""
    target = FakeTarget("a", mode, then)
    target.held = [held(1)]
    async with entry_before(target, config=config(**fields)) as entry:
        asking = asyncio.create_task(entry.ask(x_deadline="4", x_model="m"))
        async with asyncio.timeout(5):
            while not target.heads:
                await asyncio.sleep(0.01)
        hold(entry, target, 2)
        await asyncio.sleep(1)
        hold(entry, target, 3, 2)
        return await asking


def test_a_stream_is_not_cut_while_all_targets_change_their_weights():
    fields = dict(streaming=True, resumable=True)
    answer = ask_while_weights_change("stream_dies_soon", "stream", **fields)
    assert_whole(asyncio.run(answer))


def test_a_request_is_not_failed_while_all_targets_change_their_weights():
    answer = ask_while_weights_change("cut_body_soon", "whole", idempotent=True)
    assert asyncio.run(answer)[0] == 200


def test_a_request_that_waits_is_not_sent_to_the_same_target_beside_another():
    async def scenario():
        first = FakeTarget("a", "cut_body_soon", "dies")
        other = FakeTarget("b", "whole")
        first.held = other.held = [held(1)]
        safe = config(idempotent=True)
        async with entry_before(first, other, config=safe) as entry:
            slots = [
                entry.placer.take(candidate)
                for candidate in entry.services.candidates("s", "m")
                if candidate.id == "b"
            ]
            asking = asyncio.create_task(entry.ask(x_deadline="4", x_model="m"))
            async with asyncio.timeout(5):
                while not first.heads:
                    await asyncio.sleep(0.01)
            hold(entry, first, 2)
            hold(entry, other, 2)
            await asyncio.sleep(1)
            hold(entry, first, 3, 2)
            hold(entry, other, 3, 2)
            status, _, _ = await asking
            assert (status, len(first.heads), len(other.heads)) == (200, 1, 1)
            for slot in slots:
                slot.give_back()

    asyncio.run(scenario())
