"""Which targets may still be asked when weights change."""

import asyncio

import pytest

from damaskcroft._generated import fleet_pb2
from damaskcroft.fleet import FleetView
from damaskcroft.forwarding import Services


def held(version):
    return fleet_pb2.HeldLayers(model="m", version=version)


def target(name, version):
    return fleet_pb2.TargetState(
        id=name, service="s", address=f"{name}:1", sequence=1, slots=4,
        held=[held(version)],
    )  # fmt: skip


def guard(view, *names, started=0, **fields):
    """Agents beside targets tell, not for the first time, what they guard."""
    goal = fleet_pb2.WeightGoal(model="m", version=2)
    for sequence in (1, 2):
        agents = [
            fleet_pb2.AgentState(
                address=f"agent-{name}:1", target_address=f"{name}:1",
                sequence=sequence, started=started, incarnation="1",
                held=[held(1)], guarded=[goal], **fields,
            )
            for name in names
        ]  # fmt: skip
        view.take([], agents)


def ids(services):
    return {candidate.id for candidate in services.candidates("s", "m")}


def test_a_target_that_answers_late_is_left_earlier_before_a_change():
    """Behind a narrow link, what is sent now arrives a second later."""

    async def scenario():
        view = FleetView()
        view.take([target("near", 1), target("narrow", 1)])
        guard(view, "near", "narrow")
        delay_by_id = {"near": 0.05, "narrow": 0.9}
        services = Services(view, {}, 8.0, lambda id: delay_by_id[id])

        def name_version(age_s):
            goal = fleet_pb2.WeightGoal(
                model="m", version=2, age_ms=int(age_s * 1000)
            )
            view.goal_by_model.clear()
            view.goal_since_by_model.clear()
            view.apply_update(fleet_pb2.FleetUpdate(goals=[goal]))

        name_version(5.5)
        assert ids(services) == {"near", "narrow"}
        name_version(6.0)
        assert ids(services) == {"near"}
        name_version(7.5)
        assert ids(services) == set()

    asyncio.run(scenario())


def test_connecting_that_took_long_makes_a_request_too_late():
    async def scenario():
        view = FleetView()
        view.take([target("a", 1)])
        guard(view, "a")
        services = Services(view, {}, 8.0)
        goal = fleet_pb2.WeightGoal(model="m", version=2, age_ms=7300)
        view.apply_update(fleet_pb2.FleetUpdate(goals=[goal]))
        assert services.may_begin("s", "m", "a", 0.01)
        assert not services.may_begin("s", "m", "a", 0.4)
        assert services.may_begin("s", "", "a", 0.4)

    asyncio.run(scenario())


def test_a_target_whose_agent_tells_of_a_narrow_link_is_left_earlier():
    """The entry's own answers from it were quick until now."""

    async def scenario():
        view = FleetView()
        view.take([target("a", 1), target("b", 1)])
        guard(view, "a", link_delay_ms=500)
        guard(view, "b")
        services = Services(view, {}, 8.0, lambda _: 0.05)
        goal = fleet_pb2.WeightGoal(model="m", version=2, age_ms=7000)
        view.apply_update(fleet_pb2.FleetUpdate(goals=[goal]))
        assert ids(services) == {"b"}
        assert not services.may_begin("s", "m", "a", 0.0)
        assert services.may_begin("s", "m", "b", 0.0)

    asyncio.run(scenario())


def test_a_target_that_nobody_guards_is_left_in_good_time():
    """Silence of the agent beside it is no sign of health.

    An agent that is away, or has heard nothing of a new version, refuses
    nothing; requests took 1.24 s to such a target while the last answer seen
    had taken 0.35 s.
    """

    async def scenario():
        view = FleetView()
        view.take([target("a", 1)])
        services = Services(view, {}, 8.0, lambda _: 0.05)
        goal = fleet_pb2.WeightGoal(model="m", version=2, age_ms=5500)
        view.apply_update(fleet_pb2.FleetUpdate(goals=[goal]))
        assert ids(services) == set()
        assert not services.may_begin("s", "m", "a", 0.0)

    asyncio.run(scenario())


def test_a_guard_of_an_older_version_is_none_for_a_newer_one():
    """A second version follows, and the agent has not heard of it yet."""

    async def scenario():
        view = FleetView()
        view.take([target("a", 1)])
        guard(view, "a")
        services = Services(view, {}, 8.0)
        for version, age_ms in ((2, 5500), (3, 5200)):
            goal = fleet_pb2.WeightGoal(
                model="m", version=version, age_ms=age_ms
            )
            view.apply_update(fleet_pb2.FleetUpdate(goals=[goal]))
        assert ids(services) == set()
        guard(view, "a", started=1)
        assert ids(services) == set()
        view.goal_since_by_model["m"].pop(3)
        assert ids(services) == {"a"}

    asyncio.run(scenario())


