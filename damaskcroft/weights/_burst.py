"""One agent's part in a burst: fetches every chunk of one version.

Chunks that this agent must read from outside have tasks of their own, which
start first. The other chunks are requested from a neighbour if one is known to
hold them, and otherwise from their parents in the trees, with a bounded number
of requests at once. An agent that does not hold a requested chunk yet keeps the
request open, so a chunk moves on as soon as it has arrived and been verified.
Overdue chunks are fetched from other sources: see `_rescue`.
"""

import asyncio
import collections
import dataclasses
import random
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

from damaskcroft._generated import records_pb2
from damaskcroft.clock import now_s
from damaskcroft.observe import log_event, metrics
from damaskcroft.tasks import Signal, cancel_all
from damaskcroft.weights._fetcher import BurstCounts, Fetcher, ReadReason
from damaskcroft.weights._gossip import Gossip
from damaskcroft.weights._manifest_fetcher import ManifestFetcher
from damaskcroft.weights._outside import OutsideSource
from damaskcroft.weights._pacer import Pacer
from damaskcroft.weights._peer_selection import PeerSelector
from damaskcroft.weights._peers import PeerSource
from damaskcroft.weights._planned_reading import PlannedReading
from damaskcroft.weights._planner import Participant, Planner
from damaskcroft.weights._rescue import Rescuer
from damaskcroft.weights._shared_reading import SharedReading
from damaskcroft.weights._store import ChunkStore, StagedVersion
from damaskcroft.weights._suspects import Suspects

_POLL_S = 0.05
# One line a second for each agent; the first missing chunks show which parts of
# the trees are late.
_PROGRESS_INTERVAL_S = 1.0
_MAX_LOGGED_CHUNKS = 8
# A chunk that was late is requested again after this many others: about as many
# as arrive in the time that was spent waiting for it.
_REQUEUE_POSITION = 16
# A task without a chunk to request checks again after this time, because a
# chunk that was in transfer may have been lost.
_REQUEUE_POLL_S = 0.2
# All agents may read a chunk from outside at once if the outside link carries
# these reads within this time: about the time that the news of a chunk takes to
# reach them.
_CONCURRENT_READ_S = 0.5
# Chunks that may be in flight between the outside link and the leaves of the
# trees: some for each hop.
_READ_AHEAD_PER_HOP = 4
_MIN_READ_AHEAD = 8
# Reading more than this beyond the first copy costs more time than it saves,
# where the origin's link has twice the rate of a machine's:
# docs/design/002-burst.md.
_MAX_EXTRA_COPIES = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class BurstOptions:
    """Bounds of one agent's part in a burst.

    Attributes:
        parallel_fetches: chunks requested from peers at once.
        parallel_outside: chunks read from outside at once.
        wait_s: how long a peer may keep a request open.
        paced_by_trees: whether outside reads are paced by the progress of the
            trees. False where the outside link has the rate of a few agents'
            links and may be lost at any moment, because a chunk that is read
            early is then safe.
        outside_bytes_s: rate of the outside link, which all agents share; 0 if
            unknown.
    """

    parallel_fetches: int = 64
    parallel_outside: int = 2
    wait_s: float = 2.0
    paced_by_trees: bool = True
    outside_bytes_s: float = 0.0


