"""HTTP server for /metrics alone, without an HTTP library.

An agent answers HTTP for nothing but this. The libraries of `_http` would be a
sixth of the processor time of its start. Each connection carries one request
(RFC 9112, 9.6), so that a shutdown has no persistent connection to end.
"""

import asyncio
import contextlib
import email.utils
from collections.abc import AsyncIterator
from http import HTTPStatus

import prometheus_client

from damaskcroft.http1 import stop_listening
from damaskcroft.observe import log_warning
from damaskcroft.rpc._listening import BACKLOG, bound_socket

__all__ = ["serve_metrics"]

_PATH = "/metrics"
_END_OF_HEAD = b"\r\n\r\n"
_MAX_HEAD_BYTES = 16 * 1024
# Longest life of a connection, so that an unfinished request or an unread
# answer holds no descriptor.
_CONNECTION_TTL_S = 5.0
_NOT_SERVED_BODY = b"only GET /metrics is served\n"


@contextlib.asynccontextmanager
async def serve_metrics(
    address: str, end_s: float
) -> AsyncIterator[asyncio.Server]:
    """Serves /metrics at `address` until the block ends.

    Args:
        address: IP address and port.
        end_s: longest time after the block for open connections to end.

    Raises:
        OSError: the address cannot be bound.
    """
    loop = asyncio.get_running_loop()
    connections: set[_Connection] = set()

    def make_connection() -> _Connection:
        return _Connection(connections)

    server = await loop.create_server(
        make_connection, sock=bound_socket(address), backlog=BACKLOG
    )
    try:
        yield server
    finally:
        await stop_listening(server, make_connection)
        await _wait_until_closed(connections, end_s)


class _Connection(asyncio.Protocol):
    """A connection that answers one request and closes."""

    __slots__ = ("_connections", "_expiry", "_head", "_transport", "closed")

    def __init__(self, connections: "set[_Connection]"):
        self._connections = connections
        self._head = b""
        self.closed = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._connections.add(self)
        loop = asyncio.get_running_loop()
        self._expiry = loop.call_later(_CONNECTION_TTL_S, transport.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        self._expiry.cancel()
        self._connections.discard(self)
        self.closed.set()

    def data_received(self, data: bytes) -> None:
        """Answers once the head is complete; later bytes are ignored."""
        if self._transport.is_closing():
            return
        self._head += data
        if _END_OF_HEAD in self._head:
            self._answer(*_answer_to(self._head))
        elif len(self._head) > _MAX_HEAD_BYTES:
            self._answer(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, b"")

    def abort(self) -> None:
        """Closes without waiting for the caller."""
        self._transport.abort()

    def _answer(self, status: HTTPStatus, body: bytes) -> None:
        head = (
            f"HTTP/1.1 {status.value} {status.phrase}\r\n"
            f"Date: {email.utils.formatdate(usegmt=True)}\r\n"
            f"Content-Type: {prometheus_client.CONTENT_TYPE_LATEST}\r\n"
            f"Content-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        self._transport.write(head.encode() + body)
        self._transport.close()


def _answer_to(head: bytes) -> tuple[HTTPStatus, bytes]:
    request_line, _, _ = head.partition(b"\r\n")
    words = request_line.decode("latin-1").split(" ")
    if len(words) != 3:
        return HTTPStatus.BAD_REQUEST, b""
    method, target, _ = words
    if target.partition("?")[0] != _PATH:
        return HTTPStatus.NOT_FOUND, _NOT_SERVED_BODY
    if method != "GET":
        return HTTPStatus.METHOD_NOT_ALLOWED, _NOT_SERVED_BODY
    return HTTPStatus.OK, prometheus_client.generate_latest()


async def _wait_until_closed(
    connections: set[_Connection], end_s: float
) -> None:
    waiting = [connection.closed.wait() for connection in connections]
    try:
        async with asyncio.timeout(end_s):
            await asyncio.gather(*waiting)
    except TimeoutError:
        log_warning("answers_held_up", count=len(connections))
        for connection in list(connections):
            connection.abort()
