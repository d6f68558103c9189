"""Asks control for turns to send copies of a suspect request."""

import asyncio
import hashlib
from collections.abc import Callable, Iterable

from damaskcroft._generated import quarantine_grpc, quarantine_pb2
from damaskcroft.fleet._view import FleetView
from damaskcroft.observe import log_event
from damaskcroft.rpc import CALL_ERRORS, ChannelPool

__all__ = ["TurnTaker"]

_MS_IN_S = 1000
_DIGEST_BYTES = 8
# A node that is cut off or frozen answers no request for a connection.
_OPEN_TIMEOUT_S = 0.4


class TurnTaker:
    """Takes turns at the control node that all entries ask first.

    Nodes are ranked by rendezvous hashing, so that no one of them has all the
    work and no leader is needed.

    Args:
        view: names the control nodes.
        channels: to them.
        seeds: addresses of control nodes' calls while none was told.
    """

    def __init__(
        self, view: FleetView, channels: ChannelPool, seeds: Iterable[str]
    ):
        """See the class."""
        self._view = view
        self._channels = channels
        self._seeds = tuple(seeds)

    async def hold(
        self, fingerprint: bytes, for_s: float, granted: Callable[[], None]
    ) -> None:
        """Waits for a turn and holds it until cancelled.

        Args:
            fingerprint: of the request.
            for_s: how long the turn is needed at most.
            granted: called once when it has come, or when no node answers.
        """
        for address in self._ranked(fingerprint):
            try:
                await self._hold_at(address, fingerprint, for_s, granted)
                log_event("turn_failed", address=address, reason="ended")
            except CALL_ERRORS as error:
                _raise_if_cancelled()
                log_event("turn_failed", address=address, reason=error)
        granted()

    async def _hold_at(
        self,
        address: str,
        fingerprint: bytes,
        for_s: float,
        granted: Callable[[], None],
    ) -> None:
        """Holds a turn of one node; returns if that ends the stream first."""
        stub = quarantine_grpc.TurnsStub(self._channels.channel(address))
        request = quarantine_pb2.TurnRequest(
            fingerprint=fingerprint, for_ms=int(for_s * _MS_IN_S)
        )
        async with stub.Take.open() as stream:
            try:
                async with asyncio.timeout(_OPEN_TIMEOUT_S):
                    await stream.send_message(request)
                if await stream.recv_message() is None:
                    return
                granted()
                await asyncio.Event().wait()
            finally:
                await stream.cancel()

    def _ranked(self, fingerprint: bytes) -> list[str]:
        addresses = self._view.control_addresses or self._seeds

        def weight(address: str) -> bytes:
            content = address.encode() + b"/" + fingerprint
            return hashlib.blake2b(content, digest_size=_DIGEST_BYTES).digest()

        return sorted(addresses, key=weight)


def _raise_if_cancelled() -> None:
    """Ends a task that was told to end.

    The library turns a cancellation that meets a failure of the call into that
    failure.

    Raises:
        asyncio.CancelledError: the running task was cancelled.
    """
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError
