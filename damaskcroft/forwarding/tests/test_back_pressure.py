"""Targets that ask for rest, or say that they leave, in their answers."""

import asyncio

import pytest

from damaskcroft._generated import fleet_pb2
from damaskcroft.forwarding.tests.fakes import (
    FakeTarget,
    configuration,
    entry_before,
    route,
)

SAFE = configuration(1, route(idempotent=True, max_attempts=2))
ONCE = configuration(1, route())


def asked(*targets):
    return sum(len(target.heads) for target in targets)


def test_a_resting_target_gets_nothing_and_others_serve():
    async def scenario():
        tired, fresh = FakeTarget("a", "rests"), FakeTarget("b", "whole")
        async with entry_before(tired, fresh, config=SAFE) as entry:
            for _ in range(20):
                assert (await entry.ask())[0] == 200
            assert asked(tired) <= 1

    asyncio.run(scenario())


def test_where_all_rest_a_caller_is_refused_at_once_until_the_first_is_back():
    async def scenario():
        targets = [FakeTarget(name, "rests") for name in "ab"]
        for target, rest in zip(targets, ("5", "30"), strict=True):
            target.rest = rest
        async with entry_before(*targets, config=SAFE) as entry:
            await entry.ask()
            began_at = asyncio.get_running_loop().time()
            status, head, _ = await entry.ask()
            took_s = asyncio.get_running_loop().time() - began_at
            assert (status, asked(*targets)) == (503, 2)
            assert took_s < 0.2
            seconds = head.partition("retry-after: ")[2].split()[0]
            assert 4 <= float(seconds) <= 7.5

    asyncio.run(scenario())


def test_what_waits_is_sent_when_a_short_rest_ends_one_first():
    async def scenario():
        target = FakeTarget("a", "rests", "whole")
        target.rest = "0.3"
        async with entry_before(target, config=SAFE) as entry:
            began_at = asyncio.get_running_loop().time()
            await entry.ask()
            outcomes = await asyncio.gather(*(entry.ask() for _ in range(3)))
            assert [status for status, _, _ in outcomes] == [200] * 3
            assert asyncio.get_running_loop().time() - began_at > 0.3

    asyncio.run(scenario())


def test_after_a_rest_one_request_goes_before_the_others():
    async def scenario():
        target = FakeTarget("a", "rests", "hangs")
        target.rest = "0.2"
        async with entry_before(target, config=SAFE) as entry:
            await entry.ask()
            waiting = [asyncio.create_task(entry.ask()) for _ in range(3)]
            await asyncio.sleep(0.6)
            assert asked(target) == 2
            for each in waiting:
                each.cancel()

    asyncio.run(scenario())


@pytest.mark.parametrize("rest", ["-5", "nan", "inf", "soon", "", "1e400"])
def test_a_rest_that_makes_no_sense_is_none(rest):
    async def scenario():
        target = FakeTarget("a", "rests", "whole")
        target.rest = rest
        async with entry_before(target, config=SAFE) as entry:
            await entry.ask()
            assert (await entry.ask())[0] == 200

    asyncio.run(scenario())


def test_a_new_start_knows_nothing_of_a_rest():
    async def scenario():
        target = FakeTarget("a", "rests", "whole")
        target.rest = "86400"
        async with entry_before(target, config=SAFE) as entry:
            await entry.ask()
            assert (await entry.ask())[0] == 503
            entry.view.take(
                [
                    fleet_pb2.TargetState(
                        id="a", service="s", address=target.address, slots=4,
                        sequence=1, born_ms=2,
                    )
                ]
            )  # fmt: skip
            assert (await entry.ask())[0] == 200

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "mode", ["leaves", "leaves_and_fails", "leaves_within_a_stream"]
)
def test_who_says_that_it_leaves_gets_nothing_more(mode):
    async def scenario():
        leaving, staying = FakeTarget("a", mode), FakeTarget("b", "whole")
        streaming = mode == "leaves_within_a_stream"
        config = configuration(1, route(streaming=streaming, resumable=True))
        if streaming:
            staying.modes = ["stream"]
        async with entry_before(leaving, staying, config=config) as entry:
            for _ in range(20):
                assert (await entry.ask())[0] == 200
            assert asked(leaving) <= 1
            # Its announcement still says that it is ready.
            assert len(entry.candidates()) == 2

    asyncio.run(scenario())


def test_the_last_one_that_leaves_is_used_until_half_of_the_drain():
    async def scenario():
        target = FakeTarget("a", "leaves")
        async with entry_before(target, config=ONCE, drain_s=0.6) as entry:
            assert (await entry.ask())[0] == 200
            assert (await entry.ask())[0] == 200
            await asyncio.sleep(0.35)
            assert (await entry.ask())[0] == 503
            assert asked(target) == 2

    asyncio.run(scenario())
