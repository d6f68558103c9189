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

    __slots__ = (
        "_burst",
        "_others",
        "_others_by_id",
        "_own",
        "_planner_name",
    )

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
        self._others_by_id = {other.id: other for other in others()}
        self._plan()

    async def run(self) -> None:
        """Plans again whenever an agent that is not in the plan is known.

        Agents that have just started know few others. If they kept their first
        plans, several of them would read the same chunks from outside. An agent
        in the plan is not removed: suspicion covers agents that are gone, and
        all agents must assign chunks alike.
        """
        while True:
            await asyncio.sleep(_POLL_S)
            self._update()

    def _update(self) -> None:
        """Plans over all participants that have been known so far."""
        others = {other.id: other for other in self._others()}
        if others.keys() <= self._others_by_id.keys():
            return
        self._others_by_id |= others
        self._plan()

    def _plan(self) -> None:
        participants = [*self._others_by_id.values(), self._own]
        self._burst.set_planner(
            make_planner(self._planner_name, self._own.id, participants)
        )
