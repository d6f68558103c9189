"""One agent's part in a burst: getting every chunk of one version.

Chunks that this agent must read from outside go first and on their own; all
others are asked of their parents, in the same order by every agent, a bounded
number at once. A parent that holds a chunk not yet keeps the question open,
so a chunk moves on as soon as it has arrived and been checked.
"""

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Iterator

from damaskcroft._generated import agent_pb2, records_pb2
from damaskcroft.clock import now_s
from damaskcroft.observe import log_event, metrics
from damaskcroft.weights._errors import ManifestError
from damaskcroft.weights._manifest import load_manifest
from damaskcroft.weights._outside import OutsideData, OutsideSource
from damaskcroft.weights._pacer import Pacer
from damaskcroft.weights._peers import (
    PeerData,
    PeerFailed,
    PeerNotYet,
    PeerSource,
)
from damaskcroft.weights._planner import Participant, Planner
from damaskcroft.weights._store import ChunkStore, StagedVersion

# Silence may be a full link's; a refused connection a restart of a second.
_STALLED_SUSPECT_S = 5.0
_SUSPECT_S = 1.0
_MAX_SUSPECT_S = 30.0
_CORRUPT_SUSPECT_S = 300.0
_MIN_PAUSE_S = 0.02
_LOOK_EVERY_S = 0.05
_RESCUE_EVERY_S = 0.2
# Chunks that came after a missing one before it counts as overdue: more than
# are on their way at once along one tree's branches.
_LATER_CHUNKS = 16
_MAX_RESCUED = 4
_RESCUE_PATIENCE_S = 0.5
_ASKED_AT_ONCE = 2
_MAX_PAUSE_S = 1.0
_MANIFEST_PAUSE_S = 0.1
# How many chunks may be on their way between the outside link and the leaves
# of the trees: some for each hop.
_READ_AHEAD_PER_HOP = 4
_MIN_READ_AHEAD = 8
# More than this from outside takes longer than it saves, where the origin's
# link is twice a machine's: docs/design/002-burst.md.
_MAX_HELP_COPIES = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class BurstOptions:
    """Bounds of one agent's part in a burst.

    Attributes:
        parallel_fetches: chunks asked of peers at once.
        parallel_outside: chunks read from outside at once.
        wait_s: how long a peer may keep a question open.
        in_step: whether outside reads keep in step with the trees. Not where
            the outside link has the rate of a few agents' links and may be
            lost at any moment: then what is read early is safe.
    """

    parallel_fetches: int = 64
    parallel_outside: int = 2
    wait_s: float = 2.0
    in_step: bool = True


@dataclasses.dataclass(slots=True)
class BurstCounts:
    """Bytes by source and faults met, for reports."""

    origin_bytes: int = 0
    store_bytes: int = 0
    peer_bytes: int = 0
    local_bytes: int = 0
    sent_bytes: int = 0
    corrupt_chunks: int = 0


class Suspects:
    """Agents to be left alone for a while, after silence or wrong bytes."""

    __slots__ = ("_times_by_id", "_until_by_id")

    def __init__(self) -> None:
        """Creates an empty list."""
        self._until_by_id: dict[str, float] = {}
        self._times_by_id: dict[str, int] = {}

    def add(self, agent_id: str, for_s: float) -> None:
        """Suspects an agent, twice as long each time until it is cleared.

        Args:
            agent_id: which.
            for_s: how long the first time.
        """
        if agent_id in self.now():
            return
        times = self._times_by_id.get(agent_id, 0)
        self._times_by_id[agent_id] = times + 1
        for_s = min(for_s * 2**times, max(for_s, _MAX_SUSPECT_S))
        self._until_by_id[agent_id] = now_s() + for_s

    def clear(self, agent_id: str) -> None:
        """Takes note that an agent has given a right chunk."""
        self._until_by_id.pop(agent_id, None)
        self._times_by_id.pop(agent_id, None)

    def now(self) -> frozenset[str]:
        """The ids suspected at this instant."""
        now = now_s()
        return frozenset(
            agent_id
            for agent_id, until in self._until_by_id.items()
            if until > now
        )


