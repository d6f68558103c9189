"""Serving HTTP for the length of a block: starlette on uvicorn."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Coroutine
from typing import Any, TypeVar

import prometheus_client
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from damaskcroft.rpc._channels import split_address

_POLL_S = 0.01
_T = TypeVar("_T")


class _Server(uvicorn.Server):
    """A uvicorn server that leaves the process's signals alone."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Signals are the program's own business (graceful shutdown)."""
        yield


async def _metrics(_: Request) -> Response:
    return Response(
        prometheus_client.generate_latest(),
        media_type=prometheus_client.CONTENT_TYPE_LATEST,
    )


@contextlib.asynccontextmanager
async def http_served(
    address: str, routes: list[Any]
) -> AsyncIterator[Starlette]:
    """Serves `routes` and /metrics at `address` until the block ends.

    Raises:
        OSError: the address cannot be bound.
    """
    app = Starlette(routes=[*routes, Route("/metrics", _metrics)])
    host, port = split_address(address)
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        loop="asyncio",
        http="h11",
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        timeout_graceful_shutdown=2,
    )
    server = _Server(config)
    task = asyncio.create_task(server.serve())
    while not server.started:
        if task.done():
            raise OSError(f"cannot serve HTTP at {address}")
        await asyncio.sleep(_POLL_S)
    try:
        yield app
    finally:
        server.should_exit = True
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
