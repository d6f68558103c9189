"""Which chunks an agent reads from outside, and when.

The outside source's link is the narrowest part of a burst, and all agents share
it. If each read its share at once, all chunks would arrive late and together;
so only the first chunks that nobody is known to hold yet are read, by their
planned readers. What a reader is late with, because it is frozen, behind a
narrow link or gone, is taken over by others in turn.

The source may be lost and return. Then everybody misses the same chunks: their
readers go on trying, and all others together try only a few times a second, so
that the source's whole rate goes into chunks that nobody else is reading.
"""

import asyncio
import collections
import itertools
import random
import statistics
from collections.abc import Callable, Iterator

from damaskcroft.clock import now_s
from damaskcroft.weights._fetcher import Fetcher
from damaskcroft.weights._planner import Planner
from damaskcroft.weights._store import StagedVersion
from damaskcroft.weights._suspects import Suspects

__all__ = ["SharedReading"]

# Chunks that may be read at once by all agents: as many as a source gives while
# the word of one spreads, so that its link stays full.
_AT_ONCE = 16
# A chunk is late after this many times what the last ones took to be read, the
# word of them included; before any has come, about so long.
_LATE_TIMES = 1.5
_LAST_READ = 16
_FIRST_READ_S = 0.8
_MIN_LATE_S, _MAX_LATE_S = 0.4, 3.0
# At least between the agents that may take a chunk over: rounds of gossip.
_MIN_TURN_S = 0.2
# After a try in vain an agent leaves others' chunks alone for this long, times
# the number of agents.
_RETRY_S_PER_AGENT = 0.2
_LOOK_EVERY_S = 0.03


class SharedReading:
    """Reads, together with the other agents, what nobody holds yet.

    Args:
        version: what is wanted.
        fetcher: reads.
        planner: knows who is to read what; None before anybody is known.
        suspects: agents that don't answer; their turns are left out.
        rng: spreads tries.
    """

    __slots__ = (
        "_fetcher",
        "_has_failed",
        "_may_take_over_at",
        "_planner",
        "_rng",
        "_suspects",
        "_took_s",
        "_unread_since",
        "_version",
    )

    def __init__(
        self,
        version: StagedVersion,
        fetcher: Fetcher,
        planner: Callable[[], Planner | None],
        suspects: Suspects,
        rng: random.Random,
    ):
        """Reads nothing yet."""
        self._version = version
        self._fetcher = fetcher
        self._planner = planner
        self._suspects = suspects
        self._rng = rng
        self._may_take_over_at = float("-inf")
        # Whether a read has failed since the last word of a chunk.
        self._has_failed = False
        # When each of the first chunks that nobody holds became one of them.
        self._unread_since: dict[int, float] = {}
        self._took_s = collections.deque([_FIRST_READ_S], maxlen=_LAST_READ)

    async def run(self) -> None:
        """Reads a chunk at a time until every one is held here."""
        while not self._version.is_complete:
            planner = self._planner()
            if planner is None:
                await asyncio.sleep(_LOOK_EVERY_S)
                continue
            self._look()
            own = next(self._own(planner), None)
            if own is not None:
                await self._read(own)
                continue
            late = next(self._late(planner), None)
            if late is not None:
                await self._take_over(late, planner)
                continue
            await asyncio.sleep(_LOOK_EVERY_S)

    def _look(self) -> None:
        """Notes which chunks may be read, and what became of those before."""
        now = now_s()
        before = self._unread_since
        first = list(itertools.islice(self._unread(), _AT_ONCE))
        took_s = [now - before[i] for i in before.keys() - set(first)]
        if took_s:
            if self._has_failed:
                # The source is back, and all readers begin anew.
                before = {}
                self._has_failed = False
            else:
                self._took_s.extend(took_s)
        self._unread_since = {i: before.get(i, now) for i in first}

    def _late_s(self) -> float:
        """After how long without a chunk others than its reader may read it."""
        late_s = _LATE_TIMES * statistics.fmean(self._took_s)
        return min(max(late_s, _MIN_LATE_S), _MAX_LATE_S)

    def _unread(self) -> Iterator[int]:
        """Chunks that nobody is known to hold, in their order."""
        for index in self._version.missing():
            if not self._version.holdings.is_known(index):
                yield index

    def _own(self, planner: Planner) -> Iterator[int]:
        suspects = self._suspects.now()
        for index in self._to_read():
            if planner.parent(index, suspects) is None:
                yield index

    def _late(self, planner: Planner) -> Iterator[int]:
        now = now_s()
        if now < self._may_take_over_at:
            return
        suspects = self._suspects.now()
        late_s = self._late_s()
        # Between those who may take a chunk over: what one of them takes.
        turn_s = max(_MIN_TURN_S, statistics.fmean(self._took_s))
        for index in self._to_read():
            turn = planner.turn(index, suspects)
            waited_s = now - self._unread_since[index]
            if waited_s >= late_s + turn * turn_s:
                yield index

    def _to_read(self) -> Iterator[int]:
        for index in self._unread_since:
            if index not in self._fetcher.arrivals:
                yield index

    async def _take_over(self, index: int, planner: Planner) -> None:
        await self._read(index)
        if self._version.held[index]:
            return
        pause_s = _RETRY_S_PER_AGENT * len(planner.participants)
        self._may_take_over_at = now_s() + pause_s * (0.5 + self._rng.random())

    async def _read(self, index: int) -> None:
        await self._fetcher.from_outside(index)
        if not self._version.held[index]:
            self._has_failed = True
