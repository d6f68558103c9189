"""Which entries there are, from control nodes that see some of them."""

import asyncio

import pytest

from damaskcroft._generated import fleet_pb2
from damaskcroft.fleet import FleetView


def all_of(names):
    return fleet_pb2.EntryNames(whole=True, joined=names)


@pytest.fixture
def names():
    return FleetView().entry_names


def test_all_that_any_node_tells_count(loop, names):
    async def scenario():
        names.told("c1", all_of(["a", "b"]))
        names.told("c2", all_of(["b", "c"]))
        assert names.names() == {"a", "b", "c"}

    loop.run(scenario())


def test_a_node_that_starts_again_and_sees_few_takes_none_away(loop, names):
    async def scenario():
        names.told("c1", all_of(["a", "b", "c"]))
        names.told("c1", all_of([]))
        assert names.names() == {"a", "b", "c"}
        await asyncio.sleep(1)
        names.told("c1", all_of(["a", "b", "c"]))
        await asyncio.sleep(10)
        names.heard("c1")
        assert names.names() == {"a", "b", "c"}

    loop.run(scenario())


def test_an_entry_that_is_gone_leaves_after_a_while(loop, names):
    async def scenario():
        names.told("c1", all_of(["a", "b"]))
        names.told("c1", all_of(["a"]))
        await asyncio.sleep(4)
        names.heard("c1")
        assert names.names() == {"a"}

    loop.run(scenario())


def test_a_node_that_is_gone_is_believed_for_a_while_only(loop, names):
    async def scenario():
        names.told("c1", all_of(["a", "b"]))
        names.told("c2", all_of(["a"]))
        for _ in range(8):
            await asyncio.sleep(0.5)
            names.heard("c2")
        assert names.names() == {"a"}

    loop.run(scenario())


def test_what_changed_is_merged_with_what_was_told(loop, names):
    async def scenario():
        names.told("c1", all_of(["a", "b"]))
        change = fleet_pb2.EntryNames(joined=["c"], left=["a"])
        names.told("c1", change)
        await asyncio.sleep(4)
        names.told("c1", fleet_pb2.EntryNames())
        assert names.names() == {"b", "c"}

    loop.run(scenario())
