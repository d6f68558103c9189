"""A simulation of agents that share a version over rate-limited links.

It runs in virtual time. The agents' bursts, windows, pacers and stores are the
real ones. A link is a FIFO queue that carries one message at a time;
connections and their buffers are not modelled. The simulation shows how long
the parts of a burst take and how it behaves when agents, links or the origin
fail; it does not measure processor time.
"""

import asyncio
import contextlib
import dataclasses
import hashlib
import random
from collections.abc import AsyncIterator, Callable, Iterable
from typing import Any

from damaskcroft._generated import agent_pb2, records_pb2
from damaskcroft.agent import ChunkServer
from damaskcroft.clock import now_s
from damaskcroft.rpc import ChannelPool, Keys
from damaskcroft.tasks import background
from damaskcroft.units import bytes_per_s
from damaskcroft.weights import (
    Burst,
    BurstCounts,
    BurstOptions,
    GrpcPeerSource,
    MemoryStore,
    OutsideData,
    OutsideFailed,
    Pacer,
    Participant,
    RosterPlan,
    StagedVersion,
    UploadRate,
    manifest_of_digests,
    weights_path,
)

__all__ = ["Fleet", "FleetShape", "Link", "LinkedAgent"]

# Frame and packet headers of a message.
_OVERHEAD_BYTES = 120
# The origin serves its connections in turn, in parts of this size.
_ORIGIN_PART_BYTES = 8192
_ORIGIN = "origin"
_MODEL, _VERSION = "m", "2"
_PATH = weights_path(_MODEL, "", _VERSION)
_STALL_S = 1.5
_PARALLEL_UPLOADS = 8


class Link:
    """One direction of a link, with a FIFO queue.

    Attributes:
        rate_bytes_s: rate of the link; a change does not affect messages that
            are queued already.
    """

    __slots__ = ("_free_at", "rate_bytes_s")

    def __init__(self, mbps: float):
        """Creates an idle link."""
        self.rate_bytes_s = bytes_per_s(mbps)
        self._free_at = 0.0

    def reserve(self, size_bytes: int) -> float:
        """Queues a message; returns the time at which it has passed."""
        start = max(self._free_at, now_s())
        self._free_at = start + size_bytes / self.rate_bytes_s
        return self._free_at

    def pause(self, seconds: float) -> None:
        """Blocks the link for a duration."""
        self._free_at = max(self._free_at, now_s()) + seconds


@dataclasses.dataclass(frozen=True, slots=True)
class FleetShape:
    """Sizes of a fleet; links in Mbit/s, delays in seconds.

    Attributes:
        agents_by_region: number of agents in each region.
        agent_mbps: rate of an agent's link, each way.
        origin_mbps: rate of the origin's link; the origin is in the first
            region.
        between_mbps: rate between two regions, each way.
        delay_s: one-way delay, also within a region.
        chunks: number of chunks of the version.
        chunk_bytes: size of a chunk.
        hears_within_s: interval from which the time is drawn at which an agent
            learns of the version.
        known_within_s: interval from which the time is drawn after which
            another agent learns that an agent takes part; None if each agent
            knows all others from the start.
        options: options of each burst.
    """

    agents_by_region: tuple[int, ...] = (5, 5, 4)
    agent_mbps: float = 3.8
    origin_mbps: float = 9.9
    between_mbps: float = 11.0
    delay_s: float = 0.0015
    chunks: int = 64
    chunk_bytes: int = 32_768
    hears_within_s: tuple[float, float] = (0.08, 0.27)
    known_within_s: tuple[float, float] | None = None
    options: BurstOptions = dataclasses.field(
        default_factory=lambda: BurstOptions(
            parallel_fetches=48,
            parallel_outside=1,
            wait_s=_STALL_S,
            paced_by_trees=False,
        )
    )


class _Network:
    def __init__(self, shape: FleetShape):
        self._shape = shape
        self.up_by_address: dict[str, Link] = {}
        self.down_by_address: dict[str, Link] = {}
        self.region_by_address: dict[str, str] = {}
        self._links_between_regions: dict[tuple[str, str], Link] = {}

    def join(self, address: str, region: str, mbps: float) -> None:
        self.up_by_address[address] = Link(mbps)
        self.down_by_address[address] = Link(mbps)
        self.region_by_address[address] = region

    def send(
        self, sender: str, receiver: str, size: int, arrived: Callable[[], None]
    ) -> None:
        """Sends a message over all links of its path, one after another."""
        regions = (
            self.region_by_address[sender],
            self.region_by_address[receiver],
        )
        links = [self.up_by_address[sender], self.down_by_address[receiver]]
        if regions[0] != regions[1]:
            link_between_regions = self._links_between_regions.setdefault(
                regions, Link(self._shape.between_mbps)
            )
            links.insert(1, link_between_regions)
        self._pass_links(links, size + _OVERHEAD_BYTES, arrived)

    def _pass_links(
        self, links: list[Link], size: int, arrived: Callable[[], None]
    ) -> None:
        loop = asyncio.get_running_loop()
        if not links:
            loop.call_later(self._shape.delay_s, arrived)
            return
        passed_at = links[0].reserve(size)
        loop.call_at(passed_at, self._pass_links, links[1:], size, arrived)


