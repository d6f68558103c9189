"""Ends waits for agents that control has declared lapsed."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator

from damaskcroft.clock import now_s
from damaskcroft.membership import Roster

# Whether there is something better than to wait on.
MayLeave = Callable[[], bool]


class LapseWatch:
    """The waits now going on, by the agent that is waited for.

    An agent that control no longer hears may still answer, so that a wait ends
    only for something better. One task follows the roster for all of them; a
    wait costs no task.

    Args:
        roster: tells whose lease has lapsed.
    """

    def __init__(self, roster: Roster):
        """See the class."""
        self._roster = roster
        self._waits_by_agent: dict[str, dict[asyncio.Timeout, MayLeave]] = {}

    @contextlib.contextmanager
    def watched(
        self, agent_id: str, limit: asyncio.Timeout, may_leave: MayLeave
    ) -> Iterator[None]:
        """Lets `limit` pass at once if the agent lapses within the block.

        Args:
            agent_id: who is waited for.
            limit: of the wait.
            may_leave: asked after each change while the agent is lapsed.
        """
        if agent_id in self._roster.lapsed_ids and may_leave():
            limit.reschedule(now_s())
        waits = self._waits_by_agent.setdefault(agent_id, {})
        waits[limit] = may_leave
        try:
            yield
        finally:
            del waits[limit]

    async def run(self) -> None:
        """Follows the roster until cancelled."""
        while True:
            async with self._roster.changed:
                await self._roster.changed.wait()
            for agent_id in self._roster.lapsed_ids:
                waits = self._waits_by_agent.get(agent_id, {})
                for limit, may_leave in waits.items():
                    if may_leave():
                        limit.reschedule(now_s())
