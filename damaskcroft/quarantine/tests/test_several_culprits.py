"""Several requests that crash targets, at several entries, in virtual time."""

import asyncio
import itertools

import pytest

from damaskcroft.quarantine.tests.fleet_plays import Delays, SimulatedFleet

_COPIES = 12
_COPY_EVERY_S = 1.0
_SOUND_EVERY_S = 0.04
# Three, and one more where two of them met at a target.
_MAX_CRASHES_OF_ONE = 4
_BUSY = Delays(sent_s=0.03, news_s=0.3, look_s=0.1, announced_s=1.0)
_SLOW = Delays(sent_s=0.1, news_s=0.6, look_s=0.3, announced_s=1.5)


async def crash_some(fleet, culprits):
    """Copies of each culprit, beside sound requests."""
    sounds = (b"sound %d" % number for number in itertools.count())
    async with fleet.running():
        calling = asyncio.create_task(fleet.call_every(_SOUND_EVERY_S, sounds))
        async with asyncio.TaskGroup() as group:
            for number in range(culprits):
                name = b"crash %d" % number
                copies = fleet.ask_in_a_row(name, _COPIES, _COPY_EVERY_S)
                group.create_task(copies)
                await asyncio.sleep(_COPY_EVERY_S / culprits)
        calling.cancel()
    return fleet.held()


@pytest.mark.parametrize("delays", [Delays(), _BUSY, _SLOW])
@pytest.mark.parametrize(
    ("culprits", "targets", "entries"), [(6, 10, 2), (9, 20, 4)]
)
@pytest.mark.parametrize("seed", range(8))
def test_each_of_several_culprits_is_held_after_few_crashes(
    loop, seed, culprits, targets, entries, delays
):
    # Against one that meets others at a target, whose crashes they explain.
    async def scenario():
        fleet = SimulatedFleet(seed, targets, entries, delays)
        held = await crash_some(fleet, culprits)
        assert held == {b"crash %d" % number for number in range(culprits)}
        most = max(len(times) for times in fleet.crashes.values())
        assert most <= _MAX_CRASHES_OF_ONE

    loop.run(scenario())
