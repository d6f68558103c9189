"""Ends waits for agents whose lease has expired, where a retry is possible."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator

from damaskcroft.clock import now_s
from damaskcroft.membership import Roster

# Whether the wait may end early, because another target can be tried.
MayAbandon = Callable[[], bool]


class LeaseExpiryWatch:
    """The waits in progress, by agent.

    An agent that no longer reaches control may still answer, so that a wait
    ends early only if another target can be tried. One task follows the roster
    for all waits, so that a wait needs no task of its own.

    Args:
        roster: source of the agents whose lease has expired.
    """

    def __init__(self, roster: Roster):
        """Takes the roster to follow; there are no waits at first."""
        self._roster = roster
        self._waits_by_agent: dict[str, dict[asyncio.Timeout, MayAbandon]] = {}

    @contextlib.contextmanager
    def watch(
        self, agent_id: str, timeout: asyncio.Timeout, may_abandon: MayAbandon
    ) -> Iterator[None]:
        """Expires `timeout` at once if the agent's lease expires in the block.

        Args:
            agent_id: the agent that is waited for.
            timeout: timeout of the wait.
            may_abandon: called after each change of the roster while the
                lease is expired; `timeout` expires only if it returns True.
        """
        if agent_id in self._roster.lapsed_ids and may_abandon():
            timeout.reschedule(now_s())
        waits = self._waits_by_agent.setdefault(agent_id, {})
        waits[timeout] = may_abandon
        try:
            yield
        finally:
            del waits[timeout]

    async def run(self) -> None:
        """Follows the roster until cancelled."""
        while True:
            async with self._roster.changed:
                await self._roster.changed.wait()
            for agent_id in self._roster.lapsed_ids:
                waits = self._waits_by_agent.get(agent_id, {})
                for timeout, may_abandon in waits.items():
                    if may_abandon():
                        timeout.reschedule(now_s())
