"""One agent's part in a burst: getting every chunk of one version.

Chunks that this agent must read from outside go first and on their own. Of the
others, those that a neighbour is known to hold are asked of it, and the rest of
their parents in the trees, a bounded number at once. Whoever holds a chunk not
yet keeps the question open, so a chunk moves on as soon as it has arrived and
been checked. What is late is looked for elsewhere: see `_rescue`.
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
from damaskcroft.tasks import Signal, end_all
from damaskcroft.weights._fetcher import BurstCounts, Fetcher
from damaskcroft.weights._gossip import Gossip
from damaskcroft.weights._late_reading import LateReading
from damaskcroft.weights._named_manifest import NamedManifest
from damaskcroft.weights._outside import OutsideSource
from damaskcroft.weights._pacer import Pacer
from damaskcroft.weights._peers import PeerSource
from damaskcroft.weights._planner import Participant, Planner
from damaskcroft.weights._reading import SharedReading
from damaskcroft.weights._rescue import Rescuer
from damaskcroft.weights._sources import Sources
from damaskcroft.weights._store import ChunkStore, StagedVersion
from damaskcroft.weights._suspects import Suspects

_LOOK_EVERY_S = 0.05
# A line a second for each agent; the first of the missing chunks tell which
# parts of the trees are late.
_PROGRESS_EVERY_S = 1.0
_SHOWN = 8
# A chunk that was late is asked for again after so many others: about as many
# as come in the time that it was waited for.
_PUT_BACK_PLACES = 16
# Who has nothing to ask for looks again after this time: a chunk that was on
# its way may have been lost.
_PUT_BACK_WITHIN_S = 0.2
# Agents may all read a chunk from outside at once if its link carries these in
# that time: about what the word of a chunk takes to reach them.
_AT_ONCE_S = 0.5
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
        outside_bytes_s: rate of the outside link, which all agents share; 0
            if unknown.
    """

    parallel_fetches: int = 64
    parallel_outside: int = 2
    wait_s: float = 2.0
    in_step: bool = True
    outside_bytes_s: float = 0.0


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
        # Given when a chunk is to be asked for again.
        self._put_back = Signal()
        # Whether chunks are read from outside by turns of the whole fleet.
        self._by_turns = False
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
        self._sources = None
        self._help_share = help_share
        hops = len(planner.participants).bit_length()
        self._read_ahead = max(_MIN_READ_AHEAD, _READ_AHEAD_PER_HOP * hops)

    async def fetch_manifest(self, digest: str) -> bytes:
        """Gets the manifest that a record names, from a peer if it can.

        Raises:
            ManifestError: the outside source holds another one.
        """
        named = NamedManifest(
            self._path,
            self._outside,
            self._peers,
            lambda: self._parent(0),
            self._suspects,
            self._options.wait_s,
        )
        return await named.fetch(digest)

    async def run(self, version: StagedVersion) -> None:
        """Gets every missing chunk; returns when all are held."""
        self._copy_local(version)
        missing = version.missing()
        self._by_turns = self._needs_turns(version)
        # By turns anybody may read any chunk, and all are looked for.
        own = [
            i for i in missing if not self._by_turns and self._parent(i) is None
        ]
        others = [i for i in missing if i not in own]
        self._taken = set()
        indexes = collections.deque(others)
        fetcher = self._fetcher(version)
        rescuer = Rescuer(
            version,
            fetcher,
            lambda: self._sources_of(version),
            self._rng,
            reads_outside=lambda: not self._by_turns,
        )
        works = [
            self._read_outside(version, fetcher, own, indexes),
            rescuer.run(self._suspects),
            self._tell_progress(version),
            self._gossip(version),
            *(
                self._work(version, fetcher, indexes)
                for _ in range(self._questions())
            ),
        ]
        tasks = [asyncio.create_task(work) for work in works]
        # What came another way is no longer waited for.
        whole = asyncio.create_task(version.wait_until_complete())
        running = {whole, *tasks}
        try:
            while not whole.done():
                done, running = await asyncio.wait(
                    running, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    task.result()
        finally:
            await end_all([whole, *tasks])

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
        """One line a second while chunks come."""
        while not version.is_complete:
            log_event(
                "burst_progress",
                path=self._path,
                held=version.held_count,
                known=version.holdings.known_count,
                missing=",".join(map(str, version.missing()[:_SHOWN])),
                origin_bytes=self._counts.origin_bytes,
                peer_bytes=self._counts.peer_bytes,
                sent_bytes=self._counts.sent_bytes,
                suspects=",".join(sorted(self._suspects.now())),
            )
            await asyncio.sleep(_PROGRESS_EVERY_S)

    async def _gossip(self, version: StagedVersion) -> None:
        """Where chunks are read from outside beyond one's share."""
        if self._options.in_step:
            return
        while self._planner is None:
            await asyncio.sleep(_LOOK_EVERY_S)
        gossip = Gossip(self._own_id, version, self._peers, self._rng)
        await gossip.run(self._planner, self._suspects)

    def _questions(self) -> int:
        """Chunks to ask for at once: no more than can be on their way."""
        on_their_way = self._read_ahead + _MIN_READ_AHEAD
        return min(self._options.parallel_fetches, on_their_way)

    def _may_take_turns(self) -> bool:
        """Whether agents tell each other what they hold, and who they are."""
        return not self._options.in_step and self._planner is not None

    def _needs_turns(self, version: StagedVersion) -> bool:
        """Whether all agents reading at once would get their chunks late."""
        return self._may_take_turns() and not self._are_carried(version, 1)

    def _would_collide(self, version: StagedVersion) -> bool:
        """Whether all agents would be late by reading what nobody holds."""
        unread = sum(
            not version.holdings.is_known(index) for index in version.missing()
        )
        return not self._are_carried(version, unread)

    def _are_carried(self, version: StagedVersion, chunks: int) -> bool:
        """Whether the outside link soon carries so many to each agent."""
        if self._planner is None or not self._options.outside_bytes_s:
            return True
        agents = len(self._planner.participants)
        chunk_bytes = version.manifest.chunks[0].size_bytes
        carried_bytes = self._options.outside_bytes_s * _AT_ONCE_S
        return chunks * agents * chunk_bytes <= carried_bytes

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
        self,
        version: StagedVersion,
        fetcher: Fetcher,
        own: list[int],
        indexes: collections.deque[int],
    ) -> None:
        """Reads by the plan, or in turn with all others.

        Once the outside source has been away, everybody misses the same chunks,
        and all would read these as soon as it is back.
        """
        if not self._by_turns:
            planned = self._read_planned(version, fetcher, own, list(indexes))
            if not self._may_take_turns():
                await planned
                return
            if await _ends_before(
                planned,
                lambda: (
                    fetcher.outside_is_away and self._would_collide(version)
                ),
            ):
                return
            log_event("outside_read_by_turns", path=self._path)
            self._by_turns = True
            # Others may read them now.
            indexes.extend(index for index in own if not version.held[index])
            self._put_back.give()
        await self._read_shared(version, fetcher)

    async def _read_planned(
        self,
        version: StagedVersion,
        fetcher: Fetcher,
        own: list[int],
        others: list[int],
    ) -> None:
        """Reads this agent's chunks, then helps with those far off yet."""
        indexes = iter(own)
        async with asyncio.TaskGroup() as group:
            for _ in range(self._options.parallel_outside):
                group.create_task(self._read_own(version, fetcher, indexes))
        if not self._options.in_step and self._planner is not None:
            late = LateReading(version, fetcher, self._planner, self._suspects)
            await late.run()
            return
        budget_bytes = self._help_share * version.size_bytes
        for index in reversed(others):
            budget_bytes -= version.manifest.chunks[index].size_bytes
            if budget_bytes < 0:
                return
            if index in self._taken:
                continue
            self._taken.add(index)
            while not version.held[index]:
                await fetcher.from_outside(index)

    async def _read_shared(
        self, version: StagedVersion, fetcher: Fetcher
    ) -> None:
        reading = SharedReading(
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
        """Reads in step with the whole fleet.

        If all agents read at once, the outside link's rate would be shared
        by all chunks, and all would arrive late and together. So a chunk is
        read when one some way before it has come round by the tree.
        """
        for index in indexes:
            if self._options.in_step:
                await self._wait_in_step(version, index - self._read_ahead)
            while not version.held[index]:
                await self._try(version, fetcher, index)

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
        self,
        version: StagedVersion,
        fetcher: Fetcher,
        indexes: collections.deque[int],
    ) -> None:
        """Asks for one chunk after another; one that is late is put back.

        So chunks that a slow agent was to give don't keep others from being
        asked for.
        """
        while not version.is_complete:
            index = self._pick(version, fetcher, indexes)
            if index is None:
                # Others are asked for by now, and may be put back.
                await self._put_back.next(_PUT_BACK_WITHIN_S)
                continue
            if version.held[index]:
                continue
            self._taken.add(index)
            asked_at = now_s()
            while not version.held[index]:
                await self._try(version, fetcher, index)
                if now_s() - asked_at > self._options.wait_s:
                    break
            if not version.held[index]:
                indexes.insert(_PUT_BACK_PLACES, index)
                self._put_back.give()

    def _pick(
        self,
        version: StagedVersion,
        fetcher: Fetcher,
        indexes: collections.deque[int],
    ) -> int | None:
        """The next chunk to ask for: one that a neighbour holds, if any.

        They are taken at random, so that neighbours soon hold different ones
        to give to each other. What is on its way already is left for later.
        """
        waiting = [i for i in indexes if i not in fetcher.arrivals]
        if not waiting:
            return None
        sources = self._sources_of(version)
        at_hand: list[int] = []
        if sources is not None:
            at_hand = sources.at_hand(waiting, self._suspects.now())
        index = self._rng.choice(at_hand) if at_hand else waiting[0]
        indexes.remove(index)
        return index

    def _sources_of(self, version: StagedVersion) -> Sources | None:
        if self._planner is None:
            return None
        if self._sources is None:
            self._sources = Sources(self._planner, version.holdings, self._rng)
        return self._sources

    async def _try(
        self, version: StagedVersion, fetcher: Fetcher, index: int
    ) -> None:
        sources = self._sources_of(version)
        parent = None
        if sources is not None:
            parent = sources.choose(index, self._suspects.now())
        if parent is not None and sources is not None:
            wait_s = self._options.wait_s
            await fetcher.from_peer(index, parent, sources, wait_s)
            return
        if self._by_turns:
            # Read in turn with all others, or found with one of them.
            await version.wait_for_chunk(index, _LOOK_EVERY_S)
            return
        async with self._outside_slots:
            if not version.held[index]:
                await fetcher.from_outside(index)


async def _ends_before(
    work: Coroutine[Any, Any, None], is_over: Callable[[], bool]
) -> bool:
    """Whether work ends before a condition holds, which ends it otherwise."""
    working = asyncio.create_task(work)
    try:
        while not working.done():
            if is_over():
                return False
            await asyncio.wait({working}, timeout=_LOOK_EVERY_S)
        working.result()
        return True
    finally:
        await end_all([working])


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
