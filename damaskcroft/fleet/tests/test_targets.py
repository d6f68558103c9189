"""Announcements that come late, twice, or after their sender's end."""

from hypothesis import given
from hypothesis import strategies as st

from damaskcroft._generated import fleet_pb2
from damaskcroft.fleet import TargetBook


def said(target_id, sequence, address="x:1", **fields):
    return fleet_pb2.TargetState(
        id=target_id, sequence=sequence, address=address, service="s", **fields
    )


def gone(target_id):
    return fleet_pb2.TargetState(id=target_id, phase=fleet_pb2.TARGET_GONE)


def test_an_older_announcement_changes_nothing():
    book = TargetBook()
    assert book.take(said("a", 5, phase=fleet_pb2.TARGET_DRAINING))
    assert not book.take(said("a", 4))
    assert book.targets_by_id["a"].phase == fleet_pb2.TARGET_DRAINING


def test_only_a_real_change_counts_as_one():
    book = TargetBook()
    assert book.take(said("a", 1))
    assert not book.take(said("a", 2))
    assert book.take(said("a", 3, slots=4))


def test_a_late_announcement_does_not_revive_a_target_that_left():
    book = TargetBook()
    book.take(said("a", 1))
    assert book.take(gone("a"))
    assert not book.take(said("a", 9))
    assert book.believed() == []


def test_a_target_that_left_before_it_was_heard_of_stays_away():
    book = TargetBook()
    book.take(gone("a"))
    assert not book.take(said("a", 9))


def test_an_address_belongs_to_the_id_heard_of_last():
    book = TargetBook()
    book.take(said("old", 7))
    book.take(said("new", 1))
    book.take(said("old", 8))
    assert [state.id for state in book.believed()] == ["new"]
    book.take(gone("new"))
    assert [state.id for state in book.believed()] == ["old"]


def test_a_doubted_id_leaves_its_address_to_the_others_there():
    book = TargetBook()
    book.take(said("new", 5))
    book.take(said("old", 7))
    book.doubt("old")
    assert [state.id for state in book.believed()] == ["new"]
    book.take(said("old", 8, slots=2))
    book.doubt("old")
    assert [state.id for state in book.believed()] == ["new"]
    book.doubt("new")
    assert [state.id for state in book.believed()] == ["old"]
    book.doubt("never heard of")


words = st.lists(
    st.one_of(
        st.builds(said, st.sampled_from("ab"), st.integers(1, 6)),
        st.builds(gone, st.sampled_from("ab")),
    ),
    max_size=12,
)


@given(words, st.randoms(use_true_random=False))
def test_what_is_left_at_the_end_does_not_depend_on_the_order(taken, rng):
    """Each control node passes changes on in its own order."""
    shuffled = list(taken)
    rng.shuffle(shuffled)
    books = []
    for order in (taken, shuffled):
        book = TargetBook()
        for state in order:
            book.take(state)
        books.append(book)
    first, second = books
    assert {s.id for s in first.ended()} == {s.id for s in second.ended()}
    assert {i: s.sequence for i, s in first.targets_by_id.items()} == {
        i: s.sequence for i, s in second.targets_by_id.items()
    }
