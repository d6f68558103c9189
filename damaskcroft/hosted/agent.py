"""Assembly of damask-agent, which runs on the machine of a target."""

import asyncio
import functools

from damaskcroft._generated import fleet_pb2
from damaskcroft.agent import (
    ChunkServer,
    ChunkService,
    FleetAgent,
    FleetStager,
    FleetSwitcher,
    guarded_versions,
)
from damaskcroft.fleet import FleetView, NodeSettings, Watcher
from damaskcroft.hosted.seeds import follow_new_seeds
from damaskcroft.observe import log_event
from damaskcroft.platform.engine import PlatformEngine
from damaskcroft.platform.origin import PlatformOrigin
from damaskcroft.rpc import ChannelPool, Keys, serve_grpc
from damaskcroft.tasks import background
from damaskcroft.units import bytes_per_s
from damaskcroft.weights import (
    BurstOptions,
    GrpcPeerSource,
    MemoryStore,
    OutsideSource,
    Pacer,
    UploadRate,
)

__all__ = ["serve"]

# Agents keep chunks in memory because their machines have no disk. This is at
# most a sixth of the memory.
_STORE_BYTES = 24 * 1024 * 1024
# Longer than a peer takes to report that a chunk is queued there (it does so
# twice a second), and than one chunk takes on a link at a quarter of its rate.
_STALL_TIMEOUT_S = 1.5
_PARALLEL_FETCHES = 48
_PARALLEL_UPLOADS = 8


async def serve(settings: NodeSettings, stop: asyncio.Event) -> None:
    """Runs one agent until `stop` is set.

    Raises:
        OSError: an address can't be bound.
    """
    channels = ChannelPool(Keys(None, None))
    # Entries and control log the state of all targets; an agent only that of
    # its own.
    view = FleetView(
        logs_target=lambda state: state.address == settings.target_address
    )
    peers = GrpcPeerSource(channels, _STALL_TIMEOUT_S)
    weights_s = settings.bounds.weights_s
    agent = FleetAgent(
        settings,
        view,
        channels,
        lambda: peers.shortest_part_s,
        lambda: guarded_versions(view, settings.target_service, weights_s),
    )
    watcher = Watcher(
        view,
        channels,
        [settings.rpc_address_at(seed) for seed in settings.seeds],
        lambda: fleet_pb2.WatchRequest(
            name=settings.name, agent=agent.announced_state(), is_agent=True
        ),
        without_routes=True,
    )
    # Senders fill their links as long as receivers observe no queueing delay.
    rate_bytes_s = bytes_per_s(settings.link_mbps)
    download, upload = Pacer(rate_bytes_s), Pacer(rate_bytes_s)
    engine = PlatformEngine(settings.target_address)

    @functools.cache
    def origin(address: str) -> OutsideSource:
        return PlatformOrigin("origin", address, _STALL_TIMEOUT_S)

    store = MemoryStore(_STORE_BYTES)
    stager = FleetStager(
        agent,
        view,
        engine,
        store,
        origin,
        peers,
        download,
        BurstOptions(
            parallel_fetches=_PARALLEL_FETCHES,
            parallel_outside=1,
            wait_s=_STALL_TIMEOUT_S,
            paced_by_trees=False,
        ),
        weights_s,
    )
    switcher = FleetSwitcher(
        agent, view, engine, stager, weights_s, lambda: peers.is_link_fast
    )
    chunks = ChunkServer(
        store, upload, _PARALLEL_UPLOADS, stager.counts, UploadRate(upload)
    )
    async with (
        serve_grpc(
            settings.rpc_address, [ChunkService(chunks)], Keys(None, None)
        ),
        background(
            watcher.run,
            functools.partial(follow_new_seeds, view, watcher),
            stager.run,
            switcher.run,
        ),
    ):
        log_event("started", role="agent", target=settings.target_address)
        await stop.wait()
        log_event("stopping", role="agent")
        await switcher.leave()
    await engine.close()
    channels.close()
