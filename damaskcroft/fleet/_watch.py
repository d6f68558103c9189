"""Watches all control nodes, so that no single one can withhold a change."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable

from damaskcroft._generated import fleet_grpc, fleet_pb2
from damaskcroft.fleet._view import FleetView
from damaskcroft.observe import log_event
from damaskcroft.rpc import CALL_ERRORS, ChannelPool
from damaskcroft.tasks import cancel_all

__all__ = ["UPDATE_EVERY_S", "Watcher"]

# Maximum interval between updates of a control node, so that silence means a
# lost stream.
UPDATE_EVERY_S = 0.5
# Time without updates after which the stream to a control node is reopened:
# four updates, within the two seconds that deployments allow for a change.
_SILENCE_S = 4 * UPDATE_EVERY_S
_RECONNECT_S = 0.2
_FETCH_TIMEOUT_S = 2.0


class Watcher:
    """Keeps a view up to date from all control nodes at once."""

    def __init__(
        self,
        view: FleetView,
        channels: ChannelPool,
        seeds: Iterable[str],
        request: Callable[[], fleet_pb2.WatchRequest],
        *,
        own_address: str = "",
        without_routes: bool = False,
        without_configuration: bool = False,
    ):
        """Creates a watcher without open streams.

        Args:
            view: the view to keep up to date.
            channels: channels to the control nodes.
            seeds: addresses of the first control nodes to watch.
            request: builds the watch request, which identifies the watcher, for
                each stream.
            own_address: address that is not watched.
            without_routes: whether to request configurations without routes.
            without_configuration: whether to receive targets and agents only.
        """
        self._view = view
        self._channels = channels
        self._request = request
        self._without_routes = without_routes
        self._without_configuration = without_configuration
        self._seeds = list(dict.fromkeys(seeds))
        self._own_address = own_address
        self._tasks_by_address: dict[str, asyncio.Task] = {}
        self._fetching = asyncio.Lock()

    async def run(self) -> None:
        """Watches until cancelled."""
        self.follow(self._seeds)
        try:
            await asyncio.Event().wait()
        finally:
            await cancel_all(list(self._tasks_by_address.values()))

    def follow(self, addresses: Iterable[str]) -> None:
        """Starts watching further control nodes."""
        for address in addresses:
            if address == self._own_address:
                continue
            if address not in self._tasks_by_address:
                self._tasks_by_address[address] = asyncio.create_task(
                    self._watch_forever(address)
                )

    async def _watch_forever(self, address: str) -> None:
        in_touch = False
        while True:
            try:
                async for _ in self._updates(address):
                    if not in_touch:
                        log_event("control_in_touch", address=address)
                    in_touch = True
            except CALL_ERRORS as error:
                if in_touch:
                    log_event("control_lost", address=address, reason=error)
                in_touch = False
                self._channels.drop(address)
            # Randomized, so that not all watchers reconnect to a restarted
            # control node at once.
            await asyncio.sleep(_RECONNECT_S * (0.5 + random.random()))

    async def _updates(self, address: str):
        """Applies the updates of one stream; yields after each."""
        stub = fleet_grpc.FleetStub(self._channels.channel(address))
        async with contextlib.AsyncExitStack() as stack:
            async with asyncio.timeout(_SILENCE_S):
                stream = await stack.enter_async_context(stub.Watch.open())
                await stream.send_message(self._request(), end=True)
            while True:
                async with asyncio.timeout(_SILENCE_S):
                    update = await stream.recv_message()
                if update is None:
                    return
                await self._apply(address, update, stub)
                yield

    async def _apply(
        self,
        address: str,
        update: fleet_pb2.FleetUpdate,
        stub: fleet_grpc.FleetStub,
    ) -> None:
        self._view.apply_update(update, address)
        self.follow(update.control_addresses)
        if self._without_configuration:
            return
        if update.configuration_version > self._view.version:
            await self._fetch(update.configuration_version, stub)

    async def _fetch(self, version: int, stub: fleet_grpc.FleetStub) -> None:
        """Fetches a newer configuration once, even if several nodes have it."""
        async with self._fetching:
            if version <= self._view.version:
                return
            reply = await stub.GetConfiguration(
                fleet_pb2.ConfigurationRequest(
                    above_version=self._view.version,
                    without_routes=self._without_routes,
                ),
                timeout=_FETCH_TIMEOUT_S,
            )
            if reply.HasField("configuration"):
                self._view.apply_configuration(reply.configuration)
