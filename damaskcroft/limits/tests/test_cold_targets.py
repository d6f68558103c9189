"""Limits of one entry on requests to cold targets."""

import asyncio
import math

import pytest

from damaskcroft.clock import now_s
from damaskcroft.limits import ColdTargets, Senders, Standing

START = "t@1"


class FixedSenders(Senders):
    """Senders with a share and a standing that a test sets."""

    def __init__(self):
        super().__init__("own", frozenset, lambda: True)
        self.fixed_standing = Standing.SETTLED
        self.hears_control = True

    @property
    def standing(self):
        return self.fixed_standing

    @property
    def is_in_touch(self):
        return self.hears_control

    def share(self, start_id, max_requests):
        return max_requests


class Entry:
    """Cold targets of one entry whose service bears four requests a second."""

    def __init__(self):
        self.bounds = {"s": 4.0}
        self.evacuated = frozenset()
        self.senders = FixedSenders()
        self.cold = ColdTargets(
            self.senders, lambda: self.bounds, lambda: self.evacuated, 2.4
        )

    def report(self, cold_s, start=START, after_start_s=0.0):
        self.cold.record_report(start, "s", "d", cold_s, after_start_s)

    def send(self, count, start=START):
        """Sends as many of some requests as may be sent now."""
        sent = 0
        for _ in range(count):
            if self.cold.is_active and self.cold.time_to_send_s(start):
                break
            self.cold.count_request(start)
            sent += self.cold.may_be_dispatched(start, now_s())
        return sent


@pytest.fixture
def entry(loop):
    return Entry()


def test_warm_targets_are_not_limited(loop, entry):
    async def scenario():
        entry.report(0.0)
        assert not entry.cold.is_active
        assert entry.send(100) == 100

    loop.run_until_complete(scenario())


def test_cold_target_gets_its_limit_in_any_second(loop, entry):
    async def scenario():
        entry.report(10.0)
        assert entry.send(100) == 4
        assert 1.0 < entry.cold.time_to_send_s(START) < 1.1
        await asyncio.sleep(0.99)
        assert entry.send(100) == 0
        await asyncio.sleep(0.1)
        assert entry.send(100) == 4

    loop.run_until_complete(scenario())


def test_requests_just_before_the_news_count(loop, entry):
    async def scenario():
        entry.report(0.0)
        assert entry.send(3) == 3
        await asyncio.sleep(0.5)
        entry.report(10.0)
        assert entry.send(100) == 1

    loop.run_until_complete(scenario())


def test_request_counts_when_it_is_sent_not_when_its_slot_is_taken(loop, entry):
    async def scenario():
        entry.report(10.0)
        taken_at = now_s()
        for _ in range(4):
            entry.cold.count_request(START)
        await asyncio.sleep(0.9)
        for _ in range(4):
            assert entry.cold.may_be_dispatched(START, taken_at)
        await asyncio.sleep(0.9)
        assert entry.send(1) == 0

    loop.run_until_complete(scenario())


def test_request_is_withheld_if_target_turns_cold_meanwhile(loop, entry):
    async def scenario():
        entry.report(0.0)
        taken_at = now_s()
        for _ in range(6):
            entry.cold.count_request(START)
        entry.report(10.0)
        passed = [
            entry.cold.may_be_dispatched(START, taken_at) for _ in range(6)
        ]
        assert sum(passed) <= 4

    loop.run_until_complete(scenario())


def test_limit_ends_in_steps_and_returns_with_the_next_report(loop, entry):
    async def scenario():
        entry.report(1.0)
        await asyncio.sleep(1.01)
        assert entry.send(100) == 8
        await asyncio.sleep(1.1)
        assert entry.send(100) == 16
        await asyncio.sleep(2.0)
        assert not entry.cold.is_active
        entry.report(1.0)
        assert entry.send(100) == 4

    loop.run_until_complete(scenario())


def test_start_during_traffic_is_cold_even_if_it_does_not_say_so(loop, entry):
    async def scenario():
        entry.report(0.0, after_start_s=3.0)
        assert entry.send(100) == 4
        await asyncio.sleep(1.5)
        entry.report(0.0)
        assert entry.send(100) == 4
        await asyncio.sleep(5.0)
        assert entry.send(100) == 100

    loop.run_until_complete(scenario())


def test_targets_of_a_returned_domain_are_cold_until_they_report(loop, entry):
    async def scenario():
        entry.report(0.0)
        entry.evacuated = frozenset({"d"})
        assert not entry.cold.is_active
        entry.evacuated = frozenset()
        assert entry.send(100) == 4
        entry.report(0.0)
        # The ramp of a target that was cold.
        assert entry.send(100) == 4

    loop.run_until_complete(scenario())


def test_out_of_touch_any_target_may_be_cold(loop, entry):
    async def scenario():
        entry.report(0.0)
        entry.senders.hears_control = False
        assert entry.send(100) == 4

    loop.run_until_complete(scenario())


@pytest.mark.parametrize("cold_s", [math.nan, math.inf, -1.0, 1e300])
def test_invalid_times_limit_a_target(loop, entry, cold_s):
    async def scenario():
        entry.report(cold_s)
        assert entry.send(100) == 4

    loop.run_until_complete(scenario())


@pytest.mark.parametrize("bound", [0.0, 0.5, 1e300])
def test_extreme_bounds_are_finite(loop, entry, bound):
    entry.bounds = {"s": bound}

    async def scenario():
        entry.report(10.0)
        assert entry.send(20_000) == (0 if bound < 1 else 10_000)

    loop.run_until_complete(scenario())


def test_targets_without_a_share_are_retried_at_another_entry(loop, entry):
    entry.bounds = {"s": 0.5}

    async def scenario():
        entry.report(8.0)
        assert entry.cold.time_to_send_s(START) > 8.0
        assert 0 < entry.cold.retry_in_s(START) <= 1.0

    loop.run_until_complete(scenario())


def test_huge_time_of_a_target_that_is_gone_limits_nothing(loop, entry):
    async def scenario():
        entry.report(1e300)
        entry.cold.retain_only([])
        assert not entry.cold.is_active

    loop.run_until_complete(scenario())


def test_targets_that_are_gone_are_dropped(loop, entry):
    async def scenario():
        entry.report(10.0)
        entry.cold.retain_only([])
        assert entry.cold.time_to_send_s(START) == 0.0

    loop.run_until_complete(scenario())
