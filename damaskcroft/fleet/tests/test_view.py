"""What several control nodes say, merged at an entry."""

import asyncio
import logging

import pytest

from damaskcroft._generated import fleet_pb2
from damaskcroft.fleet import FleetView


def configuration(version):
    return fleet_pb2.Configuration(version=version)


def goal(version, **fields):
    return fleet_pb2.WeightGoal(model="m", version=version, **fields)


def test_a_configuration_never_goes_back(loop):
    view = FleetView()
    view.apply_configuration(configuration(3))
    view.apply_configuration(configuration(2))
    assert view.version == 3


def test_a_goal_never_goes_back(loop):
    async def scenario():
        view = FleetView()
        view.apply_update(fleet_pb2.FleetUpdate(goals=[goal(2)]))
        view.apply_update(fleet_pb2.FleetUpdate(goals=[goal(1)]))
        assert view.goal_by_model["m"].version == 2

    loop.run(scenario())


def test_a_goal_of_unknown_age_counts_as_old(loop):
    """An entry that starts late must not give old versions more time."""

    async def scenario():
        view = FleetView()
        view.apply_update(fleet_pb2.FleetUpdate(goals=[goal(2)]))
        assert view.due_version("m", 1e6) == 2
        told = goal(2, age_ms=1500)
        view.apply_update(fleet_pb2.FleetUpdate(goals=[told]))
        assert view.due_version("m", 1.6) == 0
        assert view.due_version("m", 1.4) == 2

    loop.run(scenario())


def test_a_newer_goal_gives_an_older_one_no_more_time(loop):
    """Two versions named 2 s apart: the first is due after its own 8 s."""

    async def scenario():
        view = FleetView()
        view.apply_update(fleet_pb2.FleetUpdate(goals=[goal(2, age_ms=0)]))
        await asyncio.sleep(2)
        view.apply_update(fleet_pb2.FleetUpdate(goals=[goal(3, age_ms=0)]))
        await asyncio.sleep(6.5)
        assert view.due_version("m", 8) == 2
        await asyncio.sleep(2)
        assert view.due_version("m", 8) == 3

    loop.run(scenario())


def test_a_record_is_kept_but_never_due(loop):
    async def scenario():
        view = FleetView()
        served = fleet_pb2.ServedVersion(model="m", version=1)
        view.apply_update(fleet_pb2.FleetUpdate(served=[served]))
        await asyncio.sleep(100)
        assert view.served_by_model == {"m": 1}
        assert view.due_version("m", 8) == 0
        assert view.goal_since_by_model == {}

    loop.run(scenario())


def test_the_earliest_word_of_a_goals_age_counts(loop):
    """An entry that heard a late control node first sent to old weights.

    A control node that had been cut off took version 2 over 4 s late and told
    an entry an age of 0; the node that had accepted it told 4 s a moment
    later. The entry kept the first word, and held version 2 to be due 12 s
    after its acceptance. Evidence: only a goal of unknown age took another.
    """

    async def scenario():
        view = FleetView()
        view.apply_update(fleet_pb2.FleetUpdate(goals=[goal(2, age_ms=0)]))
        view.apply_update(fleet_pb2.FleetUpdate(goals=[goal(2, age_ms=4000)]))
        assert view.due_version("m", 3.9) == 2
        await asyncio.sleep(1)
        for late in (goal(2, age_ms=100), goal(2)):
            view.apply_update(fleet_pb2.FleetUpdate(goals=[late]))
        assert view.due_version("m", 4.9) == 2
        assert view.due_version("m", 5.1) == 0

    loop.run(scenario())


def test_a_control_node_that_has_just_started_does_not_undo_the_count(loop):
    """Every entry took the whole budget for repeats for half a second.

    A control node had restarted; the entries returned to it one by one, and
    to the first it said that the fleet had one entry, while the other nodes
    saw four. Each entry took the last word for the count, and so the extra of
    a window for itself, by which the deployment bounds them all together.
    Evidence: a node counts the watchers it has, and an entry kept the last
    count it had heard.
    """

    async def scenario():
        view = FleetView()

        def hear(entries):
            view.apply_update(fleet_pb2.FleetUpdate(entries=entries))

        assert view.entries == 1
        hear(4)
        hear(1)
        assert view.entries == 4
        await asyncio.sleep(2)
        hear(1)
        assert view.entries == 4
        await asyncio.sleep(2)
        assert view.entries == 4
        hear(2)
        assert view.entries == 2

    loop.run(scenario())


def test_listeners_hear_of_real_changes_only(loop):
    view = FleetView()
    heard = []
    view.listen(heard.append)
    state = fleet_pb2.TargetState(id="a", sequence=1)
    view.take([state])
    view.take([state])
    assert len(heard) == 1


def test_an_agents_restart_counts_from_anew(loop):
    async def scenario():
        view = FleetView()
        old = fleet_pb2.AgentState(address="a", incarnation="1", sequence=9)
        new = fleet_pb2.AgentState(address="a", incarnation="2", sequence=1)
        view.take([], [old])
        view.take([], [new])
        assert view.agents_by_address["a"].incarnation == "2"

    loop.run(scenario())


def agent(incarnation, started, sequence):
    return fleet_pb2.AgentState(
        address="a:1", incarnation=incarnation, started=started,
        sequence=sequence,
    )  # fmt: skip


def test_nodes_agree_on_one_of_two_incarnations_whichever_came_first(loop):
    """Else two that hold different ones would send them on without end."""

    async def scenario():
        old, new = agent("z", 1000, 9), agent("b", 2000, 1)
        views = [FleetView(), FleetView()]
        views[0].take([], [old])
        views[0].take([], [new])
        views[1].take([], [new])
        views[1].take([], [old])
        held = [view.agents_by_address["a:1"].incarnation for view in views]
        assert held == ["b", "b"]
        assert views[1].changes == 1

    loop.run(scenario())


@pytest.mark.parametrize("watcher", ["entry", "agent"])
def test_an_agent_writes_of_its_own_target_alone(loop, caplog, watcher):
    """Before: 26 agents wrote 6,462 lines of all targets in one minute."""
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
        view.take(targets)

    loop.run(scenario())
    lines = [r for r in caplog.messages if "target_changed" in r]
    assert len(lines) == (1 if watcher == "agent" else len(targets))
    assert len(list(view.book.words())) == len(targets)
