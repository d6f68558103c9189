"""Fetches one chunk from one source, and records its failures."""

import asyncio
import collections
import dataclasses
import enum
import random
from collections.abc import Sequence

from damaskcroft._generated import agent_pb2
from damaskcroft.clock import now_s
from damaskcroft.observe import log_event, metrics
from damaskcroft.weights._holdings import packed
from damaskcroft.weights._outside import OutsideData, OutsideSource
from damaskcroft.weights._pacer import Pacer
from damaskcroft.weights._peer_selection import PeerSelector
from damaskcroft.weights._peers import (
    PeerChunkMissing,
    PeerData,
    PeerFailed,
    PeerNotInBurst,
    PeerSource,
)
from damaskcroft.weights._planner import Participant
from damaskcroft.weights._store import StagedVersion
from damaskcroft.weights._suspects import Suspects
from damaskcroft.weights._transfers import ActiveTransfers
from damaskcroft.weights._unaware import UnawareAgents

__all__ = [
    "CORRUPT_SUSPECT_S",
    "SUSPECT_S",
    "BurstCounts",
    "Fetcher",
    "ReadReason",
]

# A silent agent may be behind a full link; a refused connection may be due to
# a restart, which takes about a second.
_STALLED_SUSPECT_S = 5.0
SUSPECT_S = 1.0
CORRUPT_SUSPECT_S = 300.0
_MIN_PAUSE_S = 0.02
_MAX_PAUSE_S = 1.0
# An outside source counts as unavailable when no read has succeeded for this
# long.
_UNAVAILABLE_AFTER_S = 1.0
# How long agents may take to learn of a version: they receive the configuration
# within some tenths of a second of each other.
_LEARN_TIMEOUT_S = 0.4


class ReadReason(enum.StrEnum):
    """Why an agent reads a chunk from outside."""

    # The plan assigns the chunk to this agent.
    PLANNED = "planned"
    # The planned reader is late, and this agent's turn has come.
    LATE = "late"
    # The chunk is overdue here, and no holder of it is known.
    OVERDUE = "overdue"
    # The whole fleet reads in turn.
    IN_TURN = "in_turn"
    # The share that the policy grants beyond the first copy.
    HELP = "help"


@dataclasses.dataclass(slots=True)
class BurstCounts:
    """Bytes by source, corrupt chunks and outside reads, for reports.

    Attributes:
        repeated_reads: chunks read from outside that another agent was known to
            hold by the end of the read.
        outside_reads: chunks read from outside, by `ReadReason`.
    """

    origin_bytes: int = 0
    store_bytes: int = 0
    peer_bytes: int = 0
    local_bytes: int = 0
    sent_bytes: int = 0
    corrupt_chunks: int = 0
    repeated_reads: int = 0
    outside_reads: collections.Counter[ReadReason] = dataclasses.field(
        default_factory=collections.Counter
    )


