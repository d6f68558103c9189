"""How an outside source is read."""

import asyncio
import contextlib

from damaskcroft.weights import OutsideData
from damaskcroft.weights._outside import RangeSource


@contextlib.asynccontextmanager
async def origin():
    """Answers all that is asked; yields its address and open connections."""
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


def test_nothing_stays_open_at_the_origin_between_two_reads():
    """After all machines had gone at once the origin took nobody any more.

    Weights had come to 23 targets just before, and each agent had kept some
    connections open to the origin, which takes 48 over all and went on counting
    them. Every agent that started anew knew which version to bring, all chunks
    lay beside its target, and for 23 s it could not read the manifest; no model
    served. Evidence: `manifest_failed reason=unreachable` some 40 times a
    second from five agents, from their start on, and 8,188 connections reset
    for being too many; 28 where none is kept open.
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
