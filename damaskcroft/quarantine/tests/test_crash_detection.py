"""Distinction of crashes from other ends of connections."""

import asyncio
import contextlib

import pytest

from damaskcroft.quarantine import CrashDetector, LostRequest
from damaskcroft.routing import Candidate


class RecordingDetector:
    """A crash detector with the state it reads, and the crashes it reports."""

    def __init__(self):
        self.leaving = set()
        self.replaced = set()
        self.crashes = []
        self.crashed_at_by_start = {}
        self.watch = CrashDetector(
            lambda target: target.id in self.leaving,
            lambda target: target.id in self.replaced,
            self.crashes.append,
            self.crashed_at_by_start.get,
        )

    async def lost(self, address, name=b"a", start="t@1", connecting_at=None):
        target = Candidate(start, address, "d", "r", 4)
        loss = LostRequest(
            target, "s", name, "r-1", connecting_at=connecting_at
        )
        check_task = self.watch.record_loss(loss)
        if check_task is not None:
            await check_task


def fingerprints(crash):
    return {suspect.fingerprint for suspect in crash.suspects}


@pytest.fixture
def detector():
    return RecordingDetector()


@contextlib.asynccontextmanager
async def listening_address():
    """An address at which connections are accepted."""

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
    async with listening_address() as (address, _):
        return address


def test_an_ended_process_is_a_crash(detector):
    async def scenario():
        await detector.lost(await unused_address())
        assert [c.start_id for c in detector.crashes] == ["t@1"]
        assert fingerprints(detector.crashes[0]) == {b"a"}

    asyncio.run(scenario())


def test_a_reset_by_a_running_target_is_no_crash(detector):
    async def scenario():
        async with listening_address() as (address, _):
            await detector.lost(address)
            detector.watch.check_replacements()
            assert detector.crashes == []

    asyncio.run(scenario())


def test_a_crash_after_an_earlier_reset_is_detected(detector):
    async def scenario():
        async with listening_address() as (address, server):
            await detector.lost(address, b"a")
            server.close()
            await detector.lost(address, b"b")
        assert [c.start_id for c in detector.crashes] == ["t@1"]

    asyncio.run(scenario())


def test_a_listening_socket_that_closes_late_is_detected(detector):
    async def scenario():
        async with listening_address() as (address, server):
            asyncio.get_running_loop().call_later(0.02, server.close)
            await detector.lost(address)
        assert len(detector.crashes) == 1

    asyncio.run(scenario())


def test_an_announced_end_is_no_crash(detector):
    async def scenario():
        detector.leaving.add("t@1")
        await detector.lost(await unused_address())
        detector.watch.check_replacements()
        assert detector.crashes == []

    asyncio.run(scenario())


def test_a_replaced_start_is_a_crash(detector):
    async def scenario():
        async with listening_address() as (address, _):
            await detector.lost(address)
            detector.replaced.add("t@1")
            detector.watch.check_replacements()
            detector.watch.check_replacements()
            assert len(detector.crashes) == 1

    asyncio.run(scenario())


def test_requests_lost_with_one_start_are_reported_as_one_crash(detector):
    async def scenario():
        address = await unused_address()
        await asyncio.gather(
            *(detector.lost(address, b"%d" % n) for n in range(3))
        )
        await detector.lost(address, b"late")
        assert {c.start_id for c in detector.crashes} == {"t@1"}
        assert fingerprints(detector.crashes[-1]) == {b"0", b"1", b"2", b"late"}

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("connecting_at", "start_ids"),
    [(None, ["t@1"]), (1.0, ["t@1"]), (3.0, ["t@1/later"])],
)
def test_a_loss_after_a_crash_belongs_to_the_replacing_start(
    detector, connecting_at, start_ids
):
    # Guards against counting two crashes as one, which either's requests would
    # then explain.
    async def scenario():
        detector.crashed_at_by_start["t@1"] = 2.0
        address = await unused_address()
        await detector.lost(address, connecting_at=connecting_at)
        assert [c.start_id for c in detector.crashes] == start_ids
        detector.replaced.add("t@1")
        detector.watch.check_replacements()
        assert [c.start_id for c in detector.crashes] == start_ids

    asyncio.run(scenario())
