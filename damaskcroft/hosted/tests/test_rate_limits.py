"""Targets that announce a rate limit for requests from all entries."""

import asyncio
import collections
import time

import pytest

from damaskcroft.hosted.tests.soak._history import CONTACT_S
from damaskcroft.hosted.tests.soak._limits import WINDOW_S

_LOAD_S = CONTACT_S + 3 * WINDOW_S
# After a limit is no longer announced: time until each entry has sent the
# target a request, and from then until it gets as many as the others.
_PROBED_WITHIN_S = 3.0
_RAMP_S = 4.0
# Callers send 25 requests a second to ten targets.
_ARRIVAL_TIMEOUT_S = 10.0
# Hardly any request may be lost while the other targets have capacity.
_MAX_LOST_SHARE = 0.02


def arrivals_since(fleet, target, at):
    return sum(
        arrival.target == target.name and arrival.at >= at
        for arrival in fleet.history.arrivals
    )


async def wait_until_arrival(fleet, target):
    began_at = time.monotonic()
    async with asyncio.timeout(_ARRIVAL_TIMEOUT_S):
        while not arrivals_since(fleet, target, began_at):
            await asyncio.sleep(0.02)


def report(fleet, background):
    arrivals = collections.Counter(a.target for a in fleet.history.arrivals)
    print(f"arrivals {dict(arrivals)}, overruns {fleet.history.overruns()}")
    print(f"others {collections.Counter(o.status for o in background)}")


@pytest.mark.parametrize("limits", [(1, 2.5, 0.5), (0,), (2,) * 10])
def test_a_rate_limit_bounds_the_requests_of_all_entries_together(
    with_fleet, limits
):
    async def scenario(fleet):
        limited = fleet.targets[: len(limits)]
        async with fleet.background_load() as background:
            for target, limit in zip(limited, limits, strict=True):
                target.limit = limit
            await asyncio.sleep(_LOAD_S)
        report(fleet, background)
        assert fleet.history.overruns() == []
        if len(limits) == len(fleet.targets):
            return
        lost = [outcome for outcome in background if outcome.status != 200]
        assert len(lost) <= _MAX_LOST_SHARE * len(background)

    with_fleet(scenario)


def test_a_limit_outlasts_restarts_of_entries_and_control(with_fleet):
    """Guards against restarted entries that send a burst."""

    async def scenario(fleet):
        fleet.targets[0].limit = 0.5
        async with fleet.background_load() as background:
            await asyncio.sleep(CONTACT_S)
            await fleet.restart_control()
            await fleet.restart_entries_in_turn()
            await asyncio.sleep(2 * WINDOW_S)
        report(fleet, background)
        assert fleet.history.overruns() == []

    with_fleet(scenario)


def test_operators_see_a_limit_until_it_is_lifted(with_fleet):
    async def scenario(fleet):
        target = fleet.targets[0]
        target.limit = 2
        async with fleet.background_load():
            # Only an answer announces a limit, and targets are chosen at
            # random.
            await wait_until_arrival(fleet, target)
            await asyncio.sleep(2)
            (limit,) = (await fleet.limits()).limits
            assert (limit.start_id, limit.rate_s) == (target.start_id, 2)
            target.limit = None
            await asyncio.sleep(_PROBED_WITHIN_S)
            assert not (await fleet.limits()).limits
            await asyncio.sleep(_RAMP_S)
            lifted_at = time.monotonic()
            await asyncio.sleep(2 * WINDOW_S)
        # The equal share of one of ten targets is 2.5 of 25 a second.
        assert arrivals_since(fleet, target, lifted_at) > 2 * WINDOW_S

    with_fleet(scenario)
