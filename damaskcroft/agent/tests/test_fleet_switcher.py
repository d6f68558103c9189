"""Order of targets in a rolling update, and the orders sent to a target."""

import asyncio
import math

import pytest

from damaskcroft._generated import fleet_pb2
from damaskcroft.agent._fleet_switcher import FleetSwitcher
from damaskcroft.agent._version_choice import ModelVersion
from damaskcroft.agent._weights_guard import guarded_versions
from damaskcroft.engines import EngineReport, OrderAccepted
from damaskcroft.fleet import FleetView
from damaskcroft.tasks import cancelled

STAGED = ModelVersion("m", 2)
WEIGHTS_S = 8.0
OLD = fleet_pb2.HeldLayers(model="m", version=1, end_layer=4)
NEW = fleet_pb2.HeldLayers(model="m", version=2, end_layer=4)


class FakeOwn:
    def __init__(self, view, address):
        self.view = view
        self.state = fleet_pb2.AgentState(address=address, service="s")
        self.announced = []

    def peers(self):
        return [
            agent
            for agent in self.view.agents_by_address.values()
            if agent.address != self.state.address
        ]

    async def announce(self, phase, held, staged, target_born_ms=0):
        self.announced.append(phase)


class FakeEngine:
    def __init__(self, *held):
        self.held = held
        self.orders = []
        self.cut = None
        self.dropped_at = None

    async def report(self):
        return EngineReport(self.held, False, len(self.orders), 3)

    async def start(self, model, version, sequence, *, abort_running, before_s):
        assert sequence == len(self.orders)
        self.orders.append((model, version))
        self.cut = abort_running
        self.held = (NEW,)
        return OrderAccepted()

    async def keep_only(self, part, sequence):
        assert sequence == len(self.orders)
        assert part.version == self.held[0].version
        assert part.end_layer - part.first_layer < OLD.end_layer
        self.orders.append("keep_only")
        self.dropped_at = asyncio.get_running_loop().time()
        self.held = (part,)
        return OrderAccepted()


class FakeStager:
    restages = True
    may_find_version = True
    order_before_s = math.inf

    def __init__(self):
        self.staged = STAGED
        self.pieces_lock = asyncio.Lock()
        self.born_ms = 0

    def record_start(self, born_ms):
        """Clears the staged version after a restart of the target."""
        if born_ms != self.born_ms:
            self.staged = None
        self.born_ms = born_ms

    def version_to_stage(self):
        return STAGED

    async def restage(self, *, before_order=False):
        return self.restages


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
        await cancelled(task)

    loop.run(scenario())
    return own


class RestartingEngine(FakeEngine):
    """Restarts without pieces between their check and the order."""

    def __init__(self, *held):
        super().__init__(*held)
        self.reports = 0

    async def report(self):
        self.reports += 1
        restarted = self.reports > 1
        held = () if restarted else self.held
        return EngineReport(held, False, 0, 0, 2000 if restarted else 0)


def test_no_order_is_sent_to_a_target_that_has_just_restarted(loop, view):
    """Its order sequence is unchanged, but pieces may have been lost."""
    engine = RestartingEngine()
    run_for(loop, view, engine, 1.0)
    assert engine.reports > 2
    assert engine.orders == []


def test_agent_announces_the_start_of_its_target(loop, view):
    class RecordingOwn(FakeOwn):
        async def announce(self, phase, held, staged, target_born_ms=0):
            self.announced.append(target_born_ms)

    own = RecordingOwn(view, "b")
    engine = RestartingEngine(NEW)
    switcher = FleetSwitcher(own, view, engine, FakeStager(), WEIGHTS_S)

    async def scenario():
        task = asyncio.create_task(switcher.run())
        await asyncio.sleep(1)
        await cancelled(task)

    loop.run(scenario())
    assert own.announced[0] == 0
    assert own.announced[-1] == 2000


class CountingEngine(FakeEngine):
    """Records the times at which it was polled."""

    def __init__(self, *held):
        super().__init__(*held)
        self.polled_at = []

    async def report(self):
        self.polled_at.append(asyncio.get_running_loop().time())
        return await super().report()


