"""Announcements of an agent's state to the fleet."""

import asyncio

from damaskcroft._generated import fleet_grpc, fleet_pb2
from damaskcroft.agent import FleetAgent
from damaskcroft.fleet import FleetView
from damaskcroft.rpc import ChannelPool, Keys, serve_grpc
from damaskcroft.standins.loopback import free_address


class Settings:
    rpc_address = "a:1"
    target_address = "t:1"
    failure_domain = "d"
    region = "r"
    target_service = "s"


def test_restarted_agent_supersedes_its_earlier_incarnation():
    """The time of day was set back by an hour between the two starts."""

    async def scenario():
        view = FleetView()
        own = FleetAgent(Settings, view, None)
        earlier = fleet_pb2.AgentState(
            address="a:1", incarnation="earlier", sequence=7,
            started=own.state.started + 3_600_000,
        )  # fmt: skip
        await own.announce(fleet_pb2.AGENT_SERVING, [], None)
        view.merge([], [earlier])
        assert view.agents_by_address["a:1"].incarnation == "earlier"
        await own.announce(fleet_pb2.AGENT_SERVING, [], None)
        held = view.agents_by_address["a:1"]
        assert held.incarnation == own.state.incarnation
        view.merge([], [earlier])
        assert view.agents_by_address["a:1"] == held

    asyncio.run(scenario())


def test_link_delay_is_announced_in_steps():
    async def scenario():
        view = FleetView()
        delay_s = [0.03]
        own = FleetAgent(Settings, view, None, lambda: delay_s[0])
        announced = []
        for delay_s[0] in (0.03, 0.06, 0.3, 0.4, 1.7, 0.02):
            await own.announce(fleet_pb2.AGENT_SERVING, [], None)
            announced.append((own.state.link_delay_ms, own.state.sequence))
        assert announced == [
            (0, 1), (0, 1), (250, 2), (250, 2), (1000, 3), (0, 4),
        ]  # fmt: skip

    asyncio.run(scenario())


class Control(fleet_grpc.FleetBase):
    """A control node that records the announcements it receives."""

    def __init__(self):
        self.announced = []

    async def Relay(self, stream):  # noqa: N802
        self.announced.extend((await stream.recv_message()).agents)
        await stream.send_message(fleet_pb2.RelayReply())

    async def Watch(self, stream): ...  # noqa: N802
    async def GetConfiguration(self, stream): ...  # noqa: N802
    async def Forward(self, stream): ...  # noqa: N802
    async def ReadIndex(self, stream): ...  # noqa: N802


def test_control_node_discovered_later_gets_the_state_once():
    """All machines start at once, and the target answers before control does.

    The update stream was opened before the agent had a state to announce.
    """

    async def scenario():
        view, control, address = FleetView(), Control(), free_address()
        channels = ChannelPool(Keys(None, None))
        own = FleetAgent(Settings, view, channels)
        async with serve_grpc(address, [control], Keys(None, None)):
            await own.announce(fleet_pb2.AGENT_SERVING, [], None)
            assert control.announced == []
            view.apply_update(
                fleet_pb2.FleetUpdate(control_addresses=[address])
            )
            for _ in range(3):
                await own.announce(fleet_pb2.AGENT_SERVING, [], None)
            assert control.announced == [own.state]
            await own.announce(fleet_pb2.AGENT_SWITCHING, [], None)
            assert [state.sequence for state in control.announced] == [1, 2]
        channels.close()

    asyncio.run(scenario())


def test_guard_is_renewed_while_the_target_holds_old_weights(loop):
    """A guard expires at others, because its agent may stop unannounced."""
    old = fleet_pb2.HeldLayers(model="m", version=1, end_layer=4)
    new = fleet_pb2.HeldLayers(model="m", version=2, end_layer=4)
    goal = fleet_pb2.WeightGoal(model="m", version=2)

    async def scenario():
        view, observer = FleetView(), FleetView()
        own = FleetAgent(Settings, view, None, guarded_versions=lambda: [goal])

        async def announce_for(seconds, held):
            for _ in range(int(seconds / 0.2)):
                await own.announce(fleet_pb2.AGENT_SERVING, [held], None)
                observer.merge([], [own.state])
                await asyncio.sleep(0.2)

        await announce_for(5, old)
        assert 5 <= own.state.sequence <= 6
        assert observer.guarded_version("a:1", "m") == 2
        assert observer.guarded_version("a:1", "other") == 0
        await announce_for(5, new)
        assert own.state.sequence <= 7
        assert observer.guarded_version("a:1", "m") == 0

    loop.run(scenario())


def test_unreachable_control_node_does_not_delay_announcements(loop):
    """Orders wait for the announcement; any control node relays it to all."""

    class RecordingAgent(FleetAgent):
        reached = ()

        async def _announce_to(self, address):
            if address == "here":
                self.reached += (address,)
                return True
            await asyncio.sleep(0.5)
            return False

    async def scenario():
        view = FleetView()
        own = RecordingAgent(Settings, view, None)
        view.control_addresses = ("away", "here", "gone")
        began_at = loop.time()
        await own.announce(fleet_pb2.AGENT_SERVING, [], None)
        assert loop.time() - began_at < 0.1
        assert own.reached == ("here",)
        view.control_addresses = ("away", "gone")
        await own.announce(fleet_pb2.AGENT_SWITCHING, [], None)
        assert 0.5 <= loop.time() - began_at < 0.6

    loop.run(scenario())
