"""Number and contents of the updates that control nodes send to agents."""

import asyncio
import collections

import pytest

from damaskcroft._generated import fleet_pb2
from damaskcroft.control import FleetControl, FleetService, FleetState
from damaskcroft.control._prompt_nodes import prompt_nodes
from damaskcroft.fleet import FleetView
from damaskcroft.tasks import cancel_all

MEMBERS = [f"10.1.0.{number}:7000" for number in range(1, 6)]
AGENTS = 40
NAME = "agent-1"
PROMPT = sorted(prompt_nodes(NAME, MEMBERS))
OTHERS = [member for member in MEMBERS if member not in PROMPT]


class Replica:
    """Members of control, as one of them knows them."""

    def __init__(self, address, members):
        self.address = address
        self._members = members

    def member_addresses(self):
        return self._members


class AgentStream:
    """An agent's stream, which applies each update to a view."""

    def __init__(self, **fields):
        self.view = FleetView()
        self.updates = []
        self._request = fleet_pb2.WatchRequest(name=NAME, **fields)

    async def recv_message(self):
        return self._request

    async def send_message(self, update):
        self.updates.append(update)
        self.view.apply_update(update)


class Node:
    """State and service of a control node."""

    def __init__(self, address=MEMBERS[0], members=MEMBERS):
        replica = Replica(address, members)
        self.state = FleetState()
        self.view = FleetView()
        control = FleetControl(replica, self.state, self.view, None)
        self.service = FleetService(replica, self.state, self.view, control)

    def watch(self, stream):
        return asyncio.create_task(self.service.Watch(stream))

    def desire(self, version):
        goal = fleet_pb2.WeightGoal(model="m", version=version)
        command = fleet_pb2.FleetCommand(name_weights=goal)
        self.state.apply(version, command.SerializeToString())


def agent_state(number, sequence, **fields):
    return fleet_pb2.AgentState(
        address=f"10.0.0.{number}:1", incarnation="i", sequence=sequence,
        started=1, **fields,
    )  # fmt: skip


@pytest.fixture
def play(loop):
    """Runs a scenario in virtual time; cancels the streams that it leaves."""

    def run(scenario):
        async def played():
            try:
                await scenario()
            finally:
                streams = asyncio.all_tasks() - {asyncio.current_task()}
                await cancel_all(list(streams))

        loop.run(played())

    return run


async def switch_all(node):
    """All agents leave service and return, within two seconds."""
    for number in range(AGENTS):
        for sequence, phase in (
            (1, fleet_pb2.AGENT_SWITCHING),
            (2, fleet_pb2.AGENT_SERVING),
        ):
            state = agent_state(number, sequence, phase=phase)
            node.view.merge([], [state])
            await asyncio.sleep(1.0 / AGENTS)


def test_only_two_control_nodes_send_an_agent_each_change(play):
    """Guards against the same changes from each node: 80 updates each here.

    With 62 agents and five control nodes these are 3,100 times as many updates
    as changes, each of which costs an agent some tenths of a millisecond.
    """

    async def scenario():
        for address in MEMBERS:
            node, stream = Node(address), AgentStream(is_agent=True)
            node.watch(stream)
            await asyncio.sleep(1.0)
            stream.updates.clear()
            await switch_all(node)
            await asyncio.sleep(0.6)
            if address in OTHERS:
                assert len(stream.updates) <= 6
            known = stream.view.agents_by_address.values()
            assert [agent.sequence for agent in known] == [2] * AGENTS

    play(scenario)


@pytest.mark.parametrize("address", PROMPT)
def test_a_switching_agent_is_sent_at_once_by_two_nodes(play, address):
    # Guards against more agents out of service than may be.
    async def scenario():
        node, stream = Node(address), AgentStream(is_agent=True)
        node.watch(stream)
        await asyncio.sleep(1.2)
        switching = agent_state(1, 1, phase=fleet_pb2.AGENT_SWITCHING)
        node.view.merge([], [switching])
        await asyncio.sleep(0.01)
        assert "10.0.0.1:1" in stream.view.agents_by_address

    play(scenario)


