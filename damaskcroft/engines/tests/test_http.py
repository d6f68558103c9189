"""Answers of targets over actual connections."""

import asyncio
import contextlib
import dataclasses

import pytest

from damaskcroft.engines import PlainService, TargetCall

_CALL = TargetCall(
    request_id="r-1", method="POST", path="/a", content_type="", body=b"{}",
    priority=0, manifest="",
)  # fmt: skip


@contextlib.asynccontextmanager
async def service_that_answers(head, body):
    """A plain service that sends an answer and closes its connection."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n" + body)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    service = PlainService(f"127.0.0.1:{port}")
    try:
        yield service
    finally:
        await service.close()
        server.close()


async def read_answer(service, method="POST"):
    call = dataclasses.replace(_CALL, method=method)
    async with service.call(call, fresh_connection=False) as outcome:
        return b"".join([chunk async for chunk in outcome.body])


def test_an_answer_with_a_length_is_read():
    async def scenario():
        head = b"Content-Length: 5\r\n"
        async with service_that_answers(head, b"whole") as service:
            assert await read_answer(service) == b"whole"

    asyncio.run(scenario())


def test_an_answer_without_a_length_is_not_taken_for_an_empty_one():
    async def scenario():
        async with service_that_answers(b"", b"whole") as service:
            with pytest.raises(ConnectionError):
                await read_answer(service)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("method", "head"), [("POST", b"Content-Length: 0\r\n"), ("HEAD", b"")]
)
def test_an_answer_without_content_is_complete(method, head):
    async def scenario():
        async with service_that_answers(head, b"") as service:
            assert await read_answer(service, method) == b""

    asyncio.run(scenario())
