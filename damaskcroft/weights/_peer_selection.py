"""Peer selection: the planned source, or a nearer holder of a chunk.

The trees determine which agent reads a chunk from outside and which one carries
it into a failure domain. Inside a domain a planned source may be slow or busy,
while a neighbour (another agent of the same domain) already holds the chunk.
The chunk is then requested from the neighbour with the fewest open requests of
this agent, so that uploads spread evenly over all links.
"""

import collections
import contextlib
import math
import random
from collections.abc import Collection, Iterable, Iterator

from damaskcroft.weights._holdings import Holdings
from damaskcroft.weights._planner import Participant, Planner

__all__ = ["PeerSelector"]


class PeerSelector:
    """Chooses among all agents that hold a chunk of one version.

    Args:
        planner: knows all agents and the trees.
        holdings: chunks that other agents reported to hold.
        rng: chooses between agents that are equally suitable.
    """

    __slots__ = (
        "_holdings",
        "_near_ids",
        "_open_requests_by_id",
        "_rng",
        "planner",
    )

    def __init__(
        self, planner: Planner, holdings: Holdings, rng: random.Random
    ):
        """No request is open at first."""
        self._holdings = holdings
        self._rng = rng
        self._open_requests_by_id: collections.Counter[str] = (
            collections.Counter()
        )
        self.set_planner(planner)

    def set_planner(self, planner: Planner) -> None:
        """Replaces the planner; requests that are open remain counted."""
        self.planner = planner
        own_domain = planner.domain_by_id[planner.own_id]
        self._near_ids = {
            agent_id
            for agent_id, domain in planner.domain_by_id.items()
            if domain == own_domain and agent_id != planner.own_id
        }

    @contextlib.contextmanager
    def open_request(self, agent_id: str) -> Iterator[None]:
        """Counts an open request to an agent until the block ends."""
        self._open_requests_by_id[agent_id] += 1
        try:
            yield
        finally:
            self._open_requests_by_id[agent_id] -= 1

    def held_nearby(
        self, indexes: Iterable[int], suspects: Collection[str]
    ) -> list[int]:
        """Those of the chunks that a neighbour is known to hold."""
        ids = [i for i in self._near_ids if i not in suspects]
        bits = self._holdings.held_by_any(ids)
        return [index for index in indexes if bits >> index & 1]

    def has_better_source(
        self, index: int, asked_id: str, suspects: Collection[str]
    ) -> bool:
        """Whether another neighbour is a better source than the one asked.

        A request that waits at one neighbour moves to another one that holds
        the chunk too only if fewer requests are open there, because each move
        opens a new stream.
        """
        holders = self._holdings.holders(index)
        open_limit = math.inf
        if asked_id in self._near_ids and asked_id in holders:
            open_limit = self._open_requests_by_id[asked_id] - 1
        return any(
            holder_id in self._near_ids
            and holder_id != asked_id
            and holder_id not in suspects
            and self._open_requests_by_id[holder_id] < open_limit
            for holder_id in holders
        )

    def choose(
        self, index: int, suspects: frozenset[str]
    ) -> Participant | None:
        """The agent to ask now; None to read the chunk from outside."""
        holders = [
            agent_id
            for agent_id in self._holdings.holders(index)
            if agent_id in self.planner.by_id and agent_id not in suspects
        ]
        near = [agent_id for agent_id in holders if agent_id in self._near_ids]
        if near:
            return self._least_loaded(near)
        parent = self.planner.parent(index, suspects)
        is_near = parent is not None and parent.id in self._near_ids
        if is_near or not holders:
            return parent
        return self._least_loaded(holders)

    def _least_loaded(self, agent_ids: list[str]) -> Participant:
        least = min(
            self._open_requests_by_id[agent_id] for agent_id in agent_ids
        )
        chosen = self._rng.choice(
            [i for i in agent_ids if self._open_requests_by_id[i] == least]
        )
        return self.planner.by_id[chosen]
