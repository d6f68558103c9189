"""Pieces that turn bad while their agent is suspended at any of its steps."""

import asyncio

import pytest

from damaskcroft._generated import fleet_pb2
from damaskcroft.agent._fleet_stager import FleetStager
from damaskcroft.agent._fleet_switcher import FleetSwitcher
from damaskcroft.agent._piece_checks import PieceChecks
from damaskcroft.agent.tests.test_fleet_stager import (
    CHUNKS,
    FakeOrigin,
    NoPeers,
    announce_version,
)
from damaskcroft.agent.tests.test_fleet_switcher import FakeOwn
from damaskcroft.engines import EngineReport, OrderAccepted, OrderExpired
from damaskcroft.fleet import FleetView
from damaskcroft.tasks import cancelled
from damaskcroft.tests.suspension import suspended_at
from damaskcroft.weights import BurstOptions, MemoryStore, Pacer

OLD = fleet_pb2.HeldLayers(model="m", version=1, end_layer=4)
NEW = fleet_pb2.HeldLayers(model="m", version=2, end_layer=4)
LATENCY_S = 0.002
SUSPENDED_S = 4.0
# How long a piece may have been bad when a target takes it.
MAX_BAD_S = 3.0
# Time after a suspension within which the version must be in service.
RECOVERY_S = 4.0
VERSION_S = 60.0
MAX_STEPS = 400


class Target:
    """A target with staged pieces, in virtual time.

    Attributes:
        taken: how long each piece taken by an order had been bad; 0 for good.
        ordered_at: time of the accepted order, or None.
        expired: number of orders that were not sent.
    """

    def __init__(self):
        self.held = (OLD,)
        self.taken = []
        self.ordered_at = None
        self.expired = 0
        self._data_by_index = {}
        self._bad_since_by_index = {}

    async def report(self):
        await asyncio.sleep(LATENCY_S)
        return EngineReport(self.held, False, len(self.taken), 0)

    async def fetch_staged_piece(self, model, index):
        await asyncio.sleep(LATENCY_S / 2)
        data = self._data_by_index.get(index)
        await asyncio.sleep(LATENCY_S / 2)
        return data

    async def stage_piece(self, model, index, data):
        await asyncio.sleep(LATENCY_S)
        self._data_by_index[index] = data
        self._bad_since_by_index.pop(index, None)
        return True

    async def start(
        self, model, version, sequence, *, abort_running, before_s=float("inf")
    ):
        # Waits for a connection; from the write on, the agent has no part.
        await asyncio.sleep(LATENCY_S)
        if asyncio.get_running_loop().time() > before_s:
            self.expired += 1
            return OrderExpired()
        return await asyncio.shield(asyncio.create_task(self._accept()))

    async def _accept(self):
        await asyncio.sleep(LATENCY_S)
        now = asyncio.get_running_loop().time()
        self.ordered_at = now
        self.taken = [
            now - self._bad_since_by_index.get(index, now)
            for index in range(len(CHUNKS))
        ]
        self.held = (NEW,)
        return OrderAccepted()

    async def keep_only(self, part, sequence):
        await asyncio.sleep(LATENCY_S)
        self.held = (part,)
        return OrderAccepted()

    def spoil(self, indexes):
        for index in indexes:
            self._data_by_index[index] = b"spoilt"
            self._bad_since_by_index[index] = asyncio.get_running_loop().time()


class Agent:
    """Stages and switches beside one target.

    Attributes:
        own: announces its state.
    """

    def __init__(self, target):
        self.view = FleetView()
        engine = fleet_pb2.EngineProfile(
            models=[fleet_pb2.EngineModel(name="m")], layers=4
        )
        services = [
            fleet_pb2.Service(name="s", engine=engine, interruptible=True),
            fleet_pb2.Service(name="o", origin="x:1"),
        ]
        self.view.apply_configuration(
            fleet_pb2.Configuration(version=1, services=services)
        )
        self.own = FakeOwn(self.view, "a")
        self.stager = FleetStager(
            self.own, self.view, target, MemoryStore(10**6),
            lambda _: FakeOrigin(), NoPeers(), Pacer(1e9),
            BurstOptions(paced_by_trees=False),
        )  # fmt: skip
        self.switcher = FleetSwitcher(
            self.own, self.view, target, self.stager, VERSION_S
        )


