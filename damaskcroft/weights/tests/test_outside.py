"""Tests of reads from an outside source."""

import asyncio
import contextlib

from damaskcroft.weights import OutsideData
from damaskcroft.weights._outside import RangeSource


@contextlib.asynccontextmanager
async def origin():
    """Answers every request; yields its address and its open connections."""
    open_connections = set()

    async def serve(reader, writer):
        open_connections.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                    b"Keep-Alive: timeout=60\r\n\r\nok"
                )
        open_connections.discard(writer)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        host, port = server.sockets[0].getsockname()
        yield f"{host}:{port}", open_connections
    finally:
        server.close()


def test_no_idle_connection_is_kept_open_to_the_origin():
    """Idle connections of agents must not exhaust those of the origin.

    The origin accepts 48 connections in total and kept counting those of
    machines that were lost. All machines were lost at once, just after 23
    targets had fetched weights and while each agent kept some connections open
    to the origin. Each restarted agent knew which version to load and had all
    chunks beside its target, but could not read the manifest for 23 s, and no
    model was served. The logs showed
    `manifest_failed reason=unreachable` some 40 times a second from five
    agents, from their start on, and 8,188 connections reset for exceeding the
    maximum; there are 28 resets if no connection is kept open.
    """

    async def scenario():
        async with origin() as (address, open_connections):
            source = RangeSource("origin", address, 1.0)
            outcomes = await asyncio.gather(
                *(source.fetch_manifest("m/1") for _ in range(3))
            )
            assert outcomes == [OutsideData(b"ok")] * 3
            await asyncio.sleep(0.1)
            assert not open_connections
            await source.close()

    asyncio.run(scenario())