def test_settled_target_is_polled_rarely(loop, view):
    engine = CountingEngine(NEW)
    run_for(loop, view, engine, 10.0)
    assert len(engine.polled_at) <= 20


def test_target_update_triggers_an_immediate_poll(loop, view):
    """A settled target is polled rarely, because it announces a restart."""
    engine = CountingEngine(NEW)
    own = FakeOwn(view, "b")
    own.state.target_address = "10.0.0.1:1"
    switcher = FleetSwitcher(own, view, engine, FakeStager(), WEIGHTS_S)

    async def scenario():
        task = asyncio.create_task(switcher.run())
        await asyncio.sleep(1.01)
        restarted = fleet_pb2.TargetState(
            id="i", service="s", address="10.0.0.1:1", sequence=1, born_ms=5
        )
        view.merge([restarted])
        await asyncio.sleep(0.005)
        polled_s_ago = loop.time() - engine.polled_at[-1]
        await cancelled(task)
        assert polled_s_ago <= 0.01

    loop.run(scenario())


def test_single_target_switches_at_once(loop, view):
    engine = FakeEngine(OLD)
    own = run_for(loop, view, engine, 1.0)
    assert engine.orders == [("m", 2)]
    assert engine.cut
    assert own.announced[-1] == fleet_pb2.AGENT_SERVING
    assert fleet_pb2.AGENT_SWITCHING in own.announced


def test_empty_target_switches_without_waiting(loop, view):
    out = agent("a", fleet_pb2.AGENT_SWITCHING)
    view.merge([], [out])
    engine = FakeEngine()
    run_for(loop, view, engine, 1.0)
    assert engine.orders == [("m", 2)]


def test_targets_wait_for_each_other_for_a_recorded_version(loop, view):
    """Such a version has no deadline, so no target switches early."""
    view.desired_version_by_model.clear()
    view.accepted_at_by_model.clear()
    served = fleet_pb2.ServedVersion(model="m", version=2)

    async def record():
        view.apply_update(fleet_pb2.FleetUpdate(served=[served]))

    loop.run(record())
    view.merge([], [agent("a", fleet_pb2.AGENT_SWITCHING)])
    engine = FakeEngine(OLD)
    run_for(loop, view, engine, 60.0)
    assert engine.orders == []


def test_target_waits_while_enough_others_are_out(loop, view):
    view.merge([], [agent("a", fleet_pb2.AGENT_SWITCHING)])
    engine = FakeEngine(OLD)
    run_for(loop, view, engine, 2.0)
    assert engine.orders == []


def test_address_order_decides_between_two_ready_targets(loop, view):
    view.merge([], [agent("a")])
    engine = FakeEngine(OLD)
    run_for(loop, view, engine, 2.0)
    assert engine.orders == []
    first = FakeEngine(OLD)
    view.merge([], [agent("b")])
    run_for(loop, view, first, 2.0, address="a")
    assert first.orders == [("m", 2)]


def test_target_switches_without_waiting_near_the_deadline(loop, view):
    view.merge([], [agent("a", fleet_pb2.AGENT_SWITCHING)])
    engine = FakeEngine(OLD)
    run_for(loop, view, engine, WEIGHTS_S - 0.5)
    assert engine.orders == [("m", 2)]


def test_no_order_is_sent_unless_every_piece_is_correct(loop, view):
    class CorruptPieces(FakeStager):
        restages = False

    engine = FakeEngine(OLD)
    run_for(loop, view, engine, 3.0, stager=CorruptPieces())
    assert engine.orders == []


def test_no_order_is_sent_once_pieces_of_a_newer_version_are_put(loop, view):
    """A version is announced between the decision to switch and the order."""

    class Overtaken(FakeStager):
        async def restage(self, *, before_order=False):
            loop.call_later(0.01, setattr, self, "staged", None)
            return True

    engine = FakeEngine(OLD)
    run_for(loop, view, engine, 3.0, stager=Overtaken())
    assert engine.orders == []


def test_running_requests_that_can_not_be_resumed_are_waited_for(loop, view):
    services = [fleet_pb2.Service(name="s")]
    view.apply_configuration(
        fleet_pb2.Configuration(version=2, services=services)
    )
    engine = FakeEngine(OLD)
    run_for(loop, view, engine, 1.0)
    assert engine.cut is False