class Fetcher:
    """Fetches chunks of one version.

    Attributes:
        transfers: chunks that are being transferred now.

    Args:
        own_id: id of this agent.
        path: the version's path at the outside sources.
        version: stores the chunks.
        outside: outside sources; the first is preferred.
        peers: client for other agents.
        pacer: paces the reads from outside.
        counts: counters of bytes and corrupt chunks.
        suspects: agents that failed; failures are added to it.
        rng: randomises pauses.
    """

    __slots__ = (
        "_counts",
        "_failed_at",
        "_failing_since",
        "_outside",
        "_own_id",
        "_pacer",
        "_path",
        "_peers",
        "_rng",
        "_suspects",
        "_unaware",
        "_version",
        "transfers",
    )

    def __init__(
        self,
        own_id: str,
        path: str,
        version: StagedVersion,
        outside: Sequence[OutsideSource],
        peers: PeerSource,
        pacer: Pacer,
        counts: BurstCounts,
        suspects: Suspects,
        rng: random.Random,
    ):
        """Requests nothing at first."""
        self._own_id = own_id
        self._path = path
        self._version = version
        self._outside = outside
        self._peers = peers
        self._pacer = pacer
        self._counts = counts
        self._suspects = suspects
        self._rng = rng
        self._unaware = UnawareAgents(
            suspects, path, _LEARN_TIMEOUT_S, SUSPECT_S
        )
        self.transfers = ActiveTransfers(
            lambda: len(version.held) - version.held_count
        )
        # Since when all reads from outside have failed; None after a success.
        self._failing_since: float | None = None
        self._failed_at = 0.0

    async def fetch_from_peer(
        self,
        index: int,
        peer: Participant,
        selector: PeerSelector,
        wait_s: float,
    ) -> None:
        """Requests a chunk from an agent and records what else it holds.

        Args:
            index: index of the chunk.
            peer: the agent to ask.
            selector: knows which other agents hold the chunk.
            wait_s: how long the agent may keep the request open.
        """
        version = self._version
        request = agent_pb2.ChunkRequest(
            manifest=version.digest,
            digest=version.manifest.chunks[index].digest,
            wait_ms=int(wait_s * 1000),
            requester=self._own_id,
            held=packed(version.held),
            known=version.holdings.known_bits(),
        )

        def should_abandon() -> bool:
            return bool(version.held[index]) or selector.has_better_source(
                index, peer.id, self._suspects.current_ids()
            )

        with selector.open_request(peer.id):
            outcome = await self._peers.fetch_chunk(
                peer.address,
                request,
                should_abandon,
                lambda: self.transfers.transfer(index),
                is_held=peer.id in version.holdings.holders(index),
            )
        match outcome:
            case PeerData(data=data, held=held, known=known):
                self._suspects.clear(peer.id)
                version.holdings.add_report(peer.id, held, known)
                self._store_chunk(index, data, "peer", peer.id)
            case PeerChunkMissing(held=held, known=known):
                version.holdings.add_report(peer.id, held, known)
                await asyncio.sleep(_MIN_PAUSE_S)
            case PeerNotInBurst():
                await asyncio.sleep(_MIN_PAUSE_S)
                self._unaware.record(peer.id)
            case PeerFailed(reason=reason):
                self._suspect(peer, reason)

    async def read_from_outside(self, index: int, reason: ReadReason) -> None:
        """Reads a chunk from the first outside source that delivers it."""
        has_failed = False
        for source in self._outside:
            if source.backoff_left_s > 0:
                continue
            with self.transfers.transfer(index) as may_begin:
                if not may_begin:
                    break
                outcome = await source.fetch_chunk(
                    self._path, self._version.manifest, index
                )
            if isinstance(outcome, OutsideData):
                await self._pacer.pass_bytes(len(outcome.data))
                self._failing_since = None
                self._count_read(index, reason)
                self._store_chunk(index, outcome.data, source.name, "")
                return
            has_failed = True
            metrics.BURST_SOURCE_FAILURES.labels(
                f"{source.name}_{outcome.reason}"
            ).inc()
        if has_failed:
            self._record_failure()
        await asyncio.sleep(self._pause_s())

    @property
    def is_outside_unavailable(self) -> bool:
        """Whether all reads from outside have failed for some time.

        A single failure is not enough: a read may fail because no connection is
        free, or may be cut off.
        """
        if self._failing_since is None:
            return False
        return self._failed_at - self._failing_since >= _UNAVAILABLE_AFTER_S

    def _count_read(self, index: int, reason: ReadReason) -> None:
        is_repeated = self._version.holdings.is_held_anywhere(index)
        self._counts.outside_reads[reason] += 1
        self._counts.repeated_reads += is_repeated
        metrics.BURST_OUTSIDE_READS.labels(
            reason, "repeated" if is_repeated else "first"
        ).inc()

    def _record_failure(self) -> None:
        self._failed_at = now_s()
        if self._failing_since is None:
            self._failing_since = self._failed_at

    def _suspect(self, peer: Participant, reason: str) -> None:
        metrics.BURST_SOURCE_FAILURES.labels(reason).inc()
        if peer.id not in self._suspects.current_ids():
            log_event("peer_suspected", peer=peer.id, reason=reason)
        self._version.holdings.forget(peer.id)
        stalled = reason == "stalled"
        self._suspects.add(
            peer.id, _STALLED_SUSPECT_S if stalled else SUSPECT_S
        )

    def _pause_s(self) -> float:
        """Time until an outside source may be asked again, randomised."""
        wait_s = min(source.backoff_left_s for source in self._outside)
        wait_s = min(max(wait_s, _MIN_PAUSE_S), _MAX_PAUSE_S)
        return wait_s * (1 + self._rng.random())

    def _store_chunk(
        self, index: int, data: bytes, source: str, peer_id: str
    ) -> None:
        metrics.BURST_BYTES.labels(source).inc(len(data))
        field = f"{source}_bytes"
        setattr(self._counts, field, getattr(self._counts, field) + len(data))
        if self._version.write_chunk(index, data):
            return
        self._counts.corrupt_chunks += 1
        metrics.BURST_CHUNKS_CORRUPT.labels(source).inc()
        log_event(
            "chunk_corrupt", index=index, source=source, peer=peer_id or "none"
        )
        if peer_id:
            self._suspects.add(peer_id, CORRUPT_SUSPECT_S)
