"""gRPC service of an agent for other agents."""

from typing import Any

from damaskcroft._generated import agent_grpc, agent_pb2
from damaskcroft.agent._chunks import ChunkServer


class ChunkService(agent_grpc.ChunksBase):
    """Serves chunks, manifests and gossip about held chunks."""

    def __init__(self, chunks: ChunkServer):
        """Serves the chunks that this agent holds."""
        self._chunks = chunks

    async def GetChunk(self, stream: Any) -> None:  # noqa: N802
        """Sends a chunk."""
        ask = await stream.recv_message()
        if ask is not None:
            await self._chunks.send_chunk(ask.request, stream)

    async def GetManifest(self, stream: Any) -> None:  # noqa: N802
        """Sends a manifest."""
        request = await stream.recv_message()
        content = self._chunks.manifest(request.manifest, request.path)
        await stream.send_message(agent_pb2.ManifestReply(content=content))

    async def Exchange(self, stream: Any) -> None:  # noqa: N802
        """Exchanges gossip about the chunks that both agents hold and know."""
        rumour = await stream.recv_message()
        await stream.send_message(self._chunks.exchange(rumour))
