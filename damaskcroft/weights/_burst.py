"""One agent's part in a burst: getting every chunk of one version.

Chunks that this agent must read from outside go first and on their own. Of the
others, those that a neighbour is known to hold are asked of it, and the rest of
their parents in the trees, a bounded number at once. Whoever holds a chunk not
yet keeps the question open, so a chunk moves on as soon as it has arrived and
been checked. What is late is looked for elsewhere: see `_rescue`.
"""

import asyncio
import collections
import contextlib
import dataclasses
import random
from collections.abc import Iterator

from damaskcroft._generated import agent_pb2, records_pb2
from damaskcroft.clock import now_s
from damaskcroft.observe import log_event, metrics
from damaskcroft.weights._errors import ManifestError
from damaskcroft.weights._holdings import packed
from damaskcroft.weights._manifest import load_manifest
from damaskcroft.weights._outside import OutsideData, OutsideSource
from damaskcroft.weights._pacer import Pacer
from damaskcroft.weights._peers import (
    PeerData,
    PeerFailed,
    PeerNotYet,
    PeerSource,
    PeerUnaware,
)
from damaskcroft.weights._planner import Participant, Planner
from damaskcroft.weights._rescue import (
    AskHolder,
    Inquire,
    ReadOutside,
    Rescue,
)
from damaskcroft.weights._sources import Sources
from damaskcroft.weights._store import ChunkStore, StagedVersion
from damaskcroft.weights._suspects import Suspects

