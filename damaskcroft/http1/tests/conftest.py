import asyncio
import contextlib

import pytest

from damaskcroft.http1 import CallerHandler, CallerLimits, serve_callers

LIMITS = CallerLimits(
    head_bytes=4096, body_bytes=10_000, head_timeout_s=0.2, idle_timeout_s=0.3
)


class EchoHandler(CallerHandler):
    """Echoes the request's body once a gate is open."""

    def __init__(self):
        self.requests = []
        self.refusals = []
        self.cancelled = 0
        self.stopping = False
        self.limits_in_force = LIMITS
        self.gate = asyncio.Event()
        self.gate.set()

    async def handle(self, request, answer):
        self.requests.append(request)
        try:
            await self.gate.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        await answer.send_whole(200, [], b"got " + request.body)

    def limits(self):
        return self.limits_in_force

    def is_stopping(self):
        return self.stopping

    def refused(self, status, reason):
        self.refusals.append((status, reason))
        return []


class RawCaller:
    """A caller that writes raw bytes."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    async def read_to_end(self):
        """Reads all bytes until the server closes the connection."""
        async with asyncio.timeout(10):
            return await self.reader.read()

    async def read_until(self, end):
        async with asyncio.timeout(10):
            return await self.reader.readuntil(end)


@pytest.fixture
def run():
    """Runs a test's coroutine on a real loop, because sockets are real."""
    return asyncio.run


@pytest.fixture
def served():
    """A server with an echo handler, and a function that opens callers."""

    @contextlib.asynccontextmanager
    async def serve():
        handler = EchoHandler()
        async with serve_callers("127.0.0.1:0", handler) as connections:
            callers = []

            async def call():
                host, _, port = connections.address.rpartition(":")
                caller = RawCaller(*await asyncio.open_connection(host, port))
                callers.append(caller)
                return caller

            yield handler, call, connections
            for caller in callers:
                caller.writer.close()

    return serve
