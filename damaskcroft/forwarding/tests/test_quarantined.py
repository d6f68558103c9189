"""Tests of suspect and quarantined requests at every stage of forwarding."""

import asyncio
import contextlib

import pytest

from damaskcroft._generated import fleet_pb2, quarantine_pb2
from damaskcroft.forwarding.tests.fakes import (
    FakeTarget,
    configuration,
    event_ids,
    route,
    running_entry,
    unchunked,
)
from damaskcroft.quarantine import fingerprint, part_key

REPEATABLE = configuration(1, route(idempotent=True))
NOT_REPEATABLE = configuration(1, route())
STREAM = configuration(1, route(streaming=True, resumable=True))
KEYED = configuration(
    1,
    route(idempotent=True, public=False),
    customers=[
        fleet_pb2.Customer(name="c1", keys=["k1"]),
        fleet_pb2.Customer(name="c2", keys=["k2"]),
    ],
    keys_required=True,
)


def note_crashes(entry, count, customer=""):
    """Records that the request of `Entry.send_request` crashed `count` targets.

    The crashes are those that other entries have seen.
    """
    digest = fingerprint(customer, "h", b"POST", b"/a", b"")
    entry.view.merge(
        [],
        crashes=[crash(f"x{n}", digest, n + 1) for n in range(count)],
    )
    return digest


def crash(start, digest, chain=1, service="s"):
    suspect = quarantine_pb2.Suspect(fingerprint=digest, chain=chain)
    return quarantine_pb2.TargetCrash(
        start_id=start, suspects=[suspect], service=service
    )


async def wait_until(check):
    async with asyncio.timeout(5):
        while not check():
            await asyncio.sleep(0.01)


def request_count(*targets):
    return sum(len(target.heads) for target in targets)


@contextlib.asynccontextmanager
async def running(asking):
    """Runs a request concurrently with the block."""
    task = asyncio.create_task(asking)
    try:
        yield task
    finally:
        task.cancel()


def test_quarantined_request_is_refused_as_not_run_with_long_retry_after():
    async def scenario():
        target = FakeTarget("a", "whole")
        async with running_entry(target, config=REPEATABLE) as entry:
            note_crashes(entry, 3)
            status, head, _ = await entry.send_request()
            assert status == 503
            seconds = head.partition("retry-after: ")[2].split()[0]
            assert float(seconds) > 60
            assert request_count(target) == 0
            assert (await entry.send_request("/b"))[0] == 200

    asyncio.run(scenario())


@pytest.mark.parametrize("config", [REPEATABLE, NOT_REPEATABLE])
def test_third_crash_ends_request_without_retry(config):
    async def scenario():
        targets = [FakeTarget(name, "dies") for name in "ab"]
        async with running_entry(*targets, config=config) as entry:
            note_crashes(entry, 2)
            status, head, _ = await entry.send_request()
            # It may have run, so it must not be reported as not run.
            assert status == 502
            assert "retry-after" not in head
            assert request_count(*targets) == 1
            assert (await entry.send_request())[0] == 503
            assert request_count(*targets) == 1

    asyncio.run(scenario())


def test_first_crash_allows_retry():
    async def scenario():
        first, second = FakeTarget("a", "dies"), FakeTarget("b", "whole")
        first.modes = second.modes = ["dies", "whole"]
        async with running_entry(first, second, config=REPEATABLE) as entry:
            assert (await entry.send_request())[0] == 200
            assert request_count(first, second) == 2
            # The answer clears the request, whether the crash or the answer is
            # recorded first.
            await wait_until(lambda: next(entry.view.crashes.snapshot(), None))
            note_crashes(entry, 2)
            assert (await entry.send_request())[0] == 200

    asyncio.run(scenario())


def test_recently_answered_request_is_not_quarantined_after_three_crashes():
    # Guards against ten minutes without service for a request that many callers
    # send identically.
    async def scenario():
        modes = ["whole", "dies", "dies", "dies", "whole"]
        targets = [FakeTarget(name) for name in "abcde"]
        for target in targets:
            target.modes = modes
        async with running_entry(*targets, config=REPEATABLE) as entry:
            assert (await entry.send_request())[0] == 200
            assert (await entry.send_request())[0] == 502
            assert (await entry.send_request())[0] == 200
            assert request_count(*targets) == 5

    asyncio.run(scenario())


def test_answer_clears_suspect_request():
    async def scenario():
        target = FakeTarget("a", "whole")
        async with running_entry(target, config=REPEATABLE) as entry:
            suspect = note_crashes(entry, 2)
            assert (await entry.send_request())[0] == 200
            assert not entry.view.crashes.is_suspect(suspect)

    asyncio.run(scenario())


