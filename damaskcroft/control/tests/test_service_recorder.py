"""Conditions under which the leader records the version in service."""

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

STABLE_S = 1.0
# More than the time of stability and one check take together.
RECORD_WITHIN_S = STABLE_S + 2.0
LAYERS = 4


class FakeReplica:
    def __init__(self):
        self.is_confirmed_leader = True


class FakeControl:
    """Commits commands after `commit_s`, or fails."""

    def __init__(self, state):
        self.state = state
        self.is_failing = False
        self.commit_s = 0.0
        self.proposed = []

    async def commit(self, command):
        served = command.record_served
        self.proposed.append(served.version)
        await asyncio.sleep(self.commit_s)
        if self.is_failing:
            return Unavailable("not committed in time")
        return Accepted(
            self.state.apply(1, command.SerializeToString()).version
        )


class RecorderRig:
    def __init__(self, loop):
        self.loop = loop
        self.replica, self.state = FakeReplica(), FleetState()
        self.view, self.control = FleetView(), FakeControl(self.state)
        self.recorder = ServiceRecorder(
            self.replica, self.state, self.view, self.control, STABLE_S
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

    def set_desired_version(self, version):
        goal = fleet_pb2.WeightGoal(model="m", version=version)
        command = fleet_pb2.FleetCommand(name_weights=goal)

        async def apply():
            self.state.apply(1, command.SerializeToString())

        self.loop.run(apply())

    def announce_targets(self, *versions, first=0):
        """Announces targets that hold these versions; 0 for an empty target."""
        self.view.merge(
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
def rig(loop):
    rig = RecorderRig(loop)
    yield rig
    rig.task.cancel()
    loop.run(asyncio.wait([rig.task]))


def test_what_targets_serve_is_recorded_once(rig):
    rig.announce_targets(1, 1, 0, 0, 0)
    rig.pass_time(RECORD_WITHIN_S)
    assert rig.recorded == 1
    rig.pass_time(60)
    assert rig.control.proposed == [1]


def test_the_record_remains_when_targets_lose_their_version(rig):
    rig.announce_targets(1, 1)
    rig.pass_time(RECORD_WITHIN_S)
    rig.announce_targets(0, 0, first=2)
    for number in range(2):
        rig.view.merge([fleet_pb2.TargetState(
            id=f"t{number}", phase=fleet_pb2.TARGET_GONE)])  # fmt: skip
    rig.pass_time(60)
    assert rig.recorded == 1


def test_empty_targets_cause_no_record(rig):
    rig.announce_targets(0, 0, 0)
    rig.pass_time(60)
    assert rig.control.proposed == []


@pytest.mark.parametrize("outlier", [5, 1])
def test_one_deviating_target_does_not_decide(rig, outlier):
    rig.announce_targets(outlier, 2, 2)
    rig.pass_time(RECORD_WITHIN_S)
    assert rig.recorded == 2


def test_nothing_is_recorded_without_a_majority(rig):
    rig.announce_targets(1, 5)
    rig.pass_time(60)
    assert rig.control.proposed == []
    rig.announce_targets(5, first=2)
    rig.pass_time(RECORD_WITHIN_S)
    assert rig.recorded == 5


def test_a_new_leader_waits_when_a_deviating_target_announces_first(rig):
    rig.announce_targets(5)
    rig.pass_time(STABLE_S)
    rig.announce_targets(1, 1, first=1)
    rig.pass_time(RECORD_WITHIN_S)
    assert rig.control.proposed == [1]


def test_a_follower_records_nothing(rig):
    rig.replica.is_confirmed_leader = False
    rig.announce_targets(1, 1)
    rig.pass_time(60)
    assert rig.control.proposed == []


def test_a_leader_elected_again_waits_for_stability_again(rig):
    rig.announce_targets(1, 1)
    rig.pass_time(STABLE_S)
    rig.replica.is_confirmed_leader = False
    rig.pass_time(60)
    rig.replica.is_confirmed_leader = True
    rig.pass_time(STABLE_S)
    assert rig.control.proposed == []
    rig.pass_time(RECORD_WITHIN_S)
    assert rig.recorded == 1


def test_nothing_is_recorded_for_a_model_with_a_desired_version(rig):
    rig.set_desired_version(2)
    rig.announce_targets(1, 1)
    rig.pass_time(60)
    assert rig.control.proposed == []


def test_models_of_no_service_are_not_recorded(rig):
    rig.configure(fleet_pb2.Service(name="s"))
    rig.announce_targets(1, 1)
    rig.pass_time(60)
    assert rig.control.proposed == []


def test_a_failing_log_gets_few_proposals_and_the_record_once_it_works(rig):
    rig.control.is_failing = True
    rig.announce_targets(1, 1)
    rig.pass_time(60)
    assert 4 <= len(rig.control.proposed) <= 8
    rig.control.is_failing = False
    rig.pass_time(20)
    assert rig.recorded == 1


def test_one_proposal_at_a_time_while_the_log_is_slow(rig):
    rig.control.commit_s = 30.0
    rig.announce_targets(1, 1)
    rig.pass_time(25)
    assert rig.control.proposed == [1]


def test_a_desired_version_set_during_a_record_takes_precedence(rig):
    rig.control.commit_s = 5.0
    rig.announce_targets(3, 3)
    rig.pass_time(RECORD_WITHIN_S)
    assert rig.control.proposed == [3]
    rig.set_desired_version(2)
    rig.pass_time(10)
    assert rig.recorded is None
    assert rig.state.desired_version("m") == 2
    rig.pass_time(60)
    assert rig.control.proposed == [3]
