"""Upload of chunks to other agents, paced by the rate of this machine's link.

A full link would delay the answers to callers that share it, so parts are small
enough that an answer waits only briefly behind one.
"""

import asyncio
from typing import Any

from damaskcroft._generated import agent_pb2
from damaskcroft.clock import now_s
from damaskcroft.observe import log_event, metrics
from damaskcroft.weights import (
    BurstCounts,
    ChunkStore,
    Pacer,
    StagedVersion,
    UploadRate,
    packed,
)

# Time that a part takes on the sender's link: about as long as an answer to a
# caller may wait behind it. A window of eight parts covers round trips between
# regions.
_PART_S = 0.018
_MIN_PART_BYTES = 8 * 1024
_MAX_PART_BYTES = 256 * 1024
_MAX_WAIT_S = 10.0
_BUSY_INTERVAL_S = 0.5


class ChunkServer:
    """Answers chunk requests from the store.

    Args:
        store: chunk store of this agent.
        pacer: paces uploads.
        parallel_uploads: number of chunks sent at once; further ones wait.
        counts: byte counters.
        rate: adjusts the pacer by the queueing delays that receivers report;
            None leaves the pacer unchanged.
    """

    def __init__(
        self,
        store: ChunkStore,
        pacer: Pacer,
        parallel_uploads: int,
        counts: BurstCounts,
        rate: UploadRate | None = None,
    ):
        """Starts with all upload slots free."""
        self._rate = rate
        self._store = store
        self._pacer = pacer
        self._slots = asyncio.Semaphore(parallel_uploads)
        self._counts = counts

    async def send_chunk(
        self, request: agent_pb2.ChunkRequest, stream: Any
    ) -> None:
        """Sends a chunk in parts, or the reason why it can't be sent."""
        version = self._store.versions_by_digest.get(request.manifest)
        if version is None:
            await self._send_outcome(stream, agent_pb2.CHUNK_UNKNOWN_MANIFEST)
            return
        index = version.index_by_digest.get(request.digest)
        if index is None:
            await self._send_outcome(stream, agent_pb2.CHUNK_UNKNOWN_MANIFEST)
            return
        version.holdings.add_report(
            request.requester, request.held, request.known
        )
        wait_s = min(request.wait_ms / 1000, _MAX_WAIT_S)
        if not await version.wait_for_chunk(index, wait_s):
            await self._send_outcome(stream, agent_pb2.CHUNK_NOT_HELD, version)
            return
        await self._wait_for_slot(stream)
        try:
            # The chunk was verified when it was written, and the receiver
            # verifies it again.
            data = version.read_chunk(index)
            await self._send(stream, data, version, request.requester)
        except TimeoutError:
            metrics.BURST_RECEIVERS_SILENT.inc()
            log_event("receiver_silent", peer=request.requester, index=index)
        finally:
            self._slots.release()

    def exchange(self, rumour: agent_pb2.Rumour) -> agent_pb2.Rumour:
        """Records another agent's holdings of a version; returns this one's."""
        version = self._store.versions_by_digest.get(rumour.manifest)
        if version is None:
            return agent_pb2.Rumour(manifest=rumour.manifest)
        version.holdings.add_report(rumour.teller, rumour.held, rumour.known)
        return agent_pb2.Rumour(
            manifest=rumour.manifest,
            held=packed(version.held),
            known=version.holdings.known_bits(),
        )

    def manifest(self, digest: str, path: str = "") -> bytes:
        """Returns a held version's manifest, or empty bytes.

        Args:
            digest: digest of the manifest, or empty.
            path: path of the version at outside sources, for a requester that
                doesn't know the digest.
        """
        version = self._store.versions_by_digest.get(digest)
        if version is None and path:
            version = self._store.version_at(path)
        return version.content if version is not None else b""

    async def _wait_for_slot(self, stream: Any) -> None:
        """Acquires a slot; sends "busy" to the receiver at intervals."""
        acquiring = asyncio.ensure_future(self._slots.acquire())
        try:
            while not (
                await asyncio.wait([acquiring], timeout=_BUSY_INTERVAL_S)
            )[0]:
                await self._send_outcome(stream, agent_pb2.CHUNK_BUSY)
        except BaseException:
            if not acquiring.cancel():
                self._slots.release()
            raise

    async def _send(
        self,
        stream: Any,
        data: bytes,
        version: StagedVersion,
        receiver: str,
    ) -> None:
        part_bytes = min(
            max(self._pacer.bytes_in(_PART_S), _MIN_PART_BYTES), _MAX_PART_BYTES
        )
        starts = range(0, len(data), part_bytes)
        await stream.send_message(
            agent_pb2.ChunkPart(
                outcome=agent_pb2.CHUNK_READY,
                parts=len(starts),
                held=packed(version.held),
                known=version.holdings.known_bits(),
            )
        )
        for start in starts:
            # A receiver that stops asking must not occupy the slot for long.
            async with asyncio.timeout(_MAX_WAIT_S):
                ask = await stream.recv_message()
                # The request for the first part carries no queueing delay,
                # because no earlier part has been sent.
                if self._rate is not None and ask is not None and start:
                    self._rate.record_queueing_delay(
                        receiver, ask.queued_ms / 1000
                    )
                part = data[start : start + part_bytes]
                await self._pacer.pass_bytes(len(part))
                await stream.send_message(
                    agent_pb2.ChunkPart(
                        outcome=agent_pb2.CHUNK_DATA,
                        data=part,
                        sent_us=int(now_s() * 1e6),
                    )
                )
            self._counts.sent_bytes += len(part)
            metrics.BURST_BYTES.labels("sent").inc(len(part))

    async def _send_outcome(
        self,
        stream: Any,
        outcome: agent_pb2.ChunkOutcome,
        version: StagedVersion | None = None,
    ) -> None:
        part = agent_pb2.ChunkPart(outcome=outcome)
        if version is not None:
            part.held = packed(version.held)
            part.known = version.holdings.known_bits()
        await stream.send_message(part)
