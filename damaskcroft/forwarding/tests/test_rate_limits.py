"""Tests of requests to targets that announce a rate limit."""

import asyncio

import pytest

from damaskcroft._generated import limits_pb2
from damaskcroft.forwarding.tests.fakes import (
    FakeTarget,
    configuration,
    route,
    running_entry,
)

REPEATABLE = configuration(1, route(idempotent=True))
NOT_REPEATABLE = configuration(1, route())


def limited(name, limit):
    target = FakeTarget(name, "whole")
    target.limit = limit
    return target


async def send_requests(entry, count):
    """Sends requests one after another; returns their statuses and heads."""
    return [(await entry.send_request())[:2] for _ in range(count)]


def test_other_targets_take_requests_beyond_rate_limit():
    async def scenario():
        slow, free = limited("a", b"2"), FakeTarget("b", "whole")
        async with running_entry(slow, free, config=REPEATABLE) as entry:
            outcomes = await send_requests(entry, 30)
            assert all(status == 200 for status, _ in outcomes)
            # Some requests were sent before the first answer arrived.
            assert len(slow.heads) <= 3
            assert len(free.heads) >= 27

    asyncio.run(scenario())


def test_callers_wait_for_token_available_in_time():
    async def scenario():
        target = limited("a", b"10")
        async with running_entry(target, config=REPEATABLE) as entry:
            loop = asyncio.get_running_loop()
            began_at = loop.time()
            outcomes = await send_requests(entry, 6)
            assert all(status == 200 for status, _ in outcomes)
            assert loop.time() - began_at > 0.4

    asyncio.run(scenario())


def test_caller_without_token_in_time_is_refused_with_retry_after():
    async def scenario():
        target = limited("a", b"0.5")
        async with running_entry(target, config=REPEATABLE) as entry:
            await entry.send_request()
            loop = asyncio.get_running_loop()
            began_at = loop.time()
            status, head, _ = await entry.send_request()
            assert loop.time() - began_at < 0.1
            assert status == 503
            seconds = head.partition("retry-after: ")[2].split()[0]
            assert 1.5 < float(seconds) < 4
            assert len(target.heads) == 1

    asyncio.run(scenario())


def test_of_many_that_wait_only_as_many_stay_as_get_a_token_in_time():
    async def scenario():
        target = limited("a", b"5")
        async with running_entry(target, config=REPEATABLE) as entry:
            await entry.send_request()
            loop = asyncio.get_running_loop()
            began_at = loop.time()
            took = []

            async def send_request():
                status, _, _ = await entry.send_request()
                took.append((status, loop.time() - began_at))

            await asyncio.gather(*(send_request() for _ in range(20)))
            served = [at for status, at in took if status == 200]
            refused = [at for status, at in took if status == 503]
            # They wait for at most a third of their deadline of two seconds.
            assert 2 <= len(served) <= 5
            assert len(served) + len(refused) == 20
            assert max(refused) < 0.1

    asyncio.run(scenario())


@pytest.mark.parametrize("config", [REPEATABLE, NOT_REPEATABLE])
def test_retry_needs_token(config):
    async def scenario():
        bad, slow = FakeTarget("a", "fails"), limited("b", b"0.5")
        async with running_entry(bad, slow, config=config) as entry:
            for _ in range(12):
                await entry.send_request()
            assert len(slow.heads) <= 2

    asyncio.run(scenario())


def test_rate_limit_from_another_entry_applies_before_first_answer():
    async def scenario():
        target = FakeTarget("a", "whole")
        async with running_entry(target, config=REPEATABLE) as entry:
            state = limits_pb2.NamedLimit(start_id="a", rate_s=0.5, revision=1)
            entry.view.merge([], limits=[state])
            assert (await entry.send_request())[0] == 503
            assert target.heads == []

    asyncio.run(scenario())


def test_answer_of_another_target_does_not_lift_rate_limit():
    async def scenario():
        target = FakeTarget("a", "only_for_itself")
        async with running_entry(target, config=REPEATABLE) as entry:
            state = limits_pb2.NamedLimit(start_id="a", rate_s=20, revision=1)
            entry.view.merge([], limits=[state])
            target.name = "another"
            await asyncio.sleep(0.2)
            await entry.send_request()
            assert entry.view.limits.rate_s("a") == 20

    asyncio.run(scenario())


def test_answer_without_rate_limit_lifts_it():
    async def scenario():
        target = limited("a", b"10")
        async with running_entry(target, config=REPEATABLE) as entry:
            await entry.send_request()
            assert entry.view.limits.named()
            target.limit = None
            assert (await entry.send_request())[0] == 200
            assert not entry.view.limits.named()

    asyncio.run(scenario())


@pytest.mark.parametrize("limit", [b"-1", b"nan", b"1, 2", b"\xff", b"0x2"])
def test_malformed_rate_limit_is_ignored(limit):
    async def scenario():
        target = limited("a", limit)
        async with running_entry(target, config=REPEATABLE) as entry:
            outcomes = await send_requests(entry, 10)
            assert all(status == 200 for status, _ in outcomes)
            target.limit = b"0.5"
            await entry.send_request()
            target.limit = limit
            assert (await entry.send_request())[0] == 503

    asyncio.run(scenario())
