"""Agents that a burst leaves alone for a while."""

from damaskcroft.clock import now_s

__all__ = ["Suspects"]

# However often an agent fails, it is asked again after this long: a frozen
# machine or a cut link is back within half a minute.
_MAX_SUSPECT_S = 30.0


class Suspects:
    """Agents to be left alone for a while, after silence or wrong bytes."""

    __slots__ = ("_times_by_id", "_until_by_id")

    def __init__(self) -> None:
        """Creates an empty list."""
        self._until_by_id: dict[str, float] = {}
        self._times_by_id: dict[str, int] = {}

    def add(self, agent_id: str, for_s: float) -> None:
        """Suspects an agent, twice as long each time until it is cleared.

        Args:
            agent_id: which.
            for_s: how long the first time.
        """
        if agent_id in self.now():
            return
        times = self._times_by_id.get(agent_id, 0)
        self._times_by_id[agent_id] = times + 1
        for_s = min(for_s * 2**times, max(for_s, _MAX_SUSPECT_S))
        self._until_by_id[agent_id] = now_s() + for_s

    def clear(self, agent_id: str) -> None:
        """Takes note that an agent has given a right chunk."""
        self._until_by_id.pop(agent_id, None)
        self._times_by_id.pop(agent_id, None)

    def now(self) -> frozenset[str]:
        """The ids suspected at this instant."""
        now = now_s()
        return frozenset(
            agent_id
            for agent_id, until in self._until_by_id.items()
            if until > now
        )
