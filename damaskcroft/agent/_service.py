"""The gRPC faces of an agent: towards entries, and towards other agents."""

import contextlib
from typing import Any

from damaskcroft._generated import agent_grpc, agent_pb2
from damaskcroft.agent._chunks import ChunkServer
from damaskcroft.agent._gate import Gate
from damaskcroft.agent._runs import Runner


class AgentService(agent_grpc.AgentBase):
    """Answers entries."""

    def __init__(self, runner: Runner, gate: Gate):
        """Serves one target's runner and gate."""
        self._runner = runner
        self._gate = gate

    async def Run(self, stream: Any) -> None:  # noqa: N802
        """Runs one request; a reader that leaves cancels what may repeat."""
        request = await stream.recv_message()
        async with contextlib.aclosing(self._runner.run(request)) as events:
            async for event in events:
                await stream.send_message(event)

    async def Inquire(self, stream: Any) -> None:  # noqa: N802
        """Tells whether a claimed run was seen, and forbids it if not."""
        request = await stream.recv_message()
        outcome = self._gate.forbid(request)
        await stream.send_message(agent_pb2.InquireReply(outcome=outcome))


class ChunkService(agent_grpc.ChunksBase):
    """Answers other agents."""

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
        """Hears what another agent holds and knows, and says the same."""
        rumour = await stream.recv_message()
        await stream.send_message(self._chunks.exchange(rumour))