def test_server_error_does_not_clear_suspect_request():
    async def scenario():
        target = FakeTarget("a", "fails")
        async with running_entry(target, config=NOT_REPEATABLE) as entry:
            suspect = note_crashes(entry, 2)
            assert (await entry.send_request())[0] == 500
            assert entry.view.crashes.is_suspect(suspect)

    asyncio.run(scenario())


def test_answer_of_another_service_does_not_clear_suspect_request():
    """The route is split over two services; the other one's targets crash."""

    async def scenario():
        target = FakeTarget("a", "whole")
        async with running_entry(target, config=REPEATABLE) as entry:
            suspect = note_crashes(entry, 0)
            words = [crash(f"x{n}", suspect, n + 1, "t") for n in range(2)]
            entry.view.merge([], crashes=words)
            assert (await entry.send_request())[0] == 200
            assert entry.view.crashes.is_suspect(suspect)

    asyncio.run(scenario())


def test_queued_request_is_refused_when_quarantined_meanwhile():
    async def scenario():
        target = FakeTarget("a", "whole")
        async with running_entry(target, config=REPEATABLE) as entry:
            (candidate,) = entry.candidates()
            slots = [entry.placer.take(candidate) for _ in range(4)]
            async with running(entry.send_request()) as waiting:
                await asyncio.sleep(0.1)
                note_crashes(entry, 3)
                for slot in slots:
                    slot.give_back()
                status, _, _ = await waiting
            assert status == 503
            assert request_count(target) == 0

    asyncio.run(scenario())


def test_quarantined_request_is_withdrawn_before_target_begins():
    async def scenario():
        target = FakeTarget("a", "hangs")
        async with running_entry(target, config=REPEATABLE) as entry:
            async with running(entry.send_request()) as waiting:
                await wait_until(lambda: request_count(target))
                note_crashes(entry, 3)
                status, _, _ = await waiting
            assert status == 502
            await wait_until(lambda: target.disconnects)

    asyncio.run(scenario())


def test_quarantined_stream_is_not_resumed():
    async def scenario():
        targets = [FakeTarget(name, "streams_and_dies") for name in "ab"]
        async with running_entry(*targets, config=STREAM) as entry:
            note_crashes(entry, 2)
            status, _, body = await entry.send_request()
            payload, complete = unchunked(body)
            assert (status, complete) == (200, False)
            assert event_ids(payload) == [1, 2, 3]
            assert request_count(*targets) == 1

    asyncio.run(scenario())


def test_same_request_of_another_customer_is_served():
    async def scenario():
        target = FakeTarget("a", "whole")
        async with running_entry(target, config=KEYED) as entry:
            note_crashes(entry, 3, customer="c1")
            assert (await entry.send_request(x_key="k1"))[0] == 503
            assert (await entry.send_request(x_key="k2"))[0] == 200

    asyncio.run(scenario())


def test_suspect_requests_run_on_different_targets():
    async def scenario():
        targets = [FakeTarget(name, "hangs") for name in "abc"]
        async with running_entry(*targets, config=NOT_REPEATABLE) as entry:
            other = fingerprint("", "h", b"POST", b"/b", b"")
            note_crashes(entry, 1)
            entry.view.merge([], crashes=[crash("y", other)])
            async with (
                running(entry.send_request("/a")),
                running(entry.send_request("/b")),
            ):
                await wait_until(lambda: request_count(*targets) == 2)
                async with running(entry.send_request("/c")):
                    await wait_until(lambda: request_count(*targets) == 3)
                    assert [request_count(target) for target in targets] == [
                        1,
                        1,
                        1,
                    ]

    asyncio.run(scenario())


def test_request_lost_in_crash_is_suspect_on_retry():
    async def scenario():
        modes = ["dies", "hangs"]
        targets = [FakeTarget(name) for name in "abc"]
        for target in targets:
            target.modes = modes
        async with running_entry(*targets, config=REPEATABLE) as entry:
            async with running(entry.send_request("/a")):
                await wait_until(lambda: request_count(*targets) == 2)
                (free,) = [t for t in targets if not request_count(t)]
                (candidate,) = [
                    c for c in entry.candidates() if c.target_id == free.name
                ]
                slots = [entry.placer.take(candidate) for _ in range(2)]
                # This target has a higher load but runs no suspect request.
                async with running(entry.send_request("/b")):
                    await wait_until(lambda: request_count(*targets) == 3)
                    assert request_count(free) == 1
                for slot in slots:
                    slot.give_back()

    asyncio.run(scenario())


def note_part_crashes(entry, count, *parts, customer=""):
    """Records crashes under different requests with some parts."""
    for number in range(count):
        report = crash(f"p{number}", b"other %d" % number, number + 1)
        report.suspects[0].customer = customer
        for position, part in enumerate(parts):
            report.suspects[0].parts.append(position)
            report.parts.add(
                fingerprint=part_key("s", "", part), chain=number + 1
            )
        entry.view.merge([], crashes=[report])


