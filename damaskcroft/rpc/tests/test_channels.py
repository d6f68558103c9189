"""Calls on a closing connection, and cancellation and time-outs of calls.

Guards against two faults of the library. When a peer answers no keepalive, the
library closes the connection, but calls use it until the close has finished;
under TLS with a lost peer that takes half a minute. Each of them failed with
`AttributeError: 'Connection' object has no attribute '_transport'`, which
callers do not handle. It would silently have ended a control node's election
task and the task that renews an agent's lease; neither was observed.

A call that fails at the moment when its task is cancelled hides the
cancellation. This was observed, and left control without a leader for a minute
(consensus/tests/test_elections.py).
"""

import asyncio
import contextlib

import pytest

from damaskcroft._generated import agent_grpc, agent_pb2
from damaskcroft.rpc import CALL_ERRORS, ChannelPool, Keys, called, serve_grpc
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


def test_a_connection_that_is_being_closed_is_not_used(address):
    async def scenario():
        pool = ChannelPool(OPEN)
        async with serve_grpc(address, [Peer()], OPEN):
            assert await ask(pool, address) == b"here"
            # The library does this when a keepalive was not answered.
            channel = pool.channel(address)
            channel._protocol.processor.connection.close()
            answers = [await ask(pool, address) for _ in range(3)]
            pool.close()
        return answers

    assert asyncio.run(scenario()) == [b"here"] * 3


def test_a_call_that_is_cancelled_as_it_fails_ends_its_task(address):
    """Guards against a library that raises only the failure of the call."""

    async def scenario():
        pool = ChannelPool(OPEN)
        errors = []

        async def call_repeatedly():
            stub = agent_grpc.ChunksStub(pool.channel(address))
            while True:
                try:
                    await called(stub.Exchange(agent_pb2.Rumour()), 30.0)
                except CALL_ERRORS as error:
                    errors.append(error)
                    await asyncio.sleep(0.01)

        async with serve_grpc(address, [Peer()], OPEN):
            task = asyncio.create_task(call_repeatedly())
            await asyncio.sleep(0.3)
            # The connection is lost and the task is cancelled at the same
            # moment.
            pool.channel(address)._protocol.connection_lost(None)
            task.cancel()
            await asyncio.wait([task], timeout=2)
            cancelled = task.cancelled()
            task.cancel()
            await asyncio.wait([task], timeout=2)
            pool.close()
        return cancelled

    assert asyncio.run(scenario())


def test_a_call_without_a_reply_times_out(address):
    async def scenario():
        pool = ChannelPool(OPEN)
        async with serve_grpc(address, [Peer()], OPEN):
            stub = agent_grpc.ChunksStub(pool.channel(address))
            began_at = asyncio.get_running_loop().time()
            with pytest.raises(TimeoutError):
                await called(stub.Exchange(agent_pb2.Rumour()), 0.3)
            pool.close()
        return asyncio.get_running_loop().time() - began_at

    assert asyncio.run(scenario()) < 2


class UncancellablePeer(Peer):
    """Continues for five seconds and ignores cancellation."""

    def __init__(self):
        self.called = asyncio.Event()

    async def Exchange(self, stream):  # noqa: N802
        self.called.set()
        until = asyncio.get_running_loop().time() + 5.0
        while asyncio.get_running_loop().time() < until:
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(0.1)


def test_a_call_that_ignores_cancellation_does_not_delay_the_shutdown(address):
    # Guards against a shutdown that waits for a call without a time limit.
    async def scenario():
        pool, peer = ChannelPool(OPEN), UncancellablePeer()
        async with serve_grpc(address, [peer], OPEN):
            stub = agent_grpc.ChunksStub(pool.channel(address))
            async with stub.Exchange.open() as stream:
                await stream.send_request()
                await peer.called.wait()
                await stream.cancel()
            stopped_at = asyncio.get_running_loop().time()
        pool.close()
        assert asyncio.get_running_loop().time() - stopped_at < 3.5

    asyncio.run(scenario())
