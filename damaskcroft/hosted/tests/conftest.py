"""What tests of whole deployments share."""

import asyncio
import contextlib

import pytest

from damaskcroft.hosted.tests.fleet import Fleet
from damaskcroft.hosted.tests.one_target import serving

_WITHIN_S = 120


@pytest.fixture
def with_fleet(tmp_path):
    """Runs a coroutine function with a fleet that has been started."""

    @contextlib.asynccontextmanager
    async def started():
        fleet = Fleet(tmp_path)
        try:
            await fleet.start()
            yield fleet
        finally:
            await fleet.stop()

    async def play(scenario):
        async with asyncio.timeout(_WITHIN_S), started() as fleet:
            await scenario(fleet)

    return lambda scenario: asyncio.run(play(scenario))


@pytest.fixture
def play(tmp_path):
    def run(scenario):
        async def within():
            async with serving(tmp_path) as (deployment, gate, asked):
                await scenario(deployment, gate, asked)

        asyncio.run(asyncio.wait_for(within(), 120))

    return run
