"""Targets that restart under their id, and announcements of other senders."""

import pytest

from damaskcroft._generated import fleet_pb2
from damaskcroft.fleet import (
    FleetView,
    TargetRegistry,
    agents_by_target_address,
)

READY, DRAINING, GONE = (
    fleet_pb2.TARGET_READY,
    fleet_pb2.TARGET_DRAINING,
    fleet_pb2.TARGET_GONE,
)


def announcement(sequence, born_ms=0, target_id="a", **fields):
    values = {"address": "10.0.0.1:1", "service": "s"} | fields
    return fleet_pb2.TargetState(
        id=target_id, sequence=sequence, born_ms=born_ms, **values
    )


def gone(born_ms=0, target_id="a"):
    return fleet_pb2.TargetState(id=target_id, phase=GONE, born_ms=born_ms)


@pytest.fixture
def registry():
    return TargetRegistry()


def holders(registry):
    return [(state.id, state.born_ms) for state in registry.address_holders()]


def test_a_later_start_replaces_an_earlier_one(registry):
    registry.merge(announcement(50, born_ms=1000))
    assert registry.merge(announcement(1, born_ms=2000, slots=3))
    assert registry.targets_by_id["a"].slots == 3


def test_a_late_announcement_of_an_earlier_start_has_no_effect(registry):
    registry.merge(announcement(1, born_ms=2000))
    assert not registry.merge(announcement(50, born_ms=1000, phase=DRAINING))
    registry.merge(gone(born_ms=1000))
    assert holders(registry) == [("a", 2000)]


def test_a_leave_ends_its_start_and_not_the_id(registry):
    registry.merge(announcement(50, born_ms=1000))
    assert registry.merge(gone(born_ms=1000))
    assert not registry.merge(announcement(51, born_ms=1000))
    assert registry.merge(announcement(1, born_ms=2000))
    assert not registry.merge(announcement(52, born_ms=1000))
    assert not registry.merge(gone(born_ms=1000))
    assert holders(registry) == [("a", 2000)]


def test_a_leave_received_before_its_start_ends_it(registry):
    assert registry.merge(gone(born_ms=1000))
    assert not registry.merge(announcement(3, born_ms=1000))
    assert registry.merge(announcement(1, born_ms=1001))


def test_ends_are_published(registry):
    registry.merge(announcement(5, born_ms=1000))
    registry.merge(gone(born_ms=1000))
    registry.merge(announcement(1, born_ms=2000))
    assert list(registry.ended()) == [gone(born_ms=1000)]


def test_an_end_without_a_start_is_not_published_beside_a_later_start(registry):
    registry.merge(gone())
    assert list(registry.ended()) == [gone()]
    registry.merge(announcement(1, born_ms=2000))
    assert list(registry.ended()) == []


def test_without_a_start_the_sequence_number_orders(registry):
    registry.merge(announcement(2))
    assert not registry.merge(announcement(1, slots=4))
    assert registry.merge(announcement(3, slots=4))
    registry.merge(gone())
    assert not registry.merge(announcement(9))
    assert holders(registry) == []


def test_announcements_with_a_start_take_precedence(registry):
    registry.merge(announcement(50))
    assert registry.merge(announcement(1, born_ms=1000))
    assert not registry.merge(announcement(51))
    assert holders(registry) == [("a", 1000)]


@pytest.mark.parametrize("leaving", [gone(), announcement(60, phase=DRAINING)])
def test_leaving_without_a_start_lasts_until_the_next_announcement(
    registry, leaving
):
    """Control nodes of the previous release relay such announcements."""
    registry.merge(announcement(5, born_ms=1000))
    assert registry.merge(leaving)
    assert holders(registry) == []
    assert not registry.merge(announcement(5, born_ms=1000))
    assert registry.merge(announcement(6, born_ms=1000))
    assert holders(registry) == [("a", 1000)]


@pytest.mark.parametrize("first", ["stranger", "target"])
def test_an_unknown_service_takes_no_address(registry, first):
    """It takes effect once a configuration contains it, in either order."""
    other_sender = announcement(1, 3000, target_id="x", service="unknown")
    announcements = [other_sender, announcement(7, 1000)]
    for each_announcement in (
        announcements if first == "stranger" else reversed(announcements)
    ):
        registry.merge(each_announcement)
    registry.set_configured_services({"s"})
    assert holders(registry) == [("a", 1000)]
    assert registry.set_configured_services({"s", "unknown"})
    assert holders(registry) == [("x", 3000)]


