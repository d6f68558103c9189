"""Requests that are sent before a time, or not at all."""

import asyncio
import time

import pytest
from starlette.responses import PlainTextResponse
from starlette.routing import Route

from damaskcroft.clock import now_s
from damaskcroft.rpc import (
    SendExpiredError,
    make_http_client,
    sending_before,
    serve_http,
)
from damaskcroft.standins.loopback import free_address


@pytest.fixture
def call():
    """Runs a scenario with a server; it gets a caller and the arrivals."""

    async def within(scenario):
        address, arrived = free_address(), []

        async def answer(_):
            arrived.append(now_s())
            return PlainTextResponse("done")

        client = make_http_client(connections=1, connect_timeout_s=1)

        async def post(before_s):
            with sending_before(before_s):
                response = await client.post(f"http://{address}/", data=b"x")
                await response.content()

        routes = [Route("/", answer, methods=["POST"])]
        async with client, serve_http(address, routes):
            await scenario(post, arrived)

    return lambda scenario: asyncio.run(within(scenario))


def test_a_request_is_sent_before_its_time(call):
    async def scenario(post, arrived):
        await post(now_s() + 5)
        assert len(arrived) == 1

    call(scenario)


@pytest.mark.parametrize("is_connected", [False, True])
def test_no_byte_of_a_request_is_sent_after_its_time(call, is_connected):
    """Guards against an order on evidence that is too old by then."""

    async def scenario(post, arrived):
        if is_connected:
            await post(now_s() + 5)
        count = len(arrived)
        with pytest.raises(SendExpiredError):
            await post(now_s() - 0.1)
        await asyncio.sleep(0.1)
        assert len(arrived) == count

    call(scenario)


def test_the_time_is_compared_after_the_connection_was_opened(call):
    """Guards against a suspension while a request waits for a connection."""

    async def scenario(post, arrived):
        posting = asyncio.create_task(post(now_s() + 0.1))
        await asyncio.sleep(0)
        # Like a suspension, this stops all tasks of the process.
        time.sleep(0.2)  # noqa: ASYNC251
        with pytest.raises(SendExpiredError):
            await posting
        assert not arrived

    call(scenario)
