"""gRPC service of an agent for entries."""

import contextlib
from typing import Any

from damaskcroft._generated import agent_grpc, agent_pb2
from damaskcroft.agent._gate import Gate
from damaskcroft.agent._runs import Runner


class AgentService(agent_grpc.AgentBase):
    """Runs requests of entries and answers inquiries about claimed runs."""

    def __init__(self, runner: Runner, gate: Gate):
        """Serves one target's runner and gate."""
        self._runner = runner
        self._gate = gate

    async def Run(self, stream: Any) -> None:  # noqa: N802
        """Runs one request; a disconnected reader cancels a repeatable one."""
        request = await stream.recv_message()
        async with contextlib.aclosing(self._runner.run(request)) as events:
            async for event in events:
                await stream.send_message(event)

    async def Inquire(self, stream: Any) -> None:  # noqa: N802
        """Answers whether a claimed run was seen, and fences it if not."""
        request = await stream.recv_message()
        outcome = self._gate.fence_if_unseen(request)
        await stream.send_message(agent_pb2.InquireReply(outcome=outcome))
