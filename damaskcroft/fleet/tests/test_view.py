"""Updates of several control nodes, merged into one view."""

import asyncio
import logging

import pytest

from damaskcroft._generated import fleet_pb2
from damaskcroft.fleet import FleetView


def configuration(version):
    return fleet_pb2.Configuration(version=version)


def desired_version(version, **fields):
    return fleet_pb2.WeightGoal(model="m", version=version, **fields)


def test_an_older_configuration_is_ignored(loop):
    view = FleetView()
    view.apply_configuration(configuration(3))
    view.apply_configuration(configuration(2))
    assert view.version == 3


def test_an_older_desired_version_is_ignored(loop):
    async def scenario():
        view = FleetView()
        view.apply_update(fleet_pb2.FleetUpdate(goals=[desired_version(2)]))
        view.apply_update(fleet_pb2.FleetUpdate(goals=[desired_version(1)]))
        assert view.desired_version_by_model["m"].version == 2

    loop.run(scenario())


def test_a_desired_version_of_unknown_age_counts_as_old(loop):
    """Guards against an entry that starts late and extends an old version."""

    async def scenario():
        view = FleetView()
        view.apply_update(fleet_pb2.FleetUpdate(goals=[desired_version(2)]))
        assert view.version_desired_for("m", 1e6) == 2
        report = desired_version(2, age_ms=1500)
        view.apply_update(fleet_pb2.FleetUpdate(goals=[report]))
        assert view.version_desired_for("m", 1.6) == 0
        assert view.version_desired_for("m", 1.4) == 2

    loop.run(scenario())


def test_a_newer_desired_version_does_not_postpone_an_older_one(loop):
    """Of two versions accepted 2 s apart, each is due after its own 8 s."""

    async def scenario():
        view = FleetView()
        view.apply_update(
            fleet_pb2.FleetUpdate(goals=[desired_version(2, age_ms=0)])
        )
        await asyncio.sleep(2)
        view.apply_update(
            fleet_pb2.FleetUpdate(goals=[desired_version(3, age_ms=0)])
        )
        await asyncio.sleep(6.5)
        assert view.version_desired_for("m", 8) == 2
        await asyncio.sleep(2)
        assert view.version_desired_for("m", 8) == 3

    loop.run(scenario())


def test_a_recorded_version_is_kept_but_never_due(loop):
    async def scenario():
        view = FleetView()
        served = fleet_pb2.ServedVersion(model="m", version=1)
        view.apply_update(fleet_pb2.FleetUpdate(served=[served]))
        await asyncio.sleep(100)
        assert view.served_by_model == {"m": 1}
        assert view.version_desired_for("m", 8) == 0
        assert view.accepted_at_by_model == {}

    loop.run(scenario())


def test_the_earliest_reported_acceptance_counts(loop):
    """Guards against requests sent to old weights after a late update.

    A control node that had been partitioned received version 2 over 4 s late
    and reported an age of 0 to an entry; the node that had accepted it reported
    4 s a moment later. The entry kept the first report and considered version 2
    due 12 s after its acceptance, because only a version of unknown age took a
    second report.
    """

    async def scenario():
        view = FleetView()
        view.apply_update(
            fleet_pb2.FleetUpdate(goals=[desired_version(2, age_ms=0)])
        )
        view.apply_update(
            fleet_pb2.FleetUpdate(goals=[desired_version(2, age_ms=4000)])
        )
        assert view.version_desired_for("m", 3.9) == 2
        await asyncio.sleep(1)
        for late_report in (desired_version(2, age_ms=100), desired_version(2)):
            view.apply_update(fleet_pb2.FleetUpdate(goals=[late_report]))
        assert view.version_desired_for("m", 4.9) == 2
        assert view.version_desired_for("m", 5.1) == 0

    loop.run(scenario())


def test_a_restarted_control_node_does_not_reset_the_number_of_entries(loop):
    """Guards against entries that each use the whole retry budget.

    Entries reconnected to a restarted control node one by one, and the node
    reported a fleet of one entry to the first of them, while the other nodes
    saw four. Each entry kept the last report, and so for half a second took for
    itself the extra retries of a window, which the deployment grants to all
    entries together.
    """

    async def scenario():
        view = FleetView()

        def receive(entries):
            view.apply_update(fleet_pb2.FleetUpdate(entries=entries))

        assert view.entries == 1
        receive(4)
        receive(1)
        assert view.entries == 4
        await asyncio.sleep(2)
        receive(1)
        assert view.entries == 4
        await asyncio.sleep(2)
        assert view.entries == 4
        receive(2)
        assert view.entries == 2

    loop.run(scenario())


def test_listeners_are_called_for_real_changes_only(loop):
    view = FleetView()
    changes = []
    view.add_listener(changes.append)
    state = fleet_pb2.TargetState(id="a", sequence=1)
    view.merge([state])
    view.merge([state])
    assert len(changes) == 1


def test_a_restarted_agent_replaces_its_earlier_incarnation(loop):
    async def scenario():
        view = FleetView()
        old = fleet_pb2.AgentState(address="a", incarnation="1", sequence=9)
        new = fleet_pb2.AgentState(address="a", incarnation="2", sequence=1)
        view.merge([], [old])
        view.merge([], [new])
        assert view.agents_by_address["a"].incarnation == "2"

    loop.run(scenario())


def agent(incarnation, started, sequence):
    return fleet_pb2.AgentState(
        address="a:1", incarnation=incarnation, started=started,
        sequence=sequence,
    )  # fmt: skip


def test_nodes_agree_on_one_incarnation_in_any_order_of_arrival(loop):
    """Guards against two nodes that send different incarnations endlessly."""

    async def scenario():
        old, new = agent("z", 1000, 9), agent("b", 2000, 1)
        views = [FleetView(), FleetView()]
        views[0].merge([], [old])
        views[0].merge([], [new])
        views[1].merge([], [new])
        views[1].merge([], [old])
        held = [view.agents_by_address["a:1"].incarnation for view in views]
        assert held == ["b", "b"]
        assert views[1].changes == 1

    loop.run(scenario())


@pytest.mark.parametrize("watcher", ["entry", "agent"])
def test_an_agent_logs_its_own_target_only(loop, caplog, watcher):
    """Guards against logs that grow with the square of the fleet.

    26 agents logged 6,462 lines about all targets in one minute.
    """
    caplog.set_level(logging.INFO)
    view = FleetView()
    if watcher == "agent":
        view = FleetView(logs_target=lambda state: state.address == "t-7:1")
    targets = [
        fleet_pb2.TargetState(
            id=f"t-{n}", service="s", address=f"t-{n}:1", sequence=1
        )
        for n in range(20)
    ]

    async def scenario():
        view.merge(targets)

    loop.run(scenario())
    lines = [r for r in caplog.messages if "target_changed" in r]
    assert len(lines) == (1 if watcher == "agent" else len(targets))
    assert len(list(view.targets.snapshot())) == len(targets)
