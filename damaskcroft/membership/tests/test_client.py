"""A holder finds the leader again, whatever the first address does.

What was found while known failure 2 was looked for: connecting to a control
node had no bound. A frozen node accepts connections and then says nothing; a
TLS handshake with it is given up after a minute, and the lease runs out.
"""

import asyncio

from grpclib.client import Channel
from grpclib.testing import ChannelFor

from damaskcroft._generated import control_grpc, control_pb2
from damaskcroft.membership import LeaseClient

RENEW_S = 0.5


class SilentChannel(Channel):
    """A channel to a process that accepts connections and does nothing."""

    async def __connect__(self):
        await asyncio.sleep(1e6)


class Leader(control_grpc.ControlBase):
    """Grants each renewal; may end each stream after some grants."""

    def __init__(self, grants_a_stream=10**6):
        self.grants_a_stream = grants_a_stream
        self.granted_revisions = []

    async def Hold(self, stream):  # noqa: N802
        hello = await stream.recv_message()
        self.granted_revisions.append(hello.granted_revision)
        for _ in range(self.grants_a_stream):
            message = await stream.recv_message()
            if message is None:
                return
            grant = control_pb2.LeaseGrant(
                sequence=message.renew.sequence,
                duration_ms=3000,
                announced_revision=7,
            )
            await stream.send_message(control_pb2.ControlMessage(lease=grant))

    async def Write(self, stream): ...  # noqa: N802

    async def Read(self, stream): ...  # noqa: N802

    async def Claim(self, stream): ...  # noqa: N802

    async def Settle(self, stream): ...  # noqa: N802


class Pool:
    def __init__(self, channels_by_address):
        self.channels_by_address = channels_by_address

    def channel(self, address):
        return self.channels_by_address[address]


def test_the_next_node_is_asked_after_one_that_says_nothing(loop):
    async def scenario():
        async with ChannelFor([Leader()]) as leader:
            pool = Pool({"a": SilentChannel("127.0.0.1", 1), "b": leader})
            client = LeaseClient(
                control_pb2.Announcement(id="agent-0", incarnation="one"),
                ["a", "b"],
                pool,
                RENEW_S,
                lambda: control_pb2.TargetReport(),
            )
            running = asyncio.ensure_future(client.run())
            await asyncio.sleep(10.0)
            held = client.lease.is_held
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            return held

    assert loop.run(scenario())


def test_a_holder_tells_the_next_leader_what_it_was_granted(loop):
    async def scenario():
        leader = Leader(grants_a_stream=2)
        async with ChannelFor([leader]) as channel:
            client = LeaseClient(
                control_pb2.Announcement(id="agent-0", incarnation="one"),
                ["a"],
                Pool({"a": channel}),
                RENEW_S,
                lambda: control_pb2.TargetReport(),
            )
            running = asyncio.ensure_future(client.run())
            await asyncio.sleep(5.0)
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
        return leader.granted_revisions

    first, *later = loop.run(scenario())
    assert first == 0
    assert later
    assert set(later) == {7}
