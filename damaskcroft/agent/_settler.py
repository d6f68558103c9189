"""Reports the outcomes of claimed runs to control until they are committed."""

import asyncio

from damaskcroft._generated import control_grpc, control_pb2
from damaskcroft.observe import log_event
from damaskcroft.rpc import CALL_ERRORS, ChannelPool

_CALL_TIMEOUT_S = 3.0
_FIRST_PAUSE_S = 0.05
_MAX_PAUSE_S = 2.0


class Settler:
    """Settles claims at the control replica that leads.

    Args:
        pool: channels to control.
        addresses: addresses of all control replicas.
    """

    def __init__(self, pool: ChannelPool, addresses: list[str]):
        """Assumes the first replica to be the leader until a reply says so."""
        self._pool = pool
        self._addresses = addresses
        self._leader = addresses[0]
        self._tasks: set[asyncio.Task] = set()

    def settle_later(self, request: control_pb2.SettleRequest) -> None:
        """Settles in the background, without a time limit."""
        task = asyncio.create_task(self.settle(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def settle(self, request: control_pb2.SettleRequest) -> None:
        """Retries with exponential backoff until the outcome is committed."""
        pause_s = _FIRST_PAUSE_S
        while not await self._try_once(request):
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 2, _MAX_PAUSE_S)

    async def finish(self, timeout_s: float) -> None:
        """Waits at a shutdown for background settlements, up to a timeout."""
        if not self._tasks:
            return
        _, late = await asyncio.wait(self._tasks, timeout=timeout_s)
        if late:
            log_event("settlements_left", count=len(late))

    async def _try_once(self, request: control_pb2.SettleRequest) -> bool:
        stub = control_grpc.ControlStub(self._pool.channel(self._leader))
        try:
            reply = await stub.Settle(request, timeout=_CALL_TIMEOUT_S)
        except CALL_ERRORS:
            self._select_next_replica()
            return False
        if reply.committed:
            return True
        if reply.leader and reply.leader != self._leader:
            self._leader = reply.leader
        else:
            self._select_next_replica()
        return False

    def _select_next_replica(self) -> None:
        if self._leader not in self._addresses:
            self._leader = self._addresses[0]
            return
        position = self._addresses.index(self._leader)
        self._leader = self._addresses[(position + 1) % len(self._addresses)]