def test_a_guard_that_is_not_told_again_is_none(loop):
    """Its agent may have ended, and its last word may be as old as that."""

    async def scenario():
        view = FleetView()
        view.take([target("a", 1)])
        services = Services(view, {}, 8.0)
        goal = fleet_pb2.WeightGoal(model="m", version=2, age_ms=4000)
        view.apply_update(fleet_pb2.FleetUpdate(goals=[goal]))
        guard(view, "a")
        await asyncio.sleep(1.5)
        assert ids(services) == {"a"}
        await asyncio.sleep(1.2)
        assert ids(services) == set()
        guard(view, "a", started=1)
        assert ids(services) == {"a"}

    loop.run(scenario())


def test_the_first_word_heard_of_an_agent_guards_nothing():
    """An entry that has just started may hear the last word of a dead one."""

    async def scenario():
        view = FleetView()
        view.take([target("a", 1)])
        word = fleet_pb2.AgentState(
            address="agent-a:1", target_address="a:1", sequence=9,
            incarnation="1", held=[held(1)],
            guarded=[fleet_pb2.WeightGoal(model="m", version=2)],
        )  # fmt: skip
        view.take([], [word])
        services = Services(view, {}, 8.0)
        goal = fleet_pb2.WeightGoal(model="m", version=2, age_ms=5500)
        view.apply_update(fleet_pb2.FleetUpdate(goals=[goal]))
        assert ids(services) == set()

    asyncio.run(scenario())


def agent_beside(name, **fields):
    return fleet_pb2.AgentState(
        address=f"{name}:2", target_address=f"{name}:1", incarnation="1",
        sequence=1, **fields,
    )  # fmt: skip


@pytest.mark.parametrize(
    ("fields", "may"),
    [
        ({}, False),
        ({"held": [held(1)]}, True),
        ({"staged": held(2)}, True),
        ({"phase": fleet_pb2.AGENT_SWITCHING}, True),
        ({"staged": fleet_pb2.HeldLayers(model="other", version=2)}, False),
    ],
)
def test_waiting_is_in_vain_where_no_target_has_anything(fields, may):
    view = FleetView()
    services = Services(view, {}, 8.0)
    empty = [
        fleet_pb2.TargetState(id=n, service="s", address=f"{n}:1", sequence=1)
        for n in ("a", "b")
    ]
    assert not services.may_serve_soon("s", "m")
    view.take(empty)
    # Nobody has heard what lies beside them.
    assert services.may_serve_soon("s", "m")
    view.take([], [agent_beside("a"), agent_beside("b", **fields)])
    assert services.may_serve_soon("s", "m") == may
    assert services.may_serve_soon("s", "")


@pytest.mark.parametrize(
    ("fields", "holds"),
    [
        ({"held": [held(1)]}, True),
        ({"held": [held(1)], "phase": fleet_pb2.AGENT_SWITCHING}, False),
        (
            {"held": [fleet_pb2.HeldLayers(model="m", version=1, end_layer=1)]},
            False,
        ),
        ({}, False),
    ],
)
def test_who_has_given_up_its_weights_should_hold_none(fields, holds):
    view = FleetView()
    engine = fleet_pb2.EngineProfile(layers=4)
    view.apply_configuration(
        fleet_pb2.Configuration(
            version=1, services=[fleet_pb2.Service(name="s", engine=engine)]
        )
    )
    services = Services(view, {}, 8.0)
    view.take([target("a", 1)], [agent_beside("a", **fields)])
    assert services.should_hold("s", "m", "a") == holds
    assert services.should_hold("s", "", "a")
    assert not services.should_hold("s", "", "b")


def test_whose_weights_are_about_to_be_given_up_should_hold_none():
    async def scenario():
        view = FleetView()
        services = Services(view, {}, 8.0)
        view.take([target("a", 1)])
        assert services.should_hold("s", "m", "a")
        goal = fleet_pb2.WeightGoal(model="m", version=2, age_ms=7700)
        view.apply_update(fleet_pb2.FleetUpdate(goals=[goal]))
        assert not services.should_hold("s", "m", "a")

    asyncio.run(scenario())
