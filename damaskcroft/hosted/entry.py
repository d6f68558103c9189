"""damask-entry on a machine that callers reach."""

import asyncio
import functools
import math
import random

from damaskcroft._generated import fleet_pb2
from damaskcroft.fleet import (
    FleetView,
    NodeSettings,
    Reporter,
    TurnTaker,
    Watcher,
)
from damaskcroft.forwarding import EntryGate, Forwarder, Services, Suspects
from damaskcroft.hosted.seeds import follow_new_seeds
from damaskcroft.http1 import (
    ConnectionPool,
    EndTimes,
    callers_served,
    drained,
)
from damaskcroft.limits import RateLimits
from damaskcroft.observe import log_event
from damaskcroft.platform.ready_face import ready_routes
from damaskcroft.platform.wire import PlatformWire
from damaskcroft.quarantine import CrashBook
from damaskcroft.routing import (
    AnswerDelays,
    BackPressure,
    Outliers,
    PartedTargets,
    Placer,
    RetryWindow,
    SilenceWatch,
)
from damaskcroft.rpc import ChannelPool, Keys, http_served
from damaskcroft.tasks import background

__all__ = ["serve"]

_CLEAN_EVERY_S = 0.5
# While a stopping entry says it isn't ready, callers' idle connections stay
# open for as long as the balancer may take to notice: two of its questions, a
# second apart, and one for good measure.
_NOTICE_S = 3.5
# What can't be answered in full is told so this long before the platform's
# SIGKILL, so that callers have read it and the process has ended by then,
# beside other busy processes too. Of a short grace period it is a share.
_SPARE_S = 1.0
_SPARE_SHARE = 1 / 8
# Of that, for callers to read their last answers.
_READ_SHARE = 0.2
# Of what is left, kept back from waiting for callers to close connections.
_LINGER_SPARE_S = 0.6
# At the end, for background tasks, after each word to end.
_BACKGROUND_END_S = 0.1
# At the end, for whoever asks whether the entry is ready.
_READY_END_S = 0.2


async def serve(settings: NodeSettings, stop: asyncio.Event) -> None:
    """Runs one entry until `stop` is set, then ends gracefully.

    Raises:
        OSError: an address can't be bound.
    """
    channels = ChannelPool(Keys(None, None))
    view = FleetView(crashes=CrashBook(random.random()))
    seeds = [settings.rpc_address_at(seed) for seed in settings.seeds]
    watcher = Watcher(
        view,
        channels,
        seeds,
        lambda: fleet_pb2.WatchRequest(
            name=settings.name,
            is_entry=True,
            crashes=view.crashes.words(),
            limits=view.limits.words(),
        ),
    )
    reporter = Reporter(view, channels, seeds)
    limits = RateLimits(
        view.limits, settings.name, view.entry_names.names, reporter.tell_limits
    )
    outliers = Outliers()
    delays = AnswerDelays()
    bounds = settings.bounds
    back_pressure = BackPressure(bounds.drain_s)
    placer = Placer(
        settings.failure_domain,
        settings.region,
        outliers,
        answer_delay_s=delays.quickest_s,
        takes_one=back_pressure.takes_one,
        is_spared=limits.is_spared,
        is_due=limits.is_due,
        is_own=PartedTargets(settings.name, view.entry_names.names).is_own,
    )
    services = Services(
        view,
        settings.region_by_domain,
        bounds.weights_s,
        delays.foreseen_s,
    )
    connections = ConnectionPool()
    retry_window = RetryWindow(
        bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_s
    )
    wire = PlatformWire()
    forwarder = Forwarder(
        wire,
        services,
        placer,
        outliers,
        connections,
        retry_window,
        SilenceWatch(),
        delays,
        back_pressure,
        limits,
        Suspects(
            view.crashes,
            services,
            back_pressure,
            reporter.tell_crashes,
            TurnTaker(view, channels, seeds).hold,
        ),
        view.doubt_target,
    )
    gate = EntryGate(wire, view, forwarder)

    def is_ready() -> bool:
        return view.table is not None and not gate.is_stopping()

    async def keep_clean() -> None:
        while True:
            await asyncio.sleep(_CLEAN_EVERY_S)
            connections.close_old()
            started_ids = view.book.start_ids()
            placer.forget_all_but(started_ids)
            delays.forget_all_but(started_ids)
            back_pressure.forget_all_but(started_ids)
            limits.forget_all_but(started_ids)
            view.limits.forget_all_but(started_ids)
            view.crashes.forget_old()
            retry_window.entries = placer.entries = view.entries

    async def follow_limits() -> None:
        seen = view.wishes.count
        while True:
            callers.note_limits()
            seen = await view.wishes.wait(seen)

    async with (
        http_served(
            settings.ready_address,
            ready_routes(is_ready),
            notice_s=_READY_END_S,
            end_s=_READY_END_S,
        ) as ready,
        callers_served(settings.caller_address, gate) as callers,
        background(
            watcher.run,
            forwarder.run,
            reporter.run,
            keep_clean,
            follow_limits,
            functools.partial(follow_new_seeds, view, watcher),
            end_s=_BACKGROUND_END_S,
        ),
    ):
        log_event("started", role="entry", address=settings.caller_address)
        await stop.wait()
        spare_s = _spare_s(bounds.grace_s)
        gate.stop(bounds.grace_s - spare_s)
        ready.give_notice()
        log_event("stopping", role="entry", answering=callers.answering)
        await drained(callers, _end_times(bounds.grace_s, spare_s))
        log_event("drained", answering=callers.answering)
    connections.close()
    channels.close()


def _spare_s(grace_s: float) -> float:
    """From the last answers to the end of the grace period."""
    return min(_SPARE_S, grace_s * _SPARE_SHARE)


def _end_times(grace_s: float, spare_s: float) -> EndTimes:
    """Connections are accepted until the last one has ended."""
    within_s = grace_s - spare_s + spare_s * _READ_SHARE
    return EndTimes(
        notice_s=min(_NOTICE_S, within_s / 2),
        listen_s=math.inf,
        told_s=within_s - _LINGER_SPARE_S,
        within_s=within_s,
    )
