"""A world of entries, agents and control in virtual time."""

import pytest

from damaskcroft.entry.tests.fakes import World


@pytest.fixture
def world(loop):
    world = World(seed=1)
    loop.run(world.start())
    yield world
    loop.run(world.stop())
