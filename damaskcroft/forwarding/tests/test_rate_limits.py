"""Requests to targets that name how many a second they take."""

import asyncio

import pytest

from damaskcroft._generated import limits_pb2
from damaskcroft.forwarding.tests.fakes import (
    FakeTarget,
    configuration,
    entry_before,
    route,
)

SAFE = configuration(1, route(idempotent=True))
ONCE = configuration(1, route())


def limited(name, limit):
    target = FakeTarget(name, "whole")
    target.limit = limit
    return target


async def ask_many(entry, count):
    """Statuses and heads of requests that come one by one."""
    return [(await entry.ask())[:2] for _ in range(count)]


def test_others_take_what_a_limited_target_does_not():
    async def scenario():
        slow, free = limited("a", b"2"), FakeTarget("b", "whole")
        async with entry_before(slow, free, config=SAFE) as entry:
            outcomes = await ask_many(entry, 30)
            assert all(status == 200 for status, _ in outcomes)
            # Some came before its first answer was known.
            assert len(slow.heads) <= 3
            assert len(free.heads) >= 27

    asyncio.run(scenario())


def test_callers_wait_for_a_token_that_comes_in_time():
    async def scenario():
        target = limited("a", b"10")
        async with entry_before(target, config=SAFE) as entry:
            loop = asyncio.get_running_loop()
            began_at = loop.time()
            outcomes = await ask_many(entry, 6)
            assert all(status == 200 for status, _ in outcomes)
            assert loop.time() - began_at > 0.4

    asyncio.run(scenario())


def test_who_cannot_get_a_token_is_refused_at_once_and_told_when():
    async def scenario():
        target = limited("a", b"0.5")
        async with entry_before(target, config=SAFE) as entry:
            await entry.ask()
            loop = asyncio.get_running_loop()
            began_at = loop.time()
            status, head, _ = await entry.ask()
            assert loop.time() - began_at < 0.1
            assert status == 503
            seconds = head.partition("retry-after: ")[2].split()[0]
            assert 1.5 < float(seconds) < 4
            assert len(target.heads) == 1

    asyncio.run(scenario())


def test_of_many_that_wait_only_as_many_stay_as_get_a_token_in_time():
    async def scenario():
        target = limited("a", b"5")
        async with entry_before(target, config=SAFE) as entry:
            await entry.ask()
            loop = asyncio.get_running_loop()
            began_at = loop.time()
            took = []

            async def ask():
                status, _, _ = await entry.ask()
                took.append((status, loop.time() - began_at))

            await asyncio.gather(*(ask() for _ in range(20)))
            served = [at for status, at in took if status == 200]
            refused = [at for status, at in took if status == 503]
            # They wait for a third of two seconds at most.
            assert 2 <= len(served) <= 5
            assert len(served) + len(refused) == 20
            assert max(refused) < 0.1

    asyncio.run(scenario())


@pytest.mark.parametrize("config", [SAFE, ONCE])
def test_a_second_attempt_needs_a_token_too(config):
    async def scenario():
        bad, slow = FakeTarget("a", "fails"), limited("b", b"0.5")
        async with entry_before(bad, slow, config=config) as entry:
            for _ in range(12):
                await entry.ask()
            assert len(slow.heads) <= 2

    asyncio.run(scenario())


def test_a_limit_that_another_entry_heard_of_holds_before_the_first_answer():
    async def scenario():
        target = FakeTarget("a", "whole")
        async with entry_before(target, config=SAFE) as entry:
            word = limits_pb2.NamedLimit(start_id="a", rate_s=0.5, revision=1)
            entry.view.take([], limits=[word])
            assert (await entry.ask())[0] == 503
            assert target.heads == []

    asyncio.run(scenario())


def test_an_answer_of_another_target_at_its_address_lifts_nothing():
    async def scenario():
        target = FakeTarget("a", "only_for_itself")
        async with entry_before(target, config=SAFE) as entry:
            word = limits_pb2.NamedLimit(start_id="a", rate_s=20, revision=1)
            entry.view.take([], limits=[word])
            target.name = "another"
            await asyncio.sleep(0.2)
            await entry.ask()
            assert entry.view.limits.rate_s("a") == 20

    asyncio.run(scenario())


def test_an_answer_that_names_no_limit_lifts_it():
    async def scenario():
        target = limited("a", b"10")
        async with entry_before(target, config=SAFE) as entry:
            await entry.ask()
            assert entry.view.limits.named()
            target.limit = None
            assert (await entry.ask())[0] == 200
            assert not entry.view.limits.named()

    asyncio.run(scenario())


@pytest.mark.parametrize("limit", [b"-1", b"nan", b"1, 2", b"\xff", b"0x2"])
def test_nonsense_changes_nothing(limit):
    async def scenario():
        target = limited("a", limit)
        async with entry_before(target, config=SAFE) as entry:
            outcomes = await ask_many(entry, 10)
            assert all(status == 200 for status, _ in outcomes)
            target.limit = b"0.5"
            await entry.ask()
            target.limit = limit
            assert (await entry.ask())[0] == 503

    asyncio.run(scenario())
