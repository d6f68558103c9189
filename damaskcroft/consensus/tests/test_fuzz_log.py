"""Stateful fuzzing of the log against a list of accepted writes."""

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from damaskcroft.consensus import Committed
from damaskcroft.consensus.tests.fakes import MEMBERS, Cluster
from damaskcroft.standins.virtual_time import VirtualTimeLoop

members = st.sampled_from(sorted(MEMBERS))
SETTLE_S = 15.0
LOOK_EVERY_S = 0.05


class LogMachine(RuleBasedStateMachine):
    """Oracle: accepted writes by index; none lost, moved or reverted."""

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        self.loop = VirtualTimeLoop()
        asyncio.set_event_loop(self.loop)
        self.cluster = Cluster(self.loop, seed)
        self.accepted = {}
        self.leader_by_term = {}
        self.term_by_member = dict.fromkeys(MEMBERS, 0)
        self.written = 0
        self.lost_disk = None
        self.loop.pass_time(2.0)

    @rule(count=st.integers(1, 12))
    def write(self, count):
        for _ in range(count):
            self.written += 1
            value = f"v{self.written}"
            outcome = self.cluster.write(value, timeout_s=0.3)
            if isinstance(outcome, Committed):
                assert outcome.index not in self.accepted
                self.accepted[outcome.index] = value

    @rule(seconds=st.sampled_from([0.02, 0.5, 2.0, 5.0]))
    def pass_time(self, seconds):
        steps = max(1, round(seconds / LOOK_EVERY_S))
        for _ in range(steps):
            self.loop.pass_time(seconds / steps)
            self.one_confirmed_leader()

    @rule(
        chosen=st.sets(members, min_size=1),
        kept_share=st.sampled_from([0.0, 0.5, 1.0]),
        down_s=st.sampled_from([0.0, 1.5]),
    )
    def crash(self, chosen, kept_share, down_s):
        """Crashes just after a write has been proposed, then restarts."""
        leader = self.cluster.leader()
        if leader is not None:
            self.loop.run(self.cluster.propose_briefly(leader, "doubtful"))
        for member in chosen & set(self.cluster.replicas):
            self.cluster.crash(member, kept_share)
        self.loop.pass_time(down_s)
        for member in chosen - set(self.cluster.replicas):
            self.cluster.start(member)

    @rule(member=members, inwards=st.booleans(), outwards=st.booleans())
    def cut_off(self, member, inwards, outwards):
        self.isolate(member, inwards, outwards)

    @rule(
        first=members,
        crash_leader=st.booleans(),
        kept_share=st.sampled_from([0.0, 1.0]),
    )
    def shift_majority(self, first, crash_leader, kept_share):
        """Writes with one majority, then goes on with another."""
        self.cluster.heal()
        self.isolate(first, True, True)
        self.pass_time(2.0)
        self.write(3)
        leader = self.cluster.leader()
        if leader is None:
            return
        others = sorted(set(MEMBERS) - {first, leader.leader_id})
        if crash_leader and leader.leader_id in self.cluster.replicas:
            self.cluster.crash(leader.leader_id, kept_share)
            self.cluster.start(leader.leader_id)
        self.isolate(others[0], True, True)
        self.pass_time(2.0)
        self.write(2)

    def isolate(self, member, inwards, outwards):
        """Cuts one replica off, one way or both; the others are whole."""
        cuts = self.cluster.network.cuts
        cuts.clear()
        for other in MEMBERS:
            if other != member and inwards:
                cuts.add((MEMBERS[other], MEMBERS[member]))
            if other != member and outwards:
                cuts.add((MEMBERS[member], MEMBERS[other]))

    @rule(share=st.sampled_from([0.0, 0.1, 0.4]))
    def lose_messages(self, share):
        self.cluster.network.lost_share = share

    @rule()
    def heal(self):
        self.cluster.heal()

    @rule(member=members)
    @precondition(lambda self: self.no_disk_missing())
    def lose_disk(self, member):
        """A second one may go as soon as the first is repaired."""
        self.cluster.lose_disk(member)
        self.lost_disk = member
        self.term_by_member[member] = 0
        self.cluster.start(member)

    def no_disk_missing(self):
        if self.lost_disk is None:
            return True
        return self.cluster.is_voting(self.lost_disk)

    @invariant()
    def one_leader_a_term(self):
        if not hasattr(self, "cluster"):
            return
        for replica in self.cluster.leaders():
            holder = self.leader_by_term.setdefault(
                replica.term, replica.incarnation + replica.leader_id
            )
            assert holder == replica.incarnation + replica.leader_id

    @invariant()
    def one_confirmed_leader(self):
        if not hasattr(self, "cluster"):
            return
        confirmed = self.loop.run(self.cluster.confirmed_leaders())
        assert len(confirmed) <= 1

    @invariant()
    def terms_never_go_back(self):
        if not hasattr(self, "cluster"):
            return
        for member, replica in self.cluster.replicas.items():
            assert replica.term >= self.term_by_member[member]
            self.term_by_member[member] = replica.term

    @invariant()
    def applied_agrees_with_accepted(self):
        if not hasattr(self, "cluster"):
            return
        for machine in self.cluster.machines.values():
            for index, value in machine.applied:
                assert self.accepted.get(index, value) == value

    def teardown(self):
        if not hasattr(self, "cluster"):
            return
        self.cluster.heal()
        self.loop.pass_time(SETTLE_S)
        outcome = self.cluster.write("last")
        assert isinstance(outcome, Committed)
        self.loop.pass_time(2.0)
        lists = [m.applied for m in self.cluster.machines.values()]
        assert lists[0] == lists[1] == lists[2]
        held = dict(lists[0])
        for index, value in self.accepted.items():
            assert held[index] == value
        self.cluster.stop()


TestFuzzLog = LogMachine.TestCase
