"""The guard drops old weights no earlier and no more often than needed."""

import asyncio

from damaskcroft._generated import fleet_pb2
from damaskcroft.agent._fleet_switcher import FleetSwitcher
from damaskcroft.agent._version_choice import ModelVersion
from damaskcroft.agent._weights_guard import WeightsGuard, guarded_versions
from damaskcroft.agent.tests.test_fleet_switcher import (
    OLD,
    WEIGHTS_S,
    FakeEngine,
    FakeOwn,
    FakeStager,
    NothingStaged,
    agent,
)
from damaskcroft.agent.tests.test_guard_in_time import (
    announce_version,
    make_view,
)
from damaskcroft.forwarding import Services
from damaskcroft.tasks import cancelled


def apply_states(view, guarded):
    """Applies states of a target with old weights and of its agent."""
    target = fleet_pb2.TargetState(
        id="a", service="s", address="a:1", sequence=1, held=[OLD]
    )
    for sequence in (1, 2):
        state = fleet_pb2.AgentState(
            address="agent-a:1", target_address="a:1", sequence=sequence,
            incarnation="1", held=[OLD], guarded=guarded,
        )  # fmt: skip
        view.merge([target], [state])


def test_stopping_agent_loads_a_staged_version(loop):
    """An order to load removes the old weights as well, and serves new ones."""
    view = make_view("m")
    engine = FakeEngine(OLD)
    own = FakeOwn(view, "b")
    switcher = FleetSwitcher(own, view, engine, FakeStager(), WEIGHTS_S)

    async def scenario():
        announce_version(view, 2, age_ms=6000)
        await switcher.leave()

    loop.run(scenario())
    assert engine.orders == [("m", 2)]
    # Otherwise the other agents would count this target as out of service until
    # the agent has restarted.
    assert own.announced[-1] == fleet_pb2.AGENT_SERVING


def test_version_whose_age_follows_later_drops_no_weights(loop):
    """A control node that has just started is the first to announce it.

    A follower announces no age within 3 s of its start. The leader's
    announcement with the age, or the follower's next update, follows shortly.
    """
    view = make_view("m")
    engine = FakeEngine(OLD)
    switcher = FleetSwitcher(
        FakeOwn(view, "b"), view, engine, NothingStaged(), WEIGHTS_S
    )

    async def scenario():
        task = asyncio.create_task(switcher.run())
        await asyncio.sleep(1.0)
        announce_version(view, 2)
        await asyncio.sleep(0.3)
        announce_version(view, 2, age_ms=300)
        await asyncio.sleep(4.0)
        await cancelled(task)

    loop.run(scenario())
    assert engine.orders == []


def test_staged_version_is_loaded_instead_of_dropping_old_weights(loop):
    """Two versions are announced 2 s apart; the second is ready in time.

    The held weights expire by the first version's time, while the rolling
    update goes by the second version's time.
    """
    view = make_view("m")
    view.merge([], [agent("a", fleet_pb2.AGENT_SWITCHING)])
    engine = FakeEngine(OLD)
    stager = FakeStager()
    stager.staged = ModelVersion("m", 3)
    switcher = FleetSwitcher(
        FakeOwn(view, "b"), view, engine, stager, WEIGHTS_S, lambda: True
    )

    async def scenario():
        announce_version(view, 2, age_ms=6500)
        announce_version(view, 3, age_ms=4500)
        task = asyncio.create_task(switcher.run())
        await asyncio.sleep(1.45)
        await cancelled(task)

    loop.run(scenario())
    assert engine.orders == [("m", 3)]


def test_guard_of_one_model_does_not_cover_another(loop):
    """An agent knows version 5 of one model, but not version 2 of the other.

    Entries must compare the guarded version with versions of its model only.
    """
    view = make_view("m", "other")

    async def scenario():
        announce_version(view, 5, model="other", age_ms=1000)
        entry_view = make_view("m", "other")
        apply_states(entry_view, guarded_versions(view, "s", WEIGHTS_S))
        announce_version(entry_view, 2, age_ms=5500)
        services = Services(entry_view, {}, WEIGHTS_S)
        assert not services.may_begin("s", "m", "a", 0.0)

    loop.run(scenario())


def test_no_entry_sends_to_a_target_whose_weights_were_dropped(loop):
    """The agent has no measurements of the delay of its link."""
    view = make_view("m")
    engine = FakeEngine(OLD)

    async def scenario():
        announce_version(view, 2, age_ms=6950)
        apply_states(view, guarded_versions(view, "s", WEIGHTS_S))
        services = Services(view, {}, WEIGHTS_S, lambda _: 0.05)
        guard = WeightsGuard(view, engine, WEIGHTS_S, lambda: False)
        assert services.may_begin("s", "m", "a", 0.0)
        while not await guard.drop_if_due(await engine.report(), 0):
            await asyncio.sleep(0.05)
        assert not services.may_begin("s", "m", "a", 0.0)

    loop.run(scenario())
