"""Turns that entries take at control nodes, some of which end them early."""

import asyncio
import contextlib

import pytest
from grpclib.testing import ChannelFor

from damaskcroft._generated import quarantine_grpc
from damaskcroft.control import TurnsService
from damaskcroft.fleet import FleetView, TurnTaker
from damaskcroft.rpc import ChannelPool, Keys


class EndingService(quarantine_grpc.TurnsBase):
    """A node that ends each stream before it has granted a turn."""

    async def Take(self, stream):  # noqa: N802
        await stream.recv_message()


class Channels:
    """Channels by address."""

    def __init__(self, channels_by_address):
        self._channels_by_address = channels_by_address

    def channel(self, address):
        return self._channels_by_address[address]


async def granted_by(*services):
    """Whether a turn comes from nodes that serve so, each asked if need be."""
    async with contextlib.AsyncExitStack() as stack:
        channels = {
            f"node-{n}": await stack.enter_async_context(ChannelFor([service]))
            for n, service in enumerate(services)
        }
        taker = TurnTaker(FleetView(), Channels(channels), channels)
        granted = asyncio.Event()
        holding = asyncio.create_task(taker.hold(b"bad", 5.0, granted.set))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(2):
                await granted.wait()
        holding.cancel()
        await asyncio.gather(holding, return_exceptions=True)
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
def test_a_copy_goes_on_whatever_node_ends_its_stream(services):
    async def scenario():
        assert await granted_by(*(service() for service in services))

    asyncio.run(scenario())


def test_whoever_is_cancelled_as_a_call_fails_asks_nobody_else(
    loop, monkeypatch
):
    # Against entries that never end: the task went on at the next node.
    asked = []

    async def fails_when_cancelled(self, address, *_):
        asked.append(address)
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError as error:
            raise ConnectionError("Connection lost") from error

    monkeypatch.setattr(TurnTaker, "_hold_at", fails_when_cancelled)

    async def scenario():
        channels = ChannelPool(Keys(None, None))
        taker = TurnTaker(FleetView(), channels, ["a:1", "b:1", "c:1"])
        holding = asyncio.create_task(taker.hold(b"bad", 1.0, lambda: None))
        await asyncio.sleep(0.1)
        holding.cancel()
        await asyncio.wait([holding], timeout=5)
        assert holding.cancelled()
        assert len(asked) == 1

    loop.run(scenario())
