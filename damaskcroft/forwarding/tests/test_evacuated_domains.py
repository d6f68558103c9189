"""Requests while failure domains are evacuated, and when they return."""

import asyncio

import pytest

from damaskcroft._generated import fleet_pb2
from damaskcroft.forwarding.tests.fakes import (
    EVENTS,
    FakeTarget,
    configuration,
    event_ids,
    route,
    running_entry,
    unchunked,
)

CONFIG = configuration(1, route(idempotent=True, max_attempts=3))
REQUESTS = 12


def target(name, failure_domain, *modes):
    made = FakeTarget(name, *(modes or ("whole",)))
    made.failure_domain = failure_domain
    return made


def evacuate(entry, *failure_domains, evacuated=True, revision=1):
    entry.view.apply_update(
        fleet_pb2.FleetUpdate(
            evacuations=[
                fleet_pb2.Evacuation(
                    failure_domain=each, evacuated=evacuated, revision=revision
                )
                for each in failure_domains
            ]
        )
    )


async def statuses(entry):
    return [(await entry.send_request())[0] for _ in range(REQUESTS)]


@pytest.fixture
def run():
    return lambda scenario: asyncio.run(asyncio.wait_for(scenario, 30))


def test_an_evacuated_domain_gets_no_request_until_it_returns(run):
    async def scenario():
        evacuated, other = target("a", "d1"), target("b", "d2")
        async with running_entry(evacuated, other, config=CONFIG) as entry:
            evacuate(entry, "d1")
            assert await statuses(entry) == [200] * REQUESTS
            assert not evacuated.heads
            evacuate(entry, "d1", evacuated=False, revision=2)
            assert await statuses(entry) == [200] * REQUESTS
            assert evacuated.heads

    run(scenario())


def test_a_retry_goes_to_no_evacuated_domain(run):
    async def scenario():
        failing = target("a", "d1", "not_run")
        evacuated = target("b", "d2")
        async with running_entry(failing, evacuated, config=CONFIG) as entry:
            evacuate(entry, "d2")
            assert (await entry.send_request())[0] == 503
            assert not evacuated.heads

    run(scenario())


def test_with_all_domains_evacuated_requests_are_refused_at_once(run, logs):
    async def scenario():
        targets = [target("a", "d1"), target("b", "d2")]
        async with running_entry(*targets, config=CONFIG) as entry:
            evacuate(entry, "d1", "d2")
            async with asyncio.timeout(0.5):
                status, head, _ = await entry.send_request()
            assert status == 503
            assert "retry-after" in head
            assert not any(each.heads for each in targets)

    run(scenario())
    assert any(
        "event=refused " in line and "reason=evacuated" in line for line in logs
    )


def test_a_stale_update_does_not_end_an_evacuation(run):
    """Guards against a control node that is behind the others."""

    async def scenario():
        only = target("a", "d1")
        async with running_entry(only, config=CONFIG) as entry:
            evacuate(entry, "d1", revision=7)
            evacuate(entry, "d1", evacuated=False, revision=3)
            entry.view.apply_update(fleet_pb2.FleetUpdate())
            assert (await entry.send_request())[0] == 503
            assert not only.heads

    run(scenario())


def test_an_answer_under_way_outlives_the_evacuation(run):
    async def scenario():
        streaming = target("a", "d1", "stream_slowly")
        config = configuration(1, route(streaming=True))
        async with running_entry(streaming, config=config) as entry:
            answer = asyncio.create_task(entry.send_request())
            while not streaming.heads:
                await asyncio.sleep(0.01)
            evacuate(entry, "d1")
            status, _, body = await answer
            payload, complete = unchunked(body)
            assert status == 200
            assert complete
            assert event_ids(payload) == list(range(1, EVENTS + 1))

    run(scenario())


def test_a_target_of_an_unknown_domain_gets_nothing_meanwhile(run):
    """Guards against an announcement that has lost its failure domain."""

    async def scenario():
        unknown, other = target("a", ""), target("b", "d2")
        async with running_entry(unknown, other, config=CONFIG) as entry:
            evacuate(entry, "d1")
            assert await statuses(entry) == [200] * REQUESTS
            assert not unknown.heads

    run(scenario())


def test_a_request_whose_slot_was_taken_before_the_order_is_withheld(run):
    async def scenario():
        only = target("a", "d1")
        async with running_entry(only, config=CONFIG) as entry:
            slots = [
                entry.placer.take(candidate)
                for candidate in entry.candidates()
                for _ in range(candidate.slots)
            ]
            waiting = asyncio.create_task(entry.send_request())
            await asyncio.sleep(0.1)
            for slot in slots:
                slot.give_back()
            (candidate,) = entry.candidates()
            evacuate(entry, "d1")
            assert entry.services.is_in_evacuated_domain(candidate)
            assert (await waiting)[0] == 503
            assert not only.heads

    run(scenario())


def test_a_queued_request_is_refused_when_its_domain_is_evacuated(run):
    async def scenario():
        only = target("a", "d1")
        async with running_entry(only, config=CONFIG) as entry:
            for candidate in entry.candidates():
                for _ in range(candidate.slots):
                    entry.placer.take(candidate)
            waiting = asyncio.create_task(entry.send_request())
            await asyncio.sleep(0.1)
            evacuate(entry, "d1")
            async with asyncio.timeout(0.5):
                assert (await waiting)[0] == 503
            assert not only.heads

    run(scenario())
