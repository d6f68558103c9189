"""HTTP clients that close the connection of a cancelled call."""

import contextlib
import contextvars
import math
import time
from collections.abc import Iterator
from urllib.parse import ParseResult

import aiosonic
from aiosonic.connection import Connection
from aiosonic.connectors import TCPConnector
from aiosonic.exceptions import AiosonicError
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

from damaskcroft.clock import now_s

# Raised by an HTTP call whose server is unreachable, slow or sends invalid
# responses.
HTTP_ERRORS = (OSError, EOFError, ValueError, AiosonicError)


_send_before_s = contextvars.ContextVar("send_before_s", default=math.inf)


class SendExpiredError(Exception):
    """A request was not sent, because its time had passed."""


@contextlib.contextmanager
def sending_before(before_s: float) -> Iterator[None]:
    """Context in which requests are sent until a loop time, or not at all.

    The time is compared in the same step in which a request is written, after
    any wait for a connection. A call that comes too late raises
    SendExpiredError.
    """
    token = _send_before_s.set(before_s)
    try:
        yield
    finally:
        _send_before_s.reset(token)


class _CloseOnErrorConnection(Connection):
    """Closes when its call is cancelled or fails.

    The library would keep a reused connection open, and the server would
    continue to work on a request whose response is no longer read.
    """

    def write(self, data: bytes) -> None:
        """Writes a part of a request, unless it is too late to send it."""
        if now_s() > _send_before_s.get():
            raise SendExpiredError
        super().write(data)

    async def __aexit__(self, exc_type, exc, tb) -> None:
        if exc is not None:
            exc.add_note(f"idle_s={self._idle_s()}")
            self.close()
        await super().__aexit__(exc_type, exc, tb)

    def _idle_s(self) -> float | None:
        """Returns the time since the last call ended; None before the first."""
        if self.last_released_time is None:
            return None
        return time.monotonic() - self.last_released_time


class _ReuseCheckedConnection(_CloseOnErrorConnection):
    """Is not reused once its server has closed it or sent unexpected bytes."""

    def reuse(self, urlparsed: ParseResult, verify: bool) -> bool:
        """Whether the connection can carry a call to this URL."""
        return super().reuse(urlparsed, verify) and self._has_no_unread_input()

    def _has_no_unread_input(self) -> bool:
        reader = self.reader
        if reader is None or reader.at_eof():
            return False
        # The reader has no public way to show its buffered bytes.
        return not reader._buffer  # type: ignore[attr-defined]


class _SingleUseConnection(_CloseOnErrorConnection):
    """Closes once the response of its call has been read."""

    def release(self) -> None:
        """Releases the connection so that it is closed rather than kept."""
        self.keep = False
        super().release()


def make_http_client(
    *,
    connections: int,
    connect_timeout_s: float,
    read_timeout_s: float | None = None,
    max_requests: int | None = None,
    max_idle_ms: int = 2000,
    keeps_open: bool = True,
    checks_kept: bool = True,
) -> aiosonic.HTTPClient:
    """Creates a client; it connects on the first call.

    Args:
        connections: maximum number of pooled connections.
        connect_timeout_s: maximum time to establish a connection.
        read_timeout_s: maximum time without data before the response's head.
        max_requests: number of requests after which a connection is replaced.
        max_idle_ms: idle time after which a connection is not reused.
        keeps_open: whether connections stay open between two calls. Idle
            connections count towards a server's maximum number of
            connections, even after their machine is lost.
        checks_kept: whether a pooled connection is checked before reuse and
            dropped if its server has closed it; many client libraries send on
            it without a check.
    """
    timeouts = Timeouts(
        sock_connect=connect_timeout_s,
        sock_read=read_timeout_s,
        request_timeout=None,
    )
    config = PoolConfig(
        size=connections,
        max_conn_requests=max_requests,
        max_conn_idle_ms=max_idle_ms,
    )
    connector = TCPConnector(
        pool_configs={":default": config},
        timeouts=timeouts,
        connection_cls=_connection_class(keeps_open, checks_kept),
    )
    return aiosonic.HTTPClient(connector)


def _connection_class(
    keeps_open: bool, checks_kept: bool
) -> type[_CloseOnErrorConnection]:
    if not keeps_open:
        return _SingleUseConnection
    return _ReuseCheckedConnection if checks_kept else _CloseOnErrorConnection
