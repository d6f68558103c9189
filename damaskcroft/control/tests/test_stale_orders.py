"""Orders that are delayed at any step, while later ones are accepted."""

import asyncio
import contextlib

import pytest
from prometheus_client import REGISTRY

from damaskcroft._generated import fleet_pb2
from damaskcroft.consensus.tests.fakes import MEMBERS, Cluster, address_of
from damaskcroft.control import (
    Accepted,
    FleetControl,
    FleetService,
    FleetState,
    Unavailable,
    _command_log,
)
from damaskcroft.control._command_log import ReadPoint
from damaskcroft.control.tests.fake_caller import FakeCaller
from damaskcroft.control.tests.test_crashes import RequestStream
from damaskcroft.fleet import FleetView
from damaskcroft.tests.suspension import suspended_at

DOMAIN = "d1"
SUSPENDED_S = 1.5
ELECTED_AFTER_S = 3.0
# An operator without an answer for this long asks another node.
OPERATOR_TIMEOUT_S = 1.0
# More than any of the handlers has.
MAX_STEPS = 80
# The opposite order is acknowledged before, or nothing; then these are, while
# the first order is delayed.
HISTORIES = [
    ((True,), False, (False, True)),
    ((), True, (True, False)),
    ((), True, (False,)),
]


class FakeChannels:
    """Leads to the other nodes by their addresses."""

    def channel(self, address):
        return address


class FleetCluster(Cluster):
    """Control nodes in virtual time; one of them may be slow at one step."""

    def __init__(self, loop, monkeypatch):
        super().__init__(loop)
        self.states = dict(self.machines)
        self.controls, self.services = {}, {}
        loop.run(self._add_services())
        # Called with the handler of each call between nodes.
        self.handle = lambda name, work: work
        cluster = self

        class FakeStub:
            def __init__(self, address):
                self._address = address

            async def ReadIndex(self, request):  # noqa: N802
                return await cluster.call(self._address, "ReadIndex", request)

            async def Forward(self, request):  # noqa: N802
                return await cluster.call(self._address, "Forward", request)

        monkeypatch.setattr(_command_log.fleet_grpc, "FleetStub", FakeStub)

    async def _add_services(self):
        for member in MEMBERS:
            replica, state = self.replicas[member], self.states[member]
            view = FleetView()
            control = FleetControl(
                replica, state, view, FakeChannels(), [DOMAIN]
            )
            self.controls[member] = control
            self.services[address_of(member)] = FleetService(
                replica, state, view, control
            )

    def make_machine(self):
        return FleetState()

    async def call(self, address, name, request):
        stream = RequestStream(None, request)
        await asyncio.sleep(self.network.latency_s)
        handler = getattr(self.services[address], name)
        # A node that was suspended may handle a call that was cancelled.
        await asyncio.shield(self.handle(name, handler(stream)))
        await asyncio.sleep(self.network.latency_s)
        return stream.reply

    def leader_member(self):
        return next(m for m, r in self.replicas.items() if r.is_leader)

    async def order(self, member, evacuated, caller=None):
        return await self.controls[member].evacuate(
            DOMAIN, evacuated=evacuated, caller=caller or FakeCaller()
        )

    async def order_until_accepted(self, member, evacuated):
        while not isinstance(await self.order(member, evacuated), Accepted):
            await asyncio.sleep(0.05)

    def evacuated(self):
        """Whether each node has the domain evacuated."""
        return {
            DOMAIN in state.evacuations.evacuated_domains
            for state in self.states.values()
        }


@contextlib.contextmanager
def running_cluster(loop, monkeypatch):
    """Three control nodes, one of which leads."""
    cluster = FleetCluster(loop, monkeypatch)
    loop.pass_time(ELECTED_AFTER_S)
    try:
        yield cluster
    finally:
        for replica in cluster.replicas.values():
            loop.run(replica.stop())


@pytest.fixture
def cluster(loop, monkeypatch):
    """Three control nodes, one of which leads."""
    with running_cluster(loop, monkeypatch) as cluster:
        yield cluster


