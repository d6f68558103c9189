"""Reads chunks from other agents."""

import abc
import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable
from typing import Any

from damaskcroft._generated import agent_grpc, agent_pb2
from damaskcroft.rpc import CALL_ERRORS, ChannelPool
from damaskcroft.weights._open_requests import OpenRequests
from damaskcroft.weights._path_delay import PathDelay
from damaskcroft.weights._window import PartWindow


@dataclasses.dataclass(frozen=True, slots=True)
class PeerData:
    """A chunk's bytes as received, not yet verified.

    Attributes:
        data: the bytes.
        held: chunks that the peer holds, as packed bits; empty if unknown.
        known: chunks that any agent holds to the peer's knowledge, likewise.
    """

    data: bytes
    held: bytes = b""
    known: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerChunkMissing:
    """The peer answers but does not hold the chunk yet.

    Attributes:
        held: chunks that the peer holds, as packed bits; empty if unknown.
        known: chunks that any agent holds to the peer's knowledge, likewise.
    """

    held: bytes = b""
    known: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerNotInBurst:
    """The peer answers but takes no part in the version's burst."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerFailed:
    """The peer sent nothing: it is unreachable, or stalled."""

    reason: str


PeerOutcome = PeerData | PeerChunkMissing | PeerNotInBurst | PeerFailed


TransferGuard = Callable[[], contextlib.AbstractContextManager[bool]]


class PeerSource(abc.ABC):
    """Client for the chunk service of other agents."""

    @abc.abstractmethod
    async def fetch_chunk(
        self,
        address: str,
        request: agent_pb2.ChunkRequest,
        should_abandon: Callable[[], bool] = lambda: False,
        transfer: TransferGuard = lambda: contextlib.nullcontext(True),
        *,
        is_held: bool = False,
    ) -> PeerOutcome:
        """Requests a chunk and waits as long as the request allows.

        Args:
            address: address of the agent.
            request: the chunk, and how long the agent may wait for it.
            should_abandon: whether a request that waits at the agent should be
                dropped, because the chunk is available elsewhere by now.
            transfer: entered before the chunk's bytes are requested; yields
                whether they may be.
            is_held: whether the agent is known to hold the chunk.
        """

    @abc.abstractmethod
    async def fetch_manifest(
        self, address: str, digest: str, path: str = ""
    ) -> PeerData | PeerChunkMissing | PeerFailed:
        """Requests a manifest, by its digest or by the version's path."""

    @abc.abstractmethod
    async def exchange(
        self, address: str, rumour: agent_pb2.Rumour
    ) -> agent_pb2.Rumour | None:
        """Exchanges holdings with an agent; None if it does not answer."""


