"""Agents that are suspended beside pieces that turn bad, as processes."""

import asyncio

import pytest

from damaskcroft.hosted.tests.deployment import (
    CONTROL_IPS,
    ROUTE,
    TARGET_IP,
    Deployment,
    free_port,
)
from damaskcroft.hosted.tests.model_server import (
    MODEL,
    PIECES,
    AgentSuspender,
    ModelServer,
    engine_values,
)

SUSPENDED_S = 4.0
# How long a piece may have been bad when it is loaded.
MAX_BAD_S = 3.0
CALM_S = 2.0
VERSION_2 = {"model": MODEL, "version": 2}


def configuration(origin):
    services = [
        {"name": "s", "engine": engine_values()},
        {"name": "o", "origin": origin},
    ]
    return {"version": 1, "routes": [ROUTE], "services": services}


@pytest.mark.parametrize(
    ("at_piece", "spoilt"), [(PIECES // 2, (1,)), (PIECES - 1, (0, 20))]
)
def test_pieces_that_turned_bad_while_the_agent_was_suspended_are_not_loaded(
    tmp_path, at_piece, spoilt
):
    """Guards against a load that relies on checks from before a suspension."""

    async def scenario():
        deployment = Deployment(tmp_path)
        address = f"{TARGET_IP}:{free_port()}"
        server = ModelServer(deployment, "t0", address)
        try:
            for ip in CONTROL_IPS:
                await deployment.start("control", ip)
            await deployment.order_until_accepted(
                "/api/config/put", configuration(address)
            )
            async with server.running():
                process = await deployment.start(
                    "agent", TARGET_IP, target=address
                )
                await asyncio.sleep(CALM_S)
                suspender = AgentSuspender(server, process, 2, at_piece, spoilt)
                server.on_read = suspender.on_read
                await deployment.order_until_accepted(
                    "/api/version-put", VERSION_2
                )
                async with asyncio.timeout(20):
                    await suspender.suspended.wait()
                await asyncio.sleep(SUSPENDED_S)
                suspender.resume()
                async with asyncio.timeout(10):
                    while server.version != 2:
                        await asyncio.sleep(0.05)
        finally:
            await deployment.stop()
            # Lets connections to the ended processes close.
            await asyncio.sleep(0.2)
        return server.taken

    taken = asyncio.run(asyncio.wait_for(scenario(), 90))
    assert len(taken) == 1
    assert max(taken[0]) <= MAX_BAD_S
