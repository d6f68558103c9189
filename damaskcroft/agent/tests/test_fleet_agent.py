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