class GrpcPeerSource(PeerSource):
    """Client for other agents over grpclib.

    Args:
        pool: channels to agents.
        stall_s: time without a message after which a request fails.
    """

    def __init__(self, pool: ChannelPool, stall_s: float):
        """Opens no channel until the first request."""
        self._pool = pool
        self._stall_s = stall_s
        self._window = PartWindow()
        self._open_requests = OpenRequests()
        self._delays_by_address: dict[str, PathDelay] = {}

    @property
    def shortest_part_s(self) -> float:
        """Shortest recent transfer time of a part over this machine's link."""
        return self._window.min_transfer_s

    @property
    def is_link_fast(self) -> bool:
        """Whether parts arrived fast just now; False if none arrived."""
        return self._window.is_fast

    async def fetch_chunk(
        self,
        address: str,
        request: agent_pb2.ChunkRequest,
        should_abandon: Callable[[], bool] = lambda: False,
        transfer: TransferGuard = lambda: contextlib.nullcontext(True),
        *,
        is_held: bool = False,
    ) -> PeerOutcome:
        """Requests a chunk part by part over one stream."""
        try:
            async with (
                self._chunk_slot(is_held),
                self._opened(address) as stream,
            ):
                # A machine that is gone does not answer connection attempts
                # either.
                async with asyncio.timeout(self._stall_s):
                    await stream.send_message(
                        agent_pb2.ChunkAsk(request=request)
                    )
                timeout_s = request.wait_ms / 1000 + self._stall_s
                outcome = await self._receive_chunk(
                    stream, timeout_s, address, should_abandon, transfer
                )
                await stream.cancel()
                return outcome
        except TimeoutError:
            # The connection may be dead without having been closed.
            self._pool.drop(address)
            return PeerFailed("stalled")
        except CALL_ERRORS:
            return PeerFailed("unreachable")

    def _chunk_slot(
        self, is_held: bool
    ) -> contextlib.AbstractAsyncContextManager[None]:
        if is_held:
            return self._window.chunk_slot()
        return contextlib.nullcontext()

    @contextlib.asynccontextmanager
    async def _opened(self, address: str) -> AsyncIterator[Any]:
        """Opens a stream of requests and answers with an agent."""
        stub = agent_grpc.ChunksStub(self._pool.channel(address))
        async with stub.GetChunk.open() as stream:
            yield stream

    async def _receive_chunk(
        self,
        stream: Any,
        timeout_s: float,
        address: str,
        should_abandon: Callable[[], bool],
        transfer: TransferGuard,
    ) -> PeerOutcome:
        """Waits until the peer is ready, then requests part after part."""
        while True:
            async with asyncio.timeout(timeout_s):
                with self._open_requests.track(should_abandon) as abandoned:
                    answer = await _next_message(stream, abandoned)
            if isinstance(answer, PeerChunkMissing):
                return answer
            if answer is None:
                return PeerFailed("ended_early")
            if answer.outcome == agent_pb2.CHUNK_BUSY:
                timeout_s = self._stall_s
                continue
            if answer.outcome == agent_pb2.CHUNK_UNKNOWN_MANIFEST:
                return PeerNotInBurst()
            if answer.outcome != agent_pb2.CHUNK_READY:
                return PeerChunkMissing(answer.held, answer.known)
            with transfer() as may_begin:
                if not may_begin:
                    return PeerChunkMissing(answer.held, answer.known)
                return await self._receive_parts(stream, answer, address)

    async def _receive_parts(
        self, stream: Any, ready: agent_pb2.ChunkPart, address: str
    ) -> PeerData | PeerFailed:
        data: list[bytes] = []
        rank = self._window.next_rank()
        delay = self._delays_by_address.setdefault(address, PathDelay())
        queued_s = 0.0
        while len(data) < ready.parts:
            # A chunk has no more than one part in flight: if a chunk waited for
            # a slot while it held others, chunks could block each other for
            # ever.
            async with self._window.part_slot(rank, address):
                ask = agent_pb2.ChunkAsk(
                    next=True, queued_ms=int(queued_s * 1000)
                )
                await stream.send_message(ask)
                async with asyncio.timeout(self._stall_s):
                    part = await stream.recv_message()
            if part is None:
                return PeerFailed("ended_early")
            queued_s = delay.queueing_delay_s(part.sent_us / 1e6)
            self._window.record_queueing_delay(queued_s)
            data.append(part.data)
        return PeerData(b"".join(data), ready.held, ready.known)

    async def fetch_manifest(
        self, address: str, digest: str, path: str = ""
    ) -> PeerData | PeerChunkMissing | PeerFailed:
        """Requests a manifest in one call."""
        stub = agent_grpc.ChunksStub(self._pool.channel(address))
        request = agent_pb2.ManifestRequest(manifest=digest, path=path)
        try:
            reply = await stub.GetManifest(request, timeout=self._stall_s)
        except TimeoutError:
            return PeerFailed("stalled")
        except CALL_ERRORS:
            return PeerFailed("unreachable")
        return PeerData(reply.content) if reply.content else PeerChunkMissing()

    async def exchange(
        self, address: str, rumour: agent_pb2.Rumour
    ) -> agent_pb2.Rumour | None:
        """Exchanges holdings in one call."""
        stub = agent_grpc.ChunksStub(self._pool.channel(address))
        try:
            return await stub.Exchange(rumour, timeout=self._stall_s)
        except (TimeoutError, *CALL_ERRORS):
            return None


async def _next_message(
    stream: Any, abandoned: asyncio.Future[None]
) -> agent_pb2.ChunkPart | PeerChunkMissing | None:
    """Returns the next message, or PeerChunkMissing if abandoned."""
    receiving = asyncio.ensure_future(stream.recv_message())
    # The task may fail when it is no longer awaited; its exception must be
    # retrieved even then.
    receiving.add_done_callback(
        lambda done: done.cancelled() or done.exception()
    )
    try:
        await asyncio.wait(
            {receiving, abandoned}, return_when=asyncio.FIRST_COMPLETED
        )
        return receiving.result() if receiving.done() else PeerChunkMissing()
    finally:
        receiving.cancel()
