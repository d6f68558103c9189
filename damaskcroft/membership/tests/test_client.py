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
    """Grants each renewal."""

    async def Hold(self, stream):  # noqa: N802
        await stream.recv_message()
        while (message := await stream.recv_message()) is not None:
            grant = control_pb2.LeaseGrant(
                sequence=message.renew.sequence, duration_ms=3000
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