def test_a_request_with_a_crashing_part_is_refused_and_others_are_served():
    async def scenario():
        target = FakeTarget("a", "whole")
        async with running_entry(target, config=REPEATABLE) as entry:
            note_part_crashes(entry, 3, "bad")
            status, head, _ = await entry.send_request(x_parts="all bad own1")
            assert status == 503
            seconds = head.partition("retry-after: ")[2].split()[0]
            assert float(seconds) > 60
            assert request_count(target) == 0
            # The last part belongs to the request alone.
            for parts in ("all bad", "all own2"):
                assert (await entry.send_request(x_parts=parts))[0] == 200

    asyncio.run(scenario())


def test_a_request_that_waits_for_a_slot_is_refused_once_quarantined():
    # Guards against a refusal that comes only when the wait ends.
    async def scenario():
        target = FakeTarget("a", "hangs")
        async with running_entry(target, config=REPEATABLE) as entry:
            async with contextlib.AsyncExitStack() as stack:
                for number in range(4):
                    await stack.enter_async_context(
                        running(entry.send_request(f"/{number}", x_deadline=9))
                    )
                await wait_until(lambda: request_count(target) == 4)
                waiting = await stack.enter_async_context(
                    running(entry.send_request(x_parts="bad x", x_deadline=9))
                )
                await asyncio.sleep(0.1)
                assert not waiting.done()
                note_part_crashes(entry, 3, "bad")
                async with asyncio.timeout(0.5):
                    status, head, _ = await waiting
                assert status == 503
                seconds = head.partition("retry-after: ")[2].split()[0]
                assert float(seconds) > 60

    asyncio.run(scenario())


def test_an_answer_clears_the_parts_of_its_request_for_all_others():
    async def scenario():
        target = FakeTarget("a", "whole")
        async with running_entry(target, config=REPEATABLE) as entry:
            note_part_crashes(entry, 2, "bad", "sound")
            await entry.send_request(x_parts="sound own")
            assert not entry.view.crashes.is_suspect(part_key("s", "", "sound"))
            assert entry.view.crashes.is_suspect(part_key("s", "", "bad"))

    asyncio.run(scenario())


def test_different_requests_lost_with_their_targets_accuse_their_part():
    async def scenario():
        targets = [FakeTarget(name, "dies") for name in "abcde"]
        async with running_entry(*targets, config=REPEATABLE) as entry:
            answers = [
                await entry.send_request(path, x_parts=f"bad own{path}")
                for path in ("/a", "/b", "/c", "/d")
            ]
            statuses = [status for status, _, _ in answers]
            assert statuses == [502, 502, 502, 503]
            # Two attempts of the first and of the second one, one of the third.
            assert request_count(*targets) == 5

    asyncio.run(scenario())


@pytest.mark.parametrize("mode", ["ends_by_close", "ends_by_close_and_leaves"])
def test_an_answer_that_ends_by_a_close_is_delivered(mode):
    async def scenario():
        target = FakeTarget("a", mode)
        async with running_entry(target, config=NOT_REPEATABLE) as entry:
            status, _, body = await entry.send_request()
            assert (status, body) == (200, b"a")

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "mode", ["ends_by_close_and_dies", "ends_by_close_and_leaves"]
)
def test_an_answer_that_ends_with_its_target_is_requested_elsewhere(mode):
    # Guards against a truncated answer that its caller takes for a whole one,
    # also from a target that crashes after it announced its end.
    async def scenario():
        first, second = FakeTarget("a"), FakeTarget("b")
        first.modes = second.modes = [mode, "whole"]
        async with running_entry(first, second, config=REPEATABLE) as entry:
            assert (await entry.send_request())[0] == 200
            assert request_count(first, second) == 2

    asyncio.run(scenario())


def test_an_answer_clears_nothing_if_its_target_ends_soon_after_a_close():
    # Guards against a truncated answer that clears the request that crashes
    # its targets, because the listening socket was closed last.
    async def scenario():
        target = FakeTarget("a", "ends_by_close_and_dies_later")
        async with running_entry(target, config=REPEATABLE) as entry:
            digest = note_crashes(entry, 2)
            assert (await entry.send_request())[0] == 200
            await wait_until(lambda: entry.view.crashes.chain(digest) == 3)
            assert entry.view.crashes.quarantined_s(digest) > 0

    asyncio.run(scenario())


def test_an_answer_that_ends_by_a_close_clears_its_request():
    async def scenario():
        target = FakeTarget("a", "ends_by_close")
        async with running_entry(target, config=REPEATABLE) as entry:
            digest = note_crashes(entry, 2)
            assert (await entry.send_request())[0] == 200
            await wait_until(lambda: not entry.view.crashes.is_suspect(digest))

    asyncio.run(scenario())
