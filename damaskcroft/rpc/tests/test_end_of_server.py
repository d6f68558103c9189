"""Callers that ask again and again while a server ends.

What happened: 45 callers kept connections to three control nodes, each of
which was told to end once; 1 to 5 requests a play got neither an answer nor a
refusal. In each case the answer before, which kept the connection, and the 408
that ended it came in one read. A caller that reads one answer at a time drops
what follows it, and sends its next request on a connection that has ended.
"""

import asyncio
import collections

import pytest
from starlette.requests import Request
from starlette.responses import PlainTextResponse, StreamingResponse
from starlette.routing import Route

from damaskcroft.rpc import http_served
from damaskcroft.standins.kept_callers import Got, KeptCaller, asks_on
from damaskcroft.standins.loopback import free_address

REQUEST = b"POST /work HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
CALLERS = 40
SERVED_S = 0.3


class Face:
    """A server and how often it did its work."""

    def __init__(self):
        self.address = free_address()
        self.runs = 0

    async def work(self, request):
        await request.body()
        self.runs += 1
        return PlainTextResponse("done")

    def served(self, **options):
        routes = [Route("/work", self.work, methods=["POST"])]
        return http_served(self.address, routes, **options)


@pytest.fixture
def face():
    return Face()


def test_no_promise_comes_behind_an_answer_that_keeps_its_connection(face):
    outcomes = collections.Counter()

    async def scenario():
        async with face.served():
            asking = [
                asyncio.create_task(asks_on(face.address, REQUEST, outcomes))
                for _ in range(CALLERS)
            ]
            await asyncio.sleep(SERVED_S)
        await asyncio.gather(*asking)

    asyncio.run(scenario())
    assert set(outcomes) <= {"200", "408"}
    assert outcomes["200"] == face.runs


def test_a_stream_begun_before_the_end_is_not_followed_at_once(face):
    # Its head has promised to keep the connection.
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
        async with http_served(face.address, routes):
            caller = await KeptCaller.connected(face.address)
            asking = asyncio.create_task(caller.asks(REQUEST))
            await asyncio.sleep(0.1)
            loop = asyncio.get_running_loop()
            loop.call_later(1.0, goes_on.set)
        answer = await asking
        # What ends the connection comes by itself.
        promise = await caller.answer()
        caller.close()
        return answer, promise

    answer, promise = asyncio.run(scenario())
    assert answer == Got("200", keeps=True, followed_by=0)
    assert promise == Got("408", keeps=False, followed_by=0)


def test_connections_made_after_the_notice_are_answered_once(face):
    async def scenario():
        async with face.served() as server:
            server.give_notice()
            caller = await KeptCaller.connected(face.address)
            got = await caller.asks(REQUEST)
            caller.close()
        return got

    assert asyncio.run(scenario()) == Got("200", keeps=False, followed_by=0)


def test_a_notice_given_early_is_not_waited_for_again(face):
    async def scenario():
        loop = asyncio.get_running_loop()
        async with face.served(notice_s=1.0, end_s=0.3) as server:
            caller = await KeptCaller.connected(face.address)
            server.give_notice()
            await asyncio.sleep(1.1)
            ending_at = loop.time()
        caller.close()
        return loop.time() - ending_at

    assert asyncio.run(scenario()) < 0.9


def test_a_request_that_comes_no_further_is_told_so_at_the_end(face):
    # Against a 500 that says its outcome isn't known.
    async def scenario():
        async with face.served(notice_s=0.1, end_s=0.1):
            caller = await KeptCaller.connected(face.address)
            asking = asyncio.create_task(caller.asks(REQUEST[:-2]))
            await asyncio.sleep(0.1)
        got = await asking
        caller.close()
        return got

    assert asyncio.run(scenario()) == Got("408", keeps=False, followed_by=0)
    assert face.runs == 0
