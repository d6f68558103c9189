"""Grants turns to entries that have copies of a suspect request to send.

A suspect request is one that ran on a target that crashed. A turn is the
permission to send one copy of it, granted to one entry at a time.
"""

import asyncio
import contextlib
from typing import Any

from damaskcroft._generated import quarantine_grpc, quarantine_pb2
from damaskcroft.quarantine import Turns

__all__ = ["TurnsService"]

_MS_IN_S = 1000


class TurnsService(quarantine_grpc.TurnsBase):
    """Keeps turns in memory: one ends with its stream or with this process."""

    def __init__(self) -> None:
        """Starts with no turn granted or requested."""
        self._turns = Turns()

    async def Take(self, stream: Any) -> None:  # noqa: N802
        """Grants the caller its turn until it ends the stream or time is up."""
        request = await stream.recv_message()
        if request is None:
            return
        async with self._turns.taken(request.fingerprint):
            await stream.send_message(quarantine_pb2.TurnGranted())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(request.for_ms / _MS_IN_S):
                    await stream.recv_message()