def test_an_unknown_service_under_a_known_id_displaces_no_target(registry):
    registry.set_configured_services({"s"})
    registry.merge(announcement(7, 1000))
    registry.merge(announcement(10**9, 9000, service="unknown"))
    assert holders(registry) == [("a", 1000)]
    assert registry.merge(announcement(8, 1000, slots=2))
    assert registry.targets_by_id["a"].slots == 2


def test_an_address_belongs_to_the_target_born_last(registry):
    """Guards against a crashed target whose late announcement arrives first."""
    registry.merge(announcement(1, 2000, target_id="new"))
    registry.merge(announcement(40, 1000, target_id="old"))
    assert holders(registry) == [("new", 2000)]


def test_a_later_start_of_a_demoted_id_regains_its_address(registry):
    registry.merge(announcement(1, 2000, target_id="new"))
    registry.merge(announcement(1, 3000, target_id="old"))
    registry.demote("old")
    assert holders(registry) == [("new", 2000)]
    registry.merge(announcement(1, 4000, target_id="old"))
    assert holders(registry) == [("old", 4000)]


def test_announcements_that_are_not_repeated_are_evicted_first(
    registry, monkeypatch
):
    monkeypatch.setattr("damaskcroft.fleet._targets._MAX_ANNOUNCEMENTS", 3)
    registry.merge(announcement(1, 1000))
    for number in range(5):
        registry.merge(
            announcement(
                1, 1000, target_id=f"x{number}", address=f"1.1.1.1:{number}"
            )
        )
        registry.merge(announcement(2 + number, 1000))
    assert "a" in registry.targets_by_id
    assert len(registry.targets_by_id) == 3


def test_an_agents_announcement_of_an_earlier_start_is_ignored(loop):
    async def scenario():
        view = FleetView()
        agent = fleet_pb2.AgentState(
            address="g:1", target_address="10.0.0.1:1", target_born_ms=1000,
            held=[fleet_pb2.HeldLayers(model="m", version=1)],
        )  # fmt: skip
        view.merge([announcement(1, born_ms=1000)], [agent])
        assert "10.0.0.1:1" in agents_by_target_address(view)
        view.merge([announcement(1, born_ms=2000)])
        assert agents_by_target_address(view) == {}
        agent.target_born_ms, agent.sequence = 2000, 1
        view.merge([], [agent])
        assert "10.0.0.1:1" in agents_by_target_address(view)

    loop.run(scenario())


def test_targets_take_effect_when_their_service_is_configured(loop):
    async def scenario():
        view = FleetView()
        view.merge([announcement(1)])
        assert holders(view.targets) == [("a", 0)]
        for version, name in ((1, "other"), (2, "s")):
            seen = view.changes
            view.apply_configuration(
                fleet_pb2.Configuration(
                    version=version, services=[fleet_pb2.Service(name=name)]
                )
            )
            assert view.changes > seen
        assert holders(view.targets) == [("a", 0)]

    loop.run(scenario())


def test_control_nodes_of_the_previous_release_revive_no_start(loop):
    """Guards against control nodes that do not know starts.

    A node of the previous release sends no starts and never forgets an end. It
    has received the earlier start and its end only, and repeats both to each
    watcher that opens a new stream.
    """

    async def scenario():
        view = FleetView()
        new = fleet_pb2.FleetUpdate(targets=[announcement(3, born_ms=2000)])
        old = fleet_pb2.FleetUpdate(targets=[announcement(50, slots=9), gone()])
        view.apply_update(new)
        for _ in range(3):
            view.apply_update(old)
        view.apply_update(
            fleet_pb2.FleetUpdate(targets=[announcement(4, born_ms=2000)])
        )
        for _ in range(3):
            view.apply_update(old)
        assert holders(view.targets) == [("a", 2000)]
        # A leaving announcement of the later start that it relays does count.
        leaving = announcement(60, phase=DRAINING)
        view.apply_update(fleet_pb2.FleetUpdate(targets=[leaving]))
        assert holders(view.targets) == []

    loop.run(scenario())
