"""Callers that send one request after another during a shutdown.

Guards against requests that get neither an answer nor a refusal. 45 callers
had persistent connections to three control nodes, each of which was stopped
once; 1 to 5 requests in each run were lost. In each case the previous answer,
which kept the connection open, and the 408 that closed it arrived in one read.
A caller that reads one answer at a time discards the bytes after it, and sends
its next request on a connection that is already half closed.
"""

import asyncio
import collections

import pytest
from starlette.requests import Request
from starlette.responses import PlainTextResponse, StreamingResponse
from starlette.routing import Route

from damaskcroft.rpc import serve_http
from damaskcroft.standins.kept_callers import Got, KeptCaller, send_until_closed
from damaskcroft.standins.loopback import free_address

REQUEST = b"POST /work HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
CALLERS = 40
SERVED_S = 0.3


class WorkServer:
    """A server that counts the requests it has run."""

    def __init__(self):
        self.address = free_address()
        self.runs = 0

    async def work(self, request):
        await request.body()
        self.runs += 1
        return PlainTextResponse("done")

    def serve(self, **options):
        routes = [Route("/work", self.work, methods=["POST"])]
        return serve_http(self.address, routes, **options)


@pytest.fixture
def work_server():
    return WorkServer()


def test_no_408_follows_an_answer_that_keeps_its_connection_open(work_server):
    outcomes = collections.Counter()

    async def scenario():
        async with work_server.serve():
            asking = [
                asyncio.create_task(
                    send_until_closed(work_server.address, REQUEST, outcomes)
                )
                for _ in range(CALLERS)
            ]
            await asyncio.sleep(SERVED_S)
        await asyncio.gather(*asking)

    asyncio.run(scenario())
    assert set(outcomes) <= {"200", "408"}
    assert outcomes["200"] == work_server.runs


def test_a_408_does_not_follow_a_stream_begun_before_the_shutdown_at_once(
    work_server,
):
    # The stream's head has announced that the connection stays open.
    async def scenario():
        goes_on = asyncio.Event()

        async def parts(_: Request):
            async def body():
                yield b"do"
                await goes_on.wait()
                yield b"ne"

            headers = {"Content-Length": "4"}
            return StreamingResponse(body(), headers=headers)

        routes = [Route("/work", parts, methods=["POST"])]
        async with serve_http(work_server.address, routes):
            caller = await KeptCaller.connected(work_server.address)
            asking = asyncio.create_task(caller.asks(REQUEST))
            await asyncio.sleep(0.1)
            loop = asyncio.get_running_loop()
            loop.call_later(1.0, goes_on.set)
        answer = await asking
        # The 408 that closes the connection arrives separately.
        promise = await caller.answer()
        caller.close()
        return answer, promise

    answer, promise = asyncio.run(scenario())
    assert answer == Got("200", keeps=True, followed_by=0)
    assert promise == Got("408", keeps=False, followed_by=0)


def test_connections_made_after_the_notice_are_answered_once(work_server):
    async def scenario():
        async with work_server.serve() as server:
            server.announce_shutdown()
            caller = await KeptCaller.connected(work_server.address)
            got = await caller.asks(REQUEST)
            caller.close()
        return got

    assert asyncio.run(scenario()) == Got("200", keeps=False, followed_by=0)


def test_the_time_since_an_early_notice_counts(work_server):
    async def scenario():
        loop = asyncio.get_running_loop()
        async with work_server.serve(
            shutdown_notice_s=1.0, end_s=0.3
        ) as server:
            caller = await KeptCaller.connected(work_server.address)
            server.announce_shutdown()
            await asyncio.sleep(1.1)
            ending_at = loop.time()
        caller.close()
        return loop.time() - ending_at

    assert asyncio.run(scenario()) < 0.9


def test_an_incomplete_request_gets_a_408_at_the_shutdown(work_server):
    # Guards against a 500, which says that its outcome is unknown.
    async def scenario():
        async with work_server.serve(shutdown_notice_s=0.1, end_s=0.1):
            caller = await KeptCaller.connected(work_server.address)
            asking = asyncio.create_task(caller.asks(REQUEST[:-2]))
            await asyncio.sleep(0.1)
        got = await asking
        caller.close()
        return got

    assert asyncio.run(scenario()) == Got("408", keeps=False, followed_by=0)
    assert work_server.runs == 0
