"""Fixtures for tests of whole deployments."""

import asyncio
import contextlib

import pytest

from damaskcroft.hosted.tests.fleet import Fleet
from damaskcroft.hosted.tests.one_target import serving

_TIMEOUT_S = 120


@pytest.fixture
def with_fleet(tmp_path):
    """Runs a coroutine function with a started fleet."""

    @contextlib.asynccontextmanager
    async def started(**options):
        fleet = Fleet(tmp_path, **options)
        try:
            await fleet.start()
            yield fleet
        finally:
            await fleet.stop()

    async def play(scenario, options):
        async with asyncio.timeout(_TIMEOUT_S), started(**options) as fleet:
            await scenario(fleet)

    return lambda scenario, **options: asyncio.run(play(scenario, options))


@pytest.fixture
def play(tmp_path):
    def run(scenario):
        async def within():
            async with serving(tmp_path) as (deployment, gate, received):
                await scenario(deployment, gate, received)

        asyncio.run(asyncio.wait_for(within(), 120))

    return run
