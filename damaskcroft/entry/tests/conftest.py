"""A world of entries, agents and control in virtual time."""

import asyncio

import pytest

from damaskcroft.entry.tests.fakes import World
from damaskcroft.standins.virtual_time import VirtualTimeLoop


@pytest.fixture
def loop():
    loop = VirtualTimeLoop()
    asyncio.set_event_loop(loop)
    yield loop
    loop.close()


@pytest.fixture
def world(loop):
    world = World(seed=1)
    loop.run(world.start())
    yield world
    loop.run(world.stop())
