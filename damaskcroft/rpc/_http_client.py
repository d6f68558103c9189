"""HTTP clients that let go of what they no longer want."""

import time

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
        connection_cls=(
            _ClosingConnection if keeps_open else _SingleUseConnection
        ),
    )
    return aiosonic.HTTPClient(connector)
