"""A holder finds the leader even if the first control node does not respond.

Connecting to a control node once had no time limit. A frozen node accepts
connections and then sends nothing; a TLS handshake with it times out after a
minute, by which time the lease has expired.
"""

import asyncio

from grpclib.client import Channel
from grpclib.testing import ChannelFor

from damaskcroft._generated import control_grpc, control_pb2
from damaskcroft.membership import LeaseClient

RENEW_EVERY_S = 0.5


class SilentChannel(Channel):
    """A channel to a process that accepts connections and never replies."""

    async def __connect__(self):
        await asyncio.sleep(1e6)


class FakeLeader(control_grpc.ControlBase):
    """Grants each renewal; ends each stream after a number of grants."""

    def __init__(self, max_grants_per_stream=10**6):
        self.max_grants_per_stream = max_grants_per_stream
        self.granted_revisions = []

    async def Hold(self, stream):  # noqa: N802
        first_message = await stream.recv_message()
        self.granted_revisions.append(first_message.granted_revision)
        for _ in range(self.max_grants_per_stream):
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


class FakePool:
    def __init__(self, channels_by_address):
        self.channels_by_address = channels_by_address

    def channel(self, address):
        return self.channels_by_address[address]


def test_client_connects_to_next_node_if_first_is_silent(loop):
    async def scenario():
        async with ChannelFor([FakeLeader()]) as leader:
            pool = FakePool({"a": SilentChannel("127.0.0.1", 1), "b": leader})
            client = LeaseClient(
                control_pb2.Announcement(id="agent-0", incarnation="one"),
                ["a", "b"],
                pool,
                RENEW_EVERY_S,
                lambda: control_pb2.TargetReport(),
            )
            running = asyncio.ensure_future(client.run())
            await asyncio.sleep(10.0)
            held = client.lease.is_held
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            return held

    assert loop.run(scenario())


def test_holder_sends_granted_revision_to_next_leader(loop):
    async def scenario():
        leader = FakeLeader(max_grants_per_stream=2)
        async with ChannelFor([leader]) as channel:
            client = LeaseClient(
                control_pb2.Announcement(id="agent-0", incarnation="one"),
                ["a"],
                FakePool({"a": channel}),
                RENEW_EVERY_S,
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
