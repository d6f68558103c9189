"""Stateful fuzzing of leases and orders.

Two agent processes may run for one target, as after the replacement of an agent
that was only frozen. Oracle: the fencing numbers of the orders that the target
carries out never decrease.
"""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from damaskcroft._generated import agent_pb2, control_pb2
from damaskcroft.agent._activation import Activator
from damaskcroft.agent._gate import Admitted, Gate
from damaskcroft.engines import (
    EngineState,
    OrderAccepted,
    OrderFailed,
    OrderRefused,
)
from damaskcroft.membership import LeaseLedger, Roster
from damaskcroft.membership._lease import Lease
from damaskcroft.standins.virtual_time import VirtualTimeLoop

LEASE_S = 3.0
ORDER_S = 0.2


class FakeTarget:
    """A target with or without a check of fencing numbers."""

    def __init__(self, checks):
        self.checks = checks
        self.fencing = 0
        self.active = ""
        self.loaded = ()
        self.fails = set()
        self.activations = []
        self.deaf = False


class FakeOrders:
    """Sends an agent's orders only under its lease, as engines do."""

    def __init__(self, target, agent):
        self.target = target
        self.agent = agent

    async def state(self):
        await self.agent.pause_point()
        target = self.target
        failed = dict.fromkeys(target.fails, "no memory")
        return EngineState(target.active, target.loaded, failed)

    async def load(self, order):
        manifest = order.assignment.manifest
        return await self.carry_out(
            order.assignment, lambda t: setattr(t, "loaded", (manifest,))
        )

    async def activate(self, order):
        return await self.carry_out(
            order.assignment, self.serve(order.assignment)
        )

    async def unload(self, assignment):
        return await self.carry_out(assignment, self.serve(assignment))

    def serve(self, assignment):
        def change(target):
            target.active = assignment.manifest
            target.activations.append(assignment.fencing)

        return change

    async def carry_out(self, assignment, change):
        await self.agent.pause_point()
        if self.agent.lease.remaining_s < ORDER_S:
            return OrderFailed("the lease ends too soon")
        target = self.target
        if target.deaf:
            return OrderFailed("no answer")
        if target.checks and assignment.fencing < target.fencing:
            return OrderRefused("old fencing number")
        target.fencing = max(target.fencing, assignment.fencing)
        change(target)
        return OrderAccepted()


class FakeStager:
    desired_manifest = ""
    staged_manifest = ""


class FakeVersion:
    verified = True
    location = "files"


class EveryVersion(dict):
    def get(self, key, default=None):
        return FakeVersion()

    def __getitem__(self, key):
        return FakeVersion()


class FakeStore:
    versions_by_digest = EveryVersion()


class FakeClient:
    def __init__(self, lease):
        self.lease = lease
        self.roster = Roster()

    def renew_now(self):
        pass


class Agent:
    """The real activator, gate and lease of one agent process."""

    def __init__(self, incarnation, target):
        self.incarnation = incarnation
        self.thawed = asyncio.Event()
        self.thawed.set()
        self.lease = Lease()
        self.client = FakeClient(self.lease)
        self.gate = Gate(self.lease, 8, incarnation, is_service=False)
        self.activator = Activator(
            "slot",
            self.client,
            self.gate,
            FakeOrders(target, self),
            FakeStager(),
            FakeStore(),
        )
        self.task = asyncio.ensure_future(self.activator.run())

    async def pause_point(self):
        """Yields control; a frozen process waits here until it is thawed."""
        await asyncio.sleep(0.01)
        await self.thawed.wait()