@pytest.mark.parametrize("address", MEMBERS)
def test_every_node_sends_a_desired_version_at_once(play, address):
    # Guards against two nodes that could withhold a change of version.
    async def scenario():
        node, stream = Node(address), AgentStream(is_agent=True)
        node.watch(stream)
        await asyncio.sleep(1.2)
        node.desire(7)
        await asyncio.sleep(0.06)
        assert stream.view.desired_version_by_model["m"].version == 7

    play(scenario)


@pytest.mark.parametrize("address", OTHERS)
def test_every_node_sends_each_change_within_half_a_second(play, address):
    # Guards against agents that learn nothing once both prompt nodes are lost.
    async def scenario():
        node, stream = Node(address), AgentStream(is_agent=True)
        node.watch(stream)
        await asyncio.sleep(1.2)
        node.view.merge([], [agent_state(1, 1)])
        await asyncio.sleep(0.51)
        assert "10.0.0.1:1" in stream.view.agents_by_address

    play(scenario)


def test_entries_get_each_change_from_every_node_at_once(play):
    async def scenario():
        for address in MEMBERS:
            node, stream = Node(address), AgentStream(is_entry=True)
            node.watch(stream)
            await asyncio.sleep(1.2)
            node.view.merge([], [agent_state(1, 1)])
            await asyncio.sleep(0.06)
            assert "10.0.0.1:1" in stream.view.agents_by_address

    play(scenario)


@pytest.mark.parametrize("members", [[], MEMBERS[:1], MEMBERS[:2]])
def test_with_few_control_nodes_each_sends_changes_at_once(play, members):
    async def scenario():
        for address in members or MEMBERS[:1]:
            node, stream = Node(address, members), AgentStream(is_agent=True)
            node.watch(stream)
            await asyncio.sleep(1.2)
            node.view.merge([], [agent_state(1, 1)])
            await asyncio.sleep(0.06)
            assert "10.0.0.1:1" in stream.view.agents_by_address

    play(scenario)


def test_agents_are_not_woken_by_renewals(play):
    """Guards against four updates a second that agents make no use of."""

    async def scenario():
        node = Node(PROMPT[0])
        stream, entry = AgentStream(is_agent=True), AgentStream(is_entry=True)
        for number in range(AGENTS):
            node.view.merge([], [agent_state(number, 1)])
        node.watch(stream)
        node.watch(entry)
        await asyncio.sleep(1.0)
        stream.updates.clear()
        for number in range(AGENTS):
            node.view.merge([], [agent_state(number, 2)])
            await asyncio.sleep(2.0 / AGENTS)
        await asyncio.sleep(0.5)
        assert len(stream.updates) <= 6
        assert not any(update.agents for update in stream.updates)
        known = entry.view.agents_by_address.values()
        assert [agent.sequence for agent in known] == [2] * AGENTS

    play(scenario)


def test_an_agent_without_a_state_is_known_as_an_agent(play):
    """Guards against an agent that is sent what only entries use.

    An agent opens its streams before its target has reported.
    """

    async def scenario():
        node, stream = Node(), AgentStream(is_agent=True)
        node.watch(stream)
        node.watch(AgentStream(is_entry=True))
        await asyncio.sleep(1.0)
        assert stream.updates[0].entries == 0
        assert not any(u.HasField("entry_names") for u in stream.updates)
        assert not node.view.agents_by_address

    play(scenario)


def test_agents_are_spread_over_the_control_nodes():
    # Guards against two nodes that send to all agents.
    counts = collections.Counter(
        node
        for number in range(500)
        for node in prompt_nodes(f"agent-{number}", MEMBERS)
    )
    assert sum(counts.values()) == 1000
    assert min(counts.values()) > 120


def test_the_loss_of_a_member_moves_only_its_own_agents():
    for number in range(100):
        name = f"agent-{number}"
        before = prompt_nodes(name, MEMBERS)
        after = prompt_nodes(name, MEMBERS[1:])
        assert before - {MEMBERS[0]} <= after
