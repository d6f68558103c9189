"""Announcements that come late, twice, out of order and after their end."""

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
from damaskcroft.fleet import TargetBook

READY, DRAINING, GONE = (
    fleet_pb2.TARGET_READY,
    fleet_pb2.TARGET_DRAINING,
    fleet_pb2.TARGET_GONE,
)
ADDRESSES = ["x:1", "x:2", "x:3"]


class Announcements(RuleBasedStateMachine):
    """Targets start, speak and end; one book hears them in any order."""

    words = Bundle("words")

    def __init__(self):
        super().__init__()
        self.book = TargetBook()
        self.starts = 0
        # What each living id last said, and where it is.
        self.living = {}
        self.heard_end = set()
        self.newest_heard = {}
        self.first_heard = []

    @rule(target=words, address=st.sampled_from(ADDRESSES))
    def start(self, address):
        """Another start takes an address; whoever had it is over."""
        for other, state in list(self.living.items()):
            if state.address == address:
                del self.living[other]
        self.starts += 1
        state = fleet_pb2.TargetState(
            id=f"i-{self.starts}", address=address, service="s", sequence=1,
            phase=READY,
        )  # fmt: skip
        self.living[state.id] = state
        return state

    @rule(
        target=words, data=st.data(), phase=st.sampled_from([READY, DRAINING])
    )
    def speak(self, data, phase):
        if not self.living:
            return multiple()
        state = fleet_pb2.TargetState()
        state.CopyFrom(
            self.living[data.draw(st.sampled_from(sorted(self.living)))]
        )
        state.sequence += 1
        state.phase = phase
        self.living[state.id] = state
        return state

    @rule(target=words, data=st.data())
    def leave(self, data):
        if not self.living:
            return multiple()
        gone = self.living.pop(data.draw(st.sampled_from(sorted(self.living))))
        return fleet_pb2.TargetState(
            id=gone.id, address=gone.address, service="s", phase=GONE,
            sequence=gone.sequence + 1,
        )  # fmt: skip

    @rule(word=words)
    def hear(self, word):
        """A word stays in the bundle: it may be heard again, and late."""
        if word.phase == GONE:
            self.heard_end.add(word.id)
        elif word.id not in self.heard_end:
            known = self.newest_heard.get(word.id)
            if known is None:
                self.first_heard.append(word.id)
            if known is None or word.sequence > known.sequence:
                self.newest_heard[word.id] = word
        before = {s.id: s.sequence for s in self.book.targets_by_id.values()}
        self.book.take(word)
        for state in self.book.targets_by_id.values():
            assert state.sequence >= before.get(state.id, 0)

    @rule(word=consumes(words))
    def lose(self, word):
        """A word may also never come."""

    @invariant()
    def the_newest_word_of_each_start_counts(self):
        for target_id, state in self.book.targets_by_id.items():
            assert state == self.newest_heard[target_id]

    @invariant()
    def who_has_left_never_comes_back(self):
        assert not self.heard_end & set(self.book.targets_by_id)

    @invariant()
    def an_address_has_one_holder_the_one_first_heard_last(self):
        believed = self.book.believed()
        addresses = [state.address for state in believed]
        assert len(set(addresses)) == len(addresses)
        for state in believed:
            rivals = [
                other.id
                for other in self.book.targets_by_id.values()
                if other.address == state.address
            ]
            last = max(rivals, key=self.first_heard.index)
            assert state.id == last


TestAnnouncements = Announcements.TestCase
