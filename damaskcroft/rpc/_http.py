"""Serving HTTP for the length of a block: starlette on uvicorn."""

import asyncio
import contextlib
import dataclasses
import email.utils
import socket
from collections.abc import AsyncIterator, Coroutine
from typing import Any, TypeVar

import prometheus_client
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from uvicorn.server import ServerState

from damaskcroft.http1 import (
    EndTimes,
    GracefulServer,
    shut_down_server,
    stop_listening,
)
from damaskcroft.observe import log_warning, metrics
from damaskcroft.rpc._channels import split_address
from damaskcroft.rpc._kept_connections import Face, KeptConnection
from damaskcroft.tasks import background

# The resolution of an answer's Date header (RFC 9110, 5.6.7).
_DATE_EVERY_S = 1.0
# Unused connections are kept for this long: what uvicorn takes by default.
_IDLE_TIMEOUT_S = 5.0
# Callers that ask often enough to keep a connection ask once in this time.
_NOTICE_S = 0.5
# For answers that are under way when the notice is over, and for callers to
# close connections that have ended.
_END_S = 2.0
# For answers that were cut, to clean up.
_CANCEL_TIMEOUT_S = 0.1
# Queue of connections that the kernel holds for us.
_BACKLOG = 2048
_T = TypeVar("_T")


class HttpServer(GracefulServer):
    """uvicorn's connections, served and ended our way; see `GracefulServer`.

    The library's own server ends all kept connections in the moment in which
    it is told to end, and looks ten times a second whether it should.
    """

    def __init__(
        self, app: Starlette, idle_timeout_s: float, closing_body: bytes
    ):
        """Serves `app`; see `http_served`."""
        self._config = uvicorn.Config(
            app,
            loop="asyncio",
            http=KeptConnection,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            timeout_keep_alive=idle_timeout_s,  # type: ignore[arg-type]
        )
        self._config.load()
        self._state = ServerState()
        self._face = Face(app, closing_body)
        self._listening: asyncio.Server | None = None
        self._date()

    async def listen(self, address: str) -> None:
        """Accepts connections from now on.

        Raises:
            OSError: the address can't be bound.
        """
        loop = asyncio.get_running_loop()
        self._listening = await loop.create_server(
            self._make_connection, sock=_bound(address), backlog=_BACKLOG
        )
        self.address = address

    async def renew_date(self) -> None:
        """Renews the Date header until cancelled."""
        while True:
            await asyncio.sleep(_DATE_EVERY_S)
            self._date()

    def give_notice(self) -> None:
        """See GracefulServer."""
        super().give_notice()
        self._face.is_ending = True
        for connection in self._connections:
            connection.note_end()

    async def stop_listening(self) -> None:
        """See GracefulServer."""
        listening, self._listening = self._listening, None
        if listening is not None:
            self.queued = await stop_listening(listening, self._make_connection)

    def close_idle(self, min_idle_s: float = 0.0) -> None:
        """See GracefulServer."""
        until = asyncio.get_running_loop().time() - min_idle_s
        for connection in self._connections:
            if connection.idle_since <= until:
                connection.close_if_idle()

    async def close(self) -> None:
        """See GracefulServer; connections go on waiting for their callers."""
        self.close_idle()
        for connection in self._connections:
            connection.cut()
        tasks = list(self._state.tasks)
        if not tasks:
            return
        for task in tasks:
            task.cancel()
        _, left = await asyncio.wait(tasks, timeout=_CANCEL_TIMEOUT_S)
        if left:
            log_warning("answers_held_up", count=len(left))

    @property
    def open_count(self) -> int:
        """See GracefulServer."""
        return len(self._state.connections)

    @property
    def is_active(self) -> bool:
        """See GracefulServer."""
        return bool(self._state.connections or self._state.tasks)

    @property
    def answering(self) -> int:
        """See GracefulServer."""
        return len(self._state.tasks)

    @property
    def only_lingering_open(self) -> bool:
        """See GracefulServer."""
        return not self.answering and len(self._face.lingering) == len(
            self._state.connections
        )

    @property
    def _connections(self) -> list[KeptConnection]:
        return [
            connection
            for connection in self._state.connections
            if isinstance(connection, KeptConnection)
        ]

    def _date(self) -> None:
        date = email.utils.formatdate(usegmt=True).encode()
        headers = [(b"date", date), *self._config.encoded_headers]
        self._state.default_headers = headers

    def _make_connection(self) -> KeptConnection:
        return KeptConnection(self._face, self._config, self._state)


async def _metrics(_: Request) -> Response:
    return Response(
        prometheus_client.generate_latest(),
        media_type=prometheus_client.CONTENT_TYPE_LATEST,
    )


async def _count_fault(_: Request, error: Exception) -> Response:
    metrics.HTTP_FAULTS.labels(type(error).__name__).inc()
    log_warning("answer_failed", reason=repr(error))
    return Response(status_code=500, headers={"Connection": "close"})


def _bound(address: str) -> socket.socket:
    """A socket that holds the address.

    Raises:
        OSError: in use, or not of this machine; names the address.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((host, port))
    except OSError as error:
        bound.close()
        raise OSError(error.errno, f"cannot bind {address}: {error}") from error
    return bound


def _end_times(server: HttpServer, notice_s: float, end_s: float) -> EndTimes:
    """Times of an end that begins now, perhaps some time after its notice."""
    now = asyncio.get_running_loop().time()
    noticed_at = now if server.noticed_at is None else server.noticed_at
    within_s = max(0.0, noticed_at + notice_s - now) + end_s
    return EndTimes(notice_s, notice_s, within_s, within_s)


@contextlib.asynccontextmanager
async def http_served(
    address: str,
    routes: list[Any],
    *,
    idle_timeout_s: float = _IDLE_TIMEOUT_S,
    closing_body: bytes = b"",
    notice_s: float = _NOTICE_S,
    end_s: float = _END_S,
) -> AsyncIterator[HttpServer]:
    """Serves `routes` and /metrics at `address` until the block ends.

    Args:
        address: IP number and port.
        routes: what is served.
        idle_timeout_s: how long unused connections are kept.
        closing_body: JSON for callers whose request crosses the end of an
            idle connection; its status says that nothing has run.
        notice_s: for how long, from the end of the block or a sooner
            `give_notice` on, connections are accepted and each answer says
            that it is its connection's last.
        end_s: longest wait after that, for answers under way and for callers
            to close their connections.

    Raises:
        OSError: the address cannot be bound.
    """
    app = Starlette(
        routes=[*routes, Route("/metrics", _metrics)],
        exception_handlers={Exception: _count_fault},
    )
    server = HttpServer(app, idle_timeout_s, closing_body)
    await server.listen(address)
    async with background(server.renew_date):
        try:
            yield server
        finally:
            await shut_down_server(server, _end_times(server, notice_s, end_s))


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller closed its connection; the work was cancelled."""


async def unless_caller_leaves(
    request: Request, work: Coroutine[Any, Any, _T]
) -> _T | CallerLeft:
    """Does work for a request whose body is read, while its caller stays.

    Args:
        request: what comes next on it can only be the caller leaving.
        work: cancelled when that happens.
    """
    working = asyncio.create_task(work)
    leaving = asyncio.ensure_future(request.receive())
    try:
        await asyncio.wait(
            {working, leaving}, return_when=asyncio.FIRST_COMPLETED
        )
        if working.done():
            return working.result()
        return CallerLeft()
    finally:
        for task in (working, leaving):
            task.cancel()
        await asyncio.gather(working, leaving, return_exceptions=True)
