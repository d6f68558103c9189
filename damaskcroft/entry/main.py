"""damask-entry: takes callers' requests, behind the platform's balancer."""

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
from damaskcroft.entry._answers import Final, final_of
from damaskcroft.entry._calls import Call, CallReader
from damaskcroft.entry._claims import Claimant
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
    CallerLeft,
    ChannelPool,
    Keys,
    http_served,
    run_daemon,
    stop_event,
    unless_caller_leaves,
)
from damaskcroft.tasks import background

_STOP_RETRY_S = 1.0
# Between saying "not ready" and the last accepted connection, so that the
# balancer has seen it.
_BALANCER_NOTICE_S = 0.5
# What a caller is told whose request crossed the end of its idle connection;
# it may send it again at once, on a new one.
_CONNECTION_CLOSING = Refusal("connection_closing", 408, Ran.NOT_RUN, 0.0)
# Nobody reads this answer; the status only shows in counters and logs.
_CALLER_LEFT = 499
_ALL_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]

app = typer.Typer(pretty_exceptions_enable=False, add_completion=False)


class EntryProcess:
    """Everything one entry owns, wired together."""

    def __init__(self, settings: settings_pb2.EntrySettings, keys: Keys):
        """Builds the parts; `serve` runs them."""
        self._settings = settings
        process, rules = settings.process, settings.admission
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
            rules.reserved_share,
            rules.max_queued,
        )
        self._dispatcher = Dispatcher(
            self._client,
            self._pools,
            self._admission,
            Claimant(process.name, self._client, self._channels),
            self._channels,
            rules.retry_fraction,
        )
        self._reader = CallReader(
            process.region, rules.default_deadline_s, rules.max_body_bytes
        )
        self._stopping = False
        self._running = RunningCalls()

    async def serve(self) -> None:
        """Runs until SIGTERM or SIGINT, then ends gracefully.

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
            http_served(
                self._settings.process.http_listen,
                self._routes(),
                closing_body=closing_body.encode(),
                end_s=self._settings.stop.linger_s,
            ) as face,
        ):
            log_event("started", id=self._settings.process.name)
            await stop.wait()
            self._stopping = True
            face.give_notice()
            log_event("stopping", running=self._running.count)
            await asyncio.sleep(_BALANCER_NOTICE_S)
            await self._running.finish()
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
            return self._tracked(final_of(refusal_response(call, "")))
        if self._stopping:
            refusal = Refusal("stopping", 503, Ran.NOT_RUN, _STOP_RETRY_S)
            response = refusal_response(refusal, call.request_id)
            return self._tracked(final_of(response))
        self._running.begin(call.deadline_s)
        try:
            final = await self._answer_unless_left(request, call)
        except BaseException:
            self._running.end()
            raise
        return self._tracked(final, self._running.end)

    async def _answer_unless_left(self, request: Request, call: Call) -> Final:
        """Cancels a call whose caller has gone.

        The agent then cancels a repeatable run at the target; a claimed run
        goes on there, and its answer is kept for the caller's next attempt.
        """
        answered = await unless_caller_leaves(
            request, self._dispatcher.answer(call)
        )
        if not isinstance(answered, CallerLeft):
            return answered
        left = Refusal("caller_left", _CALLER_LEFT, Ran.UNKNOWN)
        return final_of(refusal_response(left, call.request_id))

    def _tracked(
        self, final: Final, ended: Callable[[], None] = lambda: None
    ) -> Response:
        return _Tracked(final, ended)

    async def _healthy(self, _: Request) -> Response:
        return JSONResponse({"healthy": True})

    async def _ready(self, _: Request) -> Response:
        ready = self._client.roster.has_view and not self._stopping
        body = {
            "ready": ready,
            "revision": self._client.roster.revision,
            "lease_held": self._client.lease.is_held,
        }
        return JSONResponse(body, 200 if ready else 503)


class _Tracked(Response):
    """Cleans up when the last byte is out, or will never be."""

    def __init__(self, final: Final, ended: Callable[[], None]):
        super().__init__()
        self._final = final
        self._ended = ended

    async def __call__(self, scope, receive, send) -> None:
        try:
            await self._final.response(scope, receive, send)
        finally:
            await self._final.close()
            self._ended()


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
