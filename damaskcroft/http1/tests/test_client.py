"""The client and its pool against targets that send invalid answers."""

import asyncio
import contextlib
import socket
import struct

import pytest

from damaskcroft.http1 import (
    ConnectionPool,
    CutShortError,
    Head,
    NoAnswerError,
    Place,
)
from damaskcroft.http1._answers import (
    AnswerComplete,
    AnswerFailure,
    AnswerParser,
)

EXPECTED_ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Id: ours\r\nContent-Length: 4\r\n\r\nbody"
)
UNRELATED_ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nold"
)


def is_for_request(head):
    return head.value(b"x-id") in ("", "ours")


@contextlib.asynccontextmanager
async def target(*answers, reset=False):
    """A target that sends each request the next of `answers`, then closes."""
    remaining = list(answers)

    async def serve(reader, writer):
        while remaining:
            head = await reader.readuntil(b"\r\n\r\n")
            if b"content-length: 2" in head:
                await reader.readexactly(2)
            writer.write(remaining.pop(0))
            await writer.drain()
        if reset:
            await asyncio.sleep(0.05)
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        port = server.sockets[0].getsockname()[1]
        yield Place("t", f"127.0.0.1:{port}")
    finally:
        server.close()


async def ask(connection):
    await connection.send(b"POST", b"/a", [(b"host", b"h")], b"ab")
    head = await connection.read_head(is_for_request)
    body = b""
    while part := await connection.read_part():
        body += part
    return head, body


def test_a_connection_after_a_complete_answer_is_reused():
    async def scenario():
        pool = ConnectionPool()
        async with target(
            EXPECTED_ANSWER, EXPECTED_ANSWER, EXPECTED_ANSWER
        ) as place:
            first = await pool.opened(place, 1.0)
            assert (await ask(first))[1] == b"body"
            pool.give_back(place, first)
            assert pool.idle(place) is first
            assert (await ask(first))[1] == b"body"

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "answer",
    [
        EXPECTED_ANSWER + b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
        EXPECTED_ANSWER + b"garbage",
        EXPECTED_ANSWER.replace(b"Content", b"Connection: close\r\nContent"),
    ],
    ids=["a second answer", "garbage", "says close"],
)
def test_a_connection_with_extra_input_or_close_is_not_reused(answer):
    async def scenario():
        pool = ConnectionPool()
        async with target(answer, EXPECTED_ANSWER) as place:
            connection = await pool.opened(place, 1.0)
            assert (await ask(connection))[1] == b"body"
            await asyncio.sleep(0.05)
            pool.give_back(place, connection)
            assert pool.idle(place) is None

    asyncio.run(scenario())


def test_a_connection_that_receives_bytes_while_idle_is_closed():
    async def scenario():
        pool = ConnectionPool()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\nab")
            writer.write(EXPECTED_ANSWER)
            await asyncio.sleep(0.05)
            writer.write(UNRELATED_ANSWER)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        place = Place("t", f"127.0.0.1:{port}")
        connection = await pool.opened(place, 1.0)
        await ask(connection)
        pool.give_back(place, connection)
        await asyncio.sleep(0.2)
        assert pool.idle(place) is None
        server.close()

    asyncio.run(scenario())


def test_an_answer_to_another_request_is_skipped():
    async def scenario():
        pool = ConnectionPool()
        async with target(
            UNRELATED_ANSWER + EXPECTED_ANSWER, EXPECTED_ANSWER
        ) as place:
            connection = await pool.opened(place, 1.0)
            head, body = await ask(connection)
            assert (head.value(b"x-id"), body) == ("ours", b"body")

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("answer", "reset"),
    [
        (b"", False),
        (b"", True),
        (b"HTTP/1.1 20", False),
        (b"no answer in the protocol\r\n\r\n", False),
        (UNRELATED_ANSWER, False),
        (UNRELATED_ANSWER[:-1], False),
    ],
)
def test_a_missing_or_invalid_answer_raises_no_answer_error(answer, reset):
    async def scenario():
        pool = ConnectionPool()
        async with target(answer, reset=reset) as place:
            connection = await pool.opened(place, 1.0)
            with pytest.raises(NoAnswerError):
                await ask(connection)

    asyncio.run(scenario())


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nbody"


@pytest.mark.parametrize(
    ("answer", "reset"),
    [(EXPECTED_ANSWER[:-1], False), (CHUNKED, False), (UNFRAMED, True)],
    ids=["short", "chunks without end", "unframed and reset"],
)
def test_a_truncated_answer_raises_an_error(answer, reset):
    async def scenario():
        pool = ConnectionPool()
        async with target(answer, reset=reset) as place:
            connection = await pool.opened(place, 1.0)
            with pytest.raises((CutShortError, NoAnswerError)):
                await ask(connection)

    asyncio.run(scenario())