class Play:
    """One suspension of an agent that stages and loads a version.

    Attributes:
        was_suspended: whether the step was reached before the load.
    """

    def __init__(self, target, spoilt):
        self._target = target
        self._spoilt = spoilt
        self._resumed_at = 0.0
        self.was_suspended = False

    async def _suspend(self):
        self.was_suspended = self._target.ordered_at is None
        self._target.spoil(self._spoilt)
        await asyncio.sleep(SUSPENDED_S)
        self._resumed_at = asyncio.get_running_loop().time()

    async def run(self, agent, step):
        staging = asyncio.create_task(agent.stager.run())
        while agent.stager.staged is None:
            await asyncio.sleep(0.05)
        switching = asyncio.create_task(
            suspended_at(step, agent.switcher._run_switching(), self._suspend)
        )
        await asyncio.sleep(SUSPENDED_S + RECOVERY_S)
        await cancelled(switching)
        await cancelled(staging)
        # An order is in flight while the agent is suspended, or before.
        return self._target.ordered_at - self._resumed_at


@pytest.mark.parametrize("spoilt", [(0,), (4,), (7,), tuple(range(8))])
def test_a_piece_that_turns_bad_in_any_suspension_is_not_loaded(loop, spoilt):
    """Guards against a load that relies on checks from before a suspension."""
    suspended_count = 0
    for step in range(MAX_STEPS):
        target = Target()
        agent = Agent(target)
        announce_version(loop, agent.view)
        play = Play(target, spoilt)
        loaded_after_s = loop.run(play.run(agent, step))
        assert max(target.taken) <= MAX_BAD_S, step
        if not play.was_suspended:
            break
        suspended_count += 1
        assert loaded_after_s < RECOVERY_S / 2, step
    assert len(CHUNKS) < suspended_count < MAX_STEPS


def test_a_suspension_between_the_checks_and_the_order_delays_only_the_load(
    loop,
):
    """Guards against a rollout that starts anew after a late check."""

    class Suspended(Target):
        """Stands still once, when the order waits for its connection."""

        async def start(self, *args, **kwargs):
            if not self.expired:
                await asyncio.sleep(SUSPENDED_S)
            return await super().start(*args, **kwargs)

    target = Suspended()
    agent = Agent(target)
    announce_version(loop, agent.view)

    async def scenario():
        staging = asyncio.create_task(agent.stager.run())
        switching = asyncio.create_task(agent.switcher.run())
        await asyncio.sleep(SUSPENDED_S + 1.0)
        await cancelled(switching)
        await cancelled(staging)

    loop.run(scenario())
    assert target.expired == 1
    assert agent.own.announced.count(fleet_pb2.AGENT_SWITCHING) == 2
    assert target.ordered_at < SUSPENDED_S + 0.5


def test_an_agent_that_stops_orders_no_load_on_old_checks(loop):
    """Guards against a last order that is sent after a suspension."""

    async def scenario(step):
        target = Target()
        agent = Agent(target)
        goal = fleet_pb2.WeightGoal(model="m", version=2, age_ms=58_000)
        agent.view.apply_update(fleet_pb2.FleetUpdate(goals=[goal]))
        play = Play(target, (0,))
        staging = asyncio.create_task(agent.stager.run())
        while agent.stager.staged is None:
            await asyncio.sleep(0.05)
        await suspended_at(step, agent.switcher.leave(), play._suspend)
        await cancelled(staging)
        return target, play.was_suspended

    for step in range(MAX_STEPS):
        target, was_suspended = loop.run(scenario(step))
        assert max(target.taken, default=0.0) <= MAX_BAD_S, step
        if not was_suspended:
            break
    assert len(CHUNKS) < step < MAX_STEPS


def test_checks_are_as_old_as_the_oldest(loop):
    """Guards against a set of checks that counts from the last of them."""

    async def scenario():
        checks = PieceChecks(3)
        for index in range(3):
            checks.record(index, asyncio.get_running_loop().time())
            await asyncio.sleep(1.0)
        return checks.oldest_at, checks.older_than(1.5)

    assert loop.run(scenario()) == (0.0, [0, 1])


def test_a_piece_never_checked_is_older_than_any_time(loop):
    async def scenario():
        return PieceChecks(2).older_than(10**9)

    assert loop.run(scenario()) == [0, 1]
