"""Whose turn it is to change versions, and what is ordered."""

import asyncio

import pytest

from damaskcroft._generated import fleet_pb2
from damaskcroft.agent._fleet_stager import Wanted
from damaskcroft.agent._fleet_switcher import FleetSwitcher
from damaskcroft.engines import EngineReport, OrderAccepted
from damaskcroft.fleet import FleetView

STAGED = Wanted("m", 2)
WEIGHTS_S = 8.0
OLD = fleet_pb2.HeldLayers(model="m", version=1, end_layer=4)
NEW = fleet_pb2.HeldLayers(model="m", version=2, end_layer=4)


class FakeOwn:
    def __init__(self, view, address):
        self.view = view
        self.state = fleet_pb2.AgentState(address=address, service="s")
        self.told = []

    def peers(self):
        return [
            agent
            for agent in self.view.agents_by_address.values()
            if agent.address != self.state.address
        ]

    async def tell(self, phase, held, staged):
        self.told.append(phase)


class FakeEngine:
    def __init__(self, *held):
        self.held = held
        self.orders = []
        self.cut = None

    async def report(self):
        return EngineReport(self.held, False, len(self.orders), 3)

    async def start(self, model, version, sequence, *, cut_running):
        assert sequence == len(self.orders)
        self.orders.append((model, version))
        self.cut = cut_running
        self.held = (NEW,)
        return OrderAccepted()


class FakeStager:
    whole = True

    def __init__(self):
        self.staged = STAGED
        self.pieces_lock = asyncio.Lock()

    async def restage(self):
        return self.whole


def agent(address, phase=fleet_pb2.AGENT_SERVING, held=OLD, staged=NEW):
    return fleet_pb2.AgentState(
        address=address, service="s", phase=phase, held=[held], staged=staged,
        sequence=1, incarnation="1",
    )  # fmt: skip


@pytest.fixture
def view(loop):
    made = FleetView()
    services = [fleet_pb2.Service(name="s", interruptible=True)]
    made.apply_configuration(
        fleet_pb2.Configuration(version=1, services=services)
    )

    async def name():
        goal = fleet_pb2.WeightGoal(model="m", version=2, age_ms=0)
        made.apply_update(fleet_pb2.FleetUpdate(goals=[goal]))

    loop.run(name())
    return made


def run_for(loop, view, engine, seconds, address="b", stager=None):
    own = FakeOwn(view, address)
    switcher = FleetSwitcher(
        own, view, engine, stager or FakeStager(), WEIGHTS_S
    )

    async def scenario():
        task = asyncio.create_task(switcher.run())
        await asyncio.sleep(seconds)
        task.cancel()

    loop.run(scenario())
    return own


def test_a_target_alone_switches_at_once(loop, view):
    engine = FakeEngine(OLD)
    own = run_for(loop, view, engine, 1.0)
    assert engine.orders == [("m", 2)]
    assert engine.cut
    assert own.told[-1] == fleet_pb2.AGENT_SERVING
    assert fleet_pb2.AGENT_SWITCHING in own.told


def test_an_empty_target_does_not_wait_for_its_turn(loop, view):
    out = agent("a", fleet_pb2.AGENT_SWITCHING)
    view.take([], [out])
    engine = FakeEngine()
    run_for(loop, view, engine, 1.0)
    assert engine.orders == [("m", 2)]


def test_targets_take_turns_for_a_version_that_is_only_recorded(loop, view):
    """It has no time by which it is due, so nobody goes out of turn."""
    view.goal_by_model.clear()
    view.goal_since_by_model.clear()
    served = fleet_pb2.ServedVersion(model="m", version=2)

    async def record():
        view.apply_update(fleet_pb2.FleetUpdate(served=[served]))

    loop.run(record())
    view.take([], [agent("a", fleet_pb2.AGENT_SWITCHING)])
    engine = FakeEngine(OLD)
    run_for(loop, view, engine, 60.0)
    assert engine.orders == []


def test_while_enough_are_out_others_wait(loop, view):
    view.take([], [agent("a", fleet_pb2.AGENT_SWITCHING)])
    engine = FakeEngine(OLD)
    run_for(loop, view, engine, 2.0)
    assert engine.orders == []


def test_addresses_decide_between_two_that_are_ready(loop, view):
    view.take([], [agent("a")])
    engine = FakeEngine(OLD)
    run_for(loop, view, engine, 2.0)
    assert engine.orders == []
    first = FakeEngine(OLD)
    view.take([], [agent("b")])
    run_for(loop, view, first, 2.0, address="a")
    assert first.orders == [("m", 2)]


def test_near_the_deadline_nobody_waits_any_more(loop, view):
    view.take([], [agent("a", fleet_pb2.AGENT_SWITCHING)])
    engine = FakeEngine(OLD)
    run_for(loop, view, engine, WEIGHTS_S - 0.5)
    assert engine.orders == [("m", 2)]


def test_nothing_is_ordered_unless_every_piece_is_right(loop, view):
    class Spoilt(FakeStager):
        whole = False

    engine = FakeEngine(OLD)
    run_for(loop, view, engine, 3.0, stager=Spoilt())
    assert engine.orders == []


def test_no_order_once_pieces_of_a_newer_version_are_put(loop, view):
    """A version is named between the agent's turn and its order."""

    class Overtaken(FakeStager):
        async def restage(self):
            loop.call_later(0.01, setattr, self, "staged", None)
            return True

    engine = FakeEngine(OLD)
    run_for(loop, view, engine, 3.0, stager=Overtaken())
    assert engine.orders == []


def test_running_requests_are_waited_for_where_they_can_not_go_on(loop, view):
    services = [fleet_pb2.Service(name="s")]
    view.apply_configuration(
        fleet_pb2.Configuration(version=2, services=services)
    )
    engine = FakeEngine(OLD)
    run_for(loop, view, engine, 1.0)
    assert engine.cut is False
