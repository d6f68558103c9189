"""The server against well-formed, malformed and incomplete requests."""

import asyncio
import contextlib
import socket
import struct

import pytest

from damaskcroft.http1 import Channel
from damaskcroft.http1.tests.conftest import RawCaller

HEAD = b"POST /a/b HTTP/1.1\r\nHost: h\r\n"
REQUEST = HEAD + b"Content-Length: 4\r\n\r\nbody"


async def wait_until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


def test_a_persistent_connection_carries_several_requests(run, served):
    async def scenario():
        async with served() as (handler, call, _):
            caller = await call()
            for _ in range(3):
                await caller.send(REQUEST)
                answer = await caller.read_until(b"got body")
                assert answer.startswith(b"HTTP/1.1 200")
                assert b"connection: close" not in answer.lower()
            assert len(handler.requests) == 3

    run(scenario())


def test_requests_sent_at_once_are_answered_in_order(run, served):
    async def scenario():
        async with served() as (_, call, _):
            caller = await call()
            second = REQUEST.replace(b"body", b"next")
            await caller.send(REQUEST + second)
            await caller.read_until(b"got body")
            await caller.read_until(b"got next")

    run(scenario())


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"not http at all\r\n\r\n", b"400"),
        (HEAD + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\n", b"400"),
        (
            HEAD + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"400",
        ),
        (HEAD + b"X: " + b"x" * 8000 + b"\r\n\r\n", b"431"),
        (HEAD + b"X: y\r\n" * 200 + b"\r\n", b"431"),
        (HEAD + b"Content-Length: 20000\r\n\r\n" + b"x" * 20000, b"413"),
        (b"GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n", b"400"),
        (b"POST /a HTTP/1.1\r\n\r\n", b"400"),
        (b"POST /a HT", b"408"),
        (HEAD + b"Content-Length: 4\r\n\r\nbo", b"408"),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbo", b"408"),
    ],
    ids=[
        "no HTTP",
        "two lengths",
        "length beside chunks",
        "long header",
        "many headers",
        "long body",
        "absolute target",
        "no host",
        "head stops midway",
        "body stops midway",
        "chunk stops midway",
    ],
)
def test_a_malformed_or_incomplete_request_is_refused(
    run, served, sent, status
):
    async def scenario():
        async with served() as (handler, call, _):
            caller = await call()
            await caller.send(sent)
            answer = await caller.read_to_end()
            assert answer.split()[1] == status
            assert b"connection: close" in answer.lower()
            assert handler.requests == []
            assert len(handler.refusals) == 1
            other = await call()
            await other.send(REQUEST)
            await other.read_until(b"got body")

    run(scenario())


def assert_only_not_run_answer(answer):
    """Checks the close of an idle connection: a 408 and nothing after it."""
    assert answer.startswith(b"HTTP/1.1 408")
    assert b"connection: close" in answer.lower()
    assert answer.endswith(b"\r\n\r\n")
    assert answer.count(b"\r\n\r\n") == 1


def test_an_idle_connection_is_closed_with_only_a_408(run, served):
    async def scenario():
        async with served() as (handler, call, _):
            caller = await call()
            assert_only_not_run_answer(await caller.read_to_end())
            assert handler.requests == handler.refusals == []

    run(scenario())


def test_a_caller_that_half_closes_still_gets_its_answer(run, served):
    async def scenario():
        async with served() as (handler, call, _):
            handler.gate.clear()
            caller = await call()
            await caller.send(REQUEST)
            caller.writer.write_eof()
            await wait_until(lambda: handler.requests)
            await asyncio.sleep(0.15)
            handler.gate.set()
            answer = await caller.read_to_end()
            assert answer.endswith(b"got body")
            assert handler.cancelled == 0

    run(scenario())


@pytest.mark.parametrize("reset", [False, True], ids=["closes", "resets"])
def test_a_caller_that_disconnects_cancels_its_request(run, served, reset):
    async def scenario():
        async with served() as (handler, call, _):
            handler.gate.clear()
            caller = await call()
            await caller.send(REQUEST)
            await wait_until(lambda: handler.requests)
            if reset:
                linger = struct.pack("ii", 1, 0)
                caller.writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, linger
                )
            caller.writer.close()
            await wait_until(lambda: handler.cancelled == 1)

    run(scenario())


def test_while_stopping_each_answer_ends_its_connection(run, served):
    async def scenario():
        async with served() as (handler, call, connections):
            idle, busy = await call(), await call()
            await wait_until(lambda: connections.open_count == 2)
            handler.stopping = True
            await busy.send(REQUEST)
            answer = await busy.read_to_end()
            assert b"connection: close" in answer.lower()
            assert answer.endswith(b"got body")
            connections.close_idle()
            assert_only_not_run_answer(await idle.read_to_end())

    run(scenario())


def test_an_exception_of_the_handler_is_answered(run, served):
    # Guards against a connection that is closed without an answer.
    async def scenario():
        async with served() as (handler, call, _):

            async def fails(request, answer):
                raise KeyError("fault")

            handler.handle = fails
            caller = await call()
            await caller.send(REQUEST)
            answer = await caller.read_to_end()
            assert answer.startswith(b"HTTP/1.1 500")
            assert b"connection: close" in answer.lower()

    run(scenario())


