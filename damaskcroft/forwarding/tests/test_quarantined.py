"""What becomes of a request that has crashed targets, wherever it is."""

import asyncio
import contextlib

import pytest

from damaskcroft._generated import fleet_pb2, quarantine_pb2
from damaskcroft.forwarding.tests.fakes import (
    FakeTarget,
    configuration,
    entry_before,
    event_ids,
    route,
    unchunked,
)
from damaskcroft.quarantine import fingerprint

SAFE = configuration(1, route(idempotent=True))
ONCE = configuration(1, route())
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
    """Other entries saw the request of `Entry.ask` crash so many targets."""
    asked = fingerprint(customer, "h", b"POST", b"/a", b"")
    entry.view.take(
        [],
        crashes=[crash(f"x{n}", asked, n + 1) for n in range(count)],
    )
    return asked


def crash(start, asked, chain=1, service="s"):
    suspect = quarantine_pb2.Suspect(fingerprint=asked, chain=chain)
    return quarantine_pb2.TargetCrash(
        start_id=start, suspects=[suspect], service=service
    )


async def until(check):
    async with asyncio.timeout(5):
        while not check():
            await asyncio.sleep(0.01)


def asked(*targets):
    return sum(len(target.heads) for target in targets)


@contextlib.asynccontextmanager
async def under_way(asking):
    """A request that goes on beside the block."""
    task = asyncio.create_task(asking)
    try:
        yield task
    finally:
        task.cancel()


def test_it_is_refused_at_once_as_not_run_and_not_soon_again():
    async def scenario():
        target = FakeTarget("a", "whole")
        async with entry_before(target, config=SAFE) as entry:
            note_crashes(entry, 3)
            status, head, _ = await entry.ask()
            assert status == 503
            seconds = head.partition("retry-after: ")[2].split()[0]
            assert float(seconds) > 60
            assert asked(target) == 0
            assert (await entry.ask("/b"))[0] == 200

    asyncio.run(scenario())


@pytest.mark.parametrize("config", [SAFE, ONCE])
def test_the_third_crash_ends_it_without_another_attempt(config):
    async def scenario():
        targets = [FakeTarget(name, "dies") for name in "ab"]
        async with entry_before(*targets, config=config) as entry:
            note_crashes(entry, 2)
            status, head, _ = await entry.ask()
            # It may have run, so nobody is told that it has not.
            assert status == 502
            assert "retry-after" not in head
            assert asked(*targets) == 1
            assert (await entry.ask())[0] == 503
            assert asked(*targets) == 1

    asyncio.run(scenario())


def test_the_first_crash_leaves_its_second_attempt():
    async def scenario():
        first, second = FakeTarget("a", "dies"), FakeTarget("b", "whole")
        first.modes = second.modes = ["dies", "whole"]
        async with entry_before(first, second, config=SAFE) as entry:
            assert (await entry.ask())[0] == 200
            assert asked(first, second) == 2
            # It was cleared by its answer, whichever came to be known first.
            await until(lambda: next(entry.view.crashes.words(), None))
            note_crashes(entry, 2)
            assert (await entry.ask())[0] == 200

    asyncio.run(scenario())


def test_what_was_answered_just_before_is_not_refused_after_three_crashes():
    # Against ten minutes without service for what many callers send alike.
    async def scenario():
        modes = ["whole", "dies", "dies", "dies", "whole"]
        targets = [FakeTarget(name) for name in "abcde"]
        for target in targets:
            target.modes = modes
        async with entry_before(*targets, config=SAFE) as entry:
            assert (await entry.ask())[0] == 200
            assert (await entry.ask())[0] == 502
            assert (await entry.ask())[0] == 200
            assert asked(*targets) == 5

    asyncio.run(scenario())


def test_an_answer_clears_a_suspect():
    async def scenario():
        target = FakeTarget("a", "whole")
        async with entry_before(target, config=SAFE) as entry:
            suspect = note_crashes(entry, 2)
            assert (await entry.ask())[0] == 200
            assert not entry.view.crashes.is_suspect(suspect)

    asyncio.run(scenario())


