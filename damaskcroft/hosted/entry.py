"""Assembly of damask-entry, which accepts callers' requests."""

import asyncio
import functools
import math
import random

from damaskcroft._generated import fleet_pb2
from damaskcroft.fleet import (
    FleetView,
    NodeSettings,
    Reporter,
    TurnClient,
    Watcher,
)
from damaskcroft.forwarding import (
    EntryGate,
    Forwarder,
    Services,
    Suspects,
    follow_cold_targets,
    follow_retry_budget,
)
from damaskcroft.hosted.seeds import follow_new_seeds
from damaskcroft.http1 import (
    ConnectionPool,
    ShutdownTimes,
    drained,
    serve_callers,
)
from damaskcroft.limits import RateLimits
from damaskcroft.observe import log_event
from damaskcroft.platform.ready_face import ReadyFace
from damaskcroft.platform.wire import PlatformWire
from damaskcroft.quarantine import CrashRegistry
from damaskcroft.routing import (
    AnswerDelays,
    BackPressure,
    Outliers,
    PartitionedTargets,
    Placer,
    SilenceWatch,
)
from damaskcroft.rpc import ChannelPool, Keys
from damaskcroft.tasks import background

__all__ = ["serve"]

_CLEANUP_INTERVAL_S = 0.5
# How long a stopping entry reports that it isn't ready and keeps callers' idle
# connections open, so that the load balancer notices: two of its readiness
# probes, which are a second apart, and one more as a margin.
_NOT_READY_NOTICE_S = 3.5
# Requests that can't be answered in full are refused this long before the
# platform's SIGKILL. Callers can then read the refusal and the process can end
# in time, even beside other busy processes. For a short grace period the margin
# is a share of it.
_SHUTDOWN_MARGIN_S = 1.0
_SHUTDOWN_MARGIN_SHARE = 1 / 8
# Share of the margin in which callers read their last answers.
_FINAL_READ_SHARE = 0.2
# Part of the remaining time that is not spent on waiting for callers to close
# their connections.
_LINGER_MARGIN_S = 0.6
# How long background tasks may take to end after each cancellation.
_BACKGROUND_SHUTDOWN_S = 0.1
# How long readiness probes may still be answered at shutdown.
_READY_SHUTDOWN_S = 0.2


async def serve(
    settings: NodeSettings, stop: asyncio.Event, *, hedge_share: float = 0.0
) -> None:
    """Runs one entry until `stop` is set, then shuts it down gracefully.

    Args:
        settings: its settings.
        stop: requests the shutdown.
        hedge_share: hedges of slow requests allowed for each request of a
            service; 0 for none.

    Raises:
        OSError: an address can't be bound.
    """
    channels = ChannelPool(Keys(None, None))
    view = FleetView(crashes=CrashRegistry(random.random()))
    seeds = [settings.rpc_address_at(seed) for seed in settings.seeds]
    watcher = Watcher(
        view,
        channels,
        seeds,
        lambda: fleet_pb2.WatchRequest(
            name=settings.name,
            is_entry=True,
            crashes=view.crashes.snapshot(),
            limits=view.limits.snapshot(),
        ),
    )
    reporter = Reporter(view, channels, seeds)
    limits = RateLimits(
        view.limits,
        settings.name,
        view.entry_names.names,
        reporter.report_limits,
    )
    bounds = settings.bounds
    cold_targets = follow_cold_targets(
        view,
        settings.name,
        bounds.cold_ratio,
        bounds.cold_extra,
        settings.announce_every_s,
    )
    outliers = Outliers()
    delays = AnswerDelays()
    back_pressure = BackPressure(bounds.drain_s)
    placer = Placer(
        settings.failure_domain,
        settings.region,
        outliers,
        answer_delay_s=delays.shortest_delay_s,
        is_half_open=back_pressure.is_half_open,
        is_deferred=limits.is_deferred,
        is_probe_due=limits.is_probe_due,
        is_assigned=PartitionedTargets(
            settings.name, view.entry_names.names
        ).is_assigned,
    )
    services = Services(
        view,
        settings.region_by_domain,
        bounds.weights_s,
        delays.expected_delay_s,
    )
    connections = ConnectionPool()
    retry_budget = follow_retry_budget(view, settings.name, bounds)
    wire = PlatformWire()
    forwarder = Forwarder(
        wire,
        services,
        placer,
        outliers,
        connections,
        retry_budget,
        SilenceWatch(),
        delays,
        back_pressure,
        limits,
        cold_targets,
        Suspects(
            view.crashes,
            services,
            back_pressure,
            reporter.report_crashes,
            TurnClient(view, channels, seeds).hold,
        ),
        view.demote_target,
        hedge_share,
    )
    gate = EntryGate(wire, view, forwarder)

    def is_ready() -> bool:
        return view.route_table is not None and not gate.is_stopping()

    async def keep_clean() -> None:
        while True:
            await asyncio.sleep(_CLEANUP_INTERVAL_S)
            connections.close_expired()
            live_start_ids = view.targets.start_ids()
            placer.retain_only(live_start_ids)
            delays.retain_only(live_start_ids)
            back_pressure.retain_only(live_start_ids)
            limits.retain_only(live_start_ids)
            cold_targets.retain_only(live_start_ids)
            view.limits.retain_only(live_start_ids)
            view.crashes.evict_expired()
            placer.entries = view.entries
            retry_budget.report()

    async def follow_limits() -> None:
        last_count = view.desired_changed.count
        while True:
            caller_server.apply_limits()
            last_count = await view.desired_changed.wait(last_count)

    async with (
        serve_callers(
            settings.ready_address,
            ReadyFace(is_ready),
            shutdown_notice_s=_READY_SHUTDOWN_S,
        ) as ready_server,
        serve_callers(settings.caller_address, gate) as caller_server,
        background(
            watcher.run,
            forwarder.run,
            reporter.run,
            keep_clean,
            follow_limits,
            functools.partial(follow_new_seeds, view, watcher),
            end_s=_BACKGROUND_SHUTDOWN_S,
        ),
    ):
        log_event("started", role="entry", address=settings.caller_address)
        await stop.wait()
        margin_s = _shutdown_margin_s(bounds.grace_s)
        gate.stop(bounds.grace_s - margin_s)
        ready_server.announce_shutdown()
        log_event("stopping", role="entry", answering=caller_server.answering)
        await drained(caller_server, _shutdown_times(bounds.grace_s, margin_s))
        log_event("drained", answering=caller_server.answering)
    connections.close()
    channels.close()


def _shutdown_margin_s(grace_s: float) -> float:
    """Time between the last answers and the end of the grace period."""
    return min(_SHUTDOWN_MARGIN_S, grace_s * _SHUTDOWN_MARGIN_SHARE)


def _shutdown_times(grace_s: float, margin_s: float) -> ShutdownTimes:
    """Shutdown times; listening goes on until the last connection ends."""
    within_s = grace_s - margin_s + margin_s * _FINAL_READ_SHARE
    return ShutdownTimes(
        shutdown_notice_s=min(_NOT_READY_NOTICE_S, within_s / 2),
        accept_s=math.inf,
        close_wait_s=within_s - _LINGER_MARGIN_S,
        within_s=within_s,
    )
