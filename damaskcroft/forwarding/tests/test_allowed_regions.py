"""Requests that may be served in some regions only."""

import asyncio

import pytest

from damaskcroft._generated import fleet_pb2
from damaskcroft.forwarding.tests.fakes import (
    FakeTarget,
    configuration,
    route,
    running_entry,
)

REGIONS = {"d1": "r1", "d2": "r2", "d3": "r2"}
REQUESTS = 12


def target(name, failure_domain, *modes):
    made = FakeTarget(name, *(modes or ("whole",)))
    made.failure_domain = failure_domain
    return made


def regional(version=1, *, of_route=(), of_customer=None, **fields):
    """A configuration with one route, and a customer if it has regions."""
    customers = []
    if of_customer is not None:
        customers = [
            fleet_pb2.Customer(
                name="c", keys=["k"], allowed_regions=of_customer
            )
        ]
    values = {"idempotent": True, "max_attempts": 3, "public": not customers}
    only = route(allowed_regions=of_route, **(values | fields))
    return configuration(
        version, only, customers=customers, keys_required=bool(customers)
    )


def running(*targets, config):
    return running_entry(*targets, config=config, region_by_domain=REGIONS)


@pytest.fixture
def run():
    return lambda scenario: asyncio.run(asyncio.wait_for(scenario, 30))


@pytest.mark.parametrize(
    "regions",
    [
        {"of_route": ["r2"]},
        {"of_customer": ["r2"]},
        {"of_route": ["r1", "r2"], "of_customer": ["r2"]},
    ],
)
def test_requests_reach_targets_of_allowed_regions_only(run, regions):
    async def scenario():
        forbidden, allowed = target("a", "d1"), target("b", "d2")
        async with running(
            forbidden, allowed, config=regional(**regions)
        ) as entry:
            for _ in range(REQUESTS):
                assert (await entry.send_request(x_key="k"))[0] == 200
            assert not forbidden.heads

    run(scenario())


def test_a_target_of_an_unknown_domain_is_in_no_allowed_region(run):
    async def scenario():
        unknown = target("a", "d9")
        config = regional(of_route=["r1"])
        async with running(unknown, config=config) as entry:
            assert (await entry.send_request())[0] == 503
            assert not unknown.heads

    run(scenario())


def test_a_retry_stays_in_the_allowed_regions(run):
    async def scenario():
        failing, forbidden = target("a", "d1", "fails"), target("b", "d2")
        config = regional(of_route=["r1"])
        async with running(failing, forbidden, config=config) as entry:
            assert (await entry.send_request())[0] != 200
            assert not forbidden.heads

    run(scenario())


@pytest.mark.parametrize(
    ("regions", "evacuated", "reason"),
    [
        ({"of_route": ["r3"]}, [], "not_in_allowed_regions"),
        (
            {"of_route": ["r1"], "of_customer": ["r2"]},
            [],
            "not_in_allowed_regions",
        ),
        ({"of_route": ["r1"]}, ["d1"], "evacuated"),
    ],
)
def test_without_an_allowed_target_a_request_is_refused_at_once(
    run, logs, regions, evacuated, reason
):
    async def scenario():
        targets = [target("a", "d1"), target("b", "d2")]
        async with running(*targets, config=regional(**regions)) as entry:
            entry.view.apply_update(
                fleet_pb2.FleetUpdate(
                    evacuations=[
                        fleet_pb2.Evacuation(
                            failure_domain=each, evacuated=True, revision=1
                        )
                        for each in evacuated
                    ]
                )
            )
            async with asyncio.timeout(0.5):
                status, head, _ = await entry.send_request(x_key="k")
            assert status == 503
            assert "retry-after" in head
            assert not any(each.heads for each in targets)

    run(scenario())
    assert any(f"reason={reason} " in line for line in logs)


def test_a_change_applies_to_a_request_that_still_waits(run):
    """Guards against a request admitted before its regions were restricted."""

    async def scenario():
        later_forbidden = [target(f"a{n}", "d1") for n in range(6)]
        allowed = target("b", "d2")
        before = regional(1, max_attempts=1)
        async with running(*later_forbidden, allowed, config=before) as entry:
            slots_by_id = {
                candidate.id: [
                    entry.placer.take(candidate) for _ in range(candidate.slots)
                ]
                for candidate in entry.candidates()
            }
            waiting = asyncio.create_task(entry.send_request())
            await asyncio.sleep(0.1)
            entry.view.apply_configuration(regional(2, of_route=["r2"]))
            for candidate_id, slots in slots_by_id.items():
                for slot in slots if candidate_id != "b" else ():
                    slot.give_back()
            assert (await waiting)[0] == 200
            assert not any(each.heads for each in later_forbidden)

    run(scenario())
