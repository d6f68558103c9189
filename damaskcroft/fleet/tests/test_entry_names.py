"""Names of entries, collected from control nodes that see some of them."""

import asyncio

import pytest

from damaskcroft._generated import fleet_pb2
from damaskcroft.fleet import FleetView


def complete_report(names):
    return fleet_pb2.EntryNames(whole=True, joined=names)


@pytest.fixture
def entry_names():
    return FleetView().entry_names


def test_names_reported_by_any_node_count(loop, entry_names):
    async def scenario():
        entry_names.apply("c1", complete_report(["a", "b"]))
        entry_names.apply("c2", complete_report(["b", "c"]))
        assert entry_names.names() == {"a", "b", "c"}

    loop.run(scenario())


def test_a_restarted_node_that_sees_few_entries_removes_none(loop, entry_names):
    async def scenario():
        entry_names.apply("c1", complete_report(["a", "b", "c"]))
        entry_names.apply("c1", complete_report([]))
        assert entry_names.names() == {"a", "b", "c"}
        await asyncio.sleep(1)
        entry_names.apply("c1", complete_report(["a", "b", "c"]))
        await asyncio.sleep(10)
        entry_names.refresh("c1")
        assert entry_names.names() == {"a", "b", "c"}

    loop.run(scenario())


def test_a_removed_entry_expires(loop, entry_names):
    async def scenario():
        entry_names.apply("c1", complete_report(["a", "b"]))
        entry_names.apply("c1", complete_report(["a"]))
        await asyncio.sleep(4)
        entry_names.refresh("c1")
        assert entry_names.names() == {"a"}

    loop.run(scenario())


def test_the_report_of_a_silent_node_expires(loop, entry_names):
    async def scenario():
        entry_names.apply("c1", complete_report(["a", "b"]))
        entry_names.apply("c2", complete_report(["a"]))
        for _ in range(8):
            await asyncio.sleep(0.5)
            entry_names.refresh("c2")
        assert entry_names.names() == {"a"}

    loop.run(scenario())


def test_changes_are_merged_with_the_last_report(loop, entry_names):
    async def scenario():
        entry_names.apply("c1", complete_report(["a", "b"]))
        change = fleet_pb2.EntryNames(joined=["c"], left=["a"])
        entry_names.apply("c1", change)
        await asyncio.sleep(4)
        entry_names.apply("c1", fleet_pb2.EntryNames())
        assert entry_names.names() == {"b", "c"}

    loop.run(scenario())
