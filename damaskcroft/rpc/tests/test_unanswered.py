"""Logs and counts of requests whose connections end before the answer."""

import asyncio
import json

import pytest
from starlette.requests import Request
from starlette.responses import StreamingResponse
from starlette.routing import Route

from damaskcroft.observe import metrics
from damaskcroft.rpc import _kept_connections, serve_http
from damaskcroft.standins.kept_callers import KeptCaller
from damaskcroft.standins.loopback import free_address

REQUEST = b"POST /things/t-1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}"


@pytest.fixture
def lines(monkeypatch):
    """Events that connections log, as names and fields."""
    logged = []

    def log(event, **fields):
        logged.append((event, fields))

    monkeypatch.setattr(_kept_connections, "log_event", log)
    return logged


class WorkServer:
    """Sends a part of an answer, then waits or fails."""

    def __init__(self):
        self.address = free_address()
        self.begun = asyncio.Event()
        self.fails = False
        self.sends_part = True

    def serve(self):
        route = Route("/things/{thing}", self._work, methods=["POST"])
        return serve_http(
            self.address, [route], shutdown_notice_s=0.1, end_s=0.1
        )

    async def _work(self, request: Request):
        json.loads(await request.body())
        if not self.sends_part:
            self.begun.set()
            await asyncio.sleep(60)
        return StreamingResponse(self._parts())

    async def _parts(self):
        yield b"part"
        self.begun.set()
        if self.fails:
            raise KeyError("fault")
        await asyncio.sleep(60)


def read_counter(ended_by, reason):
    return metrics.UNANSWERED.labels(ended_by, reason)._value.get()


async def send_request(work_server):
    caller = await KeptCaller.connected(work_server.address)
    asking = asyncio.create_task(caller.asks(REQUEST))
    async with asyncio.timeout(5):
        await work_server.begun.wait()
    return caller, asking


@pytest.mark.parametrize("sends_part", [True, False])
def test_a_caller_that_disconnects_is_logged_and_counted(lines, sends_part):
    before = read_counter("caller", "caller_left")

    async def scenario():
        work_server = WorkServer()
        work_server.sends_part = sends_part
        async with work_server.serve():
            caller, asking = await send_request(work_server)
            asking.cancel()
            await asyncio.gather(asking, return_exceptions=True)
            caller.close()
            await asyncio.sleep(0.1)

    asyncio.run(scenario())
    ((event, fields),) = lines
    assert event == "caller_left"
    assert 0 <= fields.pop("after_s") < 1
    assert fields == {
        "ended_by": "caller",
        "reason": "caller_left",
        "method": "POST",
        "path": "/things/{thing}",
        "begun": sends_part,
        "state": "serving",
    }
    assert read_counter("caller", "caller_left") == before + 1


@pytest.mark.parametrize(
    ("fails", "reason", "state"),
    [(True, "fault", "serving"), (False, "server_ended", "stopping")],
)
def test_an_answer_that_the_server_breaks_off_is_logged_and_counted(
    lines, fails, reason, state
):
    before = read_counter("server", reason)

    async def scenario():
        work_server = WorkServer()
        work_server.fails = fails
        async with work_server.serve():
            caller, asking = await send_request(work_server)
            await asyncio.sleep(0.1)
        await asking
        caller.close()

    asyncio.run(scenario())
    ((event, fields),) = lines
    assert event == "answer_broken_off"
    assert (fields["ended_by"], fields["reason"]) == ("server", reason)
    assert (fields["path"], fields["state"]) == ("/things/{thing}", state)
    assert read_counter("server", reason) == before + 1


def test_complete_answers_are_not_counted(lines):
    async def scenario():
        address = free_address()
        request = b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"
        async with serve_http(address, []):
            caller = await KeptCaller.connected(address)
            assert (await caller.asks(request)).status == "200"
            assert (await caller.asks(request)).status == "200"
            caller.close()

    asyncio.run(scenario())
    assert lines == []
