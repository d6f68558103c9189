"""Agents that a burst does not ask for some time after a failure."""

from damaskcroft.clock import now_s

__all__ = ["Suspects"]

# A suspicion lasts at most this long, however often the agent has failed: a
# frozen machine or a cut link is back within half a minute.
_MAX_SUSPECT_S = 30.0


class Suspects:
    """Agents that are not asked for a time, after silence or corrupt bytes."""

    __slots__ = ("_times_by_id", "_until_by_id")

    def __init__(self) -> None:
        """No agent is suspected at first."""
        self._until_by_id: dict[str, float] = {}
        self._times_by_id: dict[str, int] = {}

    def add(self, agent_id: str, for_s: float) -> None:
        """Suspects an agent, for twice as long each time until it is cleared.

        Args:
            agent_id: id of the agent.
            for_s: how long it is suspected the first time.
        """
        if agent_id in self.current_ids():
            return
        times = self._times_by_id.get(agent_id, 0)
        self._times_by_id[agent_id] = times + 1
        for_s = min(for_s * 2**times, max(for_s, _MAX_SUSPECT_S))
        self._until_by_id[agent_id] = now_s() + for_s

    def clear(self, agent_id: str) -> None:
        """Ends the suspicion of an agent that has sent a correct chunk."""
        self._until_by_id.pop(agent_id, None)
        self._times_by_id.pop(agent_id, None)

    def current_ids(self) -> frozenset[str]:
        """Ids of the agents that are suspected now."""
        now = now_s()
        return frozenset(
            agent_id
            for agent_id, until in self._until_by_id.items()
            if until > now
        )