def test_a_failure_that_is_answered_clears_no_suspect():
    async def scenario():
        target = FakeTarget("a", "fails")
        async with entry_before(target, config=ONCE) as entry:
            suspect = note_crashes(entry, 2)
            assert (await entry.ask())[0] == 500
            assert entry.view.crashes.is_suspect(suspect)

    asyncio.run(scenario())


def test_an_answer_of_another_service_clears_no_suspect():
    """A route's shares go to two services; the other one's targets crash."""

    async def scenario():
        target = FakeTarget("a", "whole")
        async with entry_before(target, config=SAFE) as entry:
            suspect = note_crashes(entry, 0)
            words = [crash(f"x{n}", suspect, n + 1, "t") for n in range(2)]
            entry.view.take([], crashes=words)
            assert (await entry.ask())[0] == 200
            assert entry.view.crashes.is_suspect(suspect)

    asyncio.run(scenario())


def test_what_waits_for_a_slot_is_refused_when_its_turn_comes():
    async def scenario():
        target = FakeTarget("a", "whole")
        async with entry_before(target, config=SAFE) as entry:
            (candidate,) = entry.candidates()
            slots = [entry.placer.take(candidate) for _ in range(4)]
            async with under_way(entry.ask()) as waiting:
                await asyncio.sleep(0.1)
                note_crashes(entry, 3)
                for slot in slots:
                    slot.give_back()
                status, _, _ = await waiting
            assert status == 503
            assert asked(target) == 0

    asyncio.run(scenario())


def test_what_a_target_has_not_begun_is_taken_back():
    async def scenario():
        target = FakeTarget("a", "hangs")
        async with entry_before(target, config=SAFE) as entry:
            async with under_way(entry.ask()) as waiting:
                await until(lambda: asked(target))
                note_crashes(entry, 3)
                status, _, _ = await waiting
            assert status == 502
            await until(lambda: target.left)

    asyncio.run(scenario())


def test_a_stream_that_crashed_its_target_is_not_resumed_then():
    async def scenario():
        targets = [FakeTarget(name, "streams_and_dies") for name in "ab"]
        async with entry_before(*targets, config=STREAM) as entry:
            note_crashes(entry, 2)
            status, _, body = await entry.ask()
            payload, complete = unchunked(body)
            assert (status, complete) == (200, False)
            assert event_ids(payload) == [1, 2, 3]
            assert asked(*targets) == 1

    asyncio.run(scenario())


def test_the_same_request_of_another_customer_is_served():
    async def scenario():
        target = FakeTarget("a", "whole")
        async with entry_before(target, config=KEYED) as entry:
            note_crashes(entry, 3, customer="c1")
            assert (await entry.ask(x_key="k1"))[0] == 503
            assert (await entry.ask(x_key="k2"))[0] == 200

    asyncio.run(scenario())


def test_suspects_are_sent_where_no_other_suspect_runs():
    async def scenario():
        targets = [FakeTarget(name, "hangs") for name in "abc"]
        async with entry_before(*targets, config=ONCE) as entry:
            other = fingerprint("", "h", b"POST", b"/b", b"")
            note_crashes(entry, 1)
            entry.view.take([], crashes=[crash("y", other)])
            async with under_way(entry.ask("/a")), under_way(entry.ask("/b")):
                await until(lambda: asked(*targets) == 2)
                async with under_way(entry.ask("/c")):
                    await until(lambda: asked(*targets) == 3)
                    assert [asked(target) for target in targets] == [1, 1, 1]

    asyncio.run(scenario())


def test_what_is_lost_with_its_target_is_a_suspect_at_its_next_attempt():
    async def scenario():
        modes = ["dies", "hangs"]
        targets = [FakeTarget(name) for name in "abc"]
        for target in targets:
            target.modes = modes
        async with entry_before(*targets, config=SAFE) as entry:
            async with under_way(entry.ask("/a")):
                await until(lambda: asked(*targets) == 2)
                (free,) = [t for t in targets if not asked(t)]
                (candidate,) = [
                    c for c in entry.candidates() if c.target_id == free.name
                ]
                slots = [entry.placer.take(candidate) for _ in range(2)]
                # Fuller, but no suspect runs there.
                async with under_way(entry.ask("/b")):
                    await until(lambda: asked(*targets) == 3)
                    assert asked(free) == 1
                for slot in slots:
                    slot.give_back()

    asyncio.run(scenario())
