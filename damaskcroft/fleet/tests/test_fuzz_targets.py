"""Announcements that arrive late, twice, out of order, or after an end."""

import hypothesis.strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    multiple,
    rule,
)

from damaskcroft._generated import fleet_pb2
from damaskcroft.fleet import TargetRegistry

READY, DRAINING, GONE = (
    fleet_pb2.TARGET_READY,
    fleet_pb2.TARGET_DRAINING,
    fleet_pb2.TARGET_GONE,
)
ADDRESSES = ["x:1", "x:2", "x:3"]


class Announcements(RuleBasedStateMachine):
    """Targets start, announce and end; one registry receives all of it."""

    announcements = Bundle("announcements")

    def __init__(self):
        super().__init__()
        self.registry = TargetRegistry()
        self.start_count = 0
        # Last announcement of each running id.
        self.running = {}
        self.ended_ids = set()
        self.newest_received = {}
        self.first_received = []

    @rule(target=announcements, address=st.sampled_from(ADDRESSES))
    def start(self, address):
        """Another start takes an address; its previous owner has ended."""
        for other, state in list(self.running.items()):
            if state.address == address:
                del self.running[other]
        self.start_count += 1
        state = fleet_pb2.TargetState(
            id=f"i-{self.start_count}", address=address, service="s",
            sequence=1, phase=READY,
        )  # fmt: skip
        self.running[state.id] = state
        return state

    @rule(
        target=announcements,
        data=st.data(),
        phase=st.sampled_from([READY, DRAINING]),
    )
    def announce(self, data, phase):
        if not self.running:
            return multiple()
        state = fleet_pb2.TargetState()
        state.CopyFrom(
            self.running[data.draw(st.sampled_from(sorted(self.running)))]
        )
        state.sequence += 1
        state.phase = phase
        self.running[state.id] = state
        return state

    @rule(target=announcements, data=st.data())
    def leave(self, data):
        if not self.running:
            return multiple()
        gone = self.running.pop(
            data.draw(st.sampled_from(sorted(self.running)))
        )
        return fleet_pb2.TargetState(
            id=gone.id, address=gone.address, service="s", phase=GONE,
            sequence=gone.sequence + 1,
        )  # fmt: skip

    @rule(announcement=announcements)
    def receive(self, announcement):
        """An announcement stays in the bundle: it may arrive late and again."""
        if announcement.phase == GONE:
            self.ended_ids.add(announcement.id)
        elif announcement.id not in self.ended_ids:
            known = self.newest_received.get(announcement.id)
            if known is None:
                self.first_received.append(announcement.id)
            if known is None or announcement.sequence > known.sequence:
                self.newest_received[announcement.id] = announcement
        before = {
            s.id: s.sequence for s in self.registry.targets_by_id.values()
        }
        self.registry.merge(announcement)
        for state in self.registry.targets_by_id.values():
            assert state.sequence >= before.get(state.id, 0)

    @rule(announcement=consumes(announcements))
    def lose(self, announcement):
        """An announcement may also be lost."""

    @invariant()
    def the_newest_announcement_of_each_start_is_in_effect(self):
        for target_id, state in self.registry.targets_by_id.items():
            assert state == self.newest_received[target_id]

    @invariant()
    def targets_that_left_never_return(self):
        assert not self.ended_ids & set(self.registry.targets_by_id)

    @invariant()
    def an_address_is_held_by_the_target_first_received_last(self):
        believed = self.registry.address_holders()
        addresses = [state.address for state in believed]
        assert len(set(addresses)) == len(addresses)
        for state in believed:
            rivals = [
                other.id
                for other in self.registry.targets_by_id.values()
                if other.address == state.address
            ]
            last = max(rivals, key=self.first_received.index)
            assert state.id == last


TestAnnouncements = Announcements.TestCase
