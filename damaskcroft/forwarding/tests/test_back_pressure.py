"""Tests of targets that announce a back-off or their leaving in answers."""

import asyncio

import pytest

from damaskcroft._generated import fleet_pb2
from damaskcroft.forwarding.tests.fakes import (
    FakeTarget,
    configuration,
    route,
    running_entry,
)

REPEATABLE = configuration(1, route(idempotent=True, max_attempts=2))
NOT_REPEATABLE = configuration(1, route())


def request_count(*targets):
    return sum(len(target.heads) for target in targets)


def test_target_in_back_off_gets_no_requests_and_others_serve():
    async def scenario():
        backing_off, ready = FakeTarget("a", "rests"), FakeTarget("b", "whole")
        async with running_entry(
            backing_off, ready, config=REPEATABLE
        ) as entry:
            for _ in range(20):
                assert (await entry.send_request())[0] == 200
            assert request_count(backing_off) <= 1

    asyncio.run(scenario())


def test_back_off_of_all_targets_refuses_callers_at_once():
    async def scenario():
        targets = [FakeTarget(name, "rests") for name in "ab"]
        for target, back_off in zip(targets, ("5", "30"), strict=True):
            target.back_off = back_off
        async with running_entry(*targets, config=REPEATABLE) as entry:
            await entry.send_request()
            began_at = asyncio.get_running_loop().time()
            status, head, _ = await entry.send_request()
            took_s = asyncio.get_running_loop().time() - began_at
            assert (status, request_count(*targets)) == (503, 2)
            assert took_s < 0.2
            seconds = head.partition("retry-after: ")[2].split()[0]
            assert 4 <= float(seconds) <= 7.5

    asyncio.run(scenario())


def test_queued_requests_are_sent_after_short_back_off():
    async def scenario():
        target = FakeTarget("a", "rests", "whole")
        target.back_off = "0.3"
        async with running_entry(target, config=REPEATABLE) as entry:
            began_at = asyncio.get_running_loop().time()
            await entry.send_request()
            outcomes = await asyncio.gather(
                *(entry.send_request() for _ in range(3))
            )
            assert [status for status, _, _ in outcomes] == [200] * 3
            assert asyncio.get_running_loop().time() - began_at > 0.3

    asyncio.run(scenario())


def test_one_request_is_sent_first_after_back_off():
    async def scenario():
        target = FakeTarget("a", "rests", "hangs")
        target.back_off = "0.2"
        async with running_entry(target, config=REPEATABLE) as entry:
            await entry.send_request()
            waiting = [
                asyncio.create_task(entry.send_request()) for _ in range(3)
            ]
            await asyncio.sleep(0.6)
            assert request_count(target) == 2
            for each in waiting:
                each.cancel()

    asyncio.run(scenario())


@pytest.mark.parametrize("back_off", ["-5", "nan", "inf", "soon", "", "1e400"])
def test_malformed_back_off_is_ignored(back_off):
    async def scenario():
        target = FakeTarget("a", "rests", "whole")
        target.back_off = back_off
        async with running_entry(target, config=REPEATABLE) as entry:
            await entry.send_request()
            assert (await entry.send_request())[0] == 200

    asyncio.run(scenario())


def test_back_off_does_not_apply_to_new_start():
    async def scenario():
        target = FakeTarget("a", "rests", "whole")
        target.back_off = "86400"
        async with running_entry(target, config=REPEATABLE) as entry:
            await entry.send_request()
            assert (await entry.send_request())[0] == 503
            entry.view.merge(
                [
                    fleet_pb2.TargetState(
                        id="a", service="s", address=target.address, slots=4,
                        sequence=1, born_ms=2,
                    )
                ]
            )  # fmt: skip
            assert (await entry.send_request())[0] == 200

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "mode", ["leaves", "leaves_and_fails", "leaves_within_a_stream"]
)
def test_leaving_target_gets_no_more_requests(mode):
    async def scenario():
        leaving, staying = FakeTarget("a", mode), FakeTarget("b", "whole")
        streaming = mode == "leaves_within_a_stream"
        config = configuration(1, route(streaming=streaming, resumable=True))
        if streaming:
            staying.modes = ["stream"]
        async with running_entry(leaving, staying, config=config) as entry:
            for _ in range(20):
                assert (await entry.send_request())[0] == 200
            assert request_count(leaving) <= 1
            # The state that it has announced to the fleet is still ready.
            assert len(entry.candidates()) == 2

    asyncio.run(scenario())


def test_last_leaving_target_is_used_for_half_of_the_drain():
    async def scenario():
        target = FakeTarget("a", "leaves")
        async with running_entry(
            target, config=NOT_REPEATABLE, drain_s=0.6
        ) as entry:
            assert (await entry.send_request())[0] == 200
            assert (await entry.send_request())[0] == 200
            await asyncio.sleep(0.35)
            assert (await entry.send_request())[0] == 503
            assert request_count(target) == 2

    asyncio.run(scenario())
