"""damask-entry: serves callers behind the load balancer of the platform."""

import asyncio
import json
import pathlib
import secrets
from collections.abc import Callable
from typing import Annotated

import typer
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from damaskcroft._generated import control_pb2, settings_pb2
from damaskcroft.entry._answers import FinalResponse, final_response
from damaskcroft.entry._calls import Call, CallReader
from damaskcroft.entry._claims import ClaimClient
from damaskcroft.entry._dispatch import Dispatcher
from damaskcroft.entry._refusals import (
    Ran,
    Refusal,
    refusal_body,
    refusal_response,
)
from damaskcroft.entry._running import RunningCalls
from damaskcroft.membership import LeaseClient
from damaskcroft.observe import log_event, metrics
from damaskcroft.routing import Admission, PoolTable
from damaskcroft.rpc import (
    CallerDisconnected,
    ChannelPool,
    Keys,
    run_daemon,
    run_unless_disconnected,
    serve_http,
    stop_event,
)
from damaskcroft.tasks import background

_STOPPING_RETRY_AFTER_S = 1.0
# Connections are still accepted for this time after readiness is withdrawn,
# so that the load balancer notices first.
_READINESS_PROPAGATION_S = 0.5
# Answer to a request that arrives while its idle connection is being closed;
# the caller may retry at once on a new connection.
_CONNECTION_CLOSING = Refusal("connection_closing", 408, Ran.NOT_RUN, 0.0)
# The caller does not receive this status; it only appears in counters and
# logs.
_CALLER_LEFT_STATUS = 499
_ALL_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]

app = typer.Typer(pretty_exceptions_enable=False, add_completion=False)


class EntryProcess:
    """The parts of one entry process, wired together."""

    def __init__(self, settings: settings_pb2.EntrySettings, keys: Keys):
        """Builds the parts without starting them; `serve` runs them."""
        self._settings = settings
        process, admission_settings = settings.process, settings.admission
        self._channels = ChannelPool(keys)
        announcement = control_pb2.Announcement(
            id=process.name,
            kind=control_pb2.HOLDER_ENTRY,
            incarnation=secrets.token_hex(8),
            address=process.listen,
            region=process.region,
            failure_domain=process.failure_domain,
        )
        self._client = LeaseClient(
            announcement,
            list(settings.control.addresses),
            self._channels,
            settings.control.renew_every_s,
            lambda: control_pb2.TargetReport(),
        )
        self._pools = PoolTable(self._client.roster)
        self._admission = Admission(
            lambda name: self._pools.pool(name).slots,
            admission_settings.reserved_share,
            admission_settings.max_queued,
        )
        self._dispatcher = Dispatcher(
            self._client,
            self._pools,
            self._admission,
            ClaimClient(process.name, self._client, self._channels),
            self._channels,
            admission_settings.retry_fraction,
        )
        self._reader = CallReader(
            process.region,
            admission_settings.default_deadline_s,
            admission_settings.max_body_bytes,
        )
        self._is_stopping = False
        self._running = RunningCalls()

    async def serve(self) -> None:
        """Runs until SIGTERM or SIGINT, then shuts down gracefully.

        Raises:
            OSError: the address can't be bound.
        """
        stop = stop_event()
        closing_body = json.dumps(refusal_body(_CONNECTION_CLOSING, ""))
        async with (
            background(
                self._client.run,
                self._client.watch_lapses,
                self._pools.run,
                self._admission.run,
                self._dispatcher.run,
            ),
            serve_http(
                self._settings.process.http_listen,
                self._routes(),
                closing_body=closing_body.encode(),
                end_s=self._settings.stop.linger_s,
            ) as server,
        ):
            log_event("started", id=self._settings.process.name)
            await stop.wait()
            self._is_stopping = True
            server.announce_shutdown()
            log_event("stopping", running=self._running.count)
            await asyncio.sleep(_READINESS_PROPAGATION_S)
            await self._running.drain()
        log_event(
            "stopped",
            idle_connections=metrics.idle_connections_closed("idle"),
            crossed_by_requests=metrics.idle_connections_closed("crossed"),
        )
        self._channels.close()

    def _routes(self) -> list[Route]:
        return [
            Route("/v1/completions", self._complete, methods=["POST"]),
            Route("/v1/chat/completions", self._complete, methods=["POST"]),
            Route(
                "/services/{service}/{path:path}",
                self._service,
                methods=_ALL_METHODS,
            ),
            Route("/healthz", self._healthy),
            Route("/readyz", self._ready),
        ]

    async def _complete(self, request: Request) -> Response:
        call = await self._reader.read_completion(request)
        return await self._answer(request, call)

    async def _service(self, request: Request) -> Response:
        call = await self._reader.read_service(request)
        return await self._answer(request, call)

    async def _answer(self, request: Request, call: Call | Refusal) -> Response:
        if isinstance(call, Refusal):
            return self._tracked_response(
                final_response(refusal_response(call, ""))
            )
        if self._is_stopping:
            refusal = Refusal(
                "stopping", 503, Ran.NOT_RUN, _STOPPING_RETRY_AFTER_S
            )
            response = refusal_response(refusal, call.request_id)
            return self._tracked_response(final_response(response))
        self._running.begin(call.deadline_s)
        try:
            final = await self._answer_unless_disconnected(request, call)
        except BaseException:
            self._running.end()
            raise
        return self._tracked_response(final, self._running.end)

    async def _answer_unless_disconnected(
        self, request: Request, call: Call
    ) -> FinalResponse:
        """Runs a call and cancels it if its caller disconnects.

        The agent then cancels a repeatable run at the target. A claimed run
        continues, and its answer is stored for a retry of the caller.
        """
        outcome = await run_unless_disconnected(
            request, self._dispatcher.answer(call)
        )
        if not isinstance(outcome, CallerDisconnected):
            return outcome
        disconnected = Refusal("caller_left", _CALLER_LEFT_STATUS, Ran.UNKNOWN)
        return final_response(refusal_response(disconnected, call.request_id))

    def _tracked_response(
        self, final: FinalResponse, on_end: Callable[[], None] = lambda: None
    ) -> Response:
        return _TrackedResponse(final, on_end)

    async def _healthy(self, _: Request) -> Response:
        return JSONResponse({"healthy": True})

    async def _ready(self, _: Request) -> Response:
        ready = self._client.roster.has_received_state and not self._is_stopping
        body = {
            "ready": ready,
            "revision": self._client.roster.revision,
            "lease_held": self._client.lease.is_held,
        }
        return JSONResponse(body, 200 if ready else 503)


class _TrackedResponse(Response):
    """Cleans up once the response has been sent or has failed."""

    def __init__(self, final: FinalResponse, on_end: Callable[[], None]):
        super().__init__()
        self._final = final
        self._on_end = on_end

    async def __call__(self, scope, receive, send) -> None:
        try:
            await self._final.response(scope, receive, send)
        finally:
            await self._final.close()
            self._on_end()


@app.command()
def run(
    settings_file: Annotated[pathlib.Path | None, typer.Argument()] = None,
    check: Annotated[bool, typer.Option(help="only check settings")] = False,
    reference: Annotated[
        bool, typer.Option(help="print every setting")
    ] = False,
) -> None:
    """Runs one entry."""
    run_daemon(
        settings_file,
        settings_pb2.EntrySettings,
        _serve,
        check=check,
        reference=reference,
    )


async def _serve(settings: settings_pb2.EntrySettings, keys: Keys) -> None:
    await EntryProcess(settings, keys).serve()


def main() -> None:
    """Entry point of the program."""
    app()
