"""Assembly of damask-control, which runs on a machine with a disk."""

import asyncio
import contextlib

from damaskcroft._generated import fleet_pb2
from damaskcroft.consensus import (
    FolderDisk,
    GrpcTransport,
    NotFormattedError,
    Replica,
    ReplicaOptions,
    ReplicaService,
    format_disk,
)
from damaskcroft.control import (
    FleetControl,
    FleetService,
    FleetState,
    LimitsService,
    QuarantineService,
    ServiceRecorder,
    TurnsService,
)
from damaskcroft.fleet import FleetView, NodeSettings, Watcher
from damaskcroft.observe import log_event
from damaskcroft.platform.control_face import control_routes
from damaskcroft.rpc import (
    ChannelPool,
    Keys,
    serve_grpc,
    serve_http,
)
from damaskcroft.tasks import background

__all__ = ["serve"]

# A follower that receives no heartbeat for this long may start an election. It
# covers four lost heartbeats.
_ELECTION_TIMEOUT_S = 0.5
_HEARTBEAT_S = 0.1
# A leader that stops transfers its leadership first. Beyond this time waiting
# gains nothing, because an election takes about as long.
_LEADERSHIP_TRANSFER_TIMEOUT_S = _ELECTION_TIMEOUT_S
_INSTALL_TIMEOUT_S = 5.0
# The log is compacted at this size. A replica with an empty disk receives a
# snapshot and at most this much log, in less than a second at 10 Mbit/s.
_SNAPSHOT_AFTER_LOG_BYTES = 512 * 1024
# Number of announcement intervals after which every live target has announced
# itself, even if one announcement is lost.
_ANNOUNCEMENTS_TO_SETTLE = 2
# Length of the shutdown notice in announcement intervals. Within it each target
# with a kept connection announces itself, even one that is somewhat late, and
# reads in the answer that the connection will be closed.
_NOTICE_ANNOUNCE_INTERVALS = 1.25
# Maximum shares of the grace period for the notice and for the rest of the
# shutdown.
_MAX_NOTICE_SHARE = 1 / 4
_MAX_SHUTDOWN_SHARE = 1 / 4


def _shutdown_notice_s(settings: NodeSettings) -> float:
    return min(
        settings.announce_every_s * _NOTICE_ANNOUNCE_INTERVALS,
        settings.bounds.grace_s * _MAX_NOTICE_SHARE,
    )


async def serve(settings: NodeSettings, stop: asyncio.Event) -> None:
    """Runs one control node until `stop` is set.

    Raises:
        OSError: an address can't be bound, or the disk can't be used.
    """
    if settings.data_folder is None:
        raise OSError("control needs a data folder")
    seeds = [settings.rpc_address_at(seed) for seed in settings.seeds]
    disk = FolderDisk(settings.data_folder / "log")
    if settings.first_start and settings.rpc_address in seeds:
        with contextlib.suppress(NotFormattedError):
            format_disk(disk, {address: address for address in seeds})
    channels = ChannelPool(Keys(None, None))
    view = FleetView()
    state = FleetState()
    options = ReplicaOptions(
        id=settings.rpc_address,
        address=settings.rpc_address,
        first_members={address: address for address in seeds},
        election_timeout_s=_ELECTION_TIMEOUT_S,
        heartbeat_s=_HEARTBEAT_S,
        snapshot_bytes=_SNAPSHOT_AFTER_LOG_BYTES,
    )
    # Log replication has its own connections, because a silent connection is
    # dropped together with all calls in progress on it.
    log_channels = ChannelPool(Keys(None, None))
    transport = GrpcTransport(
        log_channels, _ELECTION_TIMEOUT_S, _INSTALL_TIMEOUT_S
    )
    replica = Replica(options, disk, transport, state)
    control = FleetControl(
        replica, state, view, channels, settings.region_by_domain
    )
    service = FleetService(replica, state, view, control)
    recorder = ServiceRecorder(
        replica,
        state,
        view,
        control.log,
        _ANNOUNCEMENTS_TO_SETTLE * settings.announce_every_s,
    )
    watcher = Watcher(
        view,
        channels,
        [seed for seed in seeds if seed != settings.rpc_address],
        lambda: fleet_pb2.WatchRequest(
            name=settings.name,
            crashes=view.crashes.snapshot(),
            limits=view.limits.snapshot(),
        ),
        own_address=settings.rpc_address,
        without_configuration=True,
    )
    async with (
        serve_grpc(
            settings.rpc_address,
            [
                ReplicaService(replica),
                service,
                QuarantineService(view.crashes, service.publish_crashes),
                LimitsService(view.limits),
                TurnsService(),
            ],
            Keys(None, None),
        ),
        background(watcher.run, recorder.run),
    ):
        async with serve_http(
            settings.control_address,
            control_routes(control),
            shutdown_notice_s=_shutdown_notice_s(settings),
            end_s=settings.bounds.grace_s * _MAX_SHUTDOWN_SHARE,
        ) as control_server:
            await replica.start()
            log_event(
                "started", role="control", incarnation=replica.incarnation
            )
            await stop.wait()
            log_event("stopping", role="control", leader=replica.is_leader)
            control_server.announce_shutdown()
            await replica.transfer_leadership(
                _LEADERSHIP_TRANSFER_TIMEOUT_S, before_shutdown=True
            )
        # The replica runs until here because puts that were already read are
        # forwarded to the leader.
        await replica.stop()
    channels.close()
    log_channels.close()
