"""Targets that start again under their id, and words of other writers."""

import pytest

from damaskcroft._generated import fleet_pb2
from damaskcroft.fleet import FleetView, TargetBook, agents_by_target_address

READY, DRAINING, GONE = (
    fleet_pb2.TARGET_READY,
    fleet_pb2.TARGET_DRAINING,
    fleet_pb2.TARGET_GONE,
)


def said(sequence, born_ms=0, target_id="a", **fields):
    values = {"address": "10.0.0.1:1", "service": "s"} | fields
    return fleet_pb2.TargetState(
        id=target_id, sequence=sequence, born_ms=born_ms, **values
    )


def gone(born_ms=0, target_id="a"):
    return fleet_pb2.TargetState(id=target_id, phase=GONE, born_ms=born_ms)


@pytest.fixture
def book():
    return TargetBook()


def holders(book):
    return [(state.id, state.born_ms) for state in book.believed()]


def test_a_later_start_takes_the_place_of_an_earlier_one(book):
    book.take(said(50, born_ms=1000))
    assert book.take(said(1, born_ms=2000, slots=3))
    assert book.targets_by_id["a"].slots == 3


def test_a_late_word_of_an_earlier_start_changes_nothing(book):
    book.take(said(1, born_ms=2000))
    assert not book.take(said(50, born_ms=1000, phase=DRAINING))
    book.take(gone(born_ms=1000))
    assert holders(book) == [("a", 2000)]


def test_a_leave_ends_its_start_and_not_the_id(book):
    book.take(said(50, born_ms=1000))
    assert book.take(gone(born_ms=1000))
    assert not book.take(said(51, born_ms=1000))
    assert book.take(said(1, born_ms=2000))
    assert not book.take(said(52, born_ms=1000))
    assert not book.take(gone(born_ms=1000))
    assert holders(book) == [("a", 2000)]


def test_a_leave_that_comes_before_its_start_is_heard_of_still_ends_it(book):
    assert book.take(gone(born_ms=1000))
    assert not book.take(said(3, born_ms=1000))
    assert book.take(said(1, born_ms=1001))


def test_what_has_ended_is_told_on(book):
    book.take(said(5, born_ms=1000))
    book.take(gone(born_ms=1000))
    book.take(said(1, born_ms=2000))
    assert list(book.ended()) == [gone(born_ms=1000)]


def test_an_end_without_a_start_is_not_told_on_beside_a_later_start(book):
    book.take(gone())
    assert list(book.ended()) == [gone()]
    book.take(said(1, born_ms=2000))
    assert list(book.ended()) == []


def test_without_a_start_the_sequence_alone_orders(book):
    book.take(said(2))
    assert not book.take(said(1, slots=4))
    assert book.take(said(3, slots=4))
    book.take(gone())
    assert not book.take(said(9))
    assert holders(book) == []


def test_words_with_a_start_go_before_those_without_it(book):
    book.take(said(50))
    assert book.take(said(1, born_ms=1000))
    assert not book.take(said(51))
    assert holders(book) == [("a", 1000)]


@pytest.mark.parametrize("leaving", [gone(), said(60, phase=DRAINING)])
def test_leaving_without_a_start_lasts_until_the_next_word(book, leaving):
    """As a control node of the release before passes them on."""
    book.take(said(5, born_ms=1000))
    assert book.take(leaving)
    assert holders(book) == []
    assert not book.take(said(5, born_ms=1000))
    assert book.take(said(6, born_ms=1000))
    assert holders(book) == [("a", 1000)]


@pytest.mark.parametrize("first", ["stranger", "target"])
def test_an_unknown_service_takes_no_address(book, first):
    """Until a configuration names it; in either order of arrival."""
    stranger = said(1, 3000, target_id="x", service="unknown")
    words = [stranger, said(7, 1000)]
    for word in words if first == "stranger" else reversed(words):
        book.take(word)
    book.name_services({"s"})
    assert holders(book) == [("a", 1000)]
    assert book.name_services({"s", "unknown"})
    assert holders(book) == [("x", 3000)]


