"""Copies of a suspect request at one entry."""

import asyncio

import pytest

from damaskcroft._generated import quarantine_pb2
from damaskcroft.quarantine import Copies, CrashBook, Turns


class Fleet:
    """Entries that take turns at one node; all know the same book."""

    def __init__(self, book, entries):
        self.turns = Turns()
        self.book = book
        self.copies = [Copies(book, self.hold) for _ in range(entries)]
        self.under_way = self.most = 0
        self.ran = []

    async def hold(self, fingerprint, for_s, granted):
        async with self.turns.taken(fingerprint):
            granted()
            await asyncio.sleep(for_s)

    async def run(self, copies, until=1e9, name=b"bad"):
        async with copies.one_at_a_time(name, until):
            self.under_way += 1
            self.most = max(self.most, self.under_way)
            await asyncio.sleep(1)
            self.under_way -= 1
            self.ran.append(asyncio.get_running_loop().time())

    async def run_all(self):
        await asyncio.gather(*(self.run(copies) for copies in self.copies))


@pytest.fixture
def book(loop):
    """Under b"bad" one target has crashed."""
    book = CrashBook()

    async def scenario():
        suspect = quarantine_pb2.Suspect(fingerprint=b"bad", chain=1)
        book.take(quarantine_pb2.TargetCrash(start_id="t", suspects=[suspect]))

    loop.run(scenario())
    return book


def test_suspects_run_one_after_another_and_others_beside_them(loop, book):
    async def scenario():
        copies = Copies(book)
        under_way, most = 0, {}

        async def run(name):
            nonlocal under_way
            async with copies.one_at_a_time(name, 1e9):
                under_way += 1
                most[name] = max(most.get(name, 0), under_way)
                await asyncio.sleep(1)
                under_way -= 1

        await asyncio.gather(*(run(b"bad") for _ in range(3)))
        await asyncio.gather(*(run(b"good") for _ in range(3)))
        assert most == {b"bad": 1, b"good": 3}

    loop.run(scenario())


def test_once_cleared_all_that_wait_go_on(loop, book):
    async def scenario():
        copies = Copies(book)
        ended = []

        async def run(number):
            async with copies.one_at_a_time(b"bad", 1e9):
                await asyncio.sleep(1)
                book.clear(b"bad")
                ended.append(asyncio.get_running_loop().time())

        await asyncio.gather(*(run(n) for n in range(4)))
        assert ended[1:] == [ended[1]] * 3

    loop.run(scenario())


def test_a_copy_that_is_given_up_lets_the_next_one_go(loop, book):
    async def scenario():
        copies = Copies(book)

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


def test_nobody_waits_longer_than_its_own_time(loop, book):
    async def scenario():
        copies = Copies(book)

        async def run(until):
            async with copies.one_at_a_time(b"bad", until):
                began_at = asyncio.get_running_loop().time()
                await asyncio.sleep(10)
            return began_at

        outcomes = await asyncio.gather(*(run(until) for until in (20, 3)))
        assert outcomes == [0, 3]

    loop.run(scenario())


def test_entries_take_turns(loop, book):
    async def scenario():
        fleet = Fleet(book, 5)
        await fleet.run_all()
        assert fleet.most == 1
        assert fleet.ran == [1, 2, 3, 4, 5]

    loop.run(scenario())


def test_no_entry_waits_for_its_turn_once_the_request_is_cleared(loop, book):
    async def scenario():
        fleet = Fleet(book, 5)
        running = asyncio.create_task(fleet.run_all())
        await asyncio.sleep(1.5)
        book.clear(b"bad")
        await running
        assert fleet.ran == [1, 2, 2.5, 2.5, 2.5]

    loop.run(scenario())


def test_no_entry_waits_for_its_turn_once_the_request_is_refused(loop, book):
    async def scenario():
        fleet = Fleet(book, 3)
        running = asyncio.create_task(fleet.run_all())
        await asyncio.sleep(0.5)
        for n in range(3):
            suspect = quarantine_pb2.Suspect(fingerprint=b"bad", chain=n + 1)
            book.take(
                quarantine_pb2.TargetCrash(start_id=f"{n}", suspects=[suspect])
            )
        # Each looks at the verdict before it sends.
        await running
        assert fleet.ran == [1, 1.5, 1.5]

    loop.run(scenario())


def test_without_a_node_that_grants_turns_a_copy_goes_at_once(loop, book):
    async def scenario():
        async def hold(fingerprint, for_s, granted):
            del fingerprint, for_s
            await asyncio.sleep(0.1)
            granted()

        fleet = Fleet(book, 0)
        await fleet.run(Copies(book, hold))
        assert fleet.ran == [1.1]

    loop.run(scenario())


def test_a_turn_that_is_given_up_goes_to_the_next(loop, book):
    async def scenario():
        fleet = Fleet(book, 2)
        first = asyncio.create_task(fleet.run(fleet.copies[0]))
        await asyncio.sleep(0.5)
        second = asyncio.create_task(fleet.run(fleet.copies[1]))
        first.cancel()
        await second
        assert fleet.ran == [1.5]

    loop.run(scenario())


@pytest.mark.parametrize(("chain", "most"), [(1, 2), (2, 1)])
@pytest.mark.parametrize("entries", [1, 2])
def test_requests_of_several_crashes_do_not_run_beside_each_other(
    loop, entries, chain, most
):
    # Against a sound request refused for the crashes of one beside it.
    async def scenario():
        book = CrashBook()
        for name in (b"bad", b"sound"):
            suspect = quarantine_pb2.Suspect(fingerprint=name, chain=chain)
            book.take(
                quarantine_pb2.TargetCrash(start_id="t", suspects=[suspect])
            )
        fleet = Fleet(book, entries)
        places = (fleet.copies[0], fleet.copies[-1])
        await asyncio.gather(
            *(
                fleet.run(copies, name=name)
                for copies, name in zip(places, (b"bad", b"sound"), strict=True)
            )
        )
        assert fleet.most == most

    loop.run(scenario())


def test_a_request_of_several_crashes_waits_only_so_long_for_others(loop):
    async def scenario():
        book = CrashBook()
        for name in (b"bad", b"sound"):
            suspect = quarantine_pb2.Suspect(fingerprint=name, chain=2)
            book.take(
                quarantine_pb2.TargetCrash(start_id="t", suspects=[suspect])
            )
        copies = Copies(book)
        loop = asyncio.get_running_loop()

        async def run_for_long():
            async with copies.one_at_a_time(b"bad", 1e9):
                await asyncio.sleep(30)

        running = asyncio.create_task(run_for_long())
        await asyncio.sleep(0)
        began_at = loop.time()
        async with copies.one_at_a_time(b"sound", 1e9):
            assert loop.time() - began_at < 5
        await running

    loop.run(scenario())


@pytest.mark.parametrize(
    ("chain", "back_at_s", "begins_at_s"), [(1, 9, 0), (2, 1, 1), (2, 9, 2)]
)
def test_after_several_crashes_a_request_waits_a_while_for_targets(
    loop, chain, back_at_s, begins_at_s
):
    # Against the last targets lost to requests that crash them.
    async def scenario():
        book = CrashBook()
        suspect = quarantine_pb2.Suspect(fingerprint=b"bad", chain=chain)
        book.take(quarantine_pb2.TargetCrash(start_id="t", suspects=[suspect]))
        copies = Copies(book)
        now = asyncio.get_running_loop().time
        async with copies.one_at_a_time(b"bad", 1e9, lambda: now() < back_at_s):
            assert now() == pytest.approx(begins_at_s, abs=0.1)

    loop.run(scenario())