# Hypothesis derives its examples from the source of this class, names and
# docstrings included; an edit of either runs other examples.
class OrdersMachine(RuleBasedStateMachine):
    @initialize(checks=st.booleans())
    def start(self, checks):
        self.loop = VirtualTimeLoop()
        asyncio.set_event_loop(self.loop)
        self.target = FakeTarget(checks)
        self.fencing = 0
        self.assignment = None
        self.serial = 0
        self.agents = []
        self.loop.run(self.open())

    async def open(self):
        self.ledger = LeaseLedger(LEASE_S)
        self.ledger.lead(1)
        await self.add_agent()
        await asyncio.sleep(LEASE_S)
        await self.renew()

    async def add_agent(self):
        self.serial += 1
        self.agents.append(Agent(f"p{self.serial}", self.target))

    @rule()
    def replace_agent(self):
        """The platform starts another process; the old may still live."""
        if len(self.agents) < 4:
            self.loop.run(self.add_agent())

    @rule(frozen=st.booleans(), version=st.integers(0, 3))
    def replace_in_service(self, frozen, version):
        """In the middle of an order, while the older lease is held."""
        self.pass_time(0.3, False)
        self.assign(version)
        self.pass_time(0.02, False)
        if frozen:
            self.freeze(len(self.agents) - 1)
        self.replace_agent()
        self.assign(version + 1)
        self.pass_time(0.3, False)

    @rule(seconds=st.sampled_from([0.02, 0.3, 1.0, 2.9]), cut=st.booleans())
    def pass_time(self, seconds, cut):
        self.loop.run(self.live(seconds, cut))

    async def live(self, seconds, cut):
        end_at = self.loop.time() + seconds
        while self.loop.time() < end_at:
            if not cut:
                await self.renew()
            await asyncio.sleep(min(0.25, seconds))

    async def renew(self):
        """Control renews the newest process once older leases are over."""
        newest = self.agents[-1]
        if not newest.thawed.is_set():
            return
        sent_at = self.loop.time()
        wait_s = self.ledger.wait_for_predecessor_s("slot", newest.incarnation)
        if wait_s > 0:
            return
        self.ledger.renew("slot", newest.incarnation, control_pb2.Renewal())
        newest.lease.grant(sent_at, LEASE_S)
        if self.assignment is not None:
            roster = newest.client.roster
            roster.assignments_by_target["slot"] = self.assignment

    @rule(version=st.integers(0, 3))
    def assign(self, version):
        """Committed; only processes that hear control learn of it."""
        self.fencing += 1
        self.assignment = control_pb2.Assignment(
            target="slot",
            model="m",
            version=str(version),
            manifest=f"m{version}" if version else "",
            fencing=self.fencing,
        )

    @rule(deaf=st.booleans())
    def lose_orders(self, deaf):
        self.target.deaf = deaf

    @rule(place=st.integers(0, 3))
    def freeze(self, place):
        if place < len(self.agents):
            self.agents[place].thawed.clear()

    @rule(place=st.integers(0, 3))
    def thaw(self, place):
        if place < len(self.agents):
            self.loop.run(self.thaw_now(place))

    async def thaw_now(self, place):
        self.agents[place].thawed.set()

    @invariant()
    def target_never_goes_back(self):
        if not hasattr(self, "target"):
            return
        orders = self.target.activations
        assert orders == sorted(orders)

    @invariant()
    def at_most_one_process_holds_the_lease(self):
        if not hasattr(self, "target"):
            return
        assert self.loop.run(self.holders()) <= 1

    async def holders(self):
        return sum(agent.lease.is_held for agent in self.agents)

    @invariant()
    def gate_lets_in_only_what_the_target_serves(self):
        """A caller may get what is served, or a refusal; never another."""
        if not hasattr(self, "target"):
            return
        self.loop.run(self.look_at_gates())

    async def look_at_gates(self):
        newest = self.agents[-1]
        if not newest.lease.is_held:
            return
        request = agent_pb2.RunRequest(
            manifest=newest.gate.manifest, deadline_ms=1000, priority=2
        )
        admitted = newest.gate.admit(request)
        if isinstance(admitted, Admitted):
            assert admitted.manifest == self.target.active

    def teardown(self):
        if not hasattr(self, "target"):
            return
        self.target.deaf = False
        for place in range(len(self.agents)):
            self.thaw(place)
        self.assign(2)
        self.pass_time(12.0, False)
        assert self.target.active == "m2"
        assert self.agents[-1].gate.manifest == "m2"
        self.loop.run(self.close())
        self.loop.close()

    async def close(self):
        for agent in self.agents:
            agent.task.cancel()
        tasks = [agent.task for agent in self.agents]
        await asyncio.gather(*tasks, return_exceptions=True)


TestFuzzOrders = OrdersMachine.TestCase
# Examples are cheap here, so more of them are run.
TestFuzzOrders.settings = settings(max_examples=4 * settings().max_examples)
