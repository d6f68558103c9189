"""Selection of a version's manifest where no digest of it is known.

The origin may corrupt what it sends, and a peer passes on what it has read. A
manifest counts as confirmed once two readings of it are equal.
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

# Maximum pause between two rounds of readings; each pause is a random part.
_PAUSE_S = 0.2
# Number of differing readings at which a manifest is rejected.
_MAX_DIFFERING_READINGS = 2


class ManifestReader:
    """Reads the manifest of one version from the origin and from peers.

    Args:
        path: path of the version at outside sources.
        source: the outside source.
        peers: client for requests to other agents.
        others: returns the agents that may have the manifest.
        rng: selects among these agents.
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
        """Stores the arguments; nothing is read yet."""
        self._path = path
        self._source = source
        self._peers = peers
        self._others = others
        self._rng = rng

    async def read_first(self) -> bytes:
        """Returns the first manifest that any source provides.

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
        """Returns whether an equal reading comes before two that differ.

        Callers await this before the version is loaded. Until then, chunks of
        a corrupt manifest may be fetched, but they are never loaded.
        """
        differing = 0
        while differing < _MAX_DIFFERING_READINGS:
            for other in (await self._from_peer(), await self._from_outside()):
                if other == content:
                    return True
                differing += other is not None
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
