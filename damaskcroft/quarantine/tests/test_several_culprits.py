"""Several requests that crash targets, at several entries, in virtual time."""

import asyncio
import itertools

import pytest

from damaskcroft.quarantine.tests.fleet_simulation import Delays, SimulatedFleet

_COPIES = 12
_COPY_EVERY_S = 1.0
_INNOCENT_EVERY_S = 0.04
# Three, and one more where two such requests ran on the same target.
_MAX_CRASHES_OF_ONE = 4
_BUSY = Delays(send_s=0.03, publish_s=0.3, check_s=0.1, announce_s=1.0)
_SLOW = Delays(send_s=0.1, publish_s=0.6, check_s=0.3, announce_s=1.5)


async def run_culprits(fleet, culprits):
    """Sends copies of several requests that crash targets, and innocent ones.

    Returns:
        The requests that any entry refuses.
    """
    innocent_requests = (b"sound %d" % number for number in itertools.count())
    async with fleet.running():
        innocent_task = asyncio.create_task(
            fleet.send_every(_INNOCENT_EVERY_S, innocent_requests)
        )
        async with asyncio.TaskGroup() as group:
            for number in range(culprits):
                name = b"crash %d" % number
                copies = fleet.send_in_sequence(name, _COPIES, _COPY_EVERY_S)
                group.create_task(copies)
                await asyncio.sleep(_COPY_EVERY_S / culprits)
        innocent_task.cancel()
    return fleet.quarantined_requests()


@pytest.mark.parametrize("delays", [Delays(), _BUSY, _SLOW])
@pytest.mark.parametrize(
    ("culprits", "targets", "entries"), [(6, 10, 2), (9, 20, 4)]
)
@pytest.mark.parametrize("seed", range(8))
def test_each_of_several_culprits_is_quarantined_after_few_crashes(
    loop, seed, culprits, targets, entries, delays
):
    # Guards against a request that runs beside others of its kind, which
    # explain its crashes, so that it goes on crashing targets.
    async def scenario():
        fleet = SimulatedFleet(seed, targets, entries, delays)
        quarantined = await run_culprits(fleet, culprits)
        assert quarantined == {
            b"crash %d" % number for number in range(culprits)
        }
        most = max(len(times) for times in fleet.crashes.values())
        assert most <= _MAX_CRASHES_OF_ONE

    loop.run(scenario())
