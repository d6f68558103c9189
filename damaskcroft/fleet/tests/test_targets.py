"""Announcements that arrive late, twice, or after their sender's end."""

from hypothesis import given
from hypothesis import strategies as st

from damaskcroft._generated import fleet_pb2
from damaskcroft.fleet import TargetRegistry


def announcement(target_id, sequence, address="x:1", **fields):
    return fleet_pb2.TargetState(
        id=target_id, sequence=sequence, address=address, service="s", **fields
    )


def gone(target_id):
    return fleet_pb2.TargetState(id=target_id, phase=fleet_pb2.TARGET_GONE)


def test_an_older_announcement_has_no_effect():
    registry = TargetRegistry()
    assert registry.merge(announcement("a", 5, phase=fleet_pb2.TARGET_DRAINING))
    assert not registry.merge(announcement("a", 4))
    assert registry.targets_by_id["a"].phase == fleet_pb2.TARGET_DRAINING


def test_a_new_sequence_number_alone_is_no_change():
    registry = TargetRegistry()
    assert registry.merge(announcement("a", 1))
    assert not registry.merge(announcement("a", 2))
    assert registry.merge(announcement("a", 3, slots=4))


def test_a_late_announcement_does_not_revive_a_target_that_left():
    registry = TargetRegistry()
    registry.merge(announcement("a", 1))
    assert registry.merge(gone("a"))
    assert not registry.merge(announcement("a", 9))
    assert registry.address_holders() == []


def test_a_leave_received_first_keeps_the_target_out():
    registry = TargetRegistry()
    registry.merge(gone("a"))
    assert not registry.merge(announcement("a", 9))


def test_an_address_belongs_to_the_id_first_received_last():
    registry = TargetRegistry()
    registry.merge(announcement("old", 7))
    registry.merge(announcement("new", 1))
    registry.merge(announcement("old", 8))
    assert [state.id for state in registry.address_holders()] == ["new"]
    registry.merge(gone("new"))
    assert [state.id for state in registry.address_holders()] == ["old"]


def test_a_demoted_id_yields_its_address_to_other_ids():
    registry = TargetRegistry()
    registry.merge(announcement("new", 5))
    registry.merge(announcement("old", 7))
    registry.demote("old")
    assert [state.id for state in registry.address_holders()] == ["new"]
    registry.merge(announcement("old", 8, slots=2))
    registry.demote("old")
    assert [state.id for state in registry.address_holders()] == ["new"]
    registry.demote("new")
    assert [state.id for state in registry.address_holders()] == ["old"]
    registry.demote("never heard of")


announcement_lists = st.lists(
    st.one_of(
        st.builds(announcement, st.sampled_from("ab"), st.integers(1, 6)),
        st.builds(gone, st.sampled_from("ab")),
    ),
    max_size=12,
)


@given(announcement_lists, st.randoms(use_true_random=False))
def test_the_final_state_does_not_depend_on_the_order(announcements, rng):
    """Each control node relays changes in its own order."""
    shuffled = list(announcements)
    rng.shuffle(shuffled)
    registries = []
    for order in (announcements, shuffled):
        registry = TargetRegistry()
        for state in order:
            registry.merge(state)
        registries.append(registry)
    first, second = registries
    assert {s.id for s in first.ended()} == {s.id for s in second.ended()}
    assert {i: s.sequence for i, s in first.targets_by_id.items()} == {
        i: s.sequence for i, s in second.targets_by_id.items()
    }
