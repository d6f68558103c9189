"""Agents that answer, but know nothing of a version for long."""

from damaskcroft.clock import now_s
from damaskcroft.observe import log_event
from damaskcroft.weights._suspects import Suspects

__all__ = ["UnawareAgents"]


class UnawareAgents:
    """Leaves an agent aside that may never hear of a version.

    It may have no configuration; whoever waits for it waits for ever.

    Args:
        suspects: takes such agents up.
        path: the version, for logs.
        patience_s: how long an agent may take to hear of it.
        suspect_s: how long it is left aside then, the first time.
    """

    __slots__ = (
        "_asked_since_by_id",
        "_path",
        "_patience_s",
        "_suspect_s",
        "_suspects",
    )

    def __init__(
        self,
        suspects: Suspects,
        path: str,
        patience_s: float,
        suspect_s: float,
    ):
        """Nobody has been asked yet."""
        self._suspects = suspects
        self._path = path
        self._patience_s = patience_s
        self._suspect_s = suspect_s
        self._asked_since_by_id: dict[str, float] = {}

    def note(self, agent_id: str) -> None:
        """Takes note that an agent was asked and knows nothing."""
        since = self._asked_since_by_id.setdefault(agent_id, now_s())
        if now_s() - since < self._patience_s:
            return
        del self._asked_since_by_id[agent_id]
        if agent_id not in self._suspects.now():
            log_event("peer_unaware", peer=agent_id, path=self._path)
        self._suspects.add(agent_id, self._suspect_s)