# Silence may be a full link's; a refused connection a restart of a second.
_STALLED_SUSPECT_S = 5.0
_SUSPECT_S = 1.0
_CORRUPT_SUSPECT_S = 300.0
_MIN_PAUSE_S = 0.02
_LOOK_EVERY_S = 0.05
_RESCUE_EVERY_S = 0.2
# No more at once than a link of 3.65 Mbit/s carries in the patience below.
_MAX_RESCUED = 8
_RESCUE_PATIENCE_S = 0.5
# A line a second for each agent; the first of the missing chunks tell which
# parts of the trees are late.
_PROGRESS_EVERY_S = 1.0
_SHOWN = 8
# A chunk that was late is asked for again after so many others: about as many
# as come in the time that it was waited for.
_PUT_BACK_PLACES = 16
# An agent that knows nothing of a version for so long after it was first asked
# is left out of its trees: several times what it takes all agents to hear.
_HEARS_WITHIN_S = 0.4
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
        self._outside = sources
        self._peers = peers
        self._pacer = pacer
        self._options = options
        self._counts = counts
        self._planner: Planner | None = None
        self._sources: Sources | None = None
        self._help_share = 0.0
        self._read_ahead = _MIN_READ_AHEAD
        self._taken: set[int] = set()
        self._suspects = Suspects()
        self._unaware_since: dict[str, float] = {}
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
        self._sources = None
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
        missing = version.missing()
        own = [i for i in missing if self._parent(i) is None]
        others = [i for i in missing if self._parent(i) is not None]
        self._taken = set()
        indexes = collections.deque(others)
        works = [
            self._read_outside(version, own, others),
            self._rescue(version),
            self._tell_progress(version),
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

    async def _tell_progress(self, version: StagedVersion) -> None:
        """One line a second while chunks come."""
        while not version.is_complete:
            log_event(
                "burst_progress",
                path=self._path,
                held=version.held_count,
                missing=",".join(map(str, version.missing()[:_SHOWN])),
                origin_bytes=self._counts.origin_bytes,
                peer_bytes=self._counts.peer_bytes,
                sent_bytes=self._counts.sent_bytes,
                suspects=",".join(sorted(self._suspects.now())),
            )
            await asyncio.sleep(_PROGRESS_EVERY_S)

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
        for index in version.missing():
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
        self, version: StagedVersion, indexes: collections.deque[int]
    ) -> None:
        """Asks for one chunk after another; one that is late is put back.

        So chunks that a slow agent was to give don't keep others from being
        asked for.
        """
        while not version.is_complete:
            index = self._pick(version, indexes)
            if index is None:
                # Others are asked for by now, and may come back in line.
                await asyncio.sleep(_LOOK_EVERY_S)
                continue
            if version.held[index]:
                continue
            self._taken.add(index)
            asked_at = now_s()
            while not version.held[index]:
                await self._try(version, index)
                if now_s() - asked_at > self._options.wait_s:
                    break
            if not version.held[index]:
                indexes.insert(_PUT_BACK_PLACES, index)

    def _pick(
        self, version: StagedVersion, indexes: collections.deque[int]
    ) -> int | None:
        """The next chunk to ask for: one that a neighbour holds, if any.

        They are taken at random, so that neighbours soon hold different ones
        to give to each other.
        """
        if not indexes:
            return None
        sources = self._sources_of(version)
        if sources is not None:
            at_hand = sources.at_hand(indexes, self._suspects.now())
            if at_hand:
                index = self._rng.choice(at_hand)
                indexes.remove(index)
                return index
        return indexes.popleft()

    def _sources_of(self, version: StagedVersion) -> Sources | None:
        if self._planner is None:
            return None
        if self._sources is None:
            self._sources = Sources(self._planner, version.holdings, self._rng)
        return self._sources

    async def _rescue(self, version: StagedVersion) -> None:
        """Gets overdue chunks elsewhere than from their parents."""
        rescue = Rescue(version, self._rng)
        while not version.is_complete:
            await asyncio.sleep(_RESCUE_EVERY_S)
            overdue = rescue.overdue()
            if self._planner is None:
                continue
            works = [
                self._rescue_one(rescue, version, index, self._planner)
                for index in overdue[:_MAX_RESCUED]
            ]
            await asyncio.gather(*works)

    async def _rescue_one(
        self,
        rescue: Rescue,
        version: StagedVersion,
        index: int,
        planner: Planner,
    ) -> None:
        source = rescue.source(index, planner, self._suspects.now())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_RESCUE_PATIENCE_S):
                match source:
                    case AskHolder(agent_id=agent_id):
                        holder = planner.by_id[agent_id]
                        await self._from_peer(version, index, holder, 0.0)
                    case ReadOutside():
                        await self._from_outside(version, index)
                    case Inquire():
                        await self._inquire(version, index, planner)

    async def _inquire(
        self, version: StagedVersion, index: int, planner: Planner
    ) -> None:
        """Asks one agent for a chunk; its answer tells all that it holds."""
        suspects = self._suspects.now()
        others = [
            other
            for other in planner.participants
            if other.id != self._own_id and other.id not in suspects
        ]
        if others:
            other = self._rng.choice(others)
            await self._from_peer(version, index, other, 0.0)

    async def _try(self, version: StagedVersion, index: int) -> None:
        sources = self._sources_of(version)
        parent = None
        if sources is not None:
            parent = sources.choose(index, self._suspects.now())
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
            held=packed(version.held),
        )
        sources = self._sources_of(version)
        assert sources is not None, "a peer is known by its plan"

        def may_leave() -> bool:
            return bool(version.held[index]) or sources.is_had_nearer(
                index, peer.id, self._suspects.now()
            )

        with sources.asking(peer.id):
            outcome = await self._peers.fetch_chunk(
                peer.address, request, may_leave
            )
        match outcome:
            case PeerData(data=data, held=held):
                self._suspects.clear(peer.id)
                version.holdings.note(peer.id, held)
                self._take(version, index, data, "peer", peer.id)
            case PeerNotYet(held=held):
                version.holdings.note(peer.id, held)
                await asyncio.sleep(_MIN_PAUSE_S)
            case PeerUnaware():
                await self._leave_unaware(peer)
            case PeerFailed(reason=reason):
                metrics.BURST_SOURCE_FAILURES.labels(reason).inc()
                if peer.id not in self._suspects.now():
                    log_event("peer_suspected", peer=peer.id, reason=reason)
                stalled = reason == "stalled"
                self._suspects.add(
                    peer.id, _STALLED_SUSPECT_S if stalled else _SUSPECT_S
                )

    async def _leave_unaware(self, peer: Participant) -> None:
        """Lets a peer that takes no part out, once it had time to hear of it.

        Agents hear of a version within some tenths of a second of each other.
        """
        await asyncio.sleep(_MIN_PAUSE_S)
        since = self._unaware_since.setdefault(peer.id, now_s())
        if now_s() - since >= _HEARS_WITHIN_S:
            del self._unaware_since[peer.id]
            if peer.id not in self._suspects.now():
                log_event("peer_unaware", peer=peer.id)
            self._suspects.add(peer.id, _SUSPECT_S)

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
        return [s for s in self._outside if s.closed_for_s <= 0]

    def _pause_s(self) -> float:
        """Until the first outside source is open again, spread a little."""
        wait_s = min(source.closed_for_s for source in self._outside)
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
