"""Calls over pooled connections that their server has closed."""

import asyncio

import pytest
from starlette.responses import PlainTextResponse
from starlette.routing import Route

from damaskcroft.rpc import make_http_client, serve_http
from damaskcroft.standins.loopback import free_address


async def _work(_):
    return PlainTextResponse("done")


@pytest.mark.parametrize("checks_reuse", [True, False])
def test_no_call_is_sent_on_a_connection_closed_by_its_server(checks_reuse):
    # Guards against calls that a server can only answer by a 408, because it
    # is stopping or the connection was idle for too long.
    async def scenario():
        address = free_address()
        routes = [Route("/work", _work, methods=["POST"])]
        client = make_http_client(
            connections=1, connect_timeout_s=1, checks_kept=checks_reuse
        )
        async with client, serve_http(address, routes, idle_timeout_s=0.1):
            statuses = []
            for _ in range(2):
                response = await client.post(
                    f"http://{address}/work", data=b"body"
                )
                await response.content()
                statuses.append(response.status_code)
                await asyncio.sleep(0.3)
            await client.aclose()
        return statuses

    assert asyncio.run(scenario()) == [200, 200 if checks_reuse else 408]
