"""Which chunks an agent reads from outside beyond its own share, and when.

For few agents before a quick source: all read their shares at once, as the
trees give them, and the source's link stays full. Then each takes over what
the planned readers are late with: one that is frozen, behind a narrow link or
gone would hold up everyone, and the source may be lost at any moment.
"""

import asyncio
import collections
from collections.abc import Iterator

from damaskcroft.clock import now_s
from damaskcroft.weights._fetcher import Fetcher
from damaskcroft.weights._planner import Planner
from damaskcroft.weights._store import StagedVersion
from damaskcroft.weights._suspects import Suspects

__all__ = ["LateReading"]

# What a reader has still before it is left to it for so long after one's own
# share, and what it is reading right now for longer: what a chunk takes on an
# outside link that all share, and the word of it to come.
_LATER_GRACE_S = 0.1
_NEXT_GRACE_S = 0.4
# Between the agents that may take a chunk over: likewise.
_TURN_S = 0.2
_LOOK_EVERY_S = 0.03


class LateReading:
    """Reads, in turn with the others, what planned readers are late with."""

    __slots__ = ("_fetcher", "_planner", "_reader_id_by_index", "_suspects",
                 "_version")  # fmt: skip

    def __init__(
        self,
        version: StagedVersion,
        fetcher: Fetcher,
        planner: Planner,
        suspects: Suspects,
    ):
        """Reads nothing yet.

        Args:
            version: what is wanted.
            fetcher: reads.
            planner: knows who is to read what.
            suspects: agents that don't answer; their turns are left out.
        """
        self._version = version
        self._fetcher = fetcher
        self._planner = planner
        self._suspects = suspects
        # Who is to read a chunk doesn't depend on who is well.
        self._reader_id_by_index = {
            index: planner.reader(index).id for index in version.missing()
        }

    async def run(self) -> None:
        """Reads until every chunk is known to be held by somebody."""
        began_at = now_s()
        while not self._version.is_complete:
            index = next(self._due(now_s() - began_at), None)
            if index is None:
                await asyncio.sleep(_LOOK_EVERY_S)
            else:
                await self._fetcher.from_outside(index)

    def _due(self, waited_s: float) -> Iterator[int]:
        suspects = self._suspects.now()
        unread_by_reader: collections.Counter[str] = collections.Counter()
        for index in self._version.missing():
            if self._version.holdings.is_known(index):
                continue
            reader_id = self._reader_id_by_index[index]
            before = unread_by_reader[reader_id]
            unread_by_reader[reader_id] += 1
            if index in self._fetcher.arrivals:
                continue
            grace_s = _LATER_GRACE_S if before else _NEXT_GRACE_S
            turn = self._planner.turn(index, suspects)
            if waited_s >= grace_s + turn * _TURN_S:
                yield index
