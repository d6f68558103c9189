"""Client for operators' calls to control, with safe retries."""

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
_RETRY_PAUSE_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """No replica gave a usable answer in time; a write may still take effect.

    Attributes:
        tried: addresses of the replicas that were called.
    """

    tried: tuple[str, ...]


class ControlClient:
    """Finds the leader among the replicas and calls it.

    Args:
        addresses: addresses of all control replicas.
        pool: pool of channels to the replicas.
        timeout_s: how long to retry until a leader answers.
    """

    def __init__(
        self, addresses: list[str], pool: ChannelPool, timeout_s: float
    ):
        """Sets the addresses; no connection is opened yet."""
        self._addresses = addresses
        self._pool = pool
        self._timeout_s = timeout_s

    async def write(
        self, request: control_pb2.WriteRequest
    ) -> control_pb2.WriteReply | NoAnswer:
        """Writes a record; retries with the same request id until decided."""
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
        """Reads the configuration, confirmed by a quorum."""
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
        """Returns the requests refused because targets crashed on them.

        Args:
            lift: fingerprints of requests, and keys of parts of prompts, to
                release from quarantine.
        """
        request = quarantine_pb2.QuarantineRequest(lift=lift)
        return await self._review(quarantine_grpc.QuarantineStub, request)

    async def limits(self) -> limits_pb2.LimitsReply | NoAnswer:
        """Returns the rate limits that targets announce."""
        request = limits_pb2.LimitsRequest()
        return await self._review(limits_grpc.LimitsStub, request)

    async def _review(
        self, stub_type: Callable[[grpclib.client.Channel], Any], request: Any
    ) -> Any:
        """Calls a service's Review; returns the first reply, or NoAnswer."""
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
        """Yields channels to all replicas in turn, until the timeout."""
        deadline = time.monotonic() + self._timeout_s
        while True:
            for address in self._addresses:
                yield self._pool.channel(address)
            if time.monotonic() > deadline:
                return
            await asyncio.sleep(_RETRY_PAUSE_S)
