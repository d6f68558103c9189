"""Ends waits for agents that control has declared lapsed."""

import asyncio
import contextlib
from collections.abc import Iterator

from damaskcroft.clock import now_s
from damaskcroft.membership import Roster


class LapseWatch:
    """The waits now going on, by the agent that is waited for.

    One task follows the roster for all of them; a wait costs no task.

    Args:
        roster: tells whose lease has lapsed.
    """

    def __init__(self, roster: Roster):
        """See the class."""
        self._roster = roster
        self._limits_by_agent: dict[str, set[asyncio.Timeout]] = {}

    @contextlib.contextmanager
    def watched(self, agent_id: str, limit: asyncio.Timeout) -> Iterator[None]:
        """Lets `limit` pass at once if the agent lapses within the block."""
        if agent_id in self._roster.lapsed_ids:
            limit.reschedule(now_s())
        limits = self._limits_by_agent.setdefault(agent_id, set())
        limits.add(limit)
        try:
            yield
        finally:
            limits.discard(limit)

    async def run(self) -> None:
        """Follows the roster until cancelled."""
        while True:
            async with self._roster.changed:
                await self._roster.changed.wait()
            for agent_id in self._roster.lapsed_ids:
                for limit in self._limits_by_agent.get(agent_id, ()):
                    limit.reschedule(now_s())
