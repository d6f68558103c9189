"""Tests of requests whose targets end one after another."""

import asyncio

import pytest

from damaskcroft._generated import fleet_pb2
from damaskcroft.forwarding.tests.fakes import (
    FakeTarget,
    running_entry,
    unchunked,
)
from damaskcroft.forwarding.tests.silent import (
    assert_complete_stream,
    config,
    send_request,
    stream_config,
)


def targets(first, *then):
    """One target that is tried first; the others share modes in order."""
    others = [FakeTarget(name, *then) for name in "bcdef"[: len(then)]]
    for other in others:
        other.modes = others[0].modes
    return FakeTarget("a", first), *others


def request_count(*others):
    return sum(len(other.heads) for other in others)


def test_stream_survives_end_of_two_targets():
    async def scenario():
        first, *others = targets("streams_and_dies", "dies", "stream")
        async with running_entry(first, *others, config=stream_config()) as e:
            assert_complete_stream(await send_request(e, first))
            assert request_count(*others) == 2

    asyncio.run(scenario())


def test_possible_cause_of_crashes_gets_no_extra_attempt():
    async def scenario():
        first, *others = targets("dies", "dies", "whole")
        repeatable = config(idempotent=True)
        async with running_entry(first, *others, config=repeatable) as entry:
            status, _, _ = await send_request(entry, first)
            assert (status, request_count(*others)) == (502, 1)

    asyncio.run(scenario())


def test_ended_targets_allow_at_most_two_extra_attempts():
    async def scenario():
        first, *others = targets(
            "streams_and_dies", "dies", "dies", "dies", "stream"
        )
        async with running_entry(first, *others, config=stream_config()) as e:
            _, _, body = await send_request(e, first)
            assert not unchunked(body)[1]
            assert request_count(*others) <= 3

    asyncio.run(scenario())


@pytest.mark.parametrize("mode", ["silent_close", "cut_body", "fails"])
def test_attempts_at_surviving_targets_all_count(mode):
    async def scenario():
        first, *others = targets(mode, mode, "whole")
        repeatable = config(idempotent=True)
        async with running_entry(first, *others, config=repeatable) as entry:
            status, _, _ = await send_request(entry, first)
            assert status in (500, 502)
            assert request_count(*others) == 1

    asyncio.run(scenario())


def test_stream_survives_target_without_weights():
    async def scenario():
        first, *others = targets("stream_cut", "misdirected", "stream")
        async with running_entry(first, *others, config=stream_config()) as e:
            assert_complete_stream(await send_request(e, first))
            assert request_count(*others) == 2

    asyncio.run(scenario())


def test_non_repeatable_request_is_retried_after_target_without_weights():
    async def scenario():
        first, *others = targets("misdirected", "whole")
        async with running_entry(first, *others, config=config(1)) as entry:
            status, _, _ = await send_request(entry, first)
            assert (status, request_count(*others)) == (200, 1)

    asyncio.run(scenario())


def test_non_repeatable_request_is_not_retried_after_target_ended():
    async def scenario():
        first, *others = targets("dies", "whole")
        async with running_entry(first, *others, config=config()) as entry:
            status, _, _ = await send_request(entry, first)
            assert (status, request_count(*others)) == (502, 0)

    asyncio.run(scenario())


def hold(entry, target, sequence, *versions):
    """Announces the versions of the model that a target holds."""
    state = fleet_pb2.TargetState(
        id=target.name, service="s", address=target.address, slots=4,
        sequence=sequence,
        held=[held(version) for version in versions],
    )  # fmt: skip
    entry.view.merge([state])


def held(version):
    return fleet_pb2.HeldLayers(model="m", version=version)


async def request_while_weights_change(mode, then, **fields):
    """Sends a request that is interrupted by a change of weights."""
    target = FakeTarget("a", mode, then)
    target.held = [held(1)]
    async with running_entry(target, config=config(**fields)) as entry:
        asking = asyncio.create_task(
            entry.send_request(x_deadline="4", x_model="m")
        )
        async with asyncio.timeout(5):
            while not target.heads:
                await asyncio.sleep(0.01)
        hold(entry, target, 2)
        await asyncio.sleep(1)
        hold(entry, target, 3, 2)
        return await asking


def test_stream_survives_weight_change_of_all_targets():
    fields = dict(streaming=True, resumable=True)
    answer = request_while_weights_change(
        "stream_dies_soon", "stream", **fields
    )
    assert_complete_stream(asyncio.run(answer))


def test_request_survives_weight_change_of_all_targets():
    answer = request_while_weights_change(
        "cut_body_soon", "whole", idempotent=True
    )
    assert asyncio.run(answer)[0] == 200


def test_waiting_retry_prefers_untried_target():
    async def scenario():
        first = FakeTarget("a", "cut_body_soon", "dies")
        other = FakeTarget("b", "whole")
        first.held = other.held = [held(1)]
        repeatable = config(idempotent=True)
        async with running_entry(first, other, config=repeatable) as entry:
            slots = [
                entry.placer.take(candidate)
                for candidate in entry.services.candidates("s", "m")
                if candidate.id == "b"
            ]
            asking = asyncio.create_task(
                entry.send_request(x_deadline="4", x_model="m")
            )
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
