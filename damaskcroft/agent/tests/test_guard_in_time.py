"""Old weights are dropped in time while the agent does other work."""

import asyncio
import types

import pytest

from damaskcroft._generated import fleet_pb2
from damaskcroft.agent._fleet_agent import _ANNOUNCE_TIMEOUT_S, FleetAgent
from damaskcroft.agent._fleet_switcher import FleetSwitcher
from damaskcroft.agent._version_choice import ModelVersion
from damaskcroft.agent.tests.test_fleet_switcher import (
    OLD,
    WEIGHTS_S,
    FakeEngine,
    FakeOwn,
    NothingStaged,
    agent,
)
from damaskcroft.clock import now_s
from damaskcroft.fleet import FleetView
from damaskcroft.tasks import cancelled

LAYERS = 4


def make_view(*models):
    view = FleetView()
    engine = fleet_pb2.EngineProfile(
        models=[fleet_pb2.EngineModel(name=model) for model in models],
        layers=LAYERS,
    )
    service = fleet_pb2.Service(name="s", interruptible=True, engine=engine)
    view.apply_configuration(
        fleet_pb2.Configuration(version=1, services=[service])
    )
    return view


def announce_version(view, version, model="m", **age):
    goal = fleet_pb2.WeightGoal(model=model, version=version, **age)
    view.apply_update(fleet_pb2.FleetUpdate(goals=[goal]))


class AgentWithControlDown(FleetAgent):
    """Announces to an unreachable control node: calls to it time out."""

    def __init__(self, view, min_part_s):
        place = types.SimpleNamespace(
            rpc_address="b", target_address="b:1", failure_domain="d",
            region="r", target_service="s",
        )  # fmt: skip
        view.control_addresses = ("away",)
        super().__init__(place, view, None, min_part_s)

    async def _announce_to(self, address):
        await asyncio.sleep(_ANNOUNCE_TIMEOUT_S)


class TimedEngine(FakeEngine):
    """Records the time of the first order that removes old weights."""

    ordered_at = None

    async def start(self, *args, **kwargs):
        self.ordered_at = self.ordered_at or now_s()
        return await super().start(*args, **kwargs)

    async def keep_only(self, part, sequence):
        self.ordered_at = self.ordered_at or now_s()
        return await super().keep_only(part, sequence)


def ordered_after_s(loop, own, view, engine, stager, is_link_fast):
    """Returns seconds from the announcement until old weights were removed."""
    switcher = FleetSwitcher(own, view, engine, stager, WEIGHTS_S, is_link_fast)

    async def scenario():
        began_at = now_s()
        announce_version(view, 2, age_ms=0)
        task = asyncio.create_task(switcher.run())
        await asyncio.sleep(WEIGHTS_S + 3.0)
        await cancelled(task)
        return engine.ordered_at - began_at

    return loop.run(scenario())


@pytest.mark.parametrize("quick_until_s", [7.3, 7.4, 7.5, 7.6, 7.65, 7.7])
def test_announcement_to_control_does_not_delay_the_guard(loop, quick_until_s):
    """The link fills shortly before expiry; one control node is unreachable.

    The change of the link's delay is announced before the guard is polled.
    """
    view = make_view("m")
    began_at = loop.run(now())

    def is_quick():
        return now_s() - began_at < quick_until_s

    own = AgentWithControlDown(view, lambda: 0.0 if is_quick() else 0.5)
    engine = TimedEngine(OLD)
    after_s = ordered_after_s(
        loop, own, view, engine, NothingStaged(), is_quick
    )
    assert after_s < WEIGHTS_S


async def now():
    return now_s()


@pytest.mark.parametrize("start_s", [6.3, 6.6, 6.9, 7.1, 7.2, 7.25, 7.29])
def test_reading_pieces_back_does_not_delay_the_guard(loop, start_s):
    """The agent reads 96 pieces at 10 ms each while it waits to switch."""

    class SlowToRead(NothingStaged):
        async def restage(self, *, before_order=False):
            await asyncio.sleep(0.96)
            return True

    view = make_view("m")
    view.merge([], [agent("a", fleet_pb2.AGENT_SWITCHING)])
    stager = SlowToRead()
    loop.call_later(start_s, setattr, stager, "staged", ModelVersion("m", 2))
    own = FakeOwn(view, "b")
    engine = TimedEngine(OLD)
    after_s = ordered_after_s(loop, own, view, engine, stager, lambda: True)
    assert after_s < WEIGHTS_S


def test_stopping_agent_announces_dropped_weights(loop):
    """No other process announces it until the agent has restarted."""
    view = make_view("m")
    announced = []

    class RecordingOwn(FakeOwn):
        async def announce(self, phase, held, staged, target_born_ms=0):
            announced.append([part.end_layer for part in held])

    switcher = FleetSwitcher(
        RecordingOwn(view, "b"),
        view,
        FakeEngine(OLD),
        NothingStaged(),
        WEIGHTS_S,
    )

    async def scenario():
        announce_version(view, 2, age_ms=6000)
        await switcher.leave()

    loop.run(scenario())
    assert announced and announced[-1] == [1]