class Burst:
    """Fetches one version to this instance.

    Args:
        own_id: id of this agent.
        path: the version's path at the outside sources.
        store: stores the chunks.
        sources: outside sources; the first is preferred.
        peers: client for other agents.
        pacer: paces the reads from outside.
        options: bounds on concurrency and waiting.
        counts: counters of bytes and corrupt chunks.
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
        """No planner is set, and nothing is requested until `run`."""
        self._own_id = own_id
        self._path = path
        self._store = store
        self._outside = sources
        self._peers = peers
        self._pacer = pacer
        self._options = options
        self._counts = counts
        self._planner: Planner | None = None
        self._selector: PeerSelector | None = None
        self._help_share = 0.0
        self._read_ahead = _MIN_READ_AHEAD
        self._claimed: set[int] = set()
        # Signalled when a chunk is to be requested again.
        self._requeued = Signal()
        # Whether the whole fleet reads chunks from outside in turn.
        self._reads_in_turn = False
        self._suspects = Suspects()
        self._outside_slots = asyncio.Semaphore(options.parallel_outside)
        self._rng = random.Random(own_id)

    def set_planner(self, planner: Planner, help_share: float = 0.0) -> None:
        """Sets the planner, at first and when participants join or leave.

        Args:
            planner: chooses each chunk's source.
            help_share: share of the version that this agent may read from
                outside beyond what the planner assigns to it.
        """
        self._planner = planner
        if self._selector is not None:
            self._selector.set_planner(planner)
        self._help_share = help_share
        # Chunks may have another source now.
        self._requeued.notify()
        hops = len(planner.participants).bit_length()
        self._read_ahead = max(_MIN_READ_AHEAD, _READ_AHEAD_PER_HOP * hops)

    async def fetch_manifest(self, digest: str) -> bytes:
        """Fetches the manifest that a record names, from a peer if possible.

        Raises:
            ManifestError: the outside source holds another manifest.
        """
        manifest_fetcher = ManifestFetcher(
            self._path,
            self._outside,
            self._peers,
            lambda: self._parent(0),
            self._suspects,
            self._options.wait_s,
        )
        return await manifest_fetcher.fetch(digest)

    async def run(self, version: StagedVersion) -> None:
        """Fetches every missing chunk; returns when all are held."""
        self._copy_local(version)
        missing = version.missing()
        self._reads_in_turn = self._must_read_in_turn(version)
        # Where agents exchange holdings, which of them reads a chunk may change
        # while the version is being fetched.
        assigned = [
            i
            for i in missing
            if self._options.paced_by_trees and self._parent(i) is None
        ]
        others = [i for i in missing if i not in assigned]
        self._claimed = set()
        indexes = collections.deque(others)
        fetcher = self._fetcher(version)
        rescuer = Rescuer(
            version,
            fetcher,
            lambda: self._selector_for(version),
            self._rng,
            reads_outside=lambda: not self._reads_in_turn,
        )
        jobs = [
            self._read_outside(version, fetcher, assigned, indexes),
            rescuer.run(self._suspects),
            self._tell_progress(version),
            self._gossip(version),
            *(
                self._work(version, fetcher, indexes)
                for _ in range(self._max_requests())
            ),
        ]
        tasks = [asyncio.create_task(work) for work in jobs]
        # The burst ends as soon as the version is complete, whichever task
        # stored the last chunk.
        completion = asyncio.create_task(version.wait_until_complete())
        running = {completion, *tasks}
        try:
            while not completion.done():
                done, running = await asyncio.wait(
                    running, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    task.result()
        finally:
            await cancel_all([completion, *tasks])

    def _fetcher(self, version: StagedVersion) -> Fetcher:
        return Fetcher(
            self._own_id,
            self._path,
            version,
            self._outside,
            self._peers,
            self._pacer,
            self._counts,
            self._suspects,
            self._rng,
        )

    async def _tell_progress(self, version: StagedVersion) -> None:
        """Logs one line a second until the version is complete."""
        while not version.is_complete:
            log_event(
                "burst_progress",
                path=self._path,
                held=version.held_count,
                known=version.holdings.known_count,
                missing=",".join(
                    map(str, version.missing()[:_MAX_LOGGED_CHUNKS])
                ),
                participants=(
                    len(self._planner.participants) if self._planner else 0
                ),
                outside_reads=",".join(
                    f"{reason}:{count}"
                    for reason, count in self._counts.outside_reads.items()
                ),
                repeated_reads=self._counts.repeated_reads,
                origin_bytes=self._counts.origin_bytes,
                peer_bytes=self._counts.peer_bytes,
                sent_bytes=self._counts.sent_bytes,
                suspects=",".join(sorted(self._suspects.current_ids())),
            )
            await asyncio.sleep(_PROGRESS_INTERVAL_S)

    async def _gossip(self, version: StagedVersion) -> None:
        """Gossips if agents read chunks from outside beyond their share."""
        if self._options.paced_by_trees:
            return
        gossip = Gossip(self._own_id, version, self._peers, self._rng)
        await gossip.run(lambda: self._planner, self._suspects)

    def _max_requests(self) -> int:
        """Chunks to request at once: no more than can be in flight."""
        in_flight = self._read_ahead + _MIN_READ_AHEAD
        return min(self._options.parallel_fetches, in_flight)

    def _must_read_in_turn(self, version: StagedVersion) -> bool:
        """Whether concurrent reads by all agents would all be late."""
        if self._options.paced_by_trees:
            return False
        return not self._fits_outside_link(version, 1)

    def _should_take_turns(
        self, version: StagedVersion, fetcher: Fetcher
    ) -> bool:
        """Whether reading by the plan must end.

        The source may have been unavailable, or more agents may be known by
        now.
        """
        return self._must_read_in_turn(version) or (
            fetcher.is_outside_unavailable
            and self._would_overload_outside(version)
        )

    def _would_overload_outside(self, version: StagedVersion) -> bool:
        """Whether concurrent reads of all unread chunks would all be late."""
        unread = sum(
            not version.holdings.is_held_anywhere(index)
            for index in version.missing()
        )
        return not self._fits_outside_link(version, unread)

    def _fits_outside_link(self, version: StagedVersion, chunks: int) -> bool:
        """Whether the outside link soon carries the chunks to all agents."""
        if self._planner is None or not self._options.outside_bytes_s:
            return True
        agents = len(self._planner.participants)
        chunk_bytes = version.manifest.chunks[0].size_bytes
        carried_bytes = self._options.outside_bytes_s * _CONCURRENT_READ_S
        return chunks * agents * chunk_bytes <= carried_bytes

    def _parent(self, index: int) -> Participant | None:
        if self._planner is None:
            return None
        return self._planner.parent(index, self._suspects.current_ids())

    def _copy_local(self, version: StagedVersion) -> None:
        """Copies the chunks that an older version already holds."""
        for index in version.missing():
            data = self._store.find_chunk(version.manifest.chunks[index].digest)
            if data is not None and version.write_chunk(index, data):
                self._counts.local_bytes += len(data)
                metrics.BURST_BYTES.labels("local").inc(len(data))

    async def _read_outside(
        self,
        version: StagedVersion,
        fetcher: Fetcher,
        assigned: list[int],
        indexes: collections.deque[int],
    ) -> None:
        """Reads the assigned chunks, or all missing ones in turn.

        When the outside source has been unavailable, all agents miss the same
        chunks, and without turns all would read these as soon as it is back.
        """
        if self._options.paced_by_trees:
            await self._read_planned(version, fetcher, assigned, list(indexes))
            return
        if not self._reads_in_turn:
            if await _finishes_before(
                self._read_with(PlannedReading, version, fetcher),
                lambda: self._should_take_turns(version, fetcher),
            ):
                return
            log_event("outside_read_by_turns", path=self._path)
            self._reads_in_turn = True
            self._requeued.notify()
        await self._read_with(SharedReading, version, fetcher)

    async def _read_planned(
        self,
        version: StagedVersion,
        fetcher: Fetcher,
        assigned: list[int],
        others: list[int],
    ) -> None:
        """Reads the assigned chunks, then others that are far from arriving."""
        indexes = iter(assigned)
        async with asyncio.TaskGroup() as group:
            for _ in range(self._options.parallel_outside):
                group.create_task(self._read_own(version, fetcher, indexes))
        budget_bytes = self._help_share * version.size_bytes
        for index in reversed(others):
            budget_bytes -= version.manifest.chunks[index].size_bytes
            if budget_bytes < 0:
                return
            if index in self._claimed:
                continue
            self._claimed.add(index)
            while not version.held[index]:
                await fetcher.read_from_outside(index, ReadReason.HELP)

    async def _read_with(
        self,
        kind: type[PlannedReading] | type[SharedReading],
        version: StagedVersion,
        fetcher: Fetcher,
    ) -> None:
        reading = kind(
            version,
            fetcher,
            lambda: self._planner,
            self._suspects,
            self._rng,
        )
        async with asyncio.TaskGroup() as group:
            for _ in range(self._options.parallel_outside):
                group.create_task(reading.run())

    async def _read_own(
        self,
        version: StagedVersion,
        fetcher: Fetcher,
        indexes: Iterator[int],
    ) -> None:
        """Reads the assigned chunks at the pace of the whole fleet.

        If all agents read at once, all chunks would share the outside link's
        rate and arrive late and at the same time. A chunk is therefore read
        when one `_read_ahead` places before it has arrived over the tree.
        """
        for index in indexes:
            await self._wait_for_progress(version, index - self._read_ahead)
            while not version.held[index]:
                await self._attempt(version, fetcher, index)

    async def _wait_for_progress(
        self, version: StagedVersion, index: int
    ) -> None:
        """Waits for a chunk as long as other chunks keep arriving."""
        if index < 0:
            return
        held_count = -1
        while held_count < version.held_count:
            held_count = version.held_count
            if await version.wait_for_chunk(index, self._options.wait_s):
                return

    async def _work(
        self,
        version: StagedVersion,
        fetcher: Fetcher,
        indexes: collections.deque[int],
    ) -> None:
        """Requests one chunk after another; a late one is requeued.

        Chunks of a slow agent therefore do not delay requests for other chunks.
        """
        while not version.is_complete:
            index = self._next_index(version, fetcher, indexes)
            if index is None:
                # The other chunks are being requested, and may be requeued.
                await self._requeued.wait_next(_REQUEUE_POLL_S)
                continue
            if version.held[index]:
                continue
            self._claimed.add(index)
            asked_at = now_s()
            while not version.held[index]:
                await self._attempt(version, fetcher, index)
                if now_s() - asked_at > self._options.wait_s:
                    break
            if not version.held[index]:
                indexes.insert(_REQUEUE_POSITION, index)
                self._requeued.notify()

    def _next_index(
        self,
        version: StagedVersion,
        fetcher: Fetcher,
        indexes: collections.deque[int],
    ) -> int | None:
        """The next chunk to request: one that a neighbour holds, if any.

        Chunks are chosen at random, so that neighbours soon hold different ones
        to send to each other. Chunks that are in transfer already are left for
        later.
        """
        waiting = [i for i in indexes if i not in fetcher.transfers]
        if not waiting:
            return None
        selector = self._selector_for(version)
        held_nearby: list[int] = []
        if selector is not None:
            held_nearby = selector.held_nearby(
                waiting, self._suspects.current_ids()
            )
        index: int | None
        if held_nearby:
            index = self._rng.choice(held_nearby)
        else:
            index = next(
                (i for i in waiting if not self._is_own(version, i)), None
            )
        if index is not None:
            indexes.remove(index)
        return index

    def _is_own(self, version: StagedVersion, index: int) -> bool:
        """Whether a chunk belongs to the share that this agent reads itself."""
        if self._options.paced_by_trees or self._reads_in_turn:
            return False
        return self._source_of(version, index) is None

    def _selector_for(self, version: StagedVersion) -> PeerSelector | None:
        if self._planner is None:
            return None
        if self._selector is None:
            self._selector = PeerSelector(
                self._planner, version.holdings, self._rng
            )
        return self._selector

    def _source_of(
        self, version: StagedVersion, index: int
    ) -> Participant | None:
        """The agent to request a chunk from; None to read it from outside."""
        selector = self._selector_for(version)
        if selector is None:
            return None
        return selector.choose(index, self._suspects.current_ids())

    async def _attempt(
        self, version: StagedVersion, fetcher: Fetcher, index: int
    ) -> None:
        selector = self._selector_for(version)
        peer = self._source_of(version, index)
        if peer is not None and selector is not None:
            wait_s = self._options.wait_s
            await fetcher.fetch_from_peer(index, peer, selector, wait_s)
            return
        if not self._options.paced_by_trees:
            # The reading of shares or turns reads it from outside, here or at
            # another agent.
            await version.wait_for_chunk(index, _POLL_S)
            return
        async with self._outside_slots:
            if not version.held[index]:
                await fetcher.read_from_outside(index, ReadReason.PLANNED)


async def _finishes_before(
    work: Coroutine[Any, Any, None], should_stop: Callable[[], bool]
) -> bool:
    """Runs work until it ends (True) or a condition holds (False)."""
    working = asyncio.create_task(work)
    try:
        while not working.done():
            if should_stop():
                return False
            await asyncio.wait({working}, timeout=_POLL_S)
        working.result()
        return True
    finally:
        await cancel_all([working])


def help_share(
    policy: records_pb2.BurstPolicy, copies_cap: float, agents: int
) -> float:
    """Share of a version that each agent may read beyond the first copy.

    The first copy is distributed over the trees under every policy; further
    reads from outside only help with the chunks that are furthest from
    arriving.
    """
    if policy == records_pb2.FEWEST_ORIGIN_BYTES:
        return 0.0
    return min(copies_cap - 1, _MAX_EXTRA_COPIES) / agents
