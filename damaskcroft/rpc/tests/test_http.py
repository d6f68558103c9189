"""An HTTP server: its idle cost, its Date header and its error answers."""

import asyncio

from starlette.routing import Route

from damaskcroft.http1 import TargetConnection, connect
from damaskcroft.observe import metrics
from damaskcroft.rpc import serve_http
from damaskcroft.standins.loopback import own_network, ports

SERVED_S = 2.0
# Allows two addresses in a process that wakes at most 40 times a second.
MAX_TIMERS = 10
ADDRESS = f"{own_network().prefix}.31:{next(ports())}"


def test_a_server_without_requests_wakes_its_process_seldom(monkeypatch):
    """Guards against uvicorn's polling, ten times a second for each address."""
    timers = 0
    call_at = asyncio.BaseEventLoop.call_at

    def count_call(self, *args, **options):
        nonlocal timers
        timers += 1
        return call_at(self, *args, **options)

    async def scenario():
        async with serve_http(ADDRESS, []):
            monkeypatch.setattr(asyncio.BaseEventLoop, "call_at", count_call)
            await asyncio.sleep(SERVED_S)
            monkeypatch.undo()

    asyncio.run(scenario())
    assert timers <= MAX_TIMERS


def test_answers_have_a_date_and_the_shutdown_is_immediate():
    async def scenario():
        loop = asyncio.get_running_loop()
        async with serve_http(ADDRESS, []):
            connection = TargetConnection(await connect(ADDRESS, 1), "", "")
            await connection.send(b"GET", b"/metrics", [(b"host", b"h")], b"")
            head = await connection.read_head(lambda _: True)
            assert head.status == 200
            assert head.value(b"date")
            connection.close()
            ending_at = loop.time()
        assert loop.time() - ending_at < 0.5

    asyncio.run(scenario())


def test_an_exception_of_a_route_is_answered_and_counted():
    # Guards against a connection that is closed without an answer.
    async def fails(_):
        raise KeyError("fault")

    async def scenario():
        before = faults()
        async with serve_http(ADDRESS, [Route("/fails", fails)]):
            connection = TargetConnection(await connect(ADDRESS, 1), "", "")
            await connection.send(b"GET", b"/fails", [(b"host", b"h")], b"")
            head = await connection.read_head(lambda _: True)
            connection.close()
        assert head.status == 500
        assert head.value(b"connection") == "close"
        assert faults() == before + 1

    def faults():
        return metrics.HTTP_FAULTS.labels("KeyError")._value.get()

    asyncio.run(scenario())
