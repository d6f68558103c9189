"""Serving gRPC for the length of a block."""

import contextlib
from collections.abc import AsyncIterator, Sequence
from typing import Any

from grpclib.config import Configuration
from grpclib.server import Server

from damaskcroft.rpc._channels import split_address
from damaskcroft.rpc._keys import Keys

_CONNECTION_WINDOW_BYTES = 8 * 1024 * 1024
_STREAM_WINDOW_BYTES = 4 * 1024 * 1024


@contextlib.asynccontextmanager
async def grpc_served(
    address: str, services: Sequence[Any], keys: Keys
) -> AsyncIterator[Server]:
    """Serves `services` at `address` until the block ends.

    Calls still running then are cancelled.
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
        await server.wait_closed()
