"""Retries of a fleet of real processes whose targets lose most answers."""

import asyncio

from damaskcroft.hosted.tests.soak._retries import WINDOW_S

_EXTRA = 20
_LOST_SHARE = 0.9
# Time until entries know each other and use their shares of the constant.
_SETTLING_S = WINDOW_S + 6.0
_KILLS = 3
_KILL_INTERVAL_S = 3.0


def test_killed_entries_retry_no_more_than_the_budget_of_the_fleet(with_fleet):
    async def scenario(fleet):
        await asyncio.sleep(_SETTLING_S)
        async with fleet.background_load():
            await asyncio.sleep(2)
            for target in fleet.targets:
                target.lost_share = _LOST_SHARE
            for _ in range(_KILLS):
                await asyncio.sleep(_KILL_INTERVAL_S)
                await fleet.kill_entries()
            await asyncio.sleep(_KILL_INTERVAL_S)
            for target in fleet.targets:
                target.lost_share = 0.0
        retries = len(fleet.history.arrivals) - len(
            {arrival.request_id for arrival in fleet.history.arrivals}
        )
        assert retries >= _EXTRA
        assert fleet.history.retry_overruns() == []

    with_fleet(scenario, retry_extra=_EXTRA)
