"""Bursts of agents that all start anew together, in virtual time.

A version takes 5.2 s over an agent's link and 2.6 s over the origin's. Agents
start up to half a second apart and learn of each other meanwhile.
"""

import random

import pytest

from damaskcroft.standins.virtual_links import Fleet, FleetShape

WITHIN_S = 40.0
# Of a copy over the narrowest link that every chunk must pass.
COPY_S = 96 * 24_576 * 8 / 3.65e6
FIRST_WHOLE_S = 1.5 * COPY_S
ALL_WHOLE_S = 2 * COPY_S
MAX_COPIES = 1.3
# Chunks that the first second of a burst left at each agent.
EARLY_CHUNKS = range(24)


def starting_fleet(agents):
    regions = [agents // 3 + (region < agents % 3) for region in range(3)]
    return FleetShape(
        agents_by_region=tuple(regions),
        agent_mbps=3.65,
        origin_mbps=7.3,
        between_mbps=10.5,
        delay_s=0.001,
        chunks=96,
        chunk_bytes=24_576,
        hears_within_s=(0.0, 0.5),
        known_within_s=(0.05, 0.3),
    )


@pytest.fixture
def start_all(loop):
    """Simulates the burst of a fleet after the start of all its agents."""

    def run(agents, seed, held):
        async def scenario():
            fleet = Fleet(starting_fleet(agents), seed)
            rng = random.Random(seed)
            for agent in fleet.agents_by_address.values():
                agent.hold_chunks(rng.sample(EARLY_CHUNKS, rng.choice(held)))
            await fleet.run_burst(WITHIN_S)
            return fleet

        return loop.run(scenario())

    return run


@pytest.mark.parametrize("held", [[0], range(7, 11)], ids=["empty", "begun"])
@pytest.mark.parametrize(
    ("agents", "seed"), [(6, 1), (6, 2), (6, 3), (12, 1), (12, 2), (30, 1)]
)
def test_agents_that_start_together_share_one_copy_of_the_origin(
    start_all, agents, seed, held
):
    """Guards against plans of agents that did not know of each other yet."""
    fleet = start_all(agents, seed, held)
    times_s = fleet.completion_times()
    assert len(fleet.read_outside) <= MAX_COPIES * fleet.shape.chunks
    assert times_s[0] <= FIRST_WHOLE_S
    assert times_s[-1] <= ALL_WHOLE_S
