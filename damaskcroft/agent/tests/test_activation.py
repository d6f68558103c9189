"""An order that isn't carried out: the agent says why, and tries on.

What happened: with its target out of reach, an agent logged `staged` and then
nothing for a minute, and its report said `activating` all the while. A target
that had been started again in the middle of a load had forgotten the order;
its agent asked it for ever whether it had loaded.
"""

import asyncio

import pytest

from damaskcroft._generated import control_pb2
from damaskcroft.agent._activation import Activator
from damaskcroft.agent._gate import Gate
from damaskcroft.engines import (
    EngineState,
    EngineUnreachable,
    OrderAccepted,
    OrderFailed,
)
from damaskcroft.membership import Lease, Roster
from damaskcroft.tasks import end_all

MANIFEST = "m" * 64


class Target:
    """A target that can be away, and that can forget what it was told."""

    def __init__(self):
        self.away = False
        self.forgets = 0
        self.fails = 0
        self.loaded = ()
        self.active = ""
        self.loads = 0

    async def state(self):
        if self.away:
            return EngineUnreachable()
        return EngineState(self.active, self.loaded, {})

    async def load(self, order):
        if self.fails:
            self.fails -= 1
            return OrderFailed("no answer")
        self.loads += 1
        if self.loads > self.forgets:
            self.loaded = (order.assignment.manifest,)
        return OrderAccepted()

    async def activate(self, order):
        self.active = order.assignment.manifest
        return OrderAccepted()


class Version:
    verified = True
    location = "folder"


class Store:
    def __init__(self):
        self.versions_by_digest = {MANIFEST: Version()}


class Client:
    def __init__(self):
        self.roster = Roster()
        self.lease = Lease()

    def report_soon(self):
        pass


class Stager:
    wanted_manifest = staged_manifest = MANIFEST


class World:
    """One agent's activator with an order to carry out."""

    def __init__(self):
        self.target = Target()
        self.client = Client()
        self.client.lease.grant(asyncio.get_running_loop().time(), 1e6)
        self.gate = Gate(self.client.lease, 8, "one", is_service=False)
        self.store = Store()
        self.activator = Activator(
            "drafting-0",
            self.client,
            self.gate,
            self.target,
            Stager(),
            self.store,
        )
        self.client.roster.assignments_by_target["drafting-0"] = (
            control_pb2.Assignment(
                target="drafting-0",
                model="draft",
                version="1",
                manifest=MANIFEST,
                fencing=7,
            )
        )
        self.running = None

    def pass_time(self, loop, seconds):
        """Lets the activator work; it begins with the first call."""
        if self.running is None:
            self.running = loop.create_task(self.activator.run())
        loop.pass_time(seconds)


@pytest.fixture
def world(loop):
    async def make():
        return World()

    world = loop.run(make())
    yield world
    loop.run(end_all([world.running]))


async def lasted_s(held_up):
    return held_up.for_s()


def test_a_target_out_of_reach_is_told_and_tried_until_it_is_back(
    loop, world, caplog
):
    world.target.away = True
    with caplog.at_level("INFO"):
        world.pass_time(loop, 30.0)
        held_up = world.activator.held_up
        assert held_up.reason == control_pb2.HELD_UP_TARGET_UNREACHABLE
        assert 29.0 < loop.run(lasted_s(held_up)) < 31.0
        lines = [t for t in caplog.messages if "event=order_held_up" in t]
        assert 1 < len(lines) < 10
        assert all("reason=target_unreachable" in line for line in lines)
        world.target.away = False
        world.pass_time(loop, 5.0)
    assert world.gate.is_open
    assert world.activator.held_up.reason == control_pb2.HELD_UP_BY_NOTHING
    assert any("event=order_goes_on" in text for text in caplog.messages)


def test_a_load_that_a_restarted_target_forgot_is_ordered_again(loop, world):
    world.target.forgets = 1
    world.pass_time(loop, 300.0)
    assert world.gate.is_open
    assert world.target.loads == 2


def test_a_load_that_lasts_is_told(loop, world):
    world.target.forgets = 100
    world.pass_time(loop, 15.0)
    held_up = world.activator.held_up
    assert held_up.reason == control_pb2.HELD_UP_LOAD_UNENDED


def test_requests_that_do_not_end_are_told(loop, world):
    with world.gate.running():
        world.pass_time(loop, 15.0)
        held_up = world.activator.held_up
        assert held_up.reason == control_pb2.HELD_UP_REQUESTS_UNENDED
    world.pass_time(loop, 1.0)
    assert world.gate.is_open


def test_weights_that_are_missing_are_told(loop, world):
    world.store.versions_by_digest[MANIFEST].verified = False
    try:
        world.pass_time(loop, 15.0)
        held_up = world.activator.held_up
        assert held_up.reason == control_pb2.HELD_UP_WEIGHTS_MISSING
    finally:
        Version.verified = True


def test_an_order_without_an_answer_is_given_again(loop, world):
    world.target.fails = 3
    world.pass_time(loop, 10.0)
    assert world.gate.is_open
