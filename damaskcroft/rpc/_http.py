"""HTTP server that runs for the duration of a block: starlette on uvicorn."""

import asyncio
import contextlib
import dataclasses
import email.utils
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
    GracefulServer,
    remaining_times,
    shut_down_server,
    stop_listening,
)
from damaskcroft.observe import log_warning, metrics
from damaskcroft.rpc._kept_connections import KeepAliveConnection, SharedState
from damaskcroft.rpc._listening import BACKLOG, bound_socket
from damaskcroft.tasks import background

# The resolution of an answer's Date header (RFC 9110, 5.6.7).
_DATE_INTERVAL_S = 1.0
# Idle timeout of connections; the default of uvicorn.
_IDLE_TIMEOUT_S = 5.0
# Callers that send often enough to use a persistent connection send at least
# one request in this time, and read that its answer is the last one.
_NOTICE_DURATION_S = 0.5
# For answers in progress when the notice is over, and for callers to close
# half-closed connections.
_DRAIN_TIMEOUT_S = 2.0
# For cancelled requests to finish.
_CANCEL_TIMEOUT_S = 0.1
_T = TypeVar("_T")


class HttpServer(GracefulServer):
    """Server of uvicorn's connections with a graceful shutdown.

    uvicorn's own server closes all persistent connections as soon as it is
    stopped, and polls ten times a second whether it should stop.
    """

    def __init__(
        self, app: Starlette, idle_timeout_s: float, closing_body: bytes
    ):
        """Creates a server of `app` that does not listen yet."""
        self._config = uvicorn.Config(
            app,
            loop="asyncio",
            http=KeepAliveConnection,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            timeout_keep_alive=idle_timeout_s,  # type: ignore[arg-type]
        )
        self._config.load()
        self._state = ServerState()
        self._shared = SharedState(app, closing_body)
        self._listening: asyncio.Server | None = None
        self._update_date_header()

    async def listen(self, address: str) -> None:
        """Starts to accept connections.

        Raises:
            OSError: the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self._listening = await loop.create_server(
            self._make_connection, sock=bound_socket(address), backlog=BACKLOG
        )
        self.address = address

    async def renew_date(self) -> None:
        """Updates the Date header periodically until cancelled."""
        while True:
            await asyncio.sleep(_DATE_INTERVAL_S)
            self._update_date_header()

    def announce_shutdown(self) -> None:
        """Makes each answer from now on the last one of its connection."""
        super().announce_shutdown()
        self._shared.is_ending = True
        for connection in self._connections:
            connection.mark_answer_as_last()

    async def stop_listening(self) -> None:
        """Stops listening; connections in the kernel's queue are served."""
        listening, self._listening = self._listening, None
        if listening is not None:
            self.queued = await stop_listening(listening, self._make_connection)

    def close_idle(self, min_idle_s: float = 0.0) -> None:
        """Closes connections idle for `min_idle_s`, each by a 408."""
        until = asyncio.get_running_loop().time() - min_idle_s
        for connection in self._connections:
            if connection.idle_since <= until:
                connection.close_if_idle()

    async def close(self) -> None:
        """Cancels remaining requests; half-closed connections still linger."""
        self.close_idle()
        for connection in self._connections:
            connection.end_incomplete()
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
        """Number of open connections."""
        return len(self._state.connections)

    @property
    def is_active(self) -> bool:
        """Whether a connection is open or a request is being processed."""
        return bool(self._state.connections or self._state.tasks)

    @property
    def answering(self) -> int:
        """Number of requests being answered."""
        return len(self._state.tasks)

    @property
    def only_lingering_open(self) -> bool:
        """Whether no request runs and all connections are half closed."""
        return not self.answering and len(self._shared.lingering) == len(
            self._state.connections
        )

    @property
    def _connections(self) -> list[KeepAliveConnection]:
        return [
            connection
            for connection in self._state.connections
            if isinstance(connection, KeepAliveConnection)
        ]

    def _update_date_header(self) -> None:
        date = email.utils.formatdate(usegmt=True).encode()
        headers = [(b"date", date), *self._config.encoded_headers]
        self._state.default_headers = headers

    def _make_connection(self) -> KeepAliveConnection:
        return KeepAliveConnection(self._shared, self._config, self._state)


async def _metrics(_: Request) -> Response:
    return Response(
        prometheus_client.generate_latest(),
        media_type=prometheus_client.CONTENT_TYPE_LATEST,
    )


async def _count_fault(_: Request, error: Exception) -> Response:
    metrics.HTTP_FAULTS.labels(type(error).__name__).inc()
    log_warning("answer_failed", reason=repr(error))
    return Response(status_code=500, headers={"Connection": "close"})


@contextlib.asynccontextmanager
async def serve_http(
    address: str,
    routes: list[Any],
    *,
    idle_timeout_s: float = _IDLE_TIMEOUT_S,
    closing_body: bytes = b"",
    shutdown_notice_s: float = _NOTICE_DURATION_S,
    end_s: float = _DRAIN_TIMEOUT_S,
) -> AsyncIterator[HttpServer]:
    """Serves `routes` and /metrics at `address` until the block ends.

    Args:
        address: IP address and port.
        routes: the routes to serve.
        idle_timeout_s: time after which an idle connection is closed.
        closing_body: JSON body for callers whose request crosses the close of
            an idle connection; the status 408 says that it has not run.
        shutdown_notice_s: time from the end of the block, or from an earlier
            `announce_shutdown`, during which connections are still accepted and
            each answer says that it is the last one of its connection.
        end_s: maximum time after that for answers in progress and for callers
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
            await shut_down_server(
                server, remaining_times(server, shutdown_notice_s, end_s)
            )


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """Result for a caller that disconnected; the work was cancelled."""


async def run_unless_disconnected(
    request: Request, work: Coroutine[Any, Any, _T]
) -> _T | CallerDisconnected:
    """Runs work for a request until it is done or the caller disconnects.

    Args:
        request: request whose body was read, so that the next message received
            on it is the disconnection.
        work: work that is cancelled when the caller disconnects.

    Returns:
        The result of the work, or CallerDisconnected.
    """
    working = asyncio.create_task(work)
    leaving = asyncio.ensure_future(request.receive())
    try:
        await asyncio.wait(
            {working, leaving}, return_when=asyncio.FIRST_COMPLETED
        )
        if working.done():
            return working.result()
        return CallerDisconnected()
    finally:
        for task in (working, leaving):
            task.cancel()
        await asyncio.gather(working, leaving, return_exceptions=True)
