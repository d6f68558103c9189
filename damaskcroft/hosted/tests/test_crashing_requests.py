"""Requests that crash each target that executes them, sent repeatedly."""

import asyncio
import collections
import time

import pytest

from damaskcroft.hosted.tests.deployment import ENTRY_IPS
from damaskcroft.hosted.tests.soak._history import (
    CONTACT_S,
    CRASHES_TO_QUARANTINE_PART,
    PART,
)
from damaskcroft.hosted.tests.soak._target import CrashEnding

_COPIES = 24
_COPY_INTERVAL_S = 0.4
# Share of the background requests that may be lost, because both their targets
# crashed under the crashing request.
_MAX_LOST_SHARE = 0.02
_MAX_REFUSAL_S = 0.25
_CONCURRENT_COPIES = 12
# Several crashing requests at the same time, one copy of each a second.
_CRASHING_REQUESTS = 6
_REQUEST_INTERVAL_S = 1.0
_COPIES_EACH = 12
# Three, and one more if two of them ran on the same target.
_MAX_CRASHES_EACH = 4
# Requests with a crashing part are sent for this long; in the last part of it
# other requests must be served.
_PART_DURATION_S = 16.0
_PART_SETTLED_S = 6.0


def test_a_request_that_crashes_targets_is_held_by_the_whole_fleet(with_fleet):
    async def scenario(fleet):
        async with fleet.background_load() as background:
            outcomes = []
            for _ in range(_COPIES):
                outcomes.append(await fleet.send_crashing_request())
                await asyncio.sleep(_COPY_INTERVAL_S)
        crashes = sorted(fleet.history.crashes["crash"])
        late = fleet.history.arrivals_after_crashes("crash")
        print(f"crashes {len(crashes)} late arrivals {len(late)}")
        print(f"others {collections.Counter(o.status for o in background)}")
        assert crashes[-1] - crashes[0] < CONTACT_S
        assert len(late) <= 3
        lost = [outcome for outcome in background if outcome.status != 200]
        assert len(lost) <= _MAX_LOST_SHARE * len(background)
        assert fleet.history.violations == []
        # In quarantine it is refused at once, as not run, with a long
        # Retry-After.
        held = outcomes[-1]
        assert held.status == 503
        assert held.took_s < _MAX_REFUSAL_S
        assert float(held.retry_after) > 60

    with_fleet(scenario)


def test_the_quarantine_outlasts_restarts_of_control_and_entries(with_fleet):
    async def scenario(fleet):
        async with fleet.background_load() as background:
            for _ in range(4):
                await asyncio.gather(
                    *(fleet.send_crashing_request() for _ in ENTRY_IPS)
                )
                await asyncio.sleep(_COPY_INTERVAL_S)
        crash_count = len(fleet.history.crashes["crash"])
        for restart in (fleet.restart_control, fleet.restart_entries_in_turn):
            await restart()
            for _ in range(2 * len(ENTRY_IPS)):
                assert (await fleet.send_crashing_request()).status == 503
        assert len(fleet.history.crashes["crash"]) == crash_count
        # Three rounds of crashes, each of as many copies as there are entries.
        assert crash_count <= 3 * len(ENTRY_IPS)
        lost = [outcome for outcome in background if outcome.status != 200]
        assert len(lost) <= _MAX_LOST_SHARE * len(background)

    with_fleet(scenario)


def test_the_quarantine_of_a_part_outlasts_restarts(with_fleet):
    async def scenario(fleet):
        async with fleet.background_load() as background:
            for _ in range(8):
                await fleet.send_crashing_part()
            for restart in (
                fleet.restart_control,
                fleet.restart_entries_in_turn,
            ):
                await restart()
                for _ in range(2 * len(ENTRY_IPS)):
                    assert (await fleet.send_crashing_part()).status == 503
                background.clear()
            await asyncio.sleep(CONTACT_S)
        late = fleet.history.arrivals_after_crashes(
            PART, CRASHES_TO_QUARANTINE_PART
        )
        assert late == []
        lost = [outcome for outcome in background if outcome.status != 200]
        assert len(lost) <= _MAX_LOST_SHARE * len(background)

    with_fleet(scenario)


def test_concurrent_copies_at_all_entries_crash_one_target_at_a_time(
    with_fleet,
):
    """Applies after the first known crash; copies in flight may crash too."""

    async def scenario(fleet):
        await fleet.send_crashing_request()
        await asyncio.sleep(_COPY_INTERVAL_S)
        crash_count = len(fleet.history.crashes["crash"])
        copies = (
            fleet.send_crashing_request() for _ in range(_CONCURRENT_COPIES)
        )
        outcomes = await asyncio.gather(*copies)
        print(collections.Counter(outcome.status for outcome in outcomes))
        assert len(fleet.history.crashes["crash"]) <= max(crash_count, 2) + 1

    with_fleet(scenario)


