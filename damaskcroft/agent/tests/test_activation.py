"""Delayed orders: the agent reports the reason and keeps retrying.

These tests guard against two failures. With its target unreachable, an agent
logged `staged` and then nothing for a minute, while its report said
`activating`. A target that restarted during a load had lost the order, and its
agent polled without end for a load that was not in progress.
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
from damaskcroft.tasks import cancel_all

MANIFEST = "m" * 64


class Target:
    """A target that can be unreachable, fail orders or lose them."""

    def __init__(self):
        self.is_unreachable = False
        self.lost_loads = 0
        self.failed_loads = 0
        self.loaded = ()
        self.active = ""
        self.loads = 0

    async def state(self):
        if self.is_unreachable:
            return EngineUnreachable()
        return EngineState(self.active, self.loaded, {})

    async def load(self, order):
        if self.failed_loads:
            self.failed_loads -= 1
            return OrderFailed("no answer")
        self.loads += 1
        if self.loads > self.lost_loads:
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

    def renew_now(self):
        pass


class Stager:
    desired_manifest = staged_manifest = MANIFEST


class World:
    """One agent's activator with an assignment to carry out."""

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
        """Advances virtual time; the first call starts the activator."""
        if self.running is None:
            self.running = loop.create_task(self.activator.run())
        loop.pass_time(seconds)


@pytest.fixture
def world(loop):
    async def make():
        return World()

    world = loop.run(make())
    yield world
    loop.run(cancel_all([world.running]))


async def read_duration_s(held_up):
    return held_up.duration_s()


def test_unreachable_target_is_reported_and_retried_until_it_returns(
    loop, world, caplog
):
    world.target.is_unreachable = True
    with caplog.at_level("INFO"):
        world.pass_time(loop, 30.0)
        held_up = world.activator.held_up
        assert held_up.reason == control_pb2.HELD_UP_TARGET_UNREACHABLE
        assert 29.0 < loop.run(read_duration_s(held_up)) < 31.0
        lines = [t for t in caplog.messages if "event=order_held_up" in t]
        assert 1 < len(lines) < 10
        assert all("reason=target_unreachable" in line for line in lines)
        world.target.is_unreachable = False
        world.pass_time(loop, 5.0)
    assert world.gate.is_open
    assert world.activator.held_up.reason == control_pb2.HELD_UP_BY_NOTHING
    assert any("event=order_goes_on" in text for text in caplog.messages)


def test_load_lost_by_a_target_restart_is_ordered_again(loop, world):
    world.target.lost_loads = 1
    world.pass_time(loop, 300.0)
    assert world.gate.is_open
    assert world.target.loads == 2


def test_long_load_is_reported(loop, world):
    world.target.lost_loads = 100
    world.pass_time(loop, 15.0)
    held_up = world.activator.held_up
    assert held_up.reason == control_pb2.HELD_UP_LOAD_UNENDED


def test_requests_that_do_not_end_are_reported(loop, world):
    with world.gate.running():
        world.pass_time(loop, 15.0)
        held_up = world.activator.held_up
        assert held_up.reason == control_pb2.HELD_UP_REQUESTS_UNENDED
    world.pass_time(loop, 1.0)
    assert world.gate.is_open


def test_missing_weights_are_reported(loop, world):
    world.store.versions_by_digest[MANIFEST].verified = False
    try:
        world.pass_time(loop, 15.0)
        held_up = world.activator.held_up
        assert held_up.reason == control_pb2.HELD_UP_WEIGHTS_MISSING
    finally:
        Version.verified = True


def test_unanswered_order_is_sent_again(loop, world):
    world.target.failed_loads = 3
    world.pass_time(loop, 10.0)
    assert world.gate.is_open