def test_an_unframed_answer_ends_with_its_connection():
    async def scenario():
        pool = ConnectionPool()
        async with target(UNFRAMED) as place:
            connection = await pool.opened(place, 1.0)
            assert (await ask(connection))[1] == b"body"
            pool.give_back(place, connection)
            assert pool.idle(place) is None

    asyncio.run(scenario())


def parsed(*pieces, is_bodiless=False):
    """Parses pieces; returns the events and whether it is persistent."""
    parser = AnswerParser()
    parser.is_bodiless = is_bodiless
    for piece in pieces:
        parser.receive(piece)
    events = []
    while (event := parser.next()) is not None:
        events.append(event)
    return events, parser.is_persistent and parser.is_between_answers


@pytest.mark.parametrize(
    "answer",
    [
        EXPECTED_ANSWER.replace(b"X-Id: ours", b"Transfer-Encoding: chunked"),
        EXPECTED_ANSWER.replace(b"X-Id: ours", b"Content-Length: 5"),
        EXPECTED_ANSWER.replace(b": 4", b": +4"),
        EXPECTED_ANSWER.replace(b"\r\n", b"\n"),
        EXPECTED_ANSWER.replace(b"X-Id: ours", b"X-Id: a\r\n b"),
        b"HTTP/1.1 200 OK\r\nX: " + b"x" * 70_000,
        b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    ],
)
def test_a_malformed_answer_is_reported_as_a_failure(answer):
    events, is_persistent = parsed(answer)
    assert isinstance(events[-1], AnswerFailure)
    assert not any(isinstance(event, AnswerComplete) for event in events)
    assert not is_persistent


def test_an_answer_received_byte_by_byte_is_parsed_alike():
    pieces = [bytes([byte]) for byte in CHUNKED + b"0\r\nT: x\r\n\r\n"]
    events, is_persistent = parsed(*pieces)
    assert events[0] == Head(200, [(b"transfer-encoding", b"chunked")])
    assert b"".join(e for e in events if isinstance(e, bytes)) == b"body"
    assert isinstance(events[-1], AnswerComplete)
    assert is_persistent


def test_chunks_received_together_are_one_part():
    events, _ = parsed(CHUNKED + b"3\r\nand\r\n0\r\n\r\n")
    assert [e for e in events if isinstance(e, bytes)] == [b"bodyand"]


def test_the_answer_to_a_head_request_has_no_body():
    events, is_persistent = parsed(EXPECTED_ANSWER[:-4], is_bodiless=True)
    assert isinstance(events[-1], AnswerComplete)
    assert not is_persistent


def test_whitespace_around_a_value_is_stripped():
    events, _ = parsed(
        EXPECTED_ANSWER.replace(b"X-Id: ours", b"X-Id: \t ours \t")
    )
    assert events[0].value(b"x-id") == "ours"


def test_an_interim_answer_does_not_complete_the_answer():
    events, _ = parsed(b"HTTP/1.1 102 Processing\r\n\r\n" + EXPECTED_ANSWER)
    assert [e.status for e in events if isinstance(e, Head)] == [102, 200]
    assert sum(isinstance(e, AnswerComplete) for e in events) == 1


def test_bytes_after_a_complete_answer_leave_it_complete():
    events, is_persistent = parsed(EXPECTED_ANSWER + b"garbage")
    assert [type(e) for e in events] == [
        Head,
        bytes,
        AnswerComplete,
        AnswerFailure,
    ]
    assert not is_persistent


CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("begin", "endless"),
    [
        (b"", b"0" * 1024),
        (b"4;", b"a" * 1024),
        (b"0\r\n", b"X-T: " + b"t" * 1000 + b"\r\n"),
    ],
    ids=["size", "extension", "trailers"],
)
def test_framing_of_a_body_without_end_is_a_failure(begin, endless):
    """Guards against reading until the caller's deadline."""
    parser = AnswerParser()
    parser.receive(CHUNKED_HEAD + b"2\r\nab\r\n" + begin)
    assert isinstance(parser.next(), Head)
    assert parser.next() == b"ab"
    for _ in range(64):
        parser.receive(endless)
        event = parser.next()
        if event is not None:
            break
    assert isinstance(event, AnswerFailure)


def test_a_long_body_in_many_chunks_is_no_failure():
    parser = AnswerParser()
    parser.receive(CHUNKED_HEAD)
    assert isinstance(parser.next(), Head)
    for _ in range(64):
        parser.receive(b"400\r\n" + b"b" * 1024 + b"\r\n")
        assert parser.next() == b"b" * 1024
    parser.receive(b"0\r\n\r\n")
    assert isinstance(parser.next(), AnswerComplete)
