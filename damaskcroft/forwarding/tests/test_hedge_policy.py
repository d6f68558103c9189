"""Tests of the delay and the limit of hedges, in virtual time."""

import asyncio

import pytest

from damaskcroft.forwarding._hedge_policy import HedgePolicy


@pytest.fixture
def policy(loop):
    async def create():
        return HedgePolicy(0.1)

    return loop.run_until_complete(create())


def record_answers(policy, *times_s, service="s"):
    for took_s in times_s:
        policy.record_first_answer(service, took_s)


def test_no_delay_is_known_from_few_answers(loop, policy):
    async def scenario():
        record_answers(policy, *[0.1] * 19)
        assert policy.delay_s("s") is None

    loop.run_until_complete(scenario())


def test_delay_is_longer_than_most_answers_and_shorter_than_slow_ones(
    loop, policy
):
    async def scenario():
        record_answers(policy, *[0.1] * 96, *[2.0] * 4)
        assert policy.delay_s("s") == 0.1

    loop.run_until_complete(scenario())


def test_delay_follows_a_service_that_is_slow_as_a_whole(loop, policy):
    async def scenario():
        record_answers(policy, *[0.1] * 100)
        assert policy.delay_s("s") == 0.1
        await asyncio.sleep(1)
        record_answers(policy, *[2.0] * 100)
        assert policy.delay_s("s") == 2.0

    loop.run_until_complete(scenario())


def test_old_answers_say_nothing(loop, policy):
    async def scenario():
        record_answers(policy, *[0.1] * 100)
        await asyncio.sleep(11)
        assert policy.delay_s("s") is None

    loop.run_until_complete(scenario())


def test_services_are_independent(loop, policy):
    async def scenario():
        record_answers(policy, *[0.1] * 100)
        record_answers(policy, *[3.0] * 100, service="t")
        for _ in range(100):
            policy.count_request("t")
        assert (policy.delay_s("s"), policy.delay_s("t")) == (0.1, 3.0)
        assert policy.is_within_limit("t")
        assert not policy.is_within_limit("s")

    loop.run_until_complete(scenario())


def test_hedges_of_any_window_stay_within_the_share(loop, policy):
    async def scenario():
        hedged_at = []
        for number in range(2000):
            policy.count_request("s")
            if policy.is_within_limit("s"):
                policy.spend("s")
                hedged_at.append(number)
            await asyncio.sleep(0.02)
        assert len(hedged_at) >= 0.07 * 2000
        for begin in range(0, 2000, 50):
            window = range(begin, begin + 500)
            assert sum(at in window for at in hedged_at) <= 0.1 * 500

    loop.run_until_complete(scenario())


def test_nothing_is_kept_without_a_share(loop):
    async def scenario():
        policy = HedgePolicy(0.0)
        policy.count_request("s")
        record_answers(policy, 0.1)
        assert not policy.is_on
        assert not policy._services_by_name

    loop.run_until_complete(scenario())