def test_old_weights_are_dropped_before_they_expire(loop, view):
    """Guards against late requests that begin on expired weights.

    Callers' requests began on a version 0.2 s after it had expired. An entry
    had sent them 1.1 s before the expiry, over a link that an agent's chunks
    had filled. It withdrew them 0.25 s before the expiry, but the target still
    received them, 1.24 s after they were sent. The entry had relied on delays
    measured a second earlier: `sent` said 0.35 s. An entry can't stop what it
    has sent, so the target itself must refuse it.
    """
    engine = FakeEngine(OLD)
    stager = FakeStager()
    stager.staged = None
    run_for(loop, view, engine, WEIGHTS_S - 0.1, stager=stager)
    assert engine.orders == ["keep_only"]
    assert engine.dropped_at > WEIGHTS_S - 1.0


class NothingStaged(FakeStager):
    def __init__(self):
        super().__init__()
        self.staged = None


def test_quick_link_keeps_old_weights_until_just_before_expiry(loop, view):
    engine = FakeEngine(OLD)
    own = FakeOwn(view, "b")
    switcher = FleetSwitcher(
        own, view, engine, NothingStaged(), WEIGHTS_S, lambda: True
    )

    async def scenario():
        task = asyncio.create_task(switcher.run())
        await asyncio.sleep(WEIGHTS_S - 0.5)
        assert engine.orders == []
        await asyncio.sleep(0.45)
        assert engine.orders == ["keep_only"]
        await cancelled(task)

    loop.run(scenario())


def test_staged_version_is_loaded_without_a_separate_drop(loop, view):
    engine = FakeEngine(OLD)
    view.merge([], [agent("a", fleet_pb2.AGENT_SWITCHING)])
    run_for(loop, view, engine, WEIGHTS_S + 1.0)
    assert engine.orders == [("m", 2)]


def test_new_weights_are_loaded_after_old_ones_were_dropped(loop, view):
    engine = FakeEngine(OLD)
    stager = NothingStaged()
    loop.call_later(WEIGHTS_S + 2.0, setattr, stager, "staged", STAGED)
    run_for(loop, view, engine, WEIGHTS_S + 3.0, stager=stager)
    assert engine.orders == ["keep_only", ("m", 2)]


def test_stopping_agent_drops_weights_due_during_its_restart(loop, view):
    engine = FakeEngine(OLD)
    switcher = FleetSwitcher(
        FakeOwn(view, "b"), view, engine, NothingStaged(), WEIGHTS_S
    )

    async def scenario():
        await switcher.leave()
        assert engine.orders == []
        await asyncio.sleep(WEIGHTS_S - 2.0)
        await switcher.leave()
        assert engine.orders == ["keep_only"]

    loop.run(scenario())


def test_only_models_loaded_in_layers_are_guarded(loop, view):
    async def scenario():
        assert guarded_versions(view, "s", WEIGHTS_S) == []
        engine = fleet_pb2.EngineProfile(
            models=[fleet_pb2.EngineModel(name="m")], layers=4
        )
        services = [fleet_pb2.Service(name="s", engine=engine)]
        view.apply_configuration(
            fleet_pb2.Configuration(version=2, services=services)
        )
        second = fleet_pb2.WeightGoal(model="m", version=2)
        assert guarded_versions(view, "s", WEIGHTS_S) == [second]
        assert guarded_versions(view, "s", 0.0) == []
        assert guarded_versions(view, "other", WEIGHTS_S) == []
        ageless = fleet_pb2.WeightGoal(model="m", version=3)
        view.apply_update(fleet_pb2.FleetUpdate(goals=[ageless]))
        assert guarded_versions(view, "s", WEIGHTS_S) == [second]

    loop.run(scenario())


class NothingToLoad(FakeStager):
    """Stager of a service that loads no models."""

    may_find_version = False

    def __init__(self):
        super().__init__()
        self.staged = None

    def version_to_stage(self):
        return None


def test_a_target_that_loads_nothing_is_seldom_polled(loop, view):
    """Guards against five polls a second of each such target."""
    engine = CountingEngine()
    run_for(loop, view, engine, 6.0, stager=NothingToLoad())
    assert 10 <= len(engine.polled_at) <= 12
