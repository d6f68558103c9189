"""Detects agents that answer but do not learn of a version."""

from damaskcroft.clock import now_s
from damaskcroft.observe import log_event
from damaskcroft.weights._suspects import Suspects

__all__ = ["UnawareAgents"]


class UnawareAgents:
    """Suspects agents that may never learn of a version.

    Such an agent may have received no configuration. Without this check, a
    request to it would be repeated for ever.

    Args:
        suspects: suspected agents, to which such agents are added.
        path: the version's path, for log lines.
        timeout_s: how long an agent may take to learn of the version.
        suspect_s: how long the agent is suspected the first time.
    """

    __slots__ = (
        "_first_asked_at_by_id",
        "_path",
        "_suspect_s",
        "_suspects",
        "_timeout_s",
    )

    def __init__(
        self,
        suspects: Suspects,
        path: str,
        timeout_s: float,
        suspect_s: float,
    ):
        """No agent has been asked at first."""
        self._suspects = suspects
        self._path = path
        self._timeout_s = timeout_s
        self._suspect_s = suspect_s
        self._first_asked_at_by_id: dict[str, float] = {}

    def record(self, agent_id: str) -> None:
        """Records that an agent was asked and did not know the version."""
        first_asked_at = self._first_asked_at_by_id.setdefault(
            agent_id, now_s()
        )
        if now_s() - first_asked_at < self._timeout_s:
            return
        del self._first_asked_at_by_id[agent_id]
        if agent_id not in self._suspects.current_ids():
            log_event("peer_unaware", peer=agent_id, path=self._path)
        self._suspects.add(agent_id, self._suspect_s)
