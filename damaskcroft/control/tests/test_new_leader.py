"""What holders meet at a control node that has just become the leader.

What happened: while the leader was killed again and again, a new leader's log
told `waits_out_lease id=drafting-2 wait_s=inf`. An agent that announced itself
between the election and the leader's first round, a quarter of a second later
at most, was to wait for a lease that no one had begun to count: for ever. It
was left without a lease or a configuration until it gave that connection up
by itself, three seconds later, and its own lease ran out meanwhile.
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
ROUND_S = 0.25


class Leader:
    """A replica that leads and commits whatever is proposed."""

    def __init__(self, state):
        self.state = state
        self.term = 1
        self.index = 0
        self.is_leader = True
        self.is_confirmed_leader = True
        self.leader_address = "leader"

    async def confirm_leader(self, timeout_s):
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
    """A holder that announces itself and renews, and what it is sent."""

    def __init__(self, announcement, send_s=0.0, granted_revision=0):
        self.announcement = announcement
        self.granted_revision = granted_revision
        self.sends = 0
        self.send_s = send_s
        self.sending = 0
        self.most_at_once = 0
        self.messages = []

    async def recv_message(self):
        self.sends += 1
        if self.sends == 1:
            return control_pb2.HolderMessage(
                announce=self.announcement,
                granted_revision=self.granted_revision,
            )
        await asyncio.sleep(0.1)
        renewal = control_pb2.Renewal(sequence=self.sends)
        return control_pb2.HolderMessage(renew=renewal)

    async def send_message(self, message):
        self.sending += 1
        self.most_at_once = max(self.most_at_once, self.sending)
        await asyncio.sleep(self.send_s)
        self.sending -= 1
        self.messages.append(message)

    @property
    def grants(self):
        return [m for m in self.messages if m.WhichOneof("kind") == "lease"]


class Control:
    """A new leader's service, reconciler and ledger."""

    def __init__(self):
        state = ControlState(10**9, 10**6)
        self.leader = Leader(state)
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
        """Commits an announcement as an earlier leader did; its revision."""
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
        return Control()

    control = loop.run(make())
    yield control
    loop.run(control.stop())


def test_who_comes_before_the_first_round_waits_no_longer_than_a_lease(
    loop, control
):
    async def scenario():
        stream = control.hold()
        await asyncio.sleep(0.05)
        # Only now does the leader begin its rounds.
        control.tasks.append(asyncio.ensure_future(control.reconciler.run()))
        await asyncio.sleep(LEASE_S + ROUND_S + 0.2)
        return stream.grants

    assert loop.run(scenario())


def test_a_second_leadership_counts_leases_from_its_own_beginning(
    loop, control
):
    async def scenario():
        control.tasks.append(asyncio.ensure_future(control.reconciler.run()))
        await asyncio.sleep(10.0)
        control.leader.is_confirmed_leader = False
        # Off the beat of its rounds.
        await asyncio.sleep(10.1)
        # Another node led meanwhile: it heard of a second process, and may
        # have granted a lease to the first one just now.
        control.leader.commit(
            control_pb2.Command(announce=control.announcement("two"))
        )
        control.leader.term = 3
        control.leader.is_confirmed_leader = True
        stream = control.hold("two")
        await asyncio.sleep(LEASE_S - 0.1)
        return stream.grants

    assert not loop.run(scenario())


def test_two_messages_are_never_sent_at_once_on_one_stream(loop, control):
    async def scenario():
        control.tasks.append(asyncio.ensure_future(control.reconciler.run()))
        # A holder that reads slowly: a message is on its way for a while.
        stream = control.hold(send_s=0.3)
        await asyncio.sleep(10.0)
        return stream

    stream = loop.run(scenario())
    assert len(stream.grants) > 3
    assert stream.most_at_once == 1


def test_who_holds_a_lease_goes_on_under_a_new_leader(loop, control):
    """An agent whose leader was killed keeps its lease with the next one.

    Each change of leader let all agents' leases lapse for a second or two
    (`waits_out_lease`, then `lease_lapsed`): the new leader made each of them
    wait until its own lease of before had run out. Requests that must run
    once were refused meanwhile.
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
def test_who_may_meet_another_lease_waits_it_out(loop, control, granted_since):
    async def scenario():
        revision = control.announce("one")
        if granted_since == "nothing":
            # Announced to the last leader, which has granted nothing yet.
            revision = 0
        else:
            # Another process had the slot, and the lease, in between.
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
