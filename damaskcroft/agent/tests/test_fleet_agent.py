"""What an agent tells the fleet of itself."""

import asyncio

from damaskcroft._generated import fleet_pb2
from damaskcroft.agent import FleetAgent
from damaskcroft.fleet import FleetView


class Settings:
    rpc_address = "a:1"
    target_address = "t:1"
    failure_domain = "d"
    region = "r"
    target_service = "s"


def test_a_restarted_agent_goes_above_its_earlier_incarnation():
    """The time of day was set back by an hour between the two starts."""

    async def scenario():
        view = FleetView()
        own = FleetAgent(Settings, view, None)
        earlier = fleet_pb2.AgentState(
            address="a:1", incarnation="earlier", sequence=7,
            started=own.state.started + 3_600_000,
        )  # fmt: skip
        await own.tell(fleet_pb2.AGENT_SERVING, [], None)
        view.take([], [earlier])
        assert view.agents_by_address["a:1"].incarnation == "earlier"
        await own.tell(fleet_pb2.AGENT_SERVING, [], None)
        held = view.agents_by_address["a:1"]
        assert held.incarnation == own.state.incarnation
        view.take([], [earlier])
        assert view.agents_by_address["a:1"] == held

    asyncio.run(scenario())


def test_the_delay_of_the_link_is_told_in_steps():
    async def scenario():
        view = FleetView()
        took = [0.03]
        own = FleetAgent(Settings, view, None, lambda: took[0])
        told = []
        for took[0] in (0.03, 0.06, 0.3, 0.4, 1.7, 0.02):
            await own.tell(fleet_pb2.AGENT_SERVING, [], None)
            told.append((own.state.link_delay_ms, own.state.sequence))
        assert told == [
            (0, 1), (0, 1), (250, 2), (250, 2), (1000, 3), (0, 4),
        ]  # fmt: skip

    asyncio.run(scenario())