class Burst:
    """Gets one version onto this instance.

    Args:
        own_id: this agent.
        path: where outside sources keep the version.
        store: where chunks are kept.
        sources: outside sources; the first is preferred.
        peers: how other agents are asked.
        pacer: paces what comes in from outside.
        options: bounds.
        counts: where bytes are counted.
    """

    def __init__(
        self,
        own_id: str,
        path: str,
        store: ChunkStore,
        sources: list[OutsideSource],
        peers: PeerSource,
        pacer: Pacer,
        options: BurstOptions,
        counts: BurstCounts,
    ):
        """Creates a burst that has not begun."""
        self._own_id = own_id
        self._path = path
        self._store = store
        self._sources = sources
        self._peers = peers
        self._pacer = pacer
        self._options = options
        self._counts = counts
        self._planner: Planner | None = None
        self._help_share = 0.0
        self._read_ahead = _MIN_READ_AHEAD
        self._taken: set[int] = set()
        self._suspects = Suspects()
        self._outside_slots = asyncio.Semaphore(options.parallel_outside)
        self._rng = random.Random(own_id)

    def plan_with(self, planner: Planner, help_share: float = 0.0) -> None:
        """Takes a new planner, when participants come or go.

        Args:
            planner: chooses each chunk's source.
            help_share: share of the version that this agent may read from
                outside beyond what the planner gives it.
        """
        self._planner = planner
        self._help_share = help_share
        hops = len(planner.participants).bit_length()
        self._read_ahead = max(_MIN_READ_AHEAD, _READ_AHEAD_PER_HOP * hops)

    async def fetch_manifest(self, digest: str) -> bytes:
        """Gets the manifest that a record names, from a peer if it can.

        Raises:
            ManifestError: the outside source holds another one.
        """
        while True:
            parent = self._parent(0)
            if parent is None:
                content = await self._manifest_from_outside()
                if content is not None:
                    load_manifest(content, digest)
                    return content
            else:
                content = await self._manifest_from_peer(parent, digest)
                if content is not None:
                    return content
            await asyncio.sleep(_MANIFEST_PAUSE_S)

    async def run(self, version: StagedVersion) -> None:
        """Gets every missing chunk; returns when all are held."""
        self._copy_local(version)
        missing = [i for i, held in enumerate(version.held) if not held]
        own = [i for i in missing if self._parent(i) is None]
        others = [i for i in missing if self._parent(i) is not None]
        self._taken = set()
        indexes = iter(others)
        works = [
            self._read_outside(version, own, others),
            self._rescue(version),
            *(self._work(version, indexes) for _ in range(self._questions())),
        ]
        tasks = [asyncio.create_task(work) for work in works]
        try:
            # What came another way is no longer waited for.
            while not version.is_complete:
                done, _ = await asyncio.wait(tasks, timeout=_LOOK_EVERY_S)
                for task in done:
                    task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _questions(self) -> int:
        """Chunks to ask for at once: no more than can be on their way."""
        on_their_way = self._read_ahead + _MIN_READ_AHEAD
        return min(self._options.parallel_fetches, on_their_way)

    def _parent(self, index: int) -> Participant | None:
        if self._planner is None:
            return None
        return self._planner.parent(index, self._suspects.now())

    def _copy_local(self, version: StagedVersion) -> None:
        """Takes chunks that an older version already holds."""
        for index, held in enumerate(version.held):
            if held:
                continue
            data = self._store.local_copy(version.manifest.chunks[index].digest)
            if data is not None and version.write_chunk(index, data):
                self._counts.local_bytes += len(data)
                metrics.BURST_BYTES.labels("local").inc(len(data))

    async def _read_outside(
        self, version: StagedVersion, own: list[int], others: list[int]
    ) -> None:
        """Reads this agent's chunks, then helps with those far off yet."""
        indexes = iter(own)
        async with asyncio.TaskGroup() as group:
            for _ in range(self._options.parallel_outside):
                group.create_task(self._read_own(version, indexes))
        budget_bytes = self._help_share * version.size_bytes
        for index in reversed(others):
            budget_bytes -= version.manifest.chunks[index].size_bytes
            if budget_bytes < 0:
                return
            if index in self._taken:
                continue
            self._taken.add(index)
            while not version.held[index]:
                await self._from_outside(version, index)

    async def _read_own(
        self, version: StagedVersion, indexes: Iterator[int]
    ) -> None:
        """Reads in step with the whole fleet.

        If all agents read at once, the outside link's rate would be shared
        by all chunks, and all would arrive late and together. So a chunk is
        read when one some way before it has come round by the tree.
        """
        for index in indexes:
            if self._options.in_step:
                await self._wait_in_step(version, index - self._read_ahead)
            while not version.held[index]:
                await self._try(version, index)

    async def _wait_in_step(self, version: StagedVersion, index: int) -> None:
        """Waits for a chunk for as long as others keep arriving."""
        if index < 0:
            return
        held_count = -1
        while held_count < version.held_count:
            held_count = version.held_count
            if await version.wait_for_chunk(index, self._options.wait_s):
                return

    async def _work(
        self, version: StagedVersion, indexes: Iterator[int]
    ) -> None:
        for index in indexes:
            if index in self._taken:
                continue
            self._taken.add(index)
            while not version.held[index]:
                await self._try(version, index)

    async def _rescue(self, version: StagedVersion) -> None:
        """Gets chunks elsewhere whose parents are much later than others.

        A parent may be up and answer, but on a link at a fraction of its
        rate. Its chunks show as gaps behind which later ones have come.
        """
        overdue_before: set[int] = set()
        while not version.is_complete:
            held_before = version.held_count
            await asyncio.sleep(_RESCUE_EVERY_S)
            still = version.held_count == held_before > 0
            overdue = _missing(version) if still else _overdue(version)
            for index in overdue[:_MAX_RESCUED]:
                found = await self._from_any(version, index)
                stuck = index in overdue_before and not found
                if stuck and self._rng.random() < self._outside_share():
                    await self._from_outside(version, index)
            overdue_before = set(overdue)

    async def _from_any(self, version: StagedVersion, index: int) -> bool:
        """Asks some agents that may hold a chunk already."""
        if self._planner is None:
            return False
        suspects = self._suspects.now()
        others = [
            other
            for other in self._planner.participants
            if other.id != self._own_id and other.id not in suspects
        ]
        asked = self._rng.sample(others, min(_ASKED_AT_ONCE, len(others)))
        for other in asked:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_RESCUE_PATIENCE_S):
                    await self._from_peer(version, index, other, wait_s=0.0)
            if version.held[index]:
                return True
        return False

    def _outside_share(self) -> float:
        """So that about one of all who miss a chunk reads it from outside."""
        if self._planner is None:
            return 1.0
        return 1.0 / max(1, len(self._planner.participants))

    async def _try(self, version: StagedVersion, index: int) -> None:
        parent = self._parent(index)
        if parent is None:
            async with self._outside_slots:
                if not version.held[index]:
                    await self._from_outside(version, index)
            return
        await self._from_peer(version, index, parent, self._options.wait_s)

    async def _from_peer(
        self,
        version: StagedVersion,
        index: int,
        peer: Participant,
        wait_s: float,
    ) -> None:
        request = agent_pb2.ChunkRequest(
            manifest=version.digest,
            digest=version.manifest.chunks[index].digest,
            wait_ms=int(wait_s * 1000),
            requester=self._own_id,
        )
        outcome = await self._peers.fetch_chunk(peer.address, request)
        match outcome:
            case PeerData(data=data):
                self._suspects.clear(peer.id)
                self._take(version, index, data, "peer", peer.id)
            case PeerNotYet():
                await asyncio.sleep(_MIN_PAUSE_S)
            case PeerFailed(reason=reason):
                metrics.BURST_SOURCE_FAILURES.labels(reason).inc()
                if peer.id not in self._suspects.now():
                    log_event("peer_suspected", peer=peer.id, reason=reason)
                stalled = reason == "stalled"
                self._suspects.add(
                    peer.id, _STALLED_SUSPECT_S if stalled else _SUSPECT_S
                )

    async def _from_outside(self, version: StagedVersion, index: int) -> None:
        for source in self._open_sources():
            outcome = await source.fetch_chunk(
                self._path, version.manifest, index
            )
            if isinstance(outcome, OutsideData):
                await self._pacer.pass_bytes(len(outcome.data))
                self._take(version, index, outcome.data, source.name, "")
                return
            metrics.BURST_SOURCE_FAILURES.labels(
                f"{source.name}_{outcome.reason}"
            ).inc()
        await asyncio.sleep(self._pause_s())

    def _open_sources(self) -> list[OutsideSource]:
        return [s for s in self._sources if s.closed_for_s <= 0]

    def _pause_s(self) -> float:
        """Until the first outside source is open again, spread a little."""
        wait_s = min(source.closed_for_s for source in self._sources)
        wait_s = min(max(wait_s, _MIN_PAUSE_S), _MAX_PAUSE_S)
        return wait_s * (1 + self._rng.random())

    def _take(
        self,
        version: StagedVersion,
        index: int,
        data: bytes,
        source: str,
        peer_id: str,
    ) -> None:
        metrics.BURST_BYTES.labels(source).inc(len(data))
        field = f"{source}_bytes"
        setattr(self._counts, field, getattr(self._counts, field) + len(data))
        if version.write_chunk(index, data):
            return
        self._counts.corrupt_chunks += 1
        metrics.BURST_CHUNKS_CORRUPT.labels(source).inc()
        log_event(
            "chunk_corrupt", index=index, source=source, peer=peer_id or "none"
        )
        if peer_id:
            self._suspects.add(peer_id, _CORRUPT_SUSPECT_S)

    async def _manifest_from_outside(self) -> bytes | None:
        for source in self._open_sources():
            outcome = await source.fetch_manifest(self._path)
            if isinstance(outcome, OutsideData):
                return outcome.data
            metrics.BURST_SOURCE_FAILURES.labels(
                f"{source.name}_{outcome.reason}"
            ).inc()
        return None

    async def _manifest_from_peer(
        self, parent: Participant, digest: str
    ) -> bytes | None:
        outcome = await self._peers.fetch_manifest(parent.address, digest)
        if isinstance(outcome, PeerFailed):
            self._suspects.add(parent.id, _SUSPECT_S)
            return None
        if isinstance(outcome, PeerNotYet):
            return None
        try:
            load_manifest(outcome.data, digest)
        except ManifestError:
            self._suspects.add(parent.id, _CORRUPT_SUSPECT_S)
            return None
        return outcome.data


def help_share(
    policy: records_pb2.BurstPolicy, copies_cap: float, agents: int
) -> float:
    """Share of a version that each agent may read beyond the first copy.

    The first copy passes through every policy's trees; more reads from
    outside only help with the chunks that are furthest from arriving.
    """
    if policy == records_pb2.FEWEST_ORIGIN_BYTES:
        return 0.0
    return min(copies_cap - 1, _MAX_HELP_COPIES) / agents


def _missing(version: StagedVersion) -> list[int]:
    return [index for index, held in enumerate(version.held) if not held]


def _overdue(version: StagedVersion) -> list[int]:
    """Missing chunks after which many others have come."""
    later = version.held_count
    overdue = []
    for index, held in enumerate(version.held):
        if held:
            later -= 1
        elif later >= _LATER_CHUNKS:
            overdue.append(index)
    return overdue
