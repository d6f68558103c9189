"""Which chunks are much later than others, and whom to ask for them.

Written for agents that are up and answer, but on a link at a fraction of its
rate, or that have not heard of a version yet: what they were to read from
outside or to give on holds all others up.
"""

import asyncio
import dataclasses
import functools
import random
from collections.abc import Callable, Collection

from damaskcroft.clock import now_s
from damaskcroft.tasks import end_all
from damaskcroft.weights._fetcher import Fetcher
from damaskcroft.weights._planner import Planner
from damaskcroft.weights._sources import Sources
from damaskcroft.weights._store import StagedVersion
from damaskcroft.weights._suspects import Suspects

__all__ = ["AskHolder", "Inquire", "ReadOutside", "Rescue", "Rescuer"]

_RESCUE_EVERY_S = 0.2
# No more at once than a link of 3.65 Mbit/s carries in the patience below.
_MAX_RESCUED = 8
# A chunk takes up to a second beside a full window of others; cut sooner, what
# has come of it is lost.
_RESCUE_PATIENCE_S = 1.5
# A holder that has not given a chunk in that time is left aside in looking for
# overdue ones: others may read them outside meanwhile.
_SLOW_S = 2.0

# Chunks that came after a missing one before it counts as overdue: more than
# are on their way at once along one tree's branches.
_LATER_CHUNKS = 16
# Outside links are faster than those of agents: with this share of a version
# here, all of it should be with some agent.
_READ_BY_THEN = 0.6
# A chunk that nobody is known to hold is read from outside by its planned
# reader; the next in its order takes over after this time, and so on. Twice
# what a chunk takes from an outside link that ten agents share.
_TURN_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class AskHolder:
    """An agent is known to hold the chunk."""

    agent_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadOutside:
    """Nobody is known to hold the chunk, and it is this agent's turn."""


@dataclasses.dataclass(frozen=True, slots=True)
class Inquire:
    """Somebody else is to read the chunk first: ask who has."""


class Rescue:
    """Looks for overdue chunks of one version, and chooses their sources."""

    __slots__ = (
        "_held_before",
        "_overdue_since",
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
        """Looks at nothing yet.

        Args:
            version: what is wanted.
            rng: chooses among holders.
            reads_outside: whether chunks are read from outside here now; else
                `SharedReading` alone does so.
        """
        self._version = version
        self._reads_outside = reads_outside
        self._rng = rng
        self._held_before = 0
        self._overdue_since: dict[int, float] = {}

    def overdue(self) -> list[int]:
        """Chunks that are overdue now; to be called at regular times.

        When nothing at all has come since the last look, all that is missing
        is overdue.
        """
        version = self._version
        still = version.held_count == self._held_before > 0
        self._held_before = version.held_count
        found = version.missing() if still else self._late()
        now = now_s()
        self._overdue_since = {
            index: self._overdue_since.get(index, now) for index in found
        }
        return found

    def _late(self) -> list[int]:
        version = self._version
        late = set(_passed_over(version))
        if version.held_count >= _READ_BY_THEN * len(version.held):
            late.update(
                index
                for index in version.missing()
                if not version.holdings.holders(index)
            )
        return sorted(late)

    def source(
        self, index: int, planner: Planner, suspects: Collection[str]
    ) -> AskHolder | ReadOutside | Inquire:
        """Where an overdue chunk may be had.

        Args:
            index: the chunk.
            planner: knows all agents, and in which order they read a chunk.
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
            return Inquire()
        waited_s = now_s() - self._overdue_since.get(index, now_s())
        if waited_s >= planner.turn(index, frozenset(suspects)) * _TURN_S:
            return ReadOutside()
        return Inquire()


def _passed_over(version: StagedVersion) -> list[int]:
    """Missing chunks after which many others have come."""
    later = version.held_count
    overdue = []
    for index, held in enumerate(version.held):
        if held:
            later -= 1
        elif later >= _LATER_CHUNKS:
            overdue.append(index)
    return overdue


class Rescuer:
    """Gets overdue chunks elsewhere than from their planned sources.

    Args:
        version: what is wanted.
        fetcher: gets a chunk from one place.
        sources: whom there is to ask; None before anybody is known.
        rng: chooses among equals.
        reads_outside: see `Rescue`.
    """

    __slots__ = (
        "_failure",
        "_fetcher",
        "_rescue",
        "_rng",
        "_running_by_index",
        "_slow",
        "_sources",
        "_version",
    )

    def __init__(
        self,
        version: StagedVersion,
        fetcher: Fetcher,
        sources: Callable[[], Sources | None],
        rng: random.Random,
        *,
        reads_outside: Callable[[], bool],
    ):
        """See the class."""
        self._version = version
        self._fetcher = fetcher
        self._sources = sources
        self._rng = rng
        self._rescue = Rescue(version, rng, reads_outside=reads_outside)
        self._slow = Suspects()
        self._running_by_index: dict[int, asyncio.Task[None]] = {}
        self._failure: BaseException | None = None

    async def run(self, suspects: Suspects) -> None:
        """Looks for overdue chunks until all are held.

        Raises:
            OSError: a chunk can't be kept.
        """
        try:
            while not self._version.is_complete:
                await asyncio.sleep(_RESCUE_EVERY_S)
                if self._failure is not None:
                    raise self._failure
                self._begin(self._rescue.overdue(), suspects)
        finally:
            await end_all(list(self._running_by_index.values()))

    def _begin(self, overdue: list[int], suspects: Suspects) -> None:
        sources = self._sources()
        if sources is None:
            return
        aside = suspects.now() | self._slow.now()
        for index in overdue:
            if len(self._running_by_index) >= _MAX_RESCUED:
                return
            if index in self._running_by_index:
                continue
            if index in self._fetcher.arrivals:
                continue
            task = asyncio.create_task(self._get(index, sources, aside))
            self._running_by_index[index] = task
            task.add_done_callback(functools.partial(self._ended, index))

    def _ended(self, index: int, task: asyncio.Task[None]) -> None:
        del self._running_by_index[index]
        if not task.cancelled() and task.exception() is not None:
            self._failure = task.exception()

    async def _get(
        self, index: int, sources: Sources, aside: frozenset[str]
    ) -> None:
        source = self._rescue.source(index, sources.planner, aside)
        try:
            async with asyncio.timeout(_RESCUE_PATIENCE_S):
                match source:
                    case AskHolder(agent_id=agent_id):
                        holder = sources.planner.by_id[agent_id]
                        await self._fetcher.from_peer(
                            index, holder, sources, 0.0
                        )
                    case ReadOutside():
                        await self._fetcher.from_outside(index)
                    case Inquire():
                        await self._inquire(index, sources, aside)
        except TimeoutError:
            if isinstance(source, AskHolder):
                self._slow.add(source.agent_id, _SLOW_S)

    async def _inquire(
        self, index: int, sources: Sources, aside: frozenset[str]
    ) -> None:
        """Asks one agent for a chunk; its answer tells all that it holds."""
        planner = sources.planner
        others = [
            other
            for other in planner.participants
            if other.id != planner.own_id and other.id not in aside
        ]
        if others:
            other = self._rng.choice(others)
            await self._fetcher.from_peer(index, other, sources, 0.0)
