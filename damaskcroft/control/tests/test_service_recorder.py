"""When the leader records which version is in service, and what it sees."""

import asyncio

import pytest

from damaskcroft._generated import fleet_pb2
from damaskcroft.control import (
    Accepted,
    FleetState,
    ServiceRecorder,
    Unavailable,
)
from damaskcroft.fleet import FleetView

SETTLED_S = 1.0
# More than what settling and a look take together.
RECORDED_S = SETTLED_S + 2.0
LAYERS = 4


class FakeReplica:
    def __init__(self):
        self.is_confirmed_leader = True


class FakeControl:
    """Commits at once, or takes long, or fails."""

    def __init__(self, state):
        self.state = state
        self.fails = False
        self.takes_s = 0.0
        self.proposed = []

    async def commit(self, command):
        served = command.record_served
        self.proposed.append(served.version)
        await asyncio.sleep(self.takes_s)
        if self.fails:
            return Unavailable("not committed in time")
        return Accepted(
            self.state.apply(1, command.SerializeToString()).version
        )


class Made:
    def __init__(self, loop):
        self.loop = loop
        self.replica, self.state = FakeReplica(), FleetState()
        self.view, self.control = FleetView(), FakeControl(self.state)
        self.recorder = ServiceRecorder(
            self.replica, self.state, self.view, self.control, SETTLED_S
        )
        engine = fleet_pb2.EngineProfile(
            models=[fleet_pb2.EngineModel(name="m")], layers=LAYERS
        )
        self.configure(fleet_pb2.Service(name="s", engine=engine))
        self.task = loop.create_task(self.recorder.run())

    def configure(self, *services):
        command = fleet_pb2.FleetCommand(
            configure=fleet_pb2.Configuration(
                version=self.state.version + 1, services=services
            )
        )
        self.state.apply(1, command.SerializeToString())

    def name(self, version):
        goal = fleet_pb2.WeightGoal(model="m", version=version)
        command = fleet_pb2.FleetCommand(name_weights=goal)

        async def apply():
            self.state.apply(1, command.SerializeToString())

        self.loop.run(apply())

    def hear(self, *versions, first=0):
        """Announcements of targets that hold these; 0 for an empty one."""
        self.view.take(
            [
                target(f"t{number}", version)
                for number, version in enumerate(versions, first)
            ]
        )

    def pass_time(self, seconds):
        self.loop.pass_time(seconds)
        assert not self.task.done()

    @property
    def recorded(self):
        return self.state.served_by_model.get("m")


def target(name, version):
    held = fleet_pb2.HeldLayers(model="m", version=version, end_layer=LAYERS)
    return fleet_pb2.TargetState(
        id=name, service="s", address=f"{name}:1", sequence=1,
        held=[held] if version else [],
    )  # fmt: skip


@pytest.fixture
def made(loop):
    made = Made(loop)
    yield made
    made.task.cancel()
    loop.run(asyncio.wait([made.task]))


def test_what_targets_serve_is_recorded_once(made):
    made.hear(1, 1, 0, 0, 0)
    made.pass_time(RECORDED_S)
    assert made.recorded == 1
    made.pass_time(60)
    assert made.control.proposed == [1]


def test_the_record_outlives_what_targets_hold(made):
    made.hear(1, 1)
    made.pass_time(RECORDED_S)
    made.hear(0, 0, first=2)
    for number in range(2):
        made.view.take([fleet_pb2.TargetState(
            id=f"t{number}", phase=fleet_pb2.TARGET_GONE)])  # fmt: skip
    made.pass_time(60)
    assert made.recorded == 1


def test_empty_targets_show_nothing(made):
    made.hear(0, 0, 0)
    made.pass_time(60)
    assert made.control.proposed == []


@pytest.mark.parametrize("strange", [5, 1])
def test_one_strange_target_does_not_decide(made, strange):
    made.hear(strange, 2, 2)
    made.pass_time(RECORDED_S)
    assert made.recorded == 2


def test_targets_that_differ_evenly_decide_nothing(made):
    made.hear(1, 5)
    made.pass_time(60)
    assert made.control.proposed == []
    made.hear(5, first=2)
    made.pass_time(RECORDED_S)
    assert made.recorded == 5


def test_a_new_leader_that_hears_a_strange_target_first_waits(made):
    made.hear(5)
    made.pass_time(SETTLED_S)
    made.hear(1, 1, first=1)
    made.pass_time(RECORDED_S)
    assert made.control.proposed == [1]


def test_a_follower_records_nothing(made):
    made.replica.is_confirmed_leader = False
    made.hear(1, 1)
    made.pass_time(60)
    assert made.control.proposed == []


def test_a_leader_that_was_none_for_a_while_begins_anew(made):
    made.hear(1, 1)
    made.pass_time(SETTLED_S)
    made.replica.is_confirmed_leader = False
    made.pass_time(60)
    made.replica.is_confirmed_leader = True
    made.pass_time(SETTLED_S)
    assert made.control.proposed == []
    made.pass_time(RECORDED_S)
    assert made.recorded == 1


def test_nothing_is_recorded_beside_a_goal(made):
    made.name(2)
    made.hear(1, 1)
    made.pass_time(60)
    assert made.control.proposed == []


def test_models_of_no_service_are_left_alone(made):
    made.configure(fleet_pb2.Service(name="s"))
    made.hear(1, 1)
    made.pass_time(60)
    assert made.control.proposed == []


def test_a_log_that_fails_gets_few_proposals_and_the_record_in_the_end(made):
    made.control.fails = True
    made.hear(1, 1)
    made.pass_time(60)
    assert 4 <= len(made.control.proposed) <= 8
    made.control.fails = False
    made.pass_time(20)
    assert made.recorded == 1


def test_one_proposal_at_a_time_while_the_log_is_slow(made):
    made.control.takes_s = 30.0
    made.hear(1, 1)
    made.pass_time(25)
    assert made.control.proposed == [1]


def test_a_version_named_while_the_record_is_under_way_stands(made):
    made.control.takes_s = 5.0
    made.hear(3, 3)
    made.pass_time(RECORDED_S)
    assert made.control.proposed == [3]
    made.name(2)
    made.pass_time(10)
    assert made.recorded is None
    assert made.state.weights_version("m") == 2
    made.pass_time(60)
    assert made.control.proposed == [3]
