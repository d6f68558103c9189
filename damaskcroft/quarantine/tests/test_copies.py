"""Copies of a suspect request at one entry."""

import asyncio

import pytest

from damaskcroft._generated import quarantine_pb2
from damaskcroft.quarantine import CrashRegistry, SerialCopies, Turns


class Fleet:
    """Entries that take turns at one node and share one crash registry."""

    def __init__(self, registry, entries):
        self.turns = Turns()
        self.registry = registry
        self.copies = [
            SerialCopies(registry, self.hold) for _ in range(entries)
        ]
        self.in_progress = self.max_in_progress = 0
        self.ran = []

    async def hold(self, fingerprint, for_s, granted):
        async with self.turns.taken(fingerprint):
            granted()
            await asyncio.sleep(for_s)

    async def run(self, copies, until=1e9, name=b"bad"):
        async with copies.one_at_a_time(name, until):
            self.in_progress += 1
            self.max_in_progress = max(self.max_in_progress, self.in_progress)
            await asyncio.sleep(1)
            self.in_progress -= 1
            self.ran.append(asyncio.get_running_loop().time())

    async def run_all(self):
        await asyncio.gather(*(self.run(copies) for copies in self.copies))


@pytest.fixture
def registry(loop):
    """A registry in which one target has crashed under b"bad"."""
    registry = CrashRegistry()

    async def scenario():
        suspect = quarantine_pb2.Suspect(fingerprint=b"bad", chain=1)
        registry.merge(
            quarantine_pb2.TargetCrash(start_id="t", suspects=[suspect])
        )

    loop.run(scenario())
    return registry


def test_copies_of_suspects_run_serially_and_others_in_parallel(loop, registry):
    async def scenario():
        copies = SerialCopies(registry)
        in_progress, max_in_progress = 0, {}

        async def run(name):
            nonlocal in_progress
            async with copies.one_at_a_time(name, 1e9):
                in_progress += 1
                max_in_progress[name] = max(
                    max_in_progress.get(name, 0), in_progress
                )
                await asyncio.sleep(1)
                in_progress -= 1

        await asyncio.gather(*(run(b"bad") for _ in range(3)))
        await asyncio.gather(*(run(b"good") for _ in range(3)))
        assert max_in_progress == {b"bad": 1, b"good": 3}

    loop.run(scenario())


def test_a_cleared_request_releases_all_waiting_copies(loop, registry):
    async def scenario():
        copies = SerialCopies(registry)
        ended = []

        async def run(number):
            async with copies.one_at_a_time(b"bad", 1e9):
                await asyncio.sleep(1)
                registry.clear(b"bad")
                ended.append(asyncio.get_running_loop().time())

        await asyncio.gather(*(run(n) for n in range(4)))
        assert ended[1:] == [ended[1]] * 3

    loop.run(scenario())


def test_a_cancelled_copy_releases_the_next_one(loop, registry):
    async def scenario():
        copies = SerialCopies(registry)

        async def run():
            async with copies.one_at_a_time(b"bad", 1e9):
                await asyncio.sleep(10)

        first = asyncio.create_task(run())
        await asyncio.sleep(1)
        second = asyncio.create_task(run())
        await asyncio.sleep(1)
        first.cancel()
        await second

    loop.run(scenario())


def test_a_copy_waits_no_longer_than_its_deadline(loop, registry):
    async def scenario():
        copies = SerialCopies(registry)

        async def run(until):
            async with copies.one_at_a_time(b"bad", until):
                started_at = asyncio.get_running_loop().time()
                await asyncio.sleep(10)
            return started_at

        outcomes = await asyncio.gather(*(run(until) for until in (20, 3)))
        assert outcomes == [0, 3]

    loop.run(scenario())


def test_entries_send_copies_one_at_a_time(loop, registry):
    async def scenario():
        fleet = Fleet(registry, 5)
        await fleet.run_all()
        assert fleet.max_in_progress == 1
        assert fleet.ran == [1, 2, 3, 4, 5]

    loop.run(scenario())


def test_clearing_a_request_releases_entries_that_wait_for_turns(
    loop, registry
):
    async def scenario():
        fleet = Fleet(registry, 5)
        running = asyncio.create_task(fleet.run_all())
        await asyncio.sleep(1.5)
        registry.clear(b"bad")
        await running
        assert fleet.ran == [1, 2, 2.5, 2.5, 2.5]

    loop.run(scenario())


