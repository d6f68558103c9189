"""Operators' calls to control, with resends that are safe."""

import asyncio
import dataclasses
import time
from collections.abc import AsyncIterator, Callable, Iterable
from typing import Any

import grpclib.client

from damaskcroft._generated import (
    control_grpc,
    control_pb2,
    limits_grpc,
    limits_pb2,
    quarantine_grpc,
    quarantine_pb2,
)
from damaskcroft.rpc import CALL_ERRORS, ChannelPool

_CALL_TIMEOUT_S = 6.0
_PAUSE_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """No leader answered in time; a write may still take effect."""

    tried: tuple[str, ...]


class ControlClient:
    """Finds the leader among the replicas and asks it.

    Args:
        addresses: all control replicas.
        pool: channels to them.
        patience_s: how long to look for a leader.
    """

    def __init__(
        self, addresses: list[str], pool: ChannelPool, patience_s: float
    ):
        """See the class."""
        self._addresses = addresses
        self._pool = pool
        self._patience_s = patience_s

    async def write(
        self, request: control_pb2.WriteRequest
    ) -> control_pb2.WriteReply | NoAnswer:
        """Writes a record; the same request id is resent until decided."""
        undecided = (
            control_pb2.WRITE_NOT_LEADER,
            control_pb2.WRITE_UNKNOWN,
        )
        async for stub in self._stubs():
            try:
                reply = await stub.Write(request, timeout=_CALL_TIMEOUT_S)
            except CALL_ERRORS:
                continue
            if reply.outcome not in undecided:
                return reply
        return NoAnswer(tuple(self._addresses))

    async def read(self) -> control_pb2.ReadReply | NoAnswer:
        """Reads the configuration, confirmed by a majority."""
        async for stub in self._stubs():
            try:
                reply = await stub.Read(
                    control_pb2.ReadRequest(), timeout=_CALL_TIMEOUT_S
                )
            except CALL_ERRORS:
                continue
            if reply.confirmed:
                return reply
        return NoAnswer(tuple(self._addresses))

    async def quarantine(
        self, lift: Iterable[bytes] = ()
    ) -> quarantine_pb2.QuarantineReply | NoAnswer:
        """Requests that are refused since targets crashed under them.

        Args:
            lift: fingerprints of those that may run again.
        """
        request = quarantine_pb2.QuarantineRequest(lift=lift)
        return await self._reviewed(quarantine_grpc.QuarantineStub, request)

    async def limits(self) -> limits_pb2.LimitsReply | NoAnswer:
        """Targets that name how many requests a second they take."""
        request = limits_pb2.LimitsRequest()
        return await self._reviewed(limits_grpc.LimitsStub, request)

    async def _reviewed(
        self, stub_type: Callable[[grpclib.client.Channel], Any], request: Any
    ) -> Any:
        """The first replica's answer to a service's Review, or NoAnswer."""
        async for channel in self._channels():
            try:
                return await stub_type(channel).Review(
                    request, timeout=_CALL_TIMEOUT_S
                )
            except CALL_ERRORS:
                continue
        return NoAnswer(tuple(self._addresses))

    async def _stubs(self) -> AsyncIterator[control_grpc.ControlStub]:
        async for channel in self._channels():
            yield control_grpc.ControlStub(channel)

    async def _channels(self) -> AsyncIterator[grpclib.client.Channel]:
        """To all replicas in turn, until patience ends."""
        give_up_at = time.monotonic() + self._patience_s
        while True:
            for address in self._addresses:
                yield self._pool.channel(address)
            if time.monotonic() > give_up_at:
                return
            await asyncio.sleep(_PAUSE_S)