class _StreamEnd:
    """One end of a bidirectional stream between two agents."""

    def __init__(self, network: _Network, local: str, remote: str):
        self._network = network
        self._local, self._remote = local, remote
        self._received: asyncio.Queue[Any] = asyncio.Queue()
        self.other: _StreamEnd
        self.on_cancel: Callable[[], None] = lambda: None

    async def send_message(self, message: Any) -> None:
        self._network.send(
            self._local,
            self._remote,
            message.ByteSize(),
            lambda: self.other._received.put_nowait(message),
        )

    async def recv_message(self) -> Any:
        return await self._received.get()

    async def cancel(self) -> None:
        self._network.send(
            self._local, self._remote, 0, lambda: self.other.on_cancel()
        )


class _LinkedPeers(GrpcPeerSource):
    """Fetches chunks from peers over simulated links."""

    def __init__(self, fleet: "Fleet", own: str):
        super().__init__(ChannelPool(Keys(None, None)), _STALL_S)
        self._fleet = fleet
        self._own = own

    @contextlib.asynccontextmanager
    async def _opened(self, address: str) -> AsyncIterator[Any]:
        local = _StreamEnd(self._fleet.network, self._own, address)
        remote = _StreamEnd(self._fleet.network, address, self._own)
        local.other, remote.other = remote, local
        server = self._fleet.agents_by_address[address].server
        serving = asyncio.create_task(_serve_stream(server, remote))
        self._fleet.serving.add(serving)
        serving.add_done_callback(self._fleet.serving.discard)
        remote.on_cancel = lambda: _cancel(serving)
        try:
            yield local
        finally:
            await local.cancel()

    async def exchange(
        self, address: str, rumour: agent_pb2.Rumour
    ) -> agent_pb2.Rumour | None:
        """Sends a gossip message to a peer and returns its reply."""
        network, arrived = self._fleet.network, asyncio.Event()
        network.send(self._own, address, rumour.ByteSize(), arrived.set)
        await arrived.wait()
        server = self._fleet.agents_by_address[address].server
        reply, reply_arrived = server.exchange(rumour), asyncio.Event()
        network.send(address, self._own, reply.ByteSize(), reply_arrived.set)
        await reply_arrived.wait()
        return reply


def _cancel(task: asyncio.Task) -> None:
    task.cancel()


async def _serve_stream(server: ChunkServer, end: _StreamEnd) -> None:
    chunk_request = await end.recv_message()
    with contextlib.suppress(asyncio.CancelledError, TimeoutError):
        await server.send_chunk(chunk_request.request, end)


class _LinkedOrigin:
    """The origin as seen by one agent."""

    name = _ORIGIN
    backoff_left_s = 0.0

    def __init__(self, fleet: "Fleet", reader: str):
        self._fleet = fleet
        self._reader = reader

    async def fetch_chunk(
        self, path: str, manifest: records_pb2.Manifest, index: int
    ) -> OutsideData | OutsideFailed:
        # The handshake of a new connection, then the request.
        await asyncio.sleep(3 * self._fleet.shape.delay_s)
        remaining_bytes = manifest.chunks[index].size_bytes
        while remaining_bytes > 0:
            if self._fleet.is_origin_away:
                return OutsideFailed("unreachable", 0.0)
            part = min(remaining_bytes, _ORIGIN_PART_BYTES)
            await self._transfer(part)
            remaining_bytes -= part
        self._fleet.read_outside.append((now_s(), index))
        return OutsideData(self._fleet.chunks[index])

    async def _transfer(self, size: int) -> None:
        arrived = asyncio.get_running_loop().create_future()

        def done() -> None:
            if not arrived.done():
                arrived.set_result(None)

        self._fleet.network.send(_ORIGIN, self._reader, size, done)
        await arrived


