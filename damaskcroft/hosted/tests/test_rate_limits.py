"""Targets that name how many requests a second they take from all entries."""

import asyncio
import collections
import time

import pytest

from damaskcroft.hosted.tests.soak._book import CONTACT_S
from damaskcroft.hosted.tests.soak._limits import WINDOW_S

_LASTS_S = CONTACT_S + 3 * WINDOW_S
# Of a limit that is no longer named: until each entry has tried the target, and
# from then until it gets as much as the others.
_TRIED_WITHIN_S = 3.0
_RAMP_S = 4.0
# Callers send 25 requests a second to ten targets.
_ASKED_WITHIN_S = 10.0
# While the others have room, callers shall hardly notice.
_MAX_LOST_SHARE = 0.02


def arrivals_since(fleet, target, at):
    return sum(
        arrival.target == target.name and arrival.at >= at
        for arrival in fleet.book.arrivals
    )


async def until_asked(fleet, target):
    began_at = time.monotonic()
    async with asyncio.timeout(_ASKED_WITHIN_S):
        while not arrivals_since(fleet, target, began_at):
            await asyncio.sleep(0.02)


def report(fleet, others):
    arrivals = collections.Counter(a.target for a in fleet.book.arrivals)
    print(f"arrivals {dict(arrivals)}, overruns {fleet.book.overruns()}")
    print(f"others {collections.Counter(o.status for o in others)}")


@pytest.mark.parametrize("limits", [(1, 2.5, 0.5), (0,), (2,) * 10])
def test_targets_get_what_they_named_from_all_entries_together(
    with_fleet, limits
):
    async def scenario(fleet):
        limited = fleet.targets[: len(limits)]
        async with fleet.others_call() as others:
            for target, limit in zip(limited, limits, strict=True):
                target.limit = limit
            await asyncio.sleep(_LASTS_S)
        report(fleet, others)
        assert fleet.book.overruns() == []
        if len(limits) == len(fleet.targets):
            return
        lost = [o for o in others if o.status != 200]
        assert len(lost) <= _MAX_LOST_SHARE * len(others)

    with_fleet(scenario)


def test_a_limit_outlasts_restarts_of_entries_and_control(with_fleet):
    """Nobody comes back with what it had not sent before."""

    async def scenario(fleet):
        fleet.targets[0].limit = 0.5
        async with fleet.others_call() as others:
            await asyncio.sleep(CONTACT_S)
            await fleet.restart_control()
            await fleet.restart_entries_in_turn()
            await asyncio.sleep(2 * WINDOW_S)
        report(fleet, others)
        assert fleet.book.overruns() == []

    with_fleet(scenario)


def test_operators_see_a_limit_until_it_is_lifted(with_fleet):
    async def scenario(fleet):
        target = fleet.targets[0]
        target.limit = 2
        async with fleet.others_call():
            # Only an answer names a limit, and targets are chosen by chance.
            await until_asked(fleet, target)
            await asyncio.sleep(2)
            (limit,) = (await fleet.limits()).limits
            assert (limit.start_id, limit.rate_s) == (target.start_id, 2)
            target.limit = None
            await asyncio.sleep(_TRIED_WITHIN_S)
            assert not (await fleet.limits()).limits
            await asyncio.sleep(_RAMP_S)
            lifted_at = time.monotonic()
            await asyncio.sleep(2 * WINDOW_S)
        # An equal share of 25 a second, from ten targets, is 2.5.
        assert arrivals_since(fleet, target, lifted_at) > 2 * WINDOW_S

    with_fleet(scenario)
