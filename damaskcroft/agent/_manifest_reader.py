"""Which manifest of a version to believe, where nothing vouches for one.

The origin may spoil what it sends, and a peer passes on what it has read. Two
equal readings bear each other out.
"""

import asyncio
import random
from collections.abc import Callable

from damaskcroft._generated import fleet_pb2
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


class ManifestReader:
    """Reads the manifest of one version from whoever has it.

    Args:
        path: where outside sources keep the version.
        source: the outside source.
        peers: how other agents are asked.
        others: agents that may have it.
        rng: chooses among them.
    """

    __slots__ = ("_others", "_path", "_peers", "_rng", "_source")

    def __init__(
        self,
        path: str,
        source: OutsideSource,
        peers: PeerSource,
        others: Callable[[], list[fleet_pb2.AgentState]],
        rng: random.Random,
    ):
        """See the class."""
        self._path = path
        self._source = source
        self._peers = peers
        self._others = others
        self._rng = rng

    async def first(self) -> bytes:
        """A manifest to begin with, from wherever one is had first.

        Raises:
            ManifestError: it describes impossible files.
        """
        while True:
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
            for other in (await self._from_peer(), await self._from_outside()):
                if other == content:
                    return True
                others += other is not None
            await self._pause()
        return False

    async def _pause(self) -> None:
        await asyncio.sleep(_PAUSE_S * self._rng.random())

    async def _from_peer(self) -> bytes | None:
        others = self._others()
        if not others:
            return None
        address = self._rng.choice(others).address
        outcome = await self._peers.fetch_manifest(address, "", self._path)
        return outcome.data if isinstance(outcome, PeerData) else None

    async def _from_outside(self) -> bytes | None:
        outcome = await self._source.fetch_manifest(self._path)
        if isinstance(outcome, OutsideData):
            return outcome.data
        log_event("manifest_failed", path=self._path, reason=outcome.reason)
        return None
