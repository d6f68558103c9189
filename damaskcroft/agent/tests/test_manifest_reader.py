"""Manifests reach a whole fleet without a reading by each agent.

All agents of a fleet hear of a version at once. A manifest is a third of a
chunk's bytes; read twice by each of 54 agents it took an origin of 4.38 Mbit/s
a second and more, in which it could have given a quarter of the version.
"""

import asyncio
import hashlib
import random

import pytest

from damaskcroft._generated import fleet_pb2
from damaskcroft.agent._manifest_reader import ManifestReader
from damaskcroft.weights import (
    OutsideData,
    OutsideFailed,
    PeerData,
    PeerFailed,
    PeerNotYet,
    manifest_of_digests,
)

AGENTS = 54
PATH = "m/2"
READ_S = 0.02
HEARS_WITHIN_S = 0.2


def manifest(seed):
    digests = [hashlib.sha256(b"%d/%d" % (seed, n)).digest() for n in range(8)]
    made = manifest_of_digests("m", "2", 50, digests)
    return made.SerializeToString(deterministic=True)


RIGHT = manifest(0)


class Origin:
    """Counts readings; some may be spoilt, each in another way."""

    def __init__(self, spoilt=(), is_away=False):
        self.readings = 0
        self.spoilt = spoilt
        self.is_away = is_away

    async def fetch_manifest(self, path):
        assert path == PATH
        await asyncio.sleep(READ_S)
        if self.is_away:
            return OutsideFailed("unreachable", 0.0)
        self.readings += 1
        if self.readings in self.spoilt:
            return OutsideData(manifest(self.readings))
        return OutsideData(RIGHT)


class Fleet:
    """Agents that each want the manifest of one version.

    Attributes:
        borne_out: what agents tell others, by address.
        got_at: when each had a manifest that was borne out, by address.
    """

    def __init__(self, loop, origin, dead=()):
        self.loop = loop
        self.origin = origin
        self.dead = dead
        self.borne_out = {}
        self.got_at = {}
        self.addresses = [f"10.0.0.{n}:1" for n in range(AGENTS)]

    async def fetch_manifest(self, address, digest, path=""):
        await asyncio.sleep(READ_S)
        if address in self.dead:
            return PeerFailed("unreachable")
        content = self.borne_out.get(address)
        return PeerNotYet() if content is None else PeerData(content)

    async def get(self, address):
        rng = random.Random(address)
        await asyncio.sleep(rng.uniform(0.0, HEARS_WITHIN_S))
        others = [
            fleet_pb2.AgentState(address=other)
            for other in self.addresses
            if other != address
        ]
        while True:
            reader = ManifestReader(
                PATH, self.origin, self, address, lambda: others, rng
            )
            content = await reader.first()
            if await reader.is_confirmed(content):
                break
        self.borne_out[address] = content
        self.got_at[address] = self.loop.time()

    def run(self, within_s=30.0):
        async def scenario():
            living = [a for a in self.addresses if a not in self.dead]
            async with asyncio.timeout(within_s):
                await asyncio.gather(*(self.get(a) for a in living))

        self.loop.run(scenario())


@pytest.fixture
def fleet(loop):
    def make(origin=None, dead=()):
        return Fleet(loop, origin or Origin(), dead)

    return make


def test_a_fleet_takes_few_readings_of_a_manifest_from_outside(fleet):
    """Before: 108 readings, two by each agent."""
    made = fleet()
    made.run()
    assert made.origin.readings <= AGENTS / 5
    assert max(made.got_at.values()) < HEARS_WITHIN_S + 0.6
    assert set(made.borne_out.values()) == {RIGHT}


def test_whoever_was_to_read_may_be_gone(fleet):
    every = fleet()
    every.run()
    first = sorted(every.got_at, key=every.got_at.get)[:10]
    made = fleet(dead=first)
    made.run()
    assert max(made.got_at.values()) < HEARS_WITHIN_S + 2.0
    assert set(made.borne_out.values()) == {RIGHT}


def test_spoilt_readings_are_borne_out_nowhere(fleet):
    made = fleet(Origin(spoilt=(1, 2, 4)))
    made.run()
    assert set(made.borne_out.values()) == {RIGHT}


def test_what_an_agent_has_reaches_others_while_the_origin_is_away(fleet):
    made = fleet(Origin(is_away=True))
    made.borne_out[made.addresses[7]] = RIGHT
    made.run()
    assert set(made.borne_out.values()) == {RIGHT}
    assert max(made.got_at.values()) < HEARS_WITHIN_S + 2.0
