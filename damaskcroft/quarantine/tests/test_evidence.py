"""Which ends of connections are crashes."""

import asyncio
import contextlib

import pytest

from damaskcroft.quarantine import CrashWatch, Loss
from damaskcroft.routing import Candidate


class Seen:
    """A watch, what it is told of starts, and the crashes that it tells."""

    def __init__(self):
        self.leaving = set()
        self.replaced = set()
        self.crashes = []
        self.crashed_at_by_start = {}
        self.watch = CrashWatch(
            lambda target: target.id in self.leaving,
            lambda target: target.id in self.replaced,
            self.crashes.append,
            self.crashed_at_by_start.get,
        )

    async def lost(self, address, name=b"a", start="t@1", connecting_at=None):
        target = Candidate(start, address, "d", "r", 4)
        loss = Loss(target, "s", name, "r-1", connecting_at=connecting_at)
        looked = self.watch.lost(loss)
        if looked is not None:
            await looked


def names(crash):
    return {suspect.fingerprint for suspect in crash.suspects}


@pytest.fixture
def seen():
    return Seen()


@contextlib.asynccontextmanager
async def listening():
    """An address at which connections are taken."""

    async def serve(reader, writer):
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f"127.0.0.1:{port}", server
    finally:
        server.close()


async def unused_address():
    async with listening() as (address, _):
        return address


def test_a_process_that_is_gone_has_crashed(seen):
    async def scenario():
        await seen.lost(await unused_address())
        assert [c.start_id for c in seen.crashes] == ["t@1"]
        assert names(seen.crashes[0]) == {b"a"}

    asyncio.run(scenario())


def test_a_reset_by_a_target_that_lives_is_no_crash(seen):
    async def scenario():
        async with listening() as (address, _):
            await seen.lost(address)
            seen.watch.look()
            assert seen.crashes == []

    asyncio.run(scenario())


def test_a_target_that_reset_a_request_and_crashes_later_is_seen(seen):
    async def scenario():
        async with listening() as (address, server):
            await seen.lost(address, b"a")
            server.close()
            await seen.lost(address, b"b")
        assert [c.start_id for c in seen.crashes] == ["t@1"]

    asyncio.run(scenario())


def test_a_listener_that_closes_a_little_later_is_seen(seen):
    async def scenario():
        async with listening() as (address, server):
            asyncio.get_running_loop().call_later(0.02, server.close)
            await seen.lost(address)
        assert len(seen.crashes) == 1

    asyncio.run(scenario())


def test_a_target_that_announced_its_end_has_not_crashed(seen):
    async def scenario():
        seen.leaving.add("t@1")
        await seen.lost(await unused_address())
        seen.watch.look()
        assert seen.crashes == []

    asyncio.run(scenario())


def test_a_later_start_in_its_place_shows_a_crash_as_well(seen):
    async def scenario():
        async with listening() as (address, _):
            await seen.lost(address)
            seen.replaced.add("t@1")
            seen.watch.look()
            seen.watch.look()
            assert len(seen.crashes) == 1

    asyncio.run(scenario())


def test_all_that_was_lost_with_a_start_is_told_of_one_crash(seen):
    async def scenario():
        address = await unused_address()
        await asyncio.gather(*(seen.lost(address, b"%d" % n) for n in range(3)))
        await seen.lost(address, b"late")
        assert {c.start_id for c in seen.crashes} == {"t@1"}
        assert names(seen.crashes[-1]) == {b"0", b"1", b"2", b"late"}

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("connecting_at", "start_ids"),
    [(None, ["t@1"]), (1.0, ["t@1"]), (3.0, ["t@1/later"])],
)
def test_a_loss_after_a_crash_is_of_the_start_that_took_its_place(
    seen, connecting_at, start_ids
):
    # Against two crashes counted as one, and explained by either's requests.
    async def scenario():
        seen.crashed_at_by_start["t@1"] = 2.0
        address = await unused_address()
        await seen.lost(address, connecting_at=connecting_at)
        assert [c.start_id for c in seen.crashes] == start_ids
        seen.replaced.add("t@1")
        seen.watch.look()
        assert [c.start_id for c in seen.crashes] == start_ids

    asyncio.run(scenario())
