"""Orders to evacuate failure domains: durable, idempotent, never undone."""

import asyncio

import pytest

from damaskcroft._generated import fleet_pb2
from damaskcroft.control import Accepted, FleetState, Invalid
from damaskcroft.control.tests.fake_caller import FakeCaller
from damaskcroft.control.tests.test_fleet_control import (
    KEYS,
    followers,
    put_30_versions,
    retry_while_unavailable,
    three_nodes,
    wait_until,
)
from damaskcroft.fleet import FleetView, Watcher
from damaskcroft.rpc import ChannelPool


def command(domain, evacuated, known_revision=0):
    order = fleet_pb2.EvacuationOrder(
        failure_domain=domain, evacuated=evacuated,
        known_revision=known_revision,
    )  # fmt: skip
    return fleet_pb2.FleetCommand(evacuate=order).SerializeToString()


def add_domains(nodes):
    """Announces a target in each of two failure domains."""
    for node in nodes:
        node.view.merge(
            fleet_pb2.TargetState(
                id=domain, service="s", address=f"10.0.0.{number}:80",
                failure_domain=domain, sequence=1,
            )
            for number, domain in enumerate(("d1", "d2"))
        )  # fmt: skip


async def order(node, domain, *, evacuated=True):
    """Gives an order like an operator, who resends it until it is accepted."""

    def evacuate():
        return node.control.evacuate(
            domain, evacuated=evacuated, caller=FakeCaller()
        )

    outcome = await retry_while_unavailable(evacuate)
    assert isinstance(outcome, Accepted)


def evacuated_at(node):
    return node.state.evacuations.evacuated_domains


@pytest.fixture
def run():
    return lambda scenario: asyncio.run(asyncio.wait_for(scenario, 60))


def test_an_order_is_applied_once_however_often_it_comes():
    state = FleetState()
    assert state.apply(5, command("d1", True)).changed
    assert not state.apply(6, command("d1", True)).changed
    assert state.evacuations.revision("d1") == 5


def test_an_overtaken_order_undoes_nothing():
    """Guards against an order that was held up on its way to the leader."""
    state = FleetState()
    state.apply(5, command("d1", True))
    state.apply(6, command("d1", False, known_revision=5))
    late = state.apply(7, command("d1", True, known_revision=0))
    assert late.is_overtaken
    assert not state.evacuations.evacuated_domains


def test_orders_for_other_domains_overtake_none():
    state = FleetState()
    state.apply(5, command("d1", True))
    assert state.apply(6, command("d2", True)).changed
    assert state.evacuations.evacuated_domains == {"d1", "d2"}


def test_evacuations_survive_their_snapshot():
    state, restored = FleetState(), FleetState()
    state.apply(5, command("d2", True))
    state.apply(6, command("d1", True))
    state.apply(7, command("d2", False, known_revision=5))
    restored.restore(state.snapshot())
    assert restored.evacuations.evacuated_domains == {"d1"}
    assert restored.evacuations.revision("d2") == 7
    assert restored.snapshot() == state.snapshot()


def test_a_snapshot_of_the_build_before_has_no_evacuations():
    state = FleetState()
    state.apply(5, command("d1", True))
    state.restore(fleet_pb2.FleetImage().SerializeToString())
    assert not state.evacuations.evacuated_domains


def test_an_unknown_command_changes_nothing():
    """Guards the build before against commands of the one after."""
    assert FleetState().apply(1, b"\xfa\x01\x00") is None


def test_an_unknown_domain_is_invalid_and_changes_nothing(run, tmp_path):
    async def scenario():
        async with three_nodes(tmp_path) as nodes:
            add_domains(nodes)
            outcome = await nodes[0].control.evacuate(
                "d9", evacuated=True, caller=FakeCaller()
            )
            assert isinstance(outcome, Invalid)
            assert not any(evacuated_at(node) for node in nodes)

    run(scenario())


def test_an_order_at_any_node_reaches_watchers_of_each(run, tmp_path):
    async def scenario():
        async with three_nodes(tmp_path) as nodes:
            add_domains(nodes)
            view, channels = FleetView(), ChannelPool(KEYS)
            watcher = Watcher(
                view, channels, [nodes[0].address],
                lambda: fleet_pb2.WatchRequest(name="e", is_entry=True),
            )  # fmt: skip
            watching = asyncio.create_task(watcher.run())
            follower = followers(nodes)[0]
            await order(follower, "d1")
            await wait_until(
                lambda: view.evacuations.evacuated_domains == {"d1"}
            )
            await order(follower, "d1", evacuated=False)
            await wait_until(lambda: not view.evacuations.evacuated_domains)
            watching.cancel()
            await asyncio.gather(watching, return_exceptions=True)
            channels.close()

    run(scenario())


def test_two_operators_end_with_the_same_state_everywhere(run, tmp_path):
    async def scenario():
        async with three_nodes(tmp_path) as nodes:
            add_domains(nodes)
            for _ in range(5):
                await asyncio.gather(
                    order(nodes[0], "d1"),
                    order(nodes[1], "d1", evacuated=False),
                    order(nodes[2], "d2"),
                )
                await order(nodes[0], "d1")
                await wait_until(
                    lambda: all(
                        evacuated_at(node) == {"d1", "d2"} for node in nodes
                    )
                )
                await order(nodes[1], "d2", evacuated=False)

    run(scenario())


def test_an_evacuation_survives_a_restart_of_all_nodes(run, tmp_path):
    async def scenario():
        async with three_nodes(tmp_path) as nodes:
            add_domains(nodes)
            await order(nodes[0], "d1")
            await order(nodes[1], "d2")
            # Enough entries for snapshots, so that it isn't only in the log.
            await put_30_versions(nodes[0])
            await order(nodes[2], "d2", evacuated=False)
            addresses = [node.address for node in nodes]
        async with three_nodes(tmp_path, addresses) as nodes:
            await retry_while_unavailable(nodes[0].control.read)
            await wait_until(
                lambda: all(evacuated_at(node) == {"d1"} for node in nodes)
            )

    run(scenario())


def test_an_order_is_accepted_after_its_leader_ended(run, tmp_path):
    async def scenario():
        async with three_nodes(tmp_path) as nodes:
            add_domains(nodes)
            await order(nodes[0], "d1")
            leader = next(n for n in nodes if n.replica.is_leader)
            first, second = followers(nodes)
            await leader.stop()
            for node in (first, second):
                # A stopped gRPC server still answers on open connections.
                node.channels.close()
            await order(first, "d2")
            await wait_until(lambda: evacuated_at(second) == {"d1", "d2"})

    run(scenario())
