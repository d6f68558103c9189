"""Starts, leaves, late and doubled words, and cuts between control nodes."""

import hypothesis.strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
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
IDS = ["a", "b"]
ADDRESSES = ["1.1.1.1:1", "1.1.1.1:2"]
NODES = 3
KNOWN = "s"


class Restarts(RuleBasedStateMachine):
    """Targets start again under their ids; control nodes hear them apart.

    The model keeps every word that each node has heard, and works out anew
    who must be believed.
    """

    words = Bundle("words")

    def __init__(self):
        super().__init__()
        self.books = [TargetBook() for _ in range(NODES)]
        self.heard = [[] for _ in range(NODES)]
        self.now_ms = 0
        self.newest_by_id = {}

    def draw_living(self, data):
        return data.draw(st.sampled_from(sorted(self.newest_by_id)))

    @rule(
        target=words,
        target_id=st.sampled_from(IDS),
        address=st.sampled_from(ADDRESSES),
    )
    def start(self, target_id, address):
        self.now_ms += 1
        state = fleet_pb2.TargetState(
            id=target_id, address=address, service=KNOWN, sequence=1,
            born_ms=self.now_ms, phase=READY,
        )  # fmt: skip
        self.newest_by_id[target_id] = state
        return state

    @rule(
        target=words, data=st.data(), phase=st.sampled_from([READY, DRAINING])
    )
    def speak(self, data, phase):
        if not self.newest_by_id:
            return multiple()
        state = fleet_pb2.TargetState()
        state.CopyFrom(self.newest_by_id[self.draw_living(data)])
        state.sequence += 1
        state.phase = phase
        self.newest_by_id[state.id] = state
        return state

    @rule(target=words, data=st.data())
    def leave(self, data):
        if not self.newest_by_id:
            return multiple()
        state = self.newest_by_id.pop(self.draw_living(data))
        return fleet_pb2.TargetState(
            id=state.id, phase=GONE, born_ms=state.born_ms
        )

    @rule(
        target=words,
        target_id=st.sampled_from([*IDS, "x"]),
        address=st.sampled_from(ADDRESSES),
        sequence=st.integers(1, 100),
        born_ms=st.integers(0, 100),
    )
    def stranger(self, target_id, address, sequence, born_ms):
        """Another writer names a service that no configuration knows."""
        return fleet_pb2.TargetState(
            id=target_id, address=address, service="unknown",
            sequence=sequence, born_ms=born_ms,
        )  # fmt: skip

    @rule(word=words, node=st.integers(0, NODES - 1))
    def hear(self, word, node):
        """A word stays in the bundle: it may come late, and twice."""
        self.books[node].take(word)
        self.heard[node].append(word)

    @rule(teller=st.integers(0, NODES - 1), hearer=st.integers(0, NODES - 1))
    def join(self, teller, hearer):
        """A cut heals: one node tells another all that it knows."""
        book = self.books[teller]
        for word in [*book.words(), *book.ended()]:
            self.books[hearer].take(word)
        self.heard[hearer] += self.heard[teller]

    @rule(node=st.integers(0, NODES - 1))
    def configure(self, node):
        self.books[node].name_services({KNOWN})

    def believed(self, node):
        """The newest word of each start that has not ended, by id."""
        ended = {}
        newest = {}
        for word in self.heard[node]:
            if word.phase == GONE:
                ended[word.id] = max(ended.get(word.id, 0), word.born_ms)
        for word in self.heard[node]:
            if word.phase == GONE or word.service != KNOWN:
                continue
            if word.born_ms <= ended.get(word.id, -1):
                continue
            known = newest.get(word.id)
            if known is None or order(word) > order(known):
                newest[word.id] = word
        return newest

    @invariant()
    def the_newest_word_of_the_newest_start_counts(self):
        for node, book in enumerate(self.books):
            assert of_known(book) == {
                target_id: order(word)
                for target_id, word in self.believed(node).items()
            }

    @invariant()
    def an_address_is_held_by_whoever_was_born_last(self):
        for node, book in enumerate(self.books):
            if book._named_services is None:
                continue
            by_address = {}
            for word in self.believed(node).values():
                by_address.setdefault(word.address, []).append(word.born_ms)
            assert {s.address: s.born_ms for s in book.believed()} == {
                address: max(born) for address, born in by_address.items()
            }


def order(word):
    return word.born_ms, word.sequence


def of_known(book):
    return {
        word.id: order(word) for word in book.words() if word.service == KNOWN
    }


TestRestarts = Restarts.TestCase
