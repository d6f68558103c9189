"""Calls on a connection that the library has given up.

What was found: when a peer answers no keepalive, the library closes the
connection, but calls go on using it until the close has ended; under TLS with
a peer that is gone that takes half a minute. Each of them failed with
`AttributeError: 'Connection' object has no attribute '_transport'`, which
nobody who makes calls expects. It would have ended a control node's election
task, and the task that keeps an agent's lease, in silence; neither was seen.

And: a call that fails in the moment in which its task is cancelled hides the
cancellation. That was seen, and kept control without a leader for a minute
(consensus/tests/test_elections.py).
"""

import asyncio
import contextlib

import pytest

from damaskcroft._generated import agent_grpc, agent_pb2
from damaskcroft.rpc import CALL_ERRORS, ChannelPool, Keys, called, grpc_served
from damaskcroft.standins.loopback import free_address

OPEN = Keys(None, None)


class Peer(agent_grpc.ChunksBase):
    async def GetChunk(self, stream): ...  # noqa: N802

    async def GetManifest(self, stream):  # noqa: N802
        await stream.recv_message()
        await stream.send_message(agent_pb2.ManifestReply(content=b"here"))

    async def Exchange(self, stream):  # noqa: N802
        await stream.recv_message()
        await asyncio.sleep(60)


@pytest.fixture
def address():
    return free_address()


async def ask(pool, address):
    stub = agent_grpc.ChunksStub(pool.channel(address))
    reply = await stub.GetManifest(agent_pb2.ManifestRequest(), timeout=5)
    return reply.content


def test_a_connection_that_is_being_closed_is_used_no_more(address):
    async def scenario():
        pool = ChannelPool(OPEN)
        async with grpc_served(address, [Peer()], OPEN):
            assert await ask(pool, address) == b"here"
            # What the library does when a keepalive has not been answered.
            channel = pool.channel(address)
            channel._protocol.processor.connection.close()
            answers = [await ask(pool, address) for _ in range(3)]
            pool.close()
        return answers

    assert asyncio.run(scenario()) == [b"here"] * 3


def test_a_call_that_is_cancelled_as_it_fails_ends_its_task(address):
    """The library tells the failure alone; whoever cancelled waits for ever."""

    async def scenario():
        pool = ChannelPool(OPEN)
        ended = []

        async def asks_for_ever():
            stub = agent_grpc.ChunksStub(pool.channel(address))
            while True:
                try:
                    await called(stub.Exchange(agent_pb2.Rumour()), 30.0)
                except CALL_ERRORS as error:
                    ended.append(error)
                    await asyncio.sleep(0.01)

        async with grpc_served(address, [Peer()], OPEN):
            task = asyncio.create_task(asks_for_ever())
            await asyncio.sleep(0.3)
            # The connection breaks, and in the same moment nobody wants the
            # answer any more.
            pool.channel(address)._protocol.connection_lost(None)
            task.cancel()
            await asyncio.wait([task], timeout=2)
            cancelled = task.cancelled()
            task.cancel()
            await asyncio.wait([task], timeout=2)
            pool.close()
        return cancelled

    assert asyncio.run(scenario())


def test_a_call_has_a_bound_that_the_library_can_not_miss(address):
    async def scenario():
        pool = ChannelPool(OPEN)
        async with grpc_served(address, [Peer()], OPEN):
            stub = agent_grpc.ChunksStub(pool.channel(address))
            began_at = asyncio.get_running_loop().time()
            with pytest.raises(TimeoutError):
                await called(stub.Exchange(agent_pb2.Rumour()), 0.3)
            pool.close()
        return asyncio.get_running_loop().time() - began_at

    assert asyncio.run(scenario()) < 2


class HeldUp(Peer):
    """Goes on for five seconds when it is cancelled."""

    def __init__(self):
        self.called = asyncio.Event()

    async def Exchange(self, stream):  # noqa: N802
        self.called.set()
        until = asyncio.get_running_loop().time() + 5.0
        while asyncio.get_running_loop().time() < until:
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(0.1)


def test_a_call_that_goes_on_when_cancelled_does_not_hold_up_the_end(address):
    # Against a program that waits at its end for a call without a bound.
    async def scenario():
        pool, peer = ChannelPool(OPEN), HeldUp()
        async with grpc_served(address, [peer], OPEN):
            stub = agent_grpc.ChunksStub(pool.channel(address))
            async with stub.Exchange.open() as stream:
                await stream.send_request()
                await peer.called.wait()
                await stream.cancel()
            told_at = asyncio.get_running_loop().time()
        pool.close()
        assert asyncio.get_running_loop().time() - told_at < 3.5

    asyncio.run(scenario())
