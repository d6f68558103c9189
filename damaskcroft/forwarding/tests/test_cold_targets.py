"""Requests over loopback while targets are cold."""

import asyncio

import pytest

from damaskcroft._generated import fleet_pb2
from damaskcroft.fleet import FleetView
from damaskcroft.forwarding import follow_cold_targets
from damaskcroft.forwarding.tests.fakes import (
    FakeTarget,
    route,
    running_entry,
)

BOUND = 6
# Two thirds: the rest is reserved for entries out of touch.
SHARE = 4
SETTLED_S = 4.2


def cold_configuration(requests_s=BOUND):
    return fleet_pb2.Configuration(
        version=1,
        routes=[route(idempotent=True)],
        services=[fleet_pb2.Service(name="s", cold_requests_s=requests_s)],
    )


def report_entries(entry):
    """Control reports that this is the only entry."""
    update = fleet_pb2.FleetUpdate(control_addresses=["c"])
    update.entry_names.whole = True
    update.entry_names.joined.append("e")
    entry.view.apply_update(update, "c")


async def settle(entry):
    """Control reports the entry for some seconds."""
    for _ in range(round(SETTLED_S / 0.3)):
        report_entries(entry)
        entry.cold_targets.retain_only(entry.view.targets.start_ids())
        await asyncio.sleep(0.3)
    report_entries(entry)


def turn_cold(entry, target, cold_s, sequence=2):
    entry.view.merge(
        [
            fleet_pb2.TargetState(
                id=target.name,
                service="s",
                address=target.address,
                slots=4,
                sequence=sequence,
                warming_ms=cold_s * 1000,
            )
        ]
    )


def test_requests_beyond_share_go_to_warm_targets():
    async def scenario():
        cold, warm = FakeTarget("a", "whole"), FakeTarget("b", "whole")
        async with running_entry(
            cold, warm, config=cold_configuration()
        ) as entry:
            await settle(entry)
            turn_cold(entry, cold, 5.0)
            statuses = [(await entry.send_request())[0] for _ in range(30)]
            assert statuses == [200] * 30
            assert len(cold.heads) <= SHARE
            assert len(warm.heads) >= 30 - SHARE

    asyncio.run(scenario())


def test_callers_are_refused_at_once_while_all_targets_are_cold():
    async def scenario():
        target = FakeTarget("a", "whole")
        async with running_entry(target, config=cold_configuration()) as entry:
            await settle(entry)
            turn_cold(entry, target, 5.0)
            loop = asyncio.get_running_loop()
            began_at = loop.time()
            outcomes = [
                await entry.send_request(x_deadline="0.5")
                for _ in range(SHARE + 1)
            ]
            assert loop.time() - began_at < 0.5
            assert [status for status, _, _ in outcomes] == [200] * SHARE + [
                503
            ]
            assert "retry-after" in outcomes[-1][1]
            assert len(target.heads) == SHARE

    asyncio.run(scenario())


def test_retries_count_as_requests():
    async def scenario():
        cold = FakeTarget("a", "silent_close")
        other = FakeTarget("b", "silent_close")
        async with running_entry(
            cold, other, config=cold_configuration()
        ) as entry:
            await settle(entry)
            turn_cold(entry, cold, 5.0)
            turn_cold(entry, other, 5.0)
            for _ in range(12):
                await entry.send_request(x_deadline="0.3")
            assert len(cold.heads) <= SHARE + 1
            assert len(other.heads) <= SHARE + 1

    asyncio.run(scenario())


def test_entry_that_has_just_started_sends_cold_targets_nothing():
    async def scenario():
        target = FakeTarget("a", "whole")
        async with running_entry(target, config=cold_configuration()) as entry:
            turn_cold(entry, target, 5.0)
            status, head, _ = await entry.send_request(x_deadline="0.5")
            assert status == 503
            assert "retry-after" in head
            assert not target.heads

    asyncio.run(scenario())


def test_requests_at_a_start_wait_for_reports_of_control():
    async def scenario():
        target = FakeTarget("a", "whole")
        async with running_entry(target, config=cold_configuration()) as entry:
            asking = asyncio.create_task(entry.send_request())
            await asyncio.sleep(0.3)
            assert not asking.done()
            report_entries(entry)
            status, _, _ = await asking
            assert status == 200

    asyncio.run(scenario())


def test_services_without_a_rate_are_served_as_before():
    async def scenario():
        target = FakeTarget("a", "whole")
        config = cold_configuration(requests_s=0)
        async with running_entry(target, config=config) as entry:
            turn_cold(entry, target, 5.0)
            statuses = [(await entry.send_request())[0] for _ in range(20)]
            assert statuses == [200] * 20

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "requests_s", [-1.0, float("nan"), float("inf"), 1e308]
)
@pytest.mark.parametrize("ratio", [-1.0, 0.0, 1e308])
def test_invalid_rates_never_lift_the_limit(loop, requests_s, ratio):
    async def scenario():
        view = FleetView()
        cold_targets = follow_cold_targets(view, "e", ratio, 0.0, 1.0)
        view.apply_configuration(cold_configuration(requests_s))
        view.merge(
            [
                fleet_pb2.TargetState(
                    id="a", service="s", address="h:1", warming_ms=9000
                )
            ]
        )
        assert cold_targets.is_active
        assert cold_targets.time_to_send_s("a") > 0

    loop.run_until_complete(scenario())