def test_an_unknown_service_under_a_known_id_displaces_no_target(book):
    book.name_services({"s"})
    book.take(said(7, 1000))
    book.take(said(10**9, 9000, service="unknown"))
    assert holders(book) == [("a", 1000)]
    assert book.take(said(8, 1000, slots=2))
    assert book.targets_by_id["a"].slots == 2


def test_an_address_belongs_to_whoever_was_born_last(book):
    """A late word of a target that crashed may be heard first of it."""
    book.take(said(1, 2000, target_id="new"))
    book.take(said(40, 1000, target_id="old"))
    assert holders(book) == [("new", 2000)]


def test_a_doubted_start_gets_its_address_back_by_a_later_one(book):
    book.take(said(1, 2000, target_id="new"))
    book.take(said(1, 3000, target_id="old"))
    book.doubt("old")
    assert holders(book) == [("new", 2000)]
    book.take(said(1, 4000, target_id="old"))
    assert holders(book) == [("old", 4000)]


def test_words_that_nobody_repeats_are_dropped_first(book, monkeypatch):
    monkeypatch.setattr("damaskcroft.fleet._targets._MAX_WORDS", 3)
    book.take(said(1, 1000))
    for number in range(5):
        book.take(
            said(1, 1000, target_id=f"x{number}", address=f"1.1.1.1:{number}")
        )
        book.take(said(2 + number, 1000))
    assert "a" in book.targets_by_id
    assert len(book.targets_by_id) == 3


def test_an_agents_word_on_an_earlier_start_is_left_aside(loop):
    async def scenario():
        view = FleetView()
        agent = fleet_pb2.AgentState(
            address="g:1", target_address="10.0.0.1:1", target_born_ms=1000,
            held=[fleet_pb2.HeldLayers(model="m", version=1)],
        )  # fmt: skip
        view.take([said(1, born_ms=1000)], [agent])
        assert "10.0.0.1:1" in agents_by_target_address(view)
        view.take([said(1, born_ms=2000)])
        assert agents_by_target_address(view) == {}
        agent.target_born_ms, agent.sequence = 2000, 1
        view.take([], [agent])
        assert "10.0.0.1:1" in agents_by_target_address(view)

    loop.run(scenario())


def test_a_configuration_that_names_a_service_lets_its_targets_count(loop):
    async def scenario():
        view = FleetView()
        view.take([said(1)])
        assert holders(view.book) == [("a", 0)]
        for version, name in ((1, "other"), (2, "s")):
            seen = view.changes
            view.apply_configuration(
                fleet_pb2.Configuration(
                    version=version, services=[fleet_pb2.Service(name=name)]
                )
            )
            assert view.changes > seen
        assert holders(view.book) == [("a", 0)]

    loop.run(scenario())


def test_control_nodes_of_the_release_before_do_no_harm(loop):
    """One that isn't restarted yet tells no starts, and never forgets an end.

    It has heard the earlier start alone, and its end; whoever watches it
    opens a new stream and is told all that again.
    """

    async def scenario():
        view = FleetView()
        new = fleet_pb2.FleetUpdate(targets=[said(3, born_ms=2000)])
        old = fleet_pb2.FleetUpdate(targets=[said(50, slots=9), gone()])
        view.apply_update(new)
        for _ in range(3):
            view.apply_update(old)
        view.apply_update(
            fleet_pb2.FleetUpdate(targets=[said(4, born_ms=2000)])
        )
        for _ in range(3):
            view.apply_update(old)
        assert holders(view.book) == [("a", 2000)]
        # What it hears of the end of the later start does count.
        leaving = said(60, phase=DRAINING)
        view.apply_update(fleet_pb2.FleetUpdate(targets=[leaving]))
        assert holders(view.book) == []

    loop.run(scenario())