def test_a_quarantine_releases_entries_that_wait_for_turns(loop, registry):
    async def scenario():
        fleet = Fleet(registry, 3)
        running = asyncio.create_task(fleet.run_all())
        await asyncio.sleep(0.5)
        for n in range(3):
            suspect = quarantine_pb2.Suspect(fingerprint=b"bad", chain=n + 1)
            registry.merge(
                quarantine_pb2.TargetCrash(start_id=f"{n}", suspects=[suspect])
            )
        # Each checks the verdict before it sends.
        await running
        assert fleet.ran == [1, 1.5, 1.5]

    loop.run(scenario())


def test_a_copy_runs_without_a_node_that_grants_turns(loop, registry):
    async def scenario():
        async def hold(fingerprint, for_s, granted):
            del fingerprint, for_s
            await asyncio.sleep(0.1)
            granted()

        fleet = Fleet(registry, 0)
        await fleet.run(SerialCopies(registry, hold))
        assert fleet.ran == [1.1]

    loop.run(scenario())


def test_a_cancelled_turn_passes_to_the_next_entry(loop, registry):
    async def scenario():
        fleet = Fleet(registry, 2)
        first = asyncio.create_task(fleet.run(fleet.copies[0]))
        await asyncio.sleep(0.5)
        second = asyncio.create_task(fleet.run(fleet.copies[1]))
        first.cancel()
        await second
        assert fleet.ran == [1.5]

    loop.run(scenario())


@pytest.mark.parametrize(("chain", "max_in_progress"), [(1, 2), (2, 1)])
@pytest.mark.parametrize("entries", [1, 2])
def test_suspects_of_several_crashes_run_serially(
    loop, entries, chain, max_in_progress
):
    # Guards against refusing an innocent request for the crashes of one that
    # runs beside it.
    async def scenario():
        registry = CrashRegistry()
        for name in (b"bad", b"sound"):
            suspect = quarantine_pb2.Suspect(fingerprint=name, chain=chain)
            registry.merge(
                quarantine_pb2.TargetCrash(start_id="t", suspects=[suspect])
            )
        fleet = Fleet(registry, entries)
        places = (fleet.copies[0], fleet.copies[-1])
        await asyncio.gather(
            *(
                fleet.run(copies, name=name)
                for copies, name in zip(places, (b"bad", b"sound"), strict=True)
            )
        )
        assert fleet.max_in_progress == max_in_progress

    loop.run(scenario())


def test_a_suspect_of_several_crashes_waits_for_others_for_a_bounded_time(loop):
    async def scenario():
        registry = CrashRegistry()
        for name in (b"bad", b"sound"):
            suspect = quarantine_pb2.Suspect(fingerprint=name, chain=2)
            registry.merge(
                quarantine_pb2.TargetCrash(start_id="t", suspects=[suspect])
            )
        copies = SerialCopies(registry)
        loop = asyncio.get_running_loop()

        async def run_long_request():
            async with copies.one_at_a_time(b"bad", 1e9):
                await asyncio.sleep(30)

        running = asyncio.create_task(run_long_request())
        await asyncio.sleep(0)
        started_at = loop.time()
        async with copies.one_at_a_time(b"sound", 1e9):
            assert loop.time() - started_at < 5
        await running

    loop.run(scenario())


@pytest.mark.parametrize(
    ("chain", "back_at_s", "begins_at_s"), [(1, 9, 0), (2, 1, 1), (2, 9, 2)]
)
def test_a_suspect_of_several_crashes_waits_for_targets_to_restart(
    loop, chain, back_at_s, begins_at_s
):
    # Guards against losing the last targets to requests that crash them.
    async def scenario():
        registry = CrashRegistry()
        suspect = quarantine_pb2.Suspect(fingerprint=b"bad", chain=chain)
        registry.merge(
            quarantine_pb2.TargetCrash(start_id="t", suspects=[suspect])
        )
        copies = SerialCopies(registry)
        now = asyncio.get_running_loop().time
        async with copies.one_at_a_time(b"bad", 1e9, lambda: now() < back_at_s):
            assert now() == pytest.approx(begins_at_s, abs=0.1)

    loop.run(scenario())
