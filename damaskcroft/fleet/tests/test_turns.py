"""Turns granted by control nodes, some of which end their streams early."""

import asyncio
import contextlib

import pytest
from grpclib.testing import ChannelFor

from damaskcroft._generated import quarantine_grpc
from damaskcroft.control import TurnsService
from damaskcroft.fleet import FleetView, TurnClient
from damaskcroft.rpc import ChannelPool, Keys


class EndingService(quarantine_grpc.TurnsBase):
    """A control node that ends each stream before it has granted a turn."""

    async def Take(self, stream):  # noqa: N802
        await stream.recv_message()


class Channels:
    """Channels by address."""

    def __init__(self, channels_by_address):
        self._channels_by_address = channels_by_address

    def channel(self, address):
        return self._channels_by_address[address]


async def granted_by(*services):
    """Whether a turn is granted by nodes with the given services."""
    async with contextlib.AsyncExitStack() as stack:
        channels = {
            f"node-{n}": await stack.enter_async_context(ChannelFor([service]))
            for n, service in enumerate(services)
        }
        client = TurnClient(FleetView(), Channels(channels), channels)
        granted = asyncio.Event()
        turn_task = asyncio.create_task(client.hold(b"bad", 5.0, granted.set))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(2):
                await granted.wait()
        turn_task.cancel()
        await asyncio.gather(turn_task, return_exceptions=True)
        return granted.is_set()


@pytest.mark.parametrize(
    "services",
    [
        (TurnsService,),
        (EndingService, TurnsService),
        (TurnsService, EndingService),
        (EndingService, EndingService),
    ],
)
def test_a_copy_proceeds_when_nodes_end_their_streams(services):
    async def scenario():
        assert await granted_by(*(service() for service in services))

    asyncio.run(scenario())


def test_a_task_cancelled_as_a_call_fails_asks_no_other_node(loop, monkeypatch):
    # Guards against entries that never end because a cancelled task went on to
    # ask the next node.
    asked_addresses = []

    async def fails_when_cancelled(self, address, *_):
        asked_addresses.append(address)
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError as error:
            raise ConnectionError("Connection lost") from error

    monkeypatch.setattr(TurnClient, "_hold_at", fails_when_cancelled)

    async def scenario():
        channels = ChannelPool(Keys(None, None))
        client = TurnClient(FleetView(), channels, ["a:1", "b:1", "c:1"])
        turn_task = asyncio.create_task(client.hold(b"bad", 1.0, lambda: None))
        await asyncio.sleep(0.1)
        turn_task.cancel()
        await asyncio.wait([turn_task], timeout=5)
        assert turn_task.cancelled()
        assert len(asked_addresses) == 1

    loop.run(scenario())
