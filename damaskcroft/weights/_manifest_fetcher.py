"""Fetches the manifest whose digest a record names."""

import asyncio
from collections.abc import Callable, Sequence

from damaskcroft.observe import metrics
from damaskcroft.weights._errors import ManifestError
from damaskcroft.weights._fetcher import CORRUPT_SUSPECT_S, SUSPECT_S
from damaskcroft.weights._manifest import load_manifest
from damaskcroft.weights._outside import OutsideData, OutsideSource
from damaskcroft.weights._peers import PeerChunkMissing, PeerFailed, PeerSource
from damaskcroft.weights._planner import Participant
from damaskcroft.weights._suspects import Suspects
from damaskcroft.weights._unaware import UnawareAgents

__all__ = ["ManifestFetcher"]

_PAUSE_S = 0.1


class ManifestFetcher:
    """Fetches one manifest from a peer if possible, else from outside.

    Args:
        path: the version's path at the outside sources.
        outside: outside sources; the first is preferred.
        peers: client for other agents.
        parent: returns the agent to ask now; None to read from outside.
        suspects: agents that are not asked, because they failed.
        wait_s: how long an agent may take to learn of the version.
    """

    __slots__ = (
        "_outside",
        "_parent",
        "_path",
        "_peers",
        "_suspects",
        "_unaware",
    )

    def __init__(
        self,
        path: str,
        outside: Sequence[OutsideSource],
        peers: PeerSource,
        parent: Callable[[], Participant | None],
        suspects: Suspects,
        wait_s: float,
    ):
        """Requests nothing until `fetch` is called."""
        self._path = path
        self._outside = outside
        self._peers = peers
        self._parent = parent
        self._suspects = suspects
        self._unaware = UnawareAgents(suspects, path, wait_s, wait_s)

    async def fetch(self, digest: str) -> bytes:
        """Repeats the request until a source returns the manifest.

        Raises:
            ManifestError: the outside source holds another manifest.
        """
        while True:
            parent = self._parent()
            if parent is None:
                content = await self._from_outside()
                if content is not None:
                    load_manifest(content, digest)
                    return content
            else:
                content = await self._from_peer(parent, digest)
                if content is not None:
                    return content
                self._unaware.record(parent.id)
            await asyncio.sleep(_PAUSE_S)

    async def _from_outside(self) -> bytes | None:
        for source in self._outside:
            if source.backoff_left_s > 0:
                continue
            outcome = await source.fetch_manifest(self._path)
            if isinstance(outcome, OutsideData):
                return outcome.data
            metrics.BURST_SOURCE_FAILURES.labels(
                f"{source.name}_{outcome.reason}"
            ).inc()
        return None

    async def _from_peer(
        self, parent: Participant, digest: str
    ) -> bytes | None:
        outcome = await self._peers.fetch_manifest(parent.address, digest)
        if isinstance(outcome, PeerFailed):
            self._suspects.add(parent.id, SUSPECT_S)
            return None
        if isinstance(outcome, PeerChunkMissing):
            return None
        try:
            load_manifest(outcome.data, digest)
        except ManifestError:
            self._suspects.add(parent.id, CORRUPT_SUSPECT_S)
            return None
        return outcome.data
