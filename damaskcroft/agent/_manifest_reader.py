"""Which manifest of a version to believe, where nothing vouches for one.

The outside source may spoil what it sends. Two equal readings bear each other
out; whoever has them tells others, who need none of their own. So few agents
read outside, in an order that all know, and more of them for as long as nobody
has told: a fleet hears of a version at once, and one reading by each agent
would keep the source's link from giving chunks.
"""

import asyncio
import hashlib
import random
from collections.abc import Callable

from damaskcroft._generated import fleet_pb2
from damaskcroft.clock import now_s
from damaskcroft.observe import log_event
from damaskcroft.weights import (
    OutsideData,
    OutsideSource,
    PeerData,
    PeerSource,
    load_manifest,
    manifest_digest,
)

__all__ = ["ManifestReader"]

# The longest pause between two rounds of readings; each takes part of it.
_PAUSE_S = 0.2
# Other readings of a manifest that outweigh one's own.
_READINGS_AGAINST = 2
# How many agents read outside at first, and after how long without a manifest
# as many more do.
_READERS = 3
_TURN_S = 0.3
# How often one of those who read outside is asked, and not just anybody: they
# have it first, but all at once would fill their links.
_READER_SHARE = 0.5


class ManifestReader:
    """Reads the manifest of one version from whoever has it.

    Args:
        path: where outside sources keep the version.
        source: the outside source.
        peers: how other agents are asked; they give what was borne out.
        own_address: of this agent.
        others: agents that may have it.
        rng: chooses among them.
    """

    __slots__ = (
        "_began_at",
        "_from_others",
        "_others",
        "_own_address",
        "_path",
        "_peers",
        "_rng",
        "_source",
    )

    def __init__(
        self,
        path: str,
        source: OutsideSource,
        peers: PeerSource,
        own_address: str,
        others: Callable[[], list[fleet_pb2.AgentState]],
        rng: random.Random,
    ):
        """See the class."""
        self._path = path
        self._source = source
        self._peers = peers
        self._own_address = own_address
        self._others = others
        self._rng = rng
        self._began_at = now_s()
        # What others gave, borne out by them.
        self._from_others: set[bytes] = set()

    async def first(self) -> bytes:
        """A manifest to begin with, from wherever one is had first.

        Raises:
            ManifestError: it describes impossible files.
        """
        while True:
            content = None
            if self._is_reader():
                content = await self._from_outside()
            if content is None:
                content = await self._from_peer()
            if content is not None:
                load_manifest(content, manifest_digest(content))
                return content
            await self._pause()

    async def is_confirmed(self, content: bytes) -> bool:
        """Whether an equal reading comes before two that differ.

        Chunks of a spoilt manifest would come in vain, but never be loaded:
        this is awaited before.
        """
        others = 0
        while others < _READINGS_AGAINST:
            if content in self._from_others:
                return True
            for other in (await self._from_peer(), await self._from_outside()):
                if other == content:
                    return True
                others += other is not None
            await self._pause()
        return False

    async def _pause(self) -> None:
        await asyncio.sleep(_PAUSE_S * self._rng.random())

    def _is_reader(self) -> bool:
        return self._own_address in self._readers()

    def _readers(self) -> list[str]:
        """Agents that read outside by now, in an order that all know."""
        addresses = [agent.address for agent in self._others()]
        turns = 1 + int((now_s() - self._began_at) / _TURN_S)
        in_order = sorted([*addresses, self._own_address], key=self._place)
        return in_order[: _READERS * turns]

    def _place(self, address: str) -> bytes:
        return hashlib.blake2b(f"{self._path} {address}".encode()).digest()

    async def _from_peer(self) -> bytes | None:
        address = self._someone()
        if address is None:
            return None
        outcome = await self._peers.fetch_manifest(address, "", self._path)
        if not isinstance(outcome, PeerData):
            return None
        self._from_others.add(outcome.data)
        return outcome.data

    def _someone(self) -> str | None:
        others = [agent.address for agent in self._others()]
        readers = [a for a in self._readers() if a != self._own_address]
        if readers and self._rng.random() < _READER_SHARE:
            return self._rng.choice(readers)
        return self._rng.choice(others) if others else None

    async def _from_outside(self) -> bytes | None:
        outcome = await self._source.fetch_manifest(self._path)
        if isinstance(outcome, OutsideData):
            return outcome.data
        log_event("manifest_failed", path=self._path, reason=outcome.reason)
        return None
