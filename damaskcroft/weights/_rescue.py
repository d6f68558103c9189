"""Detects overdue chunks and fetches them from other sources.

Intended for agents that are up and answer, but have a link at a fraction of its
rate or have not learned of a version yet: the chunks that they are to read from
outside or to pass on delay all other agents.
"""

import asyncio
import dataclasses
import functools
import random
from collections.abc import Callable, Collection

from damaskcroft.clock import now_s
from damaskcroft.tasks import cancel_all
from damaskcroft.weights._fetcher import Fetcher, ReadReason
from damaskcroft.weights._peer_selection import PeerSelector
from damaskcroft.weights._planner import Planner
from damaskcroft.weights._store import StagedVersion
from damaskcroft.weights._suspects import Suspects

__all__ = ["AskHolder", "OverdueChunks", "QueryAgent", "ReadOutside", "Rescuer"]

_CHECK_INTERVAL_S = 0.2
# Overdue chunks fetched at once: no more than a link of 3.65 Mbit/s carries
# within the time-out below.
_MAX_CONCURRENT_FETCHES = 8
# A chunk takes up to a second beside a full window of others; a shorter
# time-out would discard what has been received of it.
_FETCH_TIMEOUT_S = 1.5
# A holder that has not sent a chunk within the time-out is not asked for
# overdue chunks for this long; other agents may read them from outside
# meanwhile.
_SLOW_HOLDER_S = 2.0

# A missing chunk counts as overdue when this many later chunks have arrived:
# more than are in flight at once along the branches of one tree.
_MIN_LATER_CHUNKS = 16
# Outside links are faster than those of agents: when this share of a version is
# held here, some agent should hold each of its chunks.
_ALL_READ_SHARE = 0.6
# A chunk that no agent is known to hold is read from outside by its planned
# reader; the next agent in its order takes over after this time, and so on.
# Twice the transfer time of a chunk on an outside link that ten agents share.
_TAKEOVER_DELAY_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class AskHolder:
    """An agent is known to hold the chunk: request it there."""

    agent_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadOutside:
    """No agent is known to hold the chunk, and this agent may read it."""


@dataclasses.dataclass(frozen=True, slots=True)
class QueryAgent:
    """Another agent is to read the chunk first: ask one what it holds."""


class OverdueChunks:
    """Detects overdue chunks of one version and chooses their sources."""

    __slots__ = (
        "_overdue_since",
        "_previous_held_count",
        "_reads_outside",
        "_rng",
        "_version",
    )

    def __init__(
        self,
        version: StagedVersion,
        rng: random.Random,
        *,
        reads_outside: Callable[[], bool],
    ):
        """No chunk is overdue at first.

        Args:
            version: the version being fetched.
            rng: chooses among holders.
            reads_outside: whether overdue chunks are read from outside here
                now; else only `SharedReading` does so.
        """
        self._version = version
        self._reads_outside = reads_outside
        self._rng = rng
        self._previous_held_count = 0
        self._overdue_since: dict[int, float] = {}

    def overdue(self) -> list[int]:
        """Returns the chunks that are overdue; to be called periodically.

        When no chunk at all has arrived since the last call, all missing chunks
        are overdue.
        """
        version = self._version
        has_stalled = version.held_count == self._previous_held_count > 0
        self._previous_held_count = version.held_count
        found = version.missing() if has_stalled else self._late_chunks()
        now = now_s()
        self._overdue_since = {
            index: self._overdue_since.get(index, now) for index in found
        }
        return found

    def _late_chunks(self) -> list[int]:
        version = self._version
        late = set(_overtaken_chunks(version))
        if version.held_count >= _ALL_READ_SHARE * len(version.held):
            late.update(
                index
                for index in version.missing()
                if not version.holdings.holders(index)
            )
        return sorted(late)

    def choose_source(
        self, index: int, planner: Planner, suspects: Collection[str]
    ) -> AskHolder | ReadOutside | QueryAgent:
        """Chooses the source of an overdue chunk.

        Args:
            index: index of the chunk.
            planner: knows all agents, and the order in which they read a chunk.
            suspects: agents that do not answer now.
        """
        holders = [
            agent_id
            for agent_id in self._version.holdings.holders(index)
            if agent_id not in suspects and agent_id in planner.domain_by_id
        ]
        own_domain = planner.domain_by_id[planner.own_id]
        near = [h for h in holders if planner.domain_by_id[h] == own_domain]
        if holders:
            return AskHolder(self._rng.choice(near or holders))
        if not self._reads_outside():
            return QueryAgent()
        waited_s = now_s() - self._overdue_since.get(index, now_s())
        if (
            waited_s
            >= planner.reader_rank(index, frozenset(suspects))
            * _TAKEOVER_DELAY_S
        ):
            return ReadOutside()
        return QueryAgent()