class StaleOrder:
    """An order that is delayed at one step, and the later ones.

    Attributes:
        was_delayed: whether the step was reached.
    """

    def __init__(self, cluster, history):
        self._cluster = cluster
        self._before, self._stale, self._later = history
        self.leader = cluster.leader_member()
        self._followers = [m for m in MEMBERS if m != self.leader]
        self.was_delayed = False

    async def _give_later_orders(self):
        self.was_delayed = True
        resumes_at = asyncio.get_running_loop().time() + SUSPENDED_S
        # The operator has waited for an answer before.
        await asyncio.sleep(OPERATOR_TIMEOUT_S)
        for evacuated in self._later:
            await self._cluster.order_until_accepted(
                self._followers[1], evacuated
            )
        await asyncio.sleep(resumes_at - asyncio.get_running_loop().time())

    async def play(self, member, step, suspended):
        """Gives the order at a member.

        Args:
            member: the member.
            step: the step at which a handler is suspended.
            suspended: name of the call whose handler it is; empty for that of
                the operator's call.
        """
        for evacuated in self._before:
            await self._cluster.order_until_accepted(member, evacuated)
        order = self._cluster.order(member, self._stale, FakeCaller())
        if suspended:
            self._cluster.handle = self._suspend_once(step, suspended)
        else:
            order = suspended_at(step, order, self._give_later_orders)
        await order
        await asyncio.sleep(SUSPENDED_S + 1.0)

    def _suspend_once(self, step, suspended):
        is_due = True

        def handle(name, work):
            nonlocal is_due
            if name != suspended or not is_due:
                return work
            is_due = False
            return suspended_at(step, work, self._give_later_orders)

        return handle

    @property
    def expected(self):
        """Whether the domain is evacuated in the end."""
        return self._later[-1] if self.was_delayed else self._stale


@pytest.mark.parametrize("history", HISTORIES)
@pytest.mark.parametrize(
    ("role", "suspended"),
    [
        ("follower", ""),
        ("leader", ""),
        ("follower", "ReadIndex"),
        ("follower", "Forward"),
    ],
)
def test_an_order_delayed_at_any_step_changes_nothing_after_a_later_one(
    loop, monkeypatch, role, suspended, history
):
    """Guards against an order that takes effect after later ones."""
    delayed_count = 0
    for step in range(MAX_STEPS):
        with running_cluster(loop, monkeypatch) as cluster:
            stale = StaleOrder(cluster, history)
            member = stale.leader
            if role == "follower":
                member = next(m for m in MEMBERS if m != stale.leader)
            loop.run(stale.play(member, step, suspended))
            assert cluster.evacuated() == {stale.expected}, step
        if not stale.was_delayed:
            break
        delayed_count += 1
    assert 0 < delayed_count < MAX_STEPS


def test_an_order_that_waited_longer_than_its_operator_is_refused(
    loop, cluster
):
    """Guards against an order that waited in the kernel."""
    before = refusals("the order is too old")
    for member in MEMBERS:
        old = loop.run(order_of_age(cluster, member, OPERATOR_TIMEOUT_S))
        assert old == Unavailable("the order is too old")
    assert refusals("the order is too old") == before + len(MEMBERS)
    assert cluster.evacuated() == {False}


async def order_of_age(cluster, member, age_s):
    return await cluster.order(member, True, FakeCaller(age_s))


def test_an_order_whose_caller_left_meanwhile_is_refused(loop, cluster):
    """Guards against an end of the connection that is read late."""

    async def order(member):
        caller = FakeCaller(has_left=True)
        return await cluster.order(member, True, caller)

    for member in MEMBERS:
        assert loop.run(order(member)) == Unavailable("the caller has left")
    assert cluster.evacuated() == {False}


def test_orders_in_a_row_are_accepted_at_once(loop, cluster):
    """Guards against refusals by nodes that are slightly behind."""

    async def scenario():
        members = list(MEMBERS)
        return [
            await cluster.order(members[number % 3], number % 2 == 0)
            for number in range(60)
        ]

    assert all(isinstance(o, Accepted) for o in loop.run(scenario()))


def test_an_order_just_after_an_election_is_accepted_at_once(loop, cluster):
    """Guards against refusals in a term that the first reply did not name."""

    async def scenario():
        former = cluster.leader_member()
        other = next(m for m in MEMBERS if m != former)
        transferring = asyncio.create_task(
            cluster.replicas[former].transfer_leadership(1.0)
        )
        outcomes = []
        while not transferring.done():
            outcomes.append(await cluster.order(other, True))
            outcomes.append(await cluster.order(former, False))
        outcomes.append(await cluster.order(other, True))
        return outcomes

    assert all(isinstance(o, Accepted) for o in loop.run(scenario()))


def test_an_order_forwarded_by_the_build_before_is_accepted(loop, cluster):
    """Guards against orders refused at all old nodes during a roll."""
    order = fleet_pb2.EvacuationOrder(failure_domain=DOMAIN, evacuated=True)
    request = fleet_pb2.ForwardRequest(
        command=fleet_pb2.FleetCommand(evacuate=order)
    )
    leader = address_of(cluster.leader_member())
    reply = loop.run(cluster.call(leader, "Forward", request))
    assert reply.committed
    loop.pass_time(1.0)
    assert cluster.evacuated() == {True}


def test_the_limit_of_an_order_counts_the_way_of_the_confirmation():
    """Guards against a leader that appends when the caller has left."""
    point = ReadPoint(index=1, term=2, clock_s=100.0, received_at=10.4)
    assert point.condition(10.5).before_s == pytest.approx(100.1)


def refusals(reason):
    return (
        REGISTRY.get_sample_value(
            "damask_control_refusals_total",
            {"call": "evacuate", "reason": reason},
        )
        or 0
    )
