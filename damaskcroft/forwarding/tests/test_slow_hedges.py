"""Tests which slow requests are hedged, and when, without a network."""

import asyncio
import types

import pytest

from damaskcroft.clock import now_s
from damaskcroft.forwarding._hedge import Hedge
from damaskcroft.forwarding._hedge_policy import HedgePolicy
from damaskcroft.forwarding._slow_hedges import SlowHedges
from damaskcroft.routing import (
    Candidate,
    FleetRetryBudget,
    Placement,
    RetryKind,
    SlotTaken,
)

OTHER = Candidate("b", "127.0.0.1:1", "d", "r", 4)


class Allocator:
    """Allocator with one other target."""

    def __init__(self, retry_budget):
        self.placement = Placement(OTHER, 0.1, True)
        self.waiting = False
        self.queue = types.SimpleNamespace(has_waiting=lambda _: self.waiting)
        self.retry_budget = retry_budget

    def choose_other_target(self, slow):
        return self.placement

    def take_slow_hedge_slot(self, slow):
        assert self.retry_budget.spend("s", RetryKind.HEDGE)
        return SlotTaken(self.placement.candidate, None)


class Hedges:
    """Hedges with replaceable conditions; keeps when attempts were made."""

    def __init__(self, share=0.1):
        self.policy = HedgePolicy(share)
        self.retry_budget = FleetRetryBudget(
            1.0, 100.0, 10.0, lambda _, whole: whole, lambda: 1
        )
        self.allocator = Allocator(self.retry_budget)
        self.is_suspect = False
        self.has_attempt_left = True
        self.sent_at = []
        self.slow = SlowHedges(
            self.policy,
            self.allocator,
            types.SimpleNamespace(shares_suspicion=lambda *_: self.is_suspect),
            self.retry_budget,
            lambda _: self.has_attempt_left,
            self._send,
        )
        for _ in range(100):
            self.retry_budget.count_request("s")
            self.policy.count_request("s")
            self.policy.record_first_answer("s", 0.1)

    async def _send(self, slow, allocated):
        self.sent_at.append(now_s())

    async def wait(self, dispatch, seconds):
        """Waits for an answer; returns the delays of the hedges made."""
        began_at = now_s()
        with self.slow.scheduled(dispatch):
            await asyncio.sleep(seconds)
        await asyncio.sleep(5)
        return [pytest.approx(at - began_at) for at in self.sent_at]


def dispatch(repeatable=True, sent=1, begun=False, primary=None, left_s=9.0):
    hedge = Hedge(primary)
    hedge.attempt = types.SimpleNamespace(is_waiting=True)
    return types.SimpleNamespace(
        job=types.SimpleNamespace(
            is_repeatable=repeatable,
            service="s",
            left_s=left_s,
            call=types.SimpleNamespace(request_id="1"),
        ),
        progress=types.SimpleNamespace(
            sent=sent, begun=begun, pace=types.SimpleNamespace(first_s=None)
        ),
        target=types.SimpleNamespace(id="a"),
        hedge=hedge,
        sent_at=now_s(),
    )


def budget_left(hedges):
    return hedges.retry_budget.left("s", RetryKind.HEDGE)


def run(loop, scenario):
    loop.run_until_complete(scenario())


def test_slow_request_is_hedged_once_after_the_delay(loop):
    async def scenario():
        hedges = Hedges()
        left_before = budget_left(hedges)
        assert await hedges.wait(dispatch(), 3.0) == [0.1]
        assert budget_left(hedges) == left_before - 1

    run(loop, scenario)


def test_answered_request_is_not_hedged(loop):
    async def scenario():
        assert await Hedges().wait(dispatch(), 0.09) == []

    run(loop, scenario)


@pytest.mark.parametrize(
    "fields",
    [
        {"repeatable": False},
        {"sent": 2},
        {"begun": True},
        {"left_s": 0.05},
    ],
)
def test_request_that_must_not_be_hedged_gets_no_timer(loop, fields):
    async def scenario():
        hedges = Hedges()
        timers = []
        asyncio.get_running_loop().call_at = lambda *args: timers.append(args)
        try:
            with hedges.slow.scheduled(dispatch(**fields)):
                assert not timers
        finally:
            del asyncio.get_running_loop().call_at

    run(loop, scenario)


def test_hedge_is_not_hedged_itself(loop):
    async def scenario():
        hedges = Hedges()
        assert await hedges.wait(dispatch(primary=Hedge()), 3.0) == []

    run(loop, scenario)


def test_no_timer_is_set_without_a_share(loop):
    async def scenario():
        hedges = Hedges(share=0.0)
        assert hedges.slow._schedule(dispatch()) is None

    run(loop, scenario)


def test_request_that_has_output_is_not_hedged(loop):
    async def scenario():
        hedges, slow = Hedges(), dispatch()
        slow.progress.pace.first_s = 0.05
        assert await hedges.wait(slow, 3.0) == []

    run(loop, scenario)


def suspect(hedges):
    hedges.is_suspect = True


def no_attempt_left(hedges):
    hedges.has_attempt_left = False


def limit(hedges):
    for _ in range(8):
        hedges.policy.spend("s")


def no_retry_budget(hedges):
    while hedges.retry_budget.spend("s", RetryKind.HEDGE):
        pass


def queue(hedges):
    hedges.allocator.waiting = True


def no_target(hedges):
    hedges.allocator.placement = None


def full(hedges):
    hedges.allocator.placement = Placement(OTHER, 1.0, False)


@pytest.mark.parametrize(
    "forbid",
    [suspect, no_attempt_left, limit, no_retry_budget, queue, no_target, full],
)
def test_hedge_is_refused(loop, logs, forbid):
    async def scenario():
        hedges = Hedges()
        forbid(hedges)
        assert await hedges.wait(dispatch(), 3.0) == []
        refused = [line for line in logs if "hedge_not_allowed" in line]
        assert len(refused) == 1
        assert f"reason={forbid.__name__}" in refused[0]

    run(loop, scenario)


def test_requests_that_are_slow_together_stay_within_the_limit(loop):
    # All timers fire in one round, before any hedge has spent the limit.
    async def scenario():
        hedges = Hedges()
        waits = [hedges.wait(dispatch(), 3.0) for _ in range(50)]
        await asyncio.gather(*waits)
        assert len(hedges.sent_at) == 8

    run(loop, scenario)
