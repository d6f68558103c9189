"""Grants entries their turns to send copies of a suspect request."""

import asyncio
import contextlib
from typing import Any

from damaskcroft._generated import quarantine_grpc, quarantine_pb2
from damaskcroft.quarantine import Turns

__all__ = ["TurnsService"]

_MS_IN_S = 1000


class TurnsService(quarantine_grpc.TurnsBase):
    """Soft state: a turn ends with its stream, or with this process."""

    def __init__(self) -> None:
        """Nobody has asked."""
        self._turns = Turns()

    async def Take(self, stream: Any) -> None:  # noqa: N802
        """Answers when it is the caller's turn, and waits for its end."""
        request = await stream.recv_message()
        if request is None:
            return
        async with self._turns.taken(request.fingerprint):
            await stream.send_message(quarantine_pb2.TurnGranted())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(request.for_ms / _MS_IN_S):
                    await stream.recv_message()
