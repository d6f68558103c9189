"""Client for turns to send copies of a suspect request.

A turn is the permission to send one copy of a suspect request, granted by a
control node to one entry at a time.
"""

import asyncio
import hashlib
from collections.abc import Callable, Iterable

from damaskcroft._generated import quarantine_grpc, quarantine_pb2
from damaskcroft.fleet._view import FleetView
from damaskcroft.observe import log_event
from damaskcroft.rpc import CALL_ERRORS, ChannelPool

__all__ = ["TurnClient"]

_MS_IN_S = 1000
_DIGEST_BYTES = 8
# A node that is partitioned or suspended does not answer connection attempts.
_OPEN_TIMEOUT_S = 0.4


class TurnClient:
    """Acquires turns at the control node that all entries ask first.

    Control nodes are ranked by rendezvous hashing of the fingerprint, which
    spreads the load over them and needs no leader.

    Args:
        view: the view that lists the control nodes.
        channels: channels to the control nodes.
        seeds: addresses used until the control nodes are known.
    """

    def __init__(
        self, view: FleetView, channels: ChannelPool, seeds: Iterable[str]
    ):
        """Stores the view, the channels and the seeds; no turn is held."""
        self._view = view
        self._channels = channels
        self._seeds = tuple(seeds)

    async def hold(
        self, fingerprint: bytes, for_s: float, granted: Callable[[], None]
    ) -> None:
        """Waits for a turn and holds it until cancelled.

        Args:
            fingerprint: fingerprint of the request.
            for_s: maximum time for which the turn is needed.
            granted: called once when the turn is granted, or when no node
                answers.
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
        """Holds a turn of one node; returns if the node ends the stream."""
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
    """Re-raises a cancellation that the RPC library has replaced.

    If a call fails while it is being cancelled, the library raises the failure
    of the call instead of the cancellation.

    Raises:
        asyncio.CancelledError: the running task was cancelled.
    """
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError
