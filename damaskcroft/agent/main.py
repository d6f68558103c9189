"""damask-agent: admission, weight staging and orders for one target."""

import asyncio
import pathlib
import secrets
from typing import Annotated

import typer
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from damaskcroft._generated import control_pb2, settings_pb2
from damaskcroft.agent._activation import Activator
from damaskcroft.agent._chunk_service import ChunkService
from damaskcroft.agent._chunks import ChunkServer
from damaskcroft.agent._crashes import TargetWatch
from damaskcroft.agent._gate import Gate
from damaskcroft.agent._runs import Runner
from damaskcroft.agent._service import AgentService
from damaskcroft.agent._settler import Settler
from damaskcroft.agent._staging import Stager
from damaskcroft.agent._target_limit import TargetLimit
from damaskcroft.agent._yielding import LiveGuard
from damaskcroft.engines import (
    Engine,
    FencingEngine,
    PlainService,
    UnfencedEngine,
)
from damaskcroft.membership import Lease, LeaseClient
from damaskcroft.observe import log_event
from damaskcroft.rpc import (
    ChannelPool,
    Keys,
    run_daemon,
    serve_grpc,
    serve_http,
    stop_event,
)
from damaskcroft.tasks import Work, background
from damaskcroft.weights import (
    BurstCounts,
    BurstOptions,
    FolderStore,
    GrpcPeerSource,
    OutsideSource,
    Pacer,
    RangeSource,
)

_SETTLE_AT_STOP_S = 10.0
# Entries learn of a drain within this time and then send no new requests.
_DRAIN_NOTICE_S = 0.5

app = typer.Typer(pretty_exceptions_enable=False, add_completion=False)


