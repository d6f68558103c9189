"""Reading chunks from other agents."""

import abc
import asyncio
import dataclasses

from damaskcroft._generated import agent_grpc, agent_pb2
from damaskcroft.rpc import CALL_ERRORS, ChannelPool


@dataclasses.dataclass(frozen=True, slots=True)
class PeerData:
    """A chunk's bytes as they came; not checked yet."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PeerNotYet:
    """The peer answers, but does not hold the chunk yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerFailed:
    """The peer gave nothing: unreachable, or stalled."""

    reason: str


class PeerSource(abc.ABC):
    """How an agent asks other agents."""

    @abc.abstractmethod
    async def fetch_chunk(
        self, address: str, request: agent_pb2.ChunkRequest
    ) -> PeerData | PeerNotYet | PeerFailed:
        """Asks for a chunk, waiting for it as long as the request says."""

    @abc.abstractmethod
    async def fetch_manifest(
        self, address: str, digest: str, path: str = ""
    ) -> PeerData | PeerNotYet | PeerFailed:
        """Asks for a manifest, by its name or by the version's path."""


class GrpcPeerSource(PeerSource):
    """Agents reached by grpclib.

    Args:
        pool: channels to agents.
        stall_s: silence after which a peer is given up.
    """

    def __init__(self, pool: ChannelPool, stall_s: float):
        """Uses channels of `pool`."""
        self._pool = pool
        self._stall_s = stall_s

    async def fetch_chunk(
        self, address: str, request: agent_pb2.ChunkRequest
    ) -> PeerData | PeerNotYet | PeerFailed:
        """See PeerSource."""
        stub = agent_grpc.ChunksStub(self._pool.channel(address))
        patience_s = request.wait_ms / 1000 + self._stall_s
        pieces: list[bytes] = []
        try:
            async with stub.GetChunk.open() as stream:
                await stream.send_message(agent_pb2.ChunkAsk(request=request))
                while True:
                    async with asyncio.timeout(patience_s):
                        part = await stream.recv_message()
                    if part is None:
                        await stream.cancel()
                        return PeerFailed("ended_early")
                    if part.outcome == agent_pb2.CHUNK_BUSY:
                        # Held, and waiting for its turn at the peer's link.
                        patience_s = self._stall_s
                        continue
                    if part.outcome != agent_pb2.CHUNK_DATA:
                        await stream.cancel()
                        return PeerNotYet()
                    pieces.append(part.data)
                    if part.last:
                        await stream.cancel()
                        return PeerData(b"".join(pieces))
                    await stream.send_message(agent_pb2.ChunkAsk(next=True))
                    patience_s = self._stall_s
        except TimeoutError:
            return PeerFailed("stalled")
        except CALL_ERRORS:
            return PeerFailed("unreachable")

    async def fetch_manifest(
        self, address: str, digest: str, path: str = ""
    ) -> PeerData | PeerNotYet | PeerFailed:
        """See PeerSource."""
        stub = agent_grpc.ChunksStub(self._pool.channel(address))
        request = agent_pb2.ManifestRequest(manifest=digest, path=path)
        try:
            reply = await stub.GetManifest(request, timeout=self._stall_s)
        except TimeoutError:
            return PeerFailed("stalled")
        except CALL_ERRORS:
            return PeerFailed("unreachable")
        return PeerData(reply.content) if reply.content else PeerNotYet()
