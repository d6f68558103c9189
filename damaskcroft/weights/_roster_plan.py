"""Plans a burst over the agents that are known to take part in it."""

import asyncio
from collections.abc import Callable, Sequence

from damaskcroft.weights._burst import Burst
from damaskcroft.weights._planner import Participant, make_planner

__all__ = ["RosterPlan"]

_POLL_S = 0.05


class RosterPlan:
    """Sets the planner of one burst.

    Args:
        burst: the burst to plan.
        planner_name: name of the planner, see `make_planner`.
        own: the agent itself.
        others: returns the other participants known so far.
    """

    __slots__ = ("_burst", "_others", "_own", "_planner_name")

    def __init__(
        self,
        burst: Burst,
        planner_name: str,
        own: Participant,
        others: Callable[[], Sequence[Participant]],
    ):
        """Plans over the participants that are known already."""
        self._burst = burst
        self._planner_name = planner_name
        self._own = own
        self._others = others
        self._plan()

    async def run(self) -> None:
        """Makes the plan once other agents are known, and keeps it.

        With a new plan for each agent that joins, chunks would wait for
        newcomers that hold nothing yet. Newcomers include all agents in their
        own plan, so that no agent has to wait for them.
        """
        while not self._others():
            await asyncio.sleep(_POLL_S)
        self._plan()

    def _plan(self) -> None:
        participants = [*self._others(), self._own]
        self._burst.set_planner(
            make_planner(self._planner_name, self._own.id, participants)
        )