class AgentProcess:
    """Wires the components of one agent together."""

    def __init__(self, settings: settings_pb2.AgentSettings, keys: Keys):
        """Builds the components; `serve` runs them."""
        self._settings = settings
        self._keys = keys
        self._incarnation = secrets.token_hex(8)
        self._pool = ChannelPool(keys)
        self._announcement = self._make_announcement()
        self._counts = BurstCounts()
        addresses = list(settings.control.addresses)
        self._client = LeaseClient(
            self._announcement,
            addresses,
            self._pool,
            settings.control.renew_every_s,
            self._report,
        )
        self._engine = _make_engine(settings.target, self._client.lease)
        watch = TargetWatch(
            self._engine, f"{self._announcement.id}/{self._incarnation}"
        )
        limit = TargetLimit(watch)
        self._gate = Gate(
            self._client.lease,
            settings.target.slots,
            self._incarnation,
            is_service=bool(settings.target.service),
            limit=limit,
        )
        burst = settings.burst
        self._download = Pacer(burst.link_bytes_s)
        self._upload = Pacer(burst.link_bytes_s)
        self._guard = LiveGuard(
            burst.live_first_token_s, [self._download, self._upload]
        )
        self._settler = Settler(self._pool, addresses)
        self._runner = Runner(
            self._gate,
            self._engine,
            self._settler,
            watch,
            limit,
            self._guard.record_first_piece,
        )
        folder = pathlib.Path(settings.process.data_folder) / "weights"
        self._store = FolderStore(folder, burst.store_budget_bytes)
        self._sources = _make_sources(burst)
        self._stager = self._make_stager()
        self._activator = Activator(
            self._announcement.id,
            self._client,
            self._gate,
            self._engine,
            self._stager,
            self._store,
        )
        self._chunks = ChunkServer(
            self._store, self._upload, burst.parallel_uploads, self._counts
        )

    async def serve(self) -> None:
        """Runs until SIGTERM or SIGINT, then ends gracefully.

        Raises:
            OSError: an address can't be bound.
        """
        stop = stop_event()
        await asyncio.to_thread(self._store.open_existing)
        process = self._settings.process
        services = [
            AgentService(self._runner, self._gate),
            ChunkService(self._chunks),
        ]
        async with (
            serve_grpc(process.listen, services, self._keys),
            serve_http(
                process.http_listen, [Route("/readyz", self._ready)]
            ) as face,
        ):
            log_event(
                "started",
                id=self._announcement.id,
                incarnation=self._incarnation,
            )
            async with background(*self._work()):
                await stop.wait()
                face.announce_shutdown()
                await self._drain()
        await self._close()

    def _work(self) -> list[Work]:
        work: list[Work] = [
            self._client.run,
            self._client.watch_lapses,
            self._follow_drain_records,
            self._guard.run,
        ]
        if not self._settings.target.service:
            work += [
                self._stager.run,
                self._activator.run,
                self._report_staged,
            ]
        return work

    async def _drain(self) -> None:
        """Refuses new requests and lets the running ones end."""
        self._gate.draining = True
        self._client.renew_now()
        log_event("draining", outstanding=self._gate.outstanding)
        await asyncio.sleep(_DRAIN_NOTICE_S)
        try:
            async with asyncio.timeout(self._settings.target.drain_timeout_s):
                await self._gate.wait_idle()
                await self._runner.finish()
        except TimeoutError:
            log_event("drain_timeout", outstanding=self._gate.outstanding)
        await self._settler.finish(_SETTLE_AT_STOP_S)
        log_event("drained", outstanding=self._gate.outstanding)

    async def _close(self) -> None:
        await self._engine.close()
        for source in self._sources:
            await source.close()
        self._pool.close()

    async def _follow_drain_records(self) -> None:
        """Closes the gate to new requests while a drain record is in force."""
        roster = self._client.roster
        key = ("drain", self._announcement.id)
        while True:
            record = roster.records_by_key.get(key)
            draining = record is not None and not record.withdrawn
            if draining != self._gate.draining:
                self._gate.draining = draining
                log_event("drain_record", draining=draining)
                self._client.renew_now()
            async with roster.changed:
                await roster.changed.wait()

    async def _report_staged(self) -> None:
        while True:
            async with self._stager.changed:
                await self._stager.changed.wait()
            self._client.renew_now()

    async def _ready(self, _: Request) -> Response:
        held = self._client.lease.is_held
        body = {
            "lease_held": held,
            "revision": self._client.roster.revision,
            "version": self._gate.version if self._gate.is_open else "",
            "draining": self._gate.draining,
        }
        return JSONResponse(body, 200 if held else 503)

    def _report(self) -> control_pb2.TargetReport:
        gate = self._gate
        return control_pb2.TargetReport(
            id=self._announcement.id,
            incarnation=self._incarnation,
            phase=self._phase(),
            model=gate.model,
            version=gate.version if gate.is_open else "",
            manifest=gate.manifest if gate.is_open else "",
            draining=gate.draining,
            outstanding=gate.outstanding,
            burst=self._stager.report(),
            failure=self._activator.failure,
            applied_revision=self._client.roster.revision,
            staged_manifest=self._stager.staged_manifest,
            held_up_by=self._activator.held_up.reason,
            held_up_ms=self._activator.held_up.duration_as_ms(),
        )

    def _phase(self) -> control_pb2.Phase:
        if self._settings.target.service:
            return control_pb2.PHASE_SERVING
        return self._activator.phase()

    def _make_announcement(self) -> control_pb2.Announcement:
        process, target = self._settings.process, self._settings.target
        return control_pb2.Announcement(
            id=process.name,
            kind=control_pb2.HOLDER_AGENT,
            incarnation=self._incarnation,
            address=process.listen,
            region=process.region,
            failure_domain=process.failure_domain,
            role=target.role,
            service=target.service,
            slots=target.slots,
            checks_fencing=target.checks_fencing,
        )

    def _make_stager(self) -> Stager:
        burst = self._settings.burst
        peers = GrpcPeerSource(self._pool, burst.stall_s)
        options = BurstOptions(
            parallel_fetches=burst.parallel_fetches, wait_s=burst.stall_s
        )
        return Stager(
            self._announcement,
            self._client.roster,
            self._store,
            self._sources,
            peers,
            self._download,
            options,
            burst.strategy,
            self._counts,
        )


def _make_engine(target: settings_pb2.TargetSection, lease: Lease) -> Engine:
    if target.service:
        return PlainService(target.address)
    kind = FencingEngine if target.checks_fencing else UnfencedEngine
    return kind(target.address, lease, target.order_timeout_s)


def _make_sources(burst: settings_pb2.BurstSection) -> list[OutsideSource]:
    sources: list[OutsideSource] = [
        RangeSource("origin", burst.origin, burst.stall_s)
    ]
    if burst.store:
        sources.append(RangeSource("store", burst.store, burst.stall_s))
    return sources


@app.command()
def run(
    settings_file: Annotated[pathlib.Path | None, typer.Argument()] = None,
    check: Annotated[bool, typer.Option(help="only check settings")] = False,
    reference: Annotated[
        bool, typer.Option(help="print every setting")
    ] = False,
) -> None:
    """Runs the agent of one target."""
    run_daemon(
        settings_file,
        settings_pb2.AgentSettings,
        _serve,
        check=check,
        reference=reference,
    )


async def _serve(settings: settings_pb2.AgentSettings, keys: Keys) -> None:
    await AgentProcess(settings, keys).serve()


def main() -> None:
    """Runs the command-line program."""
    app()
