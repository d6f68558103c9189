"""Leases at a control node that has just become the leader.

Guards against `waits_out_lease id=drafting-2 wait_s=inf`, seen while the leader
was killed repeatedly. An agent that announced itself after the election but
before the leader's first round, up to a quarter of a second later, waited for
ever, because the leader had not started to count the leases of its predecessor.
The agent had neither a lease nor a configuration until it closed the connection
three seconds later, and its own lease expired meanwhile.
"""

import asyncio

import pytest

from damaskcroft._generated import control_pb2
from damaskcroft.consensus import Committed
from damaskcroft.control._proposer import Proposer
from damaskcroft.control._reconciler import Reconciler
from damaskcroft.control._service import ControlService
from damaskcroft.control._state import ControlState
from damaskcroft.membership import LeaseLedger

LEASE_S = 1.5
MAX_ROUND_INTERVAL_S = 0.25


class FakeLeader:
    """A leading replica that commits every proposal at once."""

    def __init__(self, state):
        self.state = state
        self.term = 1
        self.index = 0
        self.is_leader = True
        self.is_confirmed_leader = True
        self.leader_address = "leader"

    async def confirm_leadership(self, timeout_s):
        return self.is_confirmed_leader

    async def propose(self, command):
        result = self.apply(command)
        return Committed(self.index, result)

    def commit(self, command):
        self.apply(command.SerializeToString())

    def apply(self, command):
        self.index += 1
        return self.state.apply(self.index, command)


class HolderStream:
    """Stream of a holder that announces itself, renews and keeps messages."""

    def __init__(self, announcement, send_s=0.0, granted_revision=0):
        self.announcement = announcement
        self.granted_revision = granted_revision
        self.received_count = 0
        self.send_s = send_s
        self.concurrent_sends = 0
        self.max_concurrent_sends = 0
        self.messages = []

    async def recv_message(self):
        self.received_count += 1
        if self.received_count == 1:
            return control_pb2.HolderMessage(
                announce=self.announcement,
                granted_revision=self.granted_revision,
            )
        await asyncio.sleep(0.1)
        renewal = control_pb2.Renewal(sequence=self.received_count)
        return control_pb2.HolderMessage(renew=renewal)

    async def send_message(self, message):
        self.concurrent_sends += 1
        self.max_concurrent_sends = max(
            self.max_concurrent_sends, self.concurrent_sends
        )
        await asyncio.sleep(self.send_s)
        self.concurrent_sends -= 1
        self.messages.append(message)

    @property
    def grants(self):
        return [m for m in self.messages if m.WhichOneof("kind") == "lease"]


class ControlNode:
    """Service, reconciler and ledger of a new leader."""

    def __init__(self):
        state = ControlState(10**9, 10**6)
        self.leader = FakeLeader(state)
        proposer = Proposer(self.leader, state)
        self.ledger = LeaseLedger(LEASE_S)
        self.reconciler = Reconciler(proposer, self.ledger)
        self.service = ControlService(proposer, self.ledger, self.reconciler)
        self.tasks = []

    def announcement(self, incarnation):
        return control_pb2.Announcement(
            id="drafting-0",
            kind=control_pb2.HOLDER_AGENT,
            incarnation=incarnation,
        )

    def hold(self, incarnation="one", send_s=0.0, granted_revision=0):
        stream = HolderStream(
            self.announcement(incarnation), send_s, granted_revision
        )
        self.tasks.append(asyncio.ensure_future(self.service.Hold(stream)))
        return stream

    def announce(self, incarnation):
        """Commits an announcement as an earlier leader; gives its revision."""
        announcement = self.announcement(incarnation)
        self.leader.commit(control_pb2.Command(announce=announcement))
        return self.leader.index

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


@pytest.fixture
def control(loop):
    async def make():
        return ControlNode()

    control = loop.run(make())
    yield control
    loop.run(control.stop())


def test_a_holder_before_the_first_round_waits_at_most_one_lease(loop, control):
    async def scenario():
        stream = control.hold()
        await asyncio.sleep(0.05)
        # The leader starts its rounds after the announcement.
        control.tasks.append(asyncio.ensure_future(control.reconciler.run()))
        await asyncio.sleep(LEASE_S + MAX_ROUND_INTERVAL_S + 0.2)
        return stream.grants

    assert loop.run(scenario())


def test_a_second_leadership_counts_leases_from_its_own_start(loop, control):
    async def scenario():
        control.tasks.append(asyncio.ensure_future(control.reconciler.run()))
        await asyncio.sleep(10.0)
        control.leader.is_confirmed_leader = False
        # The extra 0.1 s keeps the change out of step with the rounds.
        await asyncio.sleep(10.1)
        # Meanwhile another node led: it committed the announcement of a
        # second process and may have just granted a lease to the first one.
        control.leader.commit(
            control_pb2.Command(announce=control.announcement("two"))
        )
        control.leader.term = 3
        control.leader.is_confirmed_leader = True
        stream = control.hold("two")
        await asyncio.sleep(LEASE_S - 0.1)
        return stream.grants

    assert not loop.run(scenario())


def test_messages_of_one_stream_are_sent_one_at_a_time(loop, control):
    async def scenario():
        control.tasks.append(asyncio.ensure_future(control.reconciler.run()))
        # A holder that reads slowly: sending a message takes a while.
        stream = control.hold(send_s=0.3)
        await asyncio.sleep(10.0)
        return stream

    stream = loop.run(scenario())
    assert len(stream.grants) > 3
    assert stream.max_concurrent_sends == 1


def test_a_lease_continues_under_a_new_leader(loop, control):
    """An agent keeps its lease when the leader changes.

    Guards against a new leader that makes each agent wait for the expiry of its
    own earlier lease. Then each change of leader let the leases of all agents
    lapse for a second or two (`waits_out_lease`, then `lease_lapsed`), and
    requests that must run once were refused meanwhile.
    """

    async def scenario():
        revision = control.announce("one")
        stream = control.hold("one", granted_revision=revision)
        await asyncio.sleep(0.3)
        return stream.grants

    grants = loop.run(scenario())
    assert grants
    assert grants[0].lease.announced_revision == 1


@pytest.mark.parametrize("granted_since", ["nothing", "another process"])
def test_a_holder_waits_for_a_lease_that_another_may_have(
    loop, control, granted_since
):
    async def scenario():
        revision = control.announce("one")
        if granted_since == "nothing":
            # Announced to the previous leader, which had granted no lease.
            revision = 0
        else:
            # Another process had the id and the lease in between.
            control.announce("two")
            control.announce("one")
        stream = control.hold("one", granted_revision=revision)
        await asyncio.sleep(LEASE_S - 0.1)
        early = list(stream.grants)
        await asyncio.sleep(0.5)
        return early, stream.grants

    early, late = loop.run(scenario())
    assert not early
    assert late
