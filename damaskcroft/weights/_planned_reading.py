"""Chooses chunks that an agent reads from outside by the plan, and beyond it.

Intended for few agents and a fast source. All agents first read their shares at
once, as the trees assign them, so that the source's link stays full. Each agent
then takes over chunks with which planned readers are late: a reader that is
frozen, behind a narrow link or gone would delay all agents, and the source may
be lost at any moment.

Agents that have just started learn of each other within some tenths of a
second. An agent's share is therefore taken from the current plan for each read,
and a chunk that another agent holds by then is left to the requests to peers.
"""

import asyncio
import random
from collections.abc import Callable, Iterator

from damaskcroft.clock import now_s
from damaskcroft.weights._fetcher import Fetcher, ReadReason
from damaskcroft.weights._planner import Planner
from damaskcroft.weights._store import StagedVersion
from damaskcroft.weights._suspects import Suspects

__all__ = ["PlannedReading"]

# Agents that start together learn of each other within about this time.
_SETTLING_S = 0.3
# After an agent has read its own share, the chunks of another reader are left
# to that reader for some time: longer for the chunk that it is reading now than
# for those after it. The times cover the transfer of a chunk over an outside
# link that all agents share, and the news of it.
_LATER_GRACE_S = 0.1
_NEXT_GRACE_S = 0.4
# Delay between the turns of the agents that may take a chunk over. It covers
# the transfer of a chunk and the news of it, too.
_TAKEOVER_DELAY_S = 0.2
_POLL_S = 0.03


class PlannedReading:
    """Reads an agent's share, then chunks with which others are late."""

    __slots__ = (
        "_fetcher",
        "_joined_at",
        "_planner",
        "_reader_id_by_index",
        "_readers_of",
        "_rng",
        "_share_read_at",
        "_suspects",
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
        """Reads nothing until `run` is called.

        Args:
            version: the version being fetched.
            fetcher: reads chunks from outside.
            planner: returns the planner that assigns readers and turns; None
                before the participants are known.
            suspects: agents that do not answer; they get no turn.
            rng: chooses the first chunks to read.
        """
        self._version = version
        self._fetcher = fetcher
        self._planner = planner
        self._suspects = suspects
        self._rng = rng
        # When an agent joined last.
        self._joined_at = float("-inf")
        # The planner by which the readers below were assigned.
        self._readers_of: Planner | None = None
        self._reader_id_by_index: dict[int, str] = {}
        # Since when no chunk of this agent's share is unread; None while one
        # is.
        self._share_read_at: float | None = None

    async def run(self) -> None:
        """Reads one chunk at a time until every chunk is held here."""
        while not self._version.is_complete:
            planner = self._planner()
            if planner is None:
                await asyncio.sleep(_POLL_S)
                continue
            self._update_readers(planner)
            index = self._next_of_share(planner)
            if index is not None:
                self._share_read_at = None
                await self._fetcher.read_from_outside(index, ReadReason.PLANNED)
                continue
            if self._share_read_at is None:
                self._share_read_at = now_s()
            index = next(self._late_chunks(planner), None)
            if index is None:
                await asyncio.sleep(_POLL_S)
            else:
                await self._fetcher.read_from_outside(index, ReadReason.LATE)

    def _next_of_share(self, planner: Planner) -> int | None:
        """The chunk of this agent's share to read now; None if all are read.

        While agents join, it is chosen at random: those that do not know of
        each other yet assign themselves the same chunks.
        """
        if self._is_settled(planner):
            return next(self._share(planner), None)
        share = list(self._share(planner))
        return self._rng.choice(share) if share else None

    def _is_settled(self, planner: Planner) -> bool:
        """Whether no agent has joined recently."""
        is_alone = len(planner.participants) == 1
        return not is_alone and now_s() - self._joined_at >= _SETTLING_S

    def _share(self, planner: Planner) -> Iterator[int]:
        """Unread chunks of this agent's share that are not in transfer."""
        suspects = self._suspects.current_ids()
        for index in self._version.unread(suspects):
            if index in self._fetcher.transfers:
                continue
            if planner.parent(index, suspects) is None:
                yield index

    def _late_chunks(self, planner: Planner) -> Iterator[int]:
        """Chunks that this agent may take over from their readers."""
        waited_s = now_s() - (self._share_read_at or now_s())
        suspects = self._suspects.current_ids()
        unread = list(self._version.unread(suspects))
        next_by_reader: dict[str, int] = {}
        for index in unread:
            reader_id = self._reader_id_by_index[index]
            next_by_reader.setdefault(reader_id, index)
        # From the end of the readers' shares: they read from the beginning.
        for index in reversed(unread):
            if index in self._fetcher.transfers:
                continue
            is_next = next_by_reader[self._reader_id_by_index[index]] == index
            grace_s = _NEXT_GRACE_S if is_next else _LATER_GRACE_S
            rank = planner.reader_rank(index, suspects)
            if waited_s >= grace_s + rank * _TAKEOVER_DELAY_S:
                yield index

    def _update_readers(self, planner: Planner) -> None:
        if planner is self._readers_of:
            return
        if self._readers_of is not None:
            self._joined_at = now_s()
        self._readers_of = planner
        # The assignment does not depend on which agents are suspected.
        self._reader_id_by_index = {
            index: planner.planned_reader(index).id
            for index in self._version.missing()
        }