def test_several_such_requests_at_once_are_each_held(with_fleet):
    async def scenario(fleet):
        names = [f"crash {n}" for n in range(_CRASHING_REQUESTS)]

        async def send_copies(name):
            for _ in range(_COPIES_EACH):
                await fleet.send_crashing_request(name)
                await asyncio.sleep(_REQUEST_INTERVAL_S)

        async with fleet.background_load() as background:
            async with asyncio.TaskGroup() as group:
                for name in names:
                    group.create_task(send_copies(name))
                    await asyncio.sleep(
                        _REQUEST_INTERVAL_S / _CRASHING_REQUESTS
                    )
            crashes = {name: fleet.history.crashes[name] for name in names}
            counts = {name: len(times) for name, times in crashes.items()}
            print(f"crashes {counts}")
            print(f"others {collections.Counter(o.status for o in background)}")
            background.clear()
            await asyncio.sleep(CONTACT_S)
        for name in names:
            late = fleet.history.arrivals_after_crashes(name)
            assert len(late) <= 3, name
            assert counts[name] <= _MAX_CRASHES_EACH, name
        lost = [outcome for outcome in background if outcome.status != 200]
        assert len(lost) <= _MAX_LOST_SHARE * len(background)
        assert fleet.history.violations == []

    with_fleet(scenario)


def test_an_operator_can_review_and_lift_the_quarantine(with_fleet):
    async def scenario(fleet):
        for _ in range(3):
            await fleet.send_crashing_request()
            await asyncio.sleep(_COPY_INTERVAL_S)
        (request,) = (await fleet.quarantine()).requests
        assert len(request.start_ids) == 3
        reply = await fleet.quarantine(lift=[request.fingerprint])
        assert reply.lifted == 1
        assert not reply.requests
        crashes = len(fleet.history.crashes["crash"])
        await asyncio.sleep(_COPY_INTERVAL_S)
        await fleet.send_crashing_request()
        assert len(fleet.history.crashes["crash"]) > crashes

    with_fleet(scenario)


def test_a_request_in_flight_while_all_targets_crash_is_served_again(
    with_fleet,
):
    async def scenario(fleet):
        async def send_repeatedly():
            while True:
                await fleet.send_request(body=b"what many ask for")

        callers = [asyncio.create_task(send_repeatedly()) for _ in range(20)]
        await asyncio.sleep(1)
        for target in fleet.targets:
            await target.crash()
        await asyncio.sleep(_COPY_INTERVAL_S)
        for target in fleet.targets:
            await target.restart()
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        await asyncio.sleep(CONTACT_S)
        for _ in ENTRY_IPS:
            assert (
                await fleet.send_request(body=b"what many ask for")
            ).status == 200

    with_fleet(scenario)


@pytest.mark.parametrize(
    ("interval_s", "kind", "ending"),
    [
        (0.5, "safe", CrashEnding.NO_ANSWER),
        (0.25, "safe", CrashEnding.NO_ANSWER),
        (0.25, "stream", CrashEnding.WITHIN_EVENT),
    ],
)
def test_requests_that_share_a_crashing_part_are_held_and_others_served(
    with_fleet, interval_s, kind, ending
):
    # Guards against requests that are each a first offender, because only the
    # prompt part that they share crashes targets.
    async def scenario(fleet):
        async with fleet.background_load() as background:
            ends_at = time.monotonic() + _PART_DURATION_S
            async with asyncio.TaskGroup() as group:
                while time.monotonic() < ends_at:
                    group.create_task(
                        fleet.send_crashing_part(
                            kind=kind, crash_ending=ending.value
                        )
                    )
                    await asyncio.sleep(interval_s)
                    if time.monotonic() < ends_at - _PART_SETTLED_S:
                        background.clear()
        crashes = fleet.history.crashes[PART]
        late = fleet.history.arrivals_after_crashes(
            PART, CRASHES_TO_QUARANTINE_PART
        )
        print(f"crashes {len(crashes)} late arrivals {len(late)}")
        print(f"others {collections.Counter(o.status for o in background)}")
        assert len(late) <= 3
        assert len(background) > 20
        lost = [outcome for outcome in background if outcome.status != 200]
        assert len(lost) <= _MAX_LOST_SHARE * len(background)
        assert fleet.history.violations == []
        held = await fleet.send_crashing_part()
        assert held.status == 503
        assert float(held.retry_after) > 60

    with_fleet(scenario)


@pytest.mark.parametrize(
    "ending", [CrashEnding.WITHIN_EVENT, CrashEnding.AFTER_EVENT]
)
def test_a_crash_is_known_whose_stream_ends_by_a_clean_close(
    with_fleet, ending
):
    # Guards against a crash that passes as the regular end of a stream, which
    # has neither a length nor chunks.
    async def scenario(fleet):
        for _ in range(_COPIES):
            await fleet.send_crashing_request(
                kind="stream", crash_ending=ending.value
            )
            await asyncio.sleep(_COPY_INTERVAL_S)
        crashes = fleet.history.crashes["crash"]
        late = fleet.history.arrivals_after_crashes("crash")
        print(f"crashes {len(crashes)} late arrivals {len(late)}")
        assert len(late) <= 3

    with_fleet(scenario)


@pytest.mark.parametrize(
    ("kind", "ending"),
    [("stream", CrashEnding.AFTER_EVENT), ("safe", CrashEnding.SHORT_BODY)],
)
def test_an_answer_that_ends_with_its_target_is_not_passed_on_as_complete(
    with_fleet, kind, ending
):
    # Guards against a truncated answer that its caller takes for a whole one.
    async def scenario(fleet):
        outcome = await fleet.send_crashing_request(
            kind=kind, crash_ending=ending.value
        )
        assert fleet.history.crashes["crash"]
        assert outcome.status != 200

    with_fleet(scenario)
