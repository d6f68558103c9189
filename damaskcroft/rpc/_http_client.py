"""HTTP clients that let go of what they no longer want."""

import time
from urllib.parse import ParseResult

import aiosonic
from aiosonic.connection import Connection
from aiosonic.connectors import TCPConnector
from aiosonic.exceptions import AiosonicError
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

# What an HTTP call raises when its server is away, slow or garbled.
HTTP_ERRORS = (OSError, EOFError, ValueError, AiosonicError)


class _ClosingConnection(Connection):
    """Closes when its call is cancelled.

    The library would keep a reused connection open then, and the server
    would go on working for nobody.
    """

    async def __aexit__(self, exc_type, exc, tb) -> None:
        if exc is not None:
            exc.add_note(f"idle_s={self._idle_s()}")
            self.close()
        await super().__aexit__(exc_type, exc, tb)

    def _idle_s(self) -> float | None:
        """Time since its previous call ended; None before the first one."""
        if self.last_released_time is None:
            return None
        return time.monotonic() - self.last_released_time


class _CheckedConnection(_ClosingConnection):
    """Isn't used again once its server has ended it, or has said anything."""

    def reuse(self, urlparsed: ParseResult, verify: bool) -> bool:
        """See the library's class."""
        return super().reuse(urlparsed, verify) and self._is_silent()

    def _is_silent(self) -> bool:
        reader = self.reader
        if reader is None or reader.at_eof():
            return False
        # There is no public way to see what a reader has buffered.
        return not reader._buffer  # type: ignore[attr-defined]


class _SingleUseConnection(_ClosingConnection):
    """Closes once its call's response has been read."""

    def release(self) -> None:
        """See the library's class."""
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
    """Creates a client; nothing is connected yet.

    Args:
        connections: most connections kept.
        connect_timeout_s: longest wait for a connection.
        read_timeout_s: longest silence before the response's head.
        max_requests: requests after which a connection is replaced.
        max_idle_ms: idle time after which a connection is not used again.
        keeps_open: whether connections stay open between two calls. They
            count at a server whose number is bounded, also while nobody uses
            them, and after their machine has gone.
        checks_kept: whether a connection that its server has ended is left
            alone; many callers' libraries send on it.
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
) -> type[_ClosingConnection]:
    if not keeps_open:
        return _SingleUseConnection
    return _CheckedConnection if checks_kept else _ClosingConnection