def _overtaken_chunks(version: StagedVersion) -> list[int]:
    """Missing chunks after which many later ones have arrived."""
    later = version.held_count
    overdue = []
    for index, held in enumerate(version.held):
        if held:
            later -= 1
        elif later >= _MIN_LATER_CHUNKS:
            overdue.append(index)
    return overdue


class Rescuer:
    """Fetches overdue chunks from other sources than the planned ones.

    Args:
        version: the version being fetched.
        fetcher: fetches a chunk from one source.
        selector: returns the peer selector; None before the participants are
            known.
        rng: chooses among equally suitable agents.
        reads_outside: as for `OverdueChunks`.
    """

    __slots__ = (
        "_failure",
        "_fetcher",
        "_overdue",
        "_rng",
        "_running_by_index",
        "_selector",
        "_slow_holders",
        "_version",
    )

    def __init__(
        self,
        version: StagedVersion,
        fetcher: Fetcher,
        selector: Callable[[], PeerSelector | None],
        rng: random.Random,
        *,
        reads_outside: Callable[[], bool],
    ):
        """Fetches nothing until `run` is called."""
        self._version = version
        self._fetcher = fetcher
        self._selector = selector
        self._rng = rng
        self._overdue = OverdueChunks(version, rng, reads_outside=reads_outside)
        self._slow_holders = Suspects()
        self._running_by_index: dict[int, asyncio.Task[None]] = {}
        self._failure: BaseException | None = None

    async def run(self, suspects: Suspects) -> None:
        """Fetches overdue chunks until all chunks are held.

        Raises:
            OSError: a chunk can't be stored.
        """
        try:
            while not self._version.is_complete:
                await asyncio.sleep(_CHECK_INTERVAL_S)
                if self._failure is not None:
                    raise self._failure
                self._start_fetches(self._overdue.overdue(), suspects)
        finally:
            await cancel_all(list(self._running_by_index.values()))

    def _start_fetches(self, overdue: list[int], suspects: Suspects) -> None:
        selector = self._selector()
        if selector is None:
            return
        excluded = suspects.current_ids() | self._slow_holders.current_ids()
        for index in overdue:
            if len(self._running_by_index) >= _MAX_CONCURRENT_FETCHES:
                return
            if index in self._running_by_index:
                continue
            if index in self._fetcher.transfers:
                continue
            task = asyncio.create_task(self._get(index, selector, excluded))
            self._running_by_index[index] = task
            task.add_done_callback(functools.partial(self._fetch_done, index))

    def _fetch_done(self, index: int, task: asyncio.Task[None]) -> None:
        del self._running_by_index[index]
        if not task.cancelled() and task.exception() is not None:
            self._failure = task.exception()

    async def _get(
        self, index: int, selector: PeerSelector, excluded: frozenset[str]
    ) -> None:
        source = self._overdue.choose_source(index, selector.planner, excluded)
        try:
            async with asyncio.timeout(_FETCH_TIMEOUT_S):
                match source:
                    case AskHolder(agent_id=agent_id):
                        holder = selector.planner.by_id[agent_id]
                        await self._fetcher.fetch_from_peer(
                            index, holder, selector, 0.0
                        )
                    case ReadOutside():
                        await self._fetcher.read_from_outside(
                            index, ReadReason.OVERDUE
                        )
                    case QueryAgent():
                        await self._query_agent(index, selector, excluded)
        except TimeoutError:
            if isinstance(source, AskHolder):
                self._slow_holders.add(source.agent_id, _SLOW_HOLDER_S)

    async def _query_agent(
        self, index: int, selector: PeerSelector, excluded: frozenset[str]
    ) -> None:
        """Requests a chunk from one agent, to learn what it holds."""
        planner = selector.planner
        others = [
            other
            for other in planner.participants
            if other.id != planner.own_id and other.id not in excluded
        ]
        if others:
            other = self._rng.choice(others)
            await self._fetcher.fetch_from_peer(index, other, selector, 0.0)
