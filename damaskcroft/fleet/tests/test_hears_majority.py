"""Whether a node hears a majority of control."""

import asyncio

import pytest

from damaskcroft._generated import fleet_pb2
from damaskcroft.fleet import FleetView

MEMBERS = ["c1", "c2", "c3"]


@pytest.fixture
def view(loop):
    return FleetView()


def report(view, *nodes, members=MEMBERS):
    update = fleet_pb2.FleetUpdate(control_addresses=members)
    update.entry_names.whole = True
    update.entry_names.joined.append("own")
    for node in nodes:
        view.apply_update(update, node)


def test_node_without_any_report_hears_no_majority(loop, view):
    async def scenario():
        assert not view.hears_majority()

    loop.run_until_complete(scenario())


@pytest.mark.parametrize(
    ("nodes", "is_majority"),
    [(["c1"], False), (["c1", "c3"], True), (["c1", "gone", "older"], False)],
)
def test_only_members_count(loop, view, nodes, is_majority):
    async def scenario():
        report(view, *nodes)
        assert view.hears_majority() == is_majority

    loop.run_until_complete(scenario())


def test_silent_nodes_do_not_count(loop, view):
    async def scenario():
        report(view, *MEMBERS)
        await asyncio.sleep(1.5)
        report(view, "c1")
        assert view.hears_majority()
        await asyncio.sleep(1.0)
        assert not view.hears_majority()

    loop.run_until_complete(scenario())


def test_update_without_names_counts_for_a_node_that_named_them(loop, view):
    async def scenario():
        report(view, "c1", "c2")
        await asyncio.sleep(1.5)
        for node in ("c1", "c2", "c3"):
            view.apply_update(fleet_pb2.FleetUpdate(), node)
        await asyncio.sleep(1.0)
        assert view.hears_majority()

    loop.run_until_complete(scenario())


def test_equal_times_of_a_cold_target_are_passed_on(loop, view):
    received = []
    view.add_listener(lambda update: received.extend(update.targets))

    async def scenario():
        for sequence, warming_ms in ((1, 900), (2, 900), (3, 0), (4, 0)):
            view.merge(
                [
                    fleet_pb2.TargetState(
                        id="t",
                        service="s",
                        address="h:1",
                        sequence=sequence,
                        warming_ms=warming_ms,
                    )
                ]
            )
        assert [state.sequence for state in received] == [1, 2, 3]

    loop.run_until_complete(scenario())
