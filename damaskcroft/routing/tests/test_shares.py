"""Shares of priorities and customers, and the fullness of all targets."""

import asyncio

import pytest

from damaskcroft.routing import Candidate, Outliers, Placer
from damaskcroft.routing._customer_shares import CustomerShares
from damaskcroft.routing._fleet_fullness import FleetFullness
from damaskcroft.routing._priority_shares import PriorityShares

URGENT, USUAL = 0, 1
SLOTS = 10


@pytest.fixture(name="shares")
def fixture_shares(loop):
    """Shares of a service whose priorities were all served in full."""

    async def make():
        shares = PriorityShares()
        record(shares, URGENT, asked=10, granted=10)
        record(shares, USUAL, asked=10, granted=10)
        return shares

    return loop.run(make())


def record(shares, priority, *, asked, granted):
    for _ in range(asked):
        shares.record_arrival(priority)
    for _ in range(granted):
        shares.record_grant(priority)


def test_nothing_is_held_back_while_no_request_lacks_room(loop, shares):
    async def scenario():
        assert not shares.is_held_back(USUAL)
        shares.record_pressed(USUAL)
        assert not shares.is_held_back(USUAL)
        assert not shares.is_held_back(URGENT)

    loop.run(scenario())


def test_less_urgent_requests_are_held_back_while_urgent_ones_lack_room(
    loop, shares
):
    async def scenario():
        shares.record_pressed(URGENT)
        assert shares.is_held_back(USUAL)
        assert not shares.is_held_back(URGENT)
        await asyncio.sleep(1.01)
        assert not shares.is_held_back(USUAL)

    loop.run(scenario())


def test_a_priority_below_its_floor_is_not_held_back(loop, shares):
    async def scenario():
        record(shares, URGENT, asked=60, granted=60)
        record(shares, USUAL, asked=30, granted=2)
        shares.record_pressed(URGENT)
        assert shares.below_floor() == {USUAL}
        assert not shares.is_held_back(USUAL)

    loop.run(scenario())


def test_one_refused_request_does_not_put_a_priority_below_its_floor(loop):
    async def scenario():
        shares = PriorityShares()
        record(shares, URGENT, asked=10, granted=10)
        record(shares, USUAL, asked=1, granted=0)
        assert not shares.below_floor()

    loop.run(scenario())


def test_shares_are_those_of_the_last_seconds(loop, shares):
    async def scenario():
        record(shares, URGENT, asked=60, granted=60)
        record(shares, USUAL, asked=30, granted=2)
        assert shares.below_floor() == {USUAL}
        await asyncio.sleep(20)
        record(shares, URGENT, asked=4, granted=4)
        record(shares, USUAL, asked=4, granted=4)
        assert not shares.below_floor()

    loop.run(scenario())


def test_grants_of_customers_are_forgotten_after_some_seconds(loop):
    async def scenario():
        shares = CustomerShares()
        for _ in range(8):
            shares.record_grant("large")
        shares.record_grant("small")
        assert shares.recent_grants("large") > shares.recent_grants("small")
        await asyncio.sleep(30)
        shares.record_grant("small")
        assert shares.recent_grants("large") == 0

    loop.run(scenario())


def make_fleet(fullness, entry_outstanding=10, reports=8):
    fleet = FleetFullness()
    for _ in range(reports):
        fleet.add_target(SLOTS)
        fleet.add_report(fullness, entry_outstanding)
    return fleet


def test_targets_have_room_together_while_reports_are_few_or_low():
    assert make_fleet(1.5, reports=3).has_room(10, 4)
    assert make_fleet(0.5).has_room(40, 4)


def test_targets_that_report_full_have_no_room_together():
    assert make_fleet(0.95).has_room(10, 4)
    assert not make_fleet(1.05).has_room(10, 4)


def test_other_entries_are_taken_to_grow_as_this_one_does():
    """Reports lag by about a second while load rises at all entries."""
    assert not make_fleet(0.8).has_room(16, 4)
    assert make_fleet(1.2).has_room(6, 4)


def test_no_request_is_sent_to_a_silent_target_while_all_others_are_full(loop):
    async def scenario():
        placer = Placer("d", "r", Outliers())
        targets = [
            Candidate(f"t{n}", f"x:{n}", "d", "r", SLOTS) for n in range(9)
        ]
        placer.take(targets[0])
        for target in targets[:-1]:
            placer.record_load(target.id, SLOTS + 1)
        assert not placer.choose(targets, ()).has_room
        await asyncio.sleep(1.5)
        assert placer.choose(targets, ()).has_room

    loop.run(scenario())