def test_a_head_that_cannot_be_written_is_answered(run, served):
    # Guards against a connection that is closed without an answer.
    async def scenario():
        async with served() as (handler, call, _):

            async def begins_wrongly(request, answer):
                await answer.send_head(200, [(b"x-a", b"a\nb")])

            handler.handle = begins_wrongly
            caller = await call()
            await caller.send(REQUEST)
            answer = await caller.read_to_end()
            assert answer.startswith(b"HTTP/1.1 500")

    run(scenario())


def test_a_cancellation_of_an_awaited_future_is_answered(run, served):
    # Guards against a connection that is closed without an answer.
    async def scenario():
        async with served() as (handler, call, _):

            async def awaits_a_cancelled_future(request, answer):
                waited_for = asyncio.get_running_loop().create_future()
                waited_for.cancel()
                await waited_for

            handler.handle = awaits_a_cancelled_future
            caller = await call()
            await caller.send(REQUEST)
            answer = await caller.read_to_end()
            assert answer.startswith(b"HTTP/1.1 500")

    run(scenario())


def test_a_connect_request_is_refused_unread(run, served):
    # Guards against a 200 after which the parser cannot write a body.
    async def scenario():
        async with served() as (handler, call, _):
            caller = await call()
            await caller.send(REQUEST.replace(b"POST", b"CONNECT"))
            answer = await caller.read_to_end()
            assert answer.startswith(b"HTTP/1.1 400")
            assert handler.requests == []

    run(scenario())


def test_an_http_1_0_caller_gets_no_interim_answer(run, served):
    # Such a caller would read an interim answer as the final one.
    async def scenario():
        async with served() as (handler, call, _):
            handler.gate.clear()
            caller = await call()
            await caller.send(REQUEST.replace(b"HTTP/1.1", b"HTTP/1.0"))
            caller.writer.write_eof()
            await wait_until(lambda: handler.requests)
            await asyncio.sleep(0.15)
            handler.gate.set()
            answer = await caller.read_to_end()
            assert answer.split()[1] == b"200"
            assert answer.endswith(b"got body")

    run(scenario())


@pytest.fixture
def small_buffers(monkeypatch):
    """Gives the server's connections small send buffers."""
    connected = Channel.connection_made

    def connection_made(channel, transport):
        connected(channel, transport)
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, 16 * 1024
        )

    monkeypatch.setattr(Channel, "connection_made", connection_made)


@contextlib.asynccontextmanager
async def slow_caller(connections):
    """A caller with a small receive buffer that does not read yet."""
    host, _, port = connections.address.rpartition(":")
    with socket.socket() as connected:
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * 1024)
        connected.connect((host, int(port)))
        reader, writer = await asyncio.open_connection(sock=connected)
        writer.transport.pause_reading()
        yield RawCaller(reader, writer)
        writer.close()


@pytest.mark.usefixtures("small_buffers")
def test_an_answer_is_flushed_before_its_connection_is_closed(run, served):
    # Guards against a truncated answer when the process exits after the last
    # connection.
    async def scenario():
        async with served() as (handler, _, connections):

            async def answers_at_length(request, answer):
                handler.requests.append(request)
                await answer.send_whole(200, [], b"x" * 60_000)

            handler.handle = answers_at_length
            handler.stopping = True
            async with slow_caller(connections) as caller:
                await caller.send(REQUEST)
                await wait_until(lambda: handler.requests)
                await asyncio.sleep(0.05)
                assert connections.open_count == 1
                caller.writer.transport.resume_reading()
                answer = await caller.read_to_end()
                assert answer.endswith(b"x" * 60_000)
                await wait_until(lambda: connections.open_count == 0)

    run(scenario())


@pytest.mark.usefixtures("small_buffers")
def test_a_caller_that_never_reads_is_disconnected(run, served):
    # Guards against a connection that stays open for ever for its last bytes.
    async def scenario():
        async with served() as (handler, _, connections):

            async def answers_at_length(request, answer):
                handler.requests.append(request)
                await answer.send_whole(200, [], b"x" * 60_000)

            handler.handle = answers_at_length
            handler.stopping = True
            async with slow_caller(connections) as caller:
                await caller.send(REQUEST)
                await wait_until(lambda: handler.requests)
                await wait_until(lambda: connections.open_count == 0)

    run(scenario())


@pytest.mark.usefixtures("small_buffers")
def test_a_slow_reader_of_a_complete_answer_gets_no_second_answer(run, served):
    # Guards against a second answer and a close after the first one.
    async def scenario():
        async with served() as (handler, _, connections):

            async def answers_in_time(request, answer):
                try:
                    async with asyncio.timeout(0.05):
                        await answer.send_whole(200, [], b"x" * 150_000)
                except TimeoutError:
                    await answer.send_whole(504, [], b"")

            handler.handle = answers_in_time
            async with slow_caller(connections) as caller:
                await caller.send(REQUEST)
                await asyncio.sleep(0.15)
                caller.writer.transport.resume_reading()
                await caller.read_until(b"x" * 150_000)
                await caller.send(REQUEST)
                assert b" 200 " in await caller.read_until(b"\r\n\r\n")

    run(scenario())
