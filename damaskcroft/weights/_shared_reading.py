"""Chooses which chunks an agent reads from outside, and when.

The outside source's link is the bottleneck of a burst, and all agents share it.
If each agent read its share at once, all chunks would arrive late and at the
same time. Only the first chunks that no agent is known to hold are therefore
read, by their planned readers. If a reader is late, because it is frozen,
behind a narrow link or gone, the other agents take its chunk over in turn.

The source may be lost and return, and then all agents miss the same chunks.
Their planned readers keep trying, while all other agents together try only a
few times a second, so that the source's whole rate is spent on chunks that no
other agent is reading.
"""

import asyncio
import collections
import itertools
import random
import statistics
from collections.abc import Callable, Iterator

from damaskcroft.clock import now_s
from damaskcroft.weights._fetcher import Fetcher, ReadReason
from damaskcroft.weights._planner import Planner
from damaskcroft.weights._store import StagedVersion
from damaskcroft.weights._suspects import Suspects

__all__ = ["SharedReading"]

# Chunks that all agents together may read at once: as many as a source delivers
# while the news of one chunk spreads, so that its link stays full.
_MAX_CONCURRENT_CHUNKS = 16
# A chunk is late after this multiple of the mean time in which the last ones
# were read and announced. Before any has been read, the initial value stands
# for that time.
_LATE_FACTOR = 1.5
_READ_TIME_SAMPLES = 16
_INITIAL_READ_S = 0.8
_MIN_LATE_S, _MAX_LATE_S = 0.4, 3.0
# Minimum delay between the agents that may take a chunk over: some rounds of
# gossip.
_MIN_TAKEOVER_DELAY_S = 0.2
# After a failed attempt an agent does not take over other agents' chunks for
# this long, times the number of agents.
_RETRY_PAUSE_S_PER_AGENT = 0.2
_POLL_S = 0.03


class SharedReading:
    """Reads the chunks that no agent holds, in turn with the other agents.

    Args:
        version: the version being fetched.
        fetcher: reads chunks from outside.
        planner: returns the planner that assigns readers; None before the
            participants are known.
        suspects: agents that do not answer; they get no turn.
        rng: randomises the delay between attempts.
    """

    __slots__ = (
        "_fetcher",
        "_has_failed",
        "_may_take_over_at",
        "_planner",
        "_read_times_s",
        "_rng",
        "_suspects",
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
        """Reads nothing until `run` is called."""
        self._version = version
        self._fetcher = fetcher
        self._planner = planner
        self._suspects = suspects
        self._rng = rng
        self._may_take_over_at = float("-inf")
        # Whether a read has failed since the last news of a chunk.
        self._has_failed = False
        # For each chunk that may be read now: since when.
        self._unread_since: dict[int, float] = {}
        self._read_times_s = collections.deque(
            [_INITIAL_READ_S], maxlen=_READ_TIME_SAMPLES
        )

    async def run(self) -> None:
        """Reads one chunk at a time until every chunk is held here."""
        while not self._version.is_complete:
            planner = self._planner()
            if planner is None:
                await asyncio.sleep(_POLL_S)
                continue
            self._update_unread()
            assigned = next(self._assigned(planner), None)
            if assigned is not None:
                await self._read(assigned)
                continue
            late = next(self._late_chunks(planner), None)
            if late is not None:
                await self._take_over(late, planner)
                continue
            await asyncio.sleep(_POLL_S)

    def _update_unread(self) -> None:
        """Updates which chunks may be read, and how long the last ones took."""
        now = now_s()
        before = self._unread_since
        unread = self._version.unread(self._suspects.current_ids())
        first = list(itertools.islice(unread, _MAX_CONCURRENT_CHUNKS))
        times_s = [now - before[i] for i in before.keys() - set(first)]
        if times_s:
            if self._has_failed:
                # The source is back, and all times start anew.
                before = {}
                self._has_failed = False
            else:
                self._read_times_s.extend(times_s)
        self._unread_since = {i: before.get(i, now) for i in first}

    def _late_s(self) -> float:
        """Time after which agents other than its reader may read a chunk."""
        late_s = _LATE_FACTOR * statistics.fmean(self._read_times_s)
        return min(max(late_s, _MIN_LATE_S), _MAX_LATE_S)

    def _assigned(self, planner: Planner) -> Iterator[int]:
        suspects = self._suspects.current_ids()
        for index in self._unread_not_in_transfer():
            if planner.parent(index, suspects) is None:
                yield index

    def _late_chunks(self, planner: Planner) -> Iterator[int]:
        now = now_s()
        if now < self._may_take_over_at:
            return
        suspects = self._suspects.current_ids()
        late_s = self._late_s()
        # Delay between the agents that may take a chunk over: the time that one
        # of them needs.
        takeover_delay_s = max(
            _MIN_TAKEOVER_DELAY_S, statistics.fmean(self._read_times_s)
        )
        for index in self._unread_not_in_transfer():
            rank = planner.reader_rank(index, suspects)
            waited_s = now - self._unread_since[index]
            if waited_s >= late_s + rank * takeover_delay_s:
                yield index

    def _unread_not_in_transfer(self) -> Iterator[int]:
        for index in self._unread_since:
            if index not in self._fetcher.transfers:
                yield index

    async def _take_over(self, index: int, planner: Planner) -> None:
        await self._read(index)
        if self._version.held[index]:
            return
        pause_s = _RETRY_PAUSE_S_PER_AGENT * len(planner.participants)
        self._may_take_over_at = now_s() + pause_s * (0.5 + self._rng.random())

    async def _read(self, index: int) -> None:
        await self._fetcher.read_from_outside(index, ReadReason.IN_TURN)
        if not self._version.held[index]:
            self._has_failed = True