class LinkedAgent:
    """An agent with its own burst, store and server.

    Attributes:
        version: the staged version; None before the agent learns of it.
        whole_at: time at which the version was complete; None before.
        began_at: time at which the agent began to take part; None before.
    """

    def __init__(self, fleet: "Fleet", participant: Participant):
        """Creates an agent without any version."""
        self._fleet = fleet
        self.participant = participant
        self.address = participant.address
        self.counts = BurstCounts()
        self.store = MemoryStore(2 * len(fleet.chunks) * len(fleet.chunks[0]))
        rate = bytes_per_s(fleet.shape.agent_mbps)
        upload = Pacer(rate)
        self._download = Pacer(rate)
        self.server = ChunkServer(
            self.store,
            upload,
            _PARALLEL_UPLOADS,
            self.counts,
            UploadRate(upload),
        )
        self.version: StagedVersion | None = None
        self.whole_at: float | None = None
        self.began_at: float | None = None
        # After what time this agent learns of each other agent's beginning.
        self._news_s_by_address: dict[str, float] = {}

    async def bring(self) -> None:
        """Fetches the complete version."""
        self.began_at = now_s()
        self.version = self.store.open_version(self._fleet.manifest, set())
        burst = Burst(
            self.participant.id,
            _PATH,
            self.store,
            [_LinkedOrigin(self._fleet, self.address)],  # type: ignore[list-item]
            _LinkedPeers(self._fleet, self.address),
            self._download,
            dataclasses.replace(
                self._fleet.shape.options,
                outside_bytes_s=bytes_per_s(self._fleet.shape.origin_mbps),
            ),
            self.counts,
        )
        plan = RosterPlan(
            burst, "latin", self.participant, self._known_participants
        )
        async with background(plan.run):
            await burst.run(self.version)
        self.whole_at = now_s()

    def _known_participants(self) -> list[Participant]:
        return [
            other.participant
            for other in self._fleet.agents_by_address.values()
            if other is not self and self._knows(other)
        ]

    def _knows(self, other: "LinkedAgent") -> bool:
        known_within_s = self._fleet.shape.known_within_s
        if known_within_s is None:
            return True
        if other.began_at is None:
            return False
        news_s = self._news_s_by_address.get(other.address)
        if news_s is None:
            news_s = self._fleet.rng.uniform(*known_within_s)
            self._news_s_by_address[other.address] = news_s
        return now_s() >= other.began_at + news_s

    def hold_chunks(self, indexes: Iterable[int]) -> None:
        """Writes some chunks into the store, without a transfer."""
        version = self.store.open_version(self._fleet.manifest, set())
        for index in indexes:
            version.write_chunk(index, self._fleet.chunks[index])

    def hold_all_chunks(self) -> None:
        """Writes the complete version into the store, without a transfer."""
        self.version = self.store.open_version(self._fleet.manifest, set())
        for index, data in enumerate(self._fleet.chunks):
            self.version.write_chunk(index, data)
        self.whole_at = now_s()


class Fleet:
    """A simulated fleet: agents, the origin and their links.

    Attributes:
        is_origin_away: whether reads from the origin fail.
        read_outside: time and index of each chunk read from the origin.
        serving: running tasks of agents that serve chunks to peers.
    """

    def __init__(self, shape: FleetShape, seed: int = 1):
        """Creates agents without any version."""
        self.shape = shape
        self.rng = random.Random(seed)
        self.chunks = [
            hashlib.shake_128(f"{seed}/{n}".encode()).digest(shape.chunk_bytes)
            for n in range(shape.chunks)
        ]
        digests = [hashlib.sha256(data).digest() for data in self.chunks]
        self.manifest = manifest_of_digests(
            _MODEL, _VERSION, shape.chunk_bytes, digests
        ).SerializeToString(deterministic=True)
        self.network = _Network(shape)
        self.network.join(_ORIGIN, "r0", shape.origin_mbps)
        self.is_origin_away = False
        self.read_outside: list[tuple[float, int]] = []
        self.serving: set[asyncio.Task] = set()
        self.agents_by_address: dict[str, LinkedAgent] = {}
        for region, count in enumerate(shape.agents_by_region):
            for number in range(count):
                self._add_agent(f"10.{region}.0.{number}:1", f"r{region}")

    def _add_agent(self, address: str, region: str) -> None:
        self.network.join(address, region, self.shape.agent_mbps)
        participant = Participant(address, address, region)
        self.agents_by_address[address] = LinkedAgent(self, participant)

    async def run_burst(self, within_s: float) -> None:
        """Runs the burst of every agent without the version, up to a limit."""
        tasks = [
            asyncio.create_task(self._bring(agent))
            for agent in self.agents_by_address.values()
            if agent.whole_at is None
        ]
        await asyncio.wait(tasks, timeout=within_s)
        ending = [*tasks, *self.serving]
        for task in ending:
            task.cancel()
        await asyncio.gather(*ending, return_exceptions=True)

    async def _bring(self, agent: LinkedAgent) -> None:
        await asyncio.sleep(self.rng.uniform(*self.shape.hears_within_s))
        await agent.bring()

    def distinct_read_by(self, seconds: float) -> int:
        """Counts the distinct chunks read from the origin up to a time."""
        return len({i for at, i in self.read_outside if at <= seconds})

    def completion_times(self) -> list[float]:
        """Returns sorted completion times; infinity for incomplete agents."""
        return sorted(
            agent.whole_at if agent.whole_at is not None else float("inf")
            for agent in self.agents_by_address.values()
        )

    def set_rate(self, address: str, mbps: float) -> None:
        """Changes the rate of an agent's link in both directions."""
        rate = bytes_per_s(mbps)
        self.network.up_by_address[address].rate_bytes_s = rate
        self.network.down_by_address[address].rate_bytes_s = rate

    def freeze(self, address: str, seconds: float) -> None:
        """Blocks the link of an agent in both directions for a duration."""
        self.network.up_by_address[address].pause(seconds)
        self.network.down_by_address[address].pause(seconds)
