"""Spreads by gossip which agents hold which chunks.

Anti-entropy after Demers et al., "Epidemic Algorithms for Replicated Database
Maintenance" (PODC 1987): each agent exchanges all that it knows with one other
agent at random, so news reaches all agents in a number of rounds that grows
with the logarithm of their number. Without gossip, news would travel only with
answers to chunk requests: between regions that takes longer than reading a
chunk from outside.
"""

import asyncio
import random
from collections.abc import Callable

from damaskcroft._generated import agent_pb2
from damaskcroft.weights._holdings import packed
from damaskcroft.weights._peers import PeerSource
from damaskcroft.weights._planner import Participant, Planner
from damaskcroft.weights._store import StagedVersion
from damaskcroft.weights._suspects import Suspects

__all__ = ["Gossip"]

# Ten exchanges a second use under a hundredth of a link of 3.65 Mbit/s.
_EXCHANGE_INTERVAL_S = 0.1
# Agents that are asked for the first time in one round. An agent that has just
# started learns soon what the others hold, and a large fleet is not asked all
# at once.
_MAX_NEW_AGENTS = 8


class Gossip:
    """Exchanges one version's holdings with other agents.

    Args:
        own_id: id of this agent.
        version: the version being fetched.
        peers: client for other agents.
        rng: chooses the agent to exchange with.
    """

    __slots__ = ("_asked_ids", "_own_id", "_peers", "_rng", "_version")

    def __init__(
        self,
        own_id: str,
        version: StagedVersion,
        peers: PeerSource,
        rng: random.Random,
    ):
        """Exchanges nothing until `run` is called."""
        self._own_id = own_id
        self._version = version
        self._peers = peers
        self._rng = rng
        self._asked_ids: set[str] = set()

    async def run(
        self, planner: Callable[[], Planner | None], suspects: Suspects
    ) -> None:
        """Exchanges until cancelled; a slow answer delays no other exchange.

        Args:
            planner: returns the planner that knows all agents; None before the
                participants are known.
            suspects: agents that do not answer now.
        """
        async with asyncio.TaskGroup() as group:
            while True:
                current = planner()
                if current is not None:
                    for other in self._next_agents(current, suspects):
                        group.create_task(
                            self._exchange(other.id, other.address)
                        )
                await asyncio.sleep(_EXCHANGE_INTERVAL_S)

    def _next_agents(
        self, planner: Planner, suspects: Suspects
    ) -> list[Participant]:
        """Some of the agents that are new to this one; else one at random."""
        excluded = suspects.current_ids() | {self._own_id}
        others = [p for p in planner.participants if p.id not in excluded]
        if not others:
            return []
        new = [p for p in others if p.id not in self._asked_ids]
        chosen = self._rng.sample(new, min(len(new), _MAX_NEW_AGENTS))
        self._asked_ids |= {p.id for p in chosen}
        return chosen or [self._rng.choice(others)]

    async def _exchange(self, agent_id: str, address: str) -> None:
        holdings = self._version.holdings
        rumour = agent_pb2.Rumour(
            manifest=self._version.digest,
            teller=self._own_id,
            held=packed(self._version.held),
            known=holdings.known_bits(),
        )
        reply = await self._peers.exchange(address, rumour)
        if reply is not None:
            holdings.add_report(agent_id, reply.held, reply.known)
