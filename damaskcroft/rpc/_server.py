"""gRPC server that runs for the duration of a block."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Sequence
from typing import Any

from grpclib.config import Configuration
from grpclib.server import Server

from damaskcroft.observe import log_warning
from damaskcroft.rpc._channels import split_address
from damaskcroft.rpc._keys import Keys

_CONNECTION_WINDOW_BYTES = 8 * 1024 * 1024
_STREAM_WINDOW_BYTES = 4 * 1024 * 1024
# For calls cancelled at the end of the block to finish.
_SHUTDOWN_TIMEOUT_S = 2.0


@contextlib.asynccontextmanager
async def serve_grpc(
    address: str, services: Sequence[Any], keys: Keys
) -> AsyncIterator[Server]:
    """Serves `services` at `address` until the block ends.

    Calls still running then are cancelled and awaited for a bounded time.
    """
    config = Configuration(
        http2_connection_window_size=_CONNECTION_WINDOW_BYTES,
        http2_stream_window_size=_STREAM_WINDOW_BYTES,
    )
    server = Server(services, config=config)
    host, port = split_address(address)
    await server.start(host, port, ssl=keys.server)
    try:
        yield server
    finally:
        server.close()
        try:
            async with asyncio.timeout(_SHUTDOWN_TIMEOUT_S):
                await server.wait_closed()
        except TimeoutError:
            log_warning("calls_held_up", address=address)
