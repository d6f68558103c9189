"""Chooses chunks that an agent reads from outside beyond its share.

Intended for few agents and a fast source. All agents first read their shares at
once, as the trees assign them, so that the source's link stays full. Each agent
then takes over chunks with which planned readers are late: a reader that is
frozen, behind a narrow link or gone would delay all agents, and the source may
be lost at any moment.
"""

import asyncio
import collections
from collections.abc import Iterator

from damaskcroft.clock import now_s
from damaskcroft.weights._fetcher import Fetcher, ReadReason
from damaskcroft.weights._planner import Planner
from damaskcroft.weights._store import StagedVersion
from damaskcroft.weights._suspects import Suspects

__all__ = ["LateReading"]

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


class LateReading:
    """Reads chunks with which planned readers are late, in turn with others."""

    __slots__ = (
        "_fetcher",
        "_planner",
        "_reader_id_by_index",
        "_suspects",
        "_version",
    )

    def __init__(
        self,
        version: StagedVersion,
        fetcher: Fetcher,
        planner: Planner,
        suspects: Suspects,
    ):
        """Reads nothing until `run` is called.

        Args:
            version: the version being fetched.
            fetcher: reads chunks from outside.
            planner: assigns readers and turns.
            suspects: agents that do not answer; they get no turn.
        """
        self._version = version
        self._fetcher = fetcher
        self._planner = planner
        self._suspects = suspects
        # The assignment does not depend on which agents are suspected.
        self._reader_id_by_index = {
            index: planner.planned_reader(index).id
            for index in version.missing()
        }

    async def run(self) -> None:
        """Reads overdue chunks until every chunk is held here."""
        began_at = now_s()
        while not self._version.is_complete:
            index = next(self._due(now_s() - began_at), None)
            if index is None:
                await asyncio.sleep(_POLL_S)
            else:
                await self._fetcher.read_from_outside(index, ReadReason.LATE)

    def _due(self, waited_s: float) -> Iterator[int]:
        suspects = self._suspects.current_ids()
        unread_by_reader: collections.Counter[str] = collections.Counter()
        for index in self._version.missing():
            if self._version.holdings.is_held_anywhere(index):
                continue
            reader_id = self._reader_id_by_index[index]
            before = unread_by_reader[reader_id]
            unread_by_reader[reader_id] += 1
            if index in self._fetcher.transfers:
                continue
            grace_s = _LATER_GRACE_S if before else _NEXT_GRACE_S
            rank = self._planner.reader_rank(index, suspects)
            if waited_s >= grace_s + rank * _TAKEOVER_DELAY_S:
                yield index
