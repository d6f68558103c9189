"""Serving HTTP for the length of a block: starlette on uvicorn."""

import asyncio
import contextlib
import dataclasses
import socket
from collections.abc import AsyncIterator, Coroutine
from typing import Any, TypeVar

import prometheus_client
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from damaskcroft.http1 import Lingering, stop_listening
from damaskcroft.observe import log_event, log_warning, metrics
from damaskcroft.rpc._channels import split_address
from damaskcroft.rpc._kept_connections import KeptConnection

_POLL_S = 0.01
# The resolution of an answer's Date header (RFC 9110, 5.6.7).
_DATE_EVERY_S = 1.0
# Unused connections are kept for this long: what uvicorn takes by default.
_IDLE_TIMEOUT_S = 5.0
# For answers that are under way when the block ends, and for callers to close
# connections that have ended.
_END_S = 2.0
_T = TypeVar("_T")


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signals alone and wakes up seldom.

    The library's own loop looks ten times a second whether it should end, in
    each process for each of its addresses.
    """

    def __init__(self, config: uvicorn.Config):
        super().__init__(config)
        self._ending = asyncio.Event()

    def end(self) -> None:
        """Stops accepting; ends connections once they have been answered."""
        self.should_exit = True
        self._ending.set()

    async def shutdown(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """See the library's class; each connection made until now ends so."""
        for server in self.servers:
            await stop_listening(server, self._make_connection)
        await super().shutdown(sockets)
        left_open = len(self.server_state.connections)
        if left_open:
            log_event("connections_left_open", count=left_open)

    def _make_connection(self) -> asyncio.Protocol:
        return self.config.http_protocol_class(  # type: ignore[call-arg, return-value]
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )

    async def main_loop(self) -> None:
        """Renews the Date header once a second until told to end."""
        while not await self.on_tick(0):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_DATE_EVERY_S):
                    await self._ending.wait()

    @contextlib.contextmanager
    def capture_signals(self):
        """Signals are the program's own business (graceful shutdown)."""
        yield


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


def _connection_class(closing_body: bytes) -> type[KeptConnection]:
    # uvicorn makes connections itself and hands them no settings of ours.
    members = {"closing_body": closing_body, "lingering": Lingering()}
    return type("Connection", (KeptConnection,), members)


@contextlib.asynccontextmanager
async def http_served(
    address: str,
    routes: list[Any],
    *,
    idle_timeout_s: float = _IDLE_TIMEOUT_S,
    closing_body: bytes = b"",
    end_s: float = _END_S,
) -> AsyncIterator[Starlette]:
    """Serves `routes` and /metrics at `address` until the block ends.

    Args:
        address: IP number and port.
        routes: what is served.
        idle_timeout_s: how long unused connections are kept.
        closing_body: JSON for callers whose request crosses the end of an
            idle connection; its status says that nothing has run.
        end_s: longest wait, at the end of the block, for answers under way
            and for callers to close their connections.

    Raises:
        OSError: the address cannot be bound.
    """
    app = Starlette(
        routes=[*routes, Route("/metrics", _metrics)],
        exception_handlers={Exception: _count_fault},
    )
    listening = _bound(address)
    config = uvicorn.Config(
        app,
        loop="asyncio",
        http=_connection_class(closing_body),
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        timeout_keep_alive=idle_timeout_s,  # type: ignore[arg-type]
        timeout_graceful_shutdown=end_s,  # type: ignore[arg-type]
    )
    server = _Server(config)
    task = asyncio.create_task(server.serve([listening]))
    while not server.started:
        if task.done():
            raise OSError(f"cannot serve HTTP at {address}")
        await asyncio.sleep(_POLL_S)
    try:
        yield app
    finally:
        server.end()
        with contextlib.suppress(asyncio.CancelledError):
            await task


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
