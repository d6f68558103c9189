"""Two attempts of one request: what neither may take from the caller."""

import asyncio
import contextlib
import random
import socket
import struct

import pytest

from damaskcroft.forwarding._hedge import Hedge
from damaskcroft.forwarding.tests.fakes import (
    FakeTarget,
    entry_before,
    event_ids,
    unchunked,
)
from damaskcroft.forwarding.tests.silent import (
    ALL_IDS,
    ask,
    assert_whole,
    config,
    stream_config,
)
from damaskcroft.forwarding.tests.test_quarantined import note_crashes

# More than an entry reads before it gives any of it on.
LARGE = b"x" * (600 * 1024)
LARGE_EVENTS = 24
# Linger for no time: closing sends a reset (socket(7)).
RESET = struct.pack("ii", 1, 0)


class Target(FakeTarget):
    """More ways to misbehave."""

    async def large_pauses(self, head, reader, writer, status=b"200 OK"):
        writer.write(
            b"HTTP/1.1 " + status + b"\r\nX-Seal: s\r\n"
            b"Content-Length: %d\r\n\r\n" % (2 * len(LARGE)) + LARGE
        )  # fmt: skip
        await asyncio.sleep(self.pause_s)
        writer.write(LARGE)
        return True

    async def large_refusal_pauses(self, head, reader, writer):
        return await self.large_pauses(head, reader, writer, b"404 No")

    async def large_events(self, head, reader, writer):
        first = int(head.get("x-last", 0)) + 1
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Seal: s\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        for number in range(first, LARGE_EVENTS + 1):
            event = b"id: %d\ndata: %s\n\n" % (number, LARGE)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True

    async def refuses_late(self, head, reader, writer):
        await asyncio.sleep(self.pause_s)
        return await self.not_run(head, reader, writer)

    async def fails_late(self, head, reader, writer):
        await asyncio.sleep(self.pause_s)
        return await self.fails(head, reader, writer)

    async def unsealed_late(self, head, reader, writer):
        await asyncio.sleep(self.pause_s)
        return await self.unsealed(head, reader, writer)

    async def head_alone(self, head, reader, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Seal: s\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        await writer.drain()
        return await self.hangs(head, reader, writer)

    async def head_cut(self, head, reader, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Seal: s\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        await writer.drain()
        return False

    async def half_a_body(self, head, reader, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 99\r\n\r\nabc"
        )
        await writer.drain()
        return await self.hangs(head, reader, writer)


class SilentOnceKept(FakeTarget):
    """Behind a proxy that drops what comes on connections that were kept."""

    async def serve(self, reader, writer):
        self.heads.append(head := await self.read(reader))
        await self.whole(head, reader, writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            self.heads.append(await self.read(reader))
            await self.hangs(head, reader, writer)
        writer.close()


def test_a_large_answer_is_not_cut_for_one_that_cannot_replace_it():
    async def scenario():
        silent, other = Target("a", "large_pauses"), Target("b", "whole")
        safe = config(idempotent=True)
        async with entry_before(silent, other, config=safe) as entry:
            status, _, body = await ask(entry, silent)
            payload, complete = unchunked(body)
            assert (status, len(payload), complete) == (
                200,
                2 * len(LARGE),
                True,
            )

    asyncio.run(scenario())


def test_a_stream_is_not_joined_to_a_large_refusal_of_another_target():
    async def scenario():
        silent = Target("a", "large_refusal_pauses")
        other = Target("b", "stream")
        async with entry_before(silent, other, config=stream_config()) as entry:
            status, _, body = await ask(entry, silent)
            assert status == 404
            assert b"data: " not in body

    asyncio.run(scenario())


def test_a_caller_that_reads_slowly_gets_no_event_twice():
    async def scenario():
        targets = Target("a", "large_events"), Target("b", "large_events")
        async with entry_before(*targets, config=stream_config()) as entry:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            host, _, port = entry.address.rpartition(":")
            sock.connect((host, int(port)))
            reader, writer = await asyncio.open_connection(sock=sock)
            writer.write(
                b"POST /a HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Deadline: 8\r\n"
                b"Connection: close\r\n\r\n"
            )
            await asyncio.sleep(2)
            async with asyncio.timeout(10):
                answer = await reader.read()
            writer.close()
            payload, complete = unchunked(answer.partition(b"\r\n\r\n")[2])
            assert event_ids(payload) == list(range(1, LARGE_EVENTS + 1))
            assert complete

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "mode", ["refuses_late", "fails_late", "unsealed_late"]
)
def test_a_late_refusal_does_not_end_the_attempt_beside_it(mode):
    async def scenario():
        silent, other = Target("a", mode), Target("b", "stream_after_a_pause")
        other.pause_s = 1.0
        async with entry_before(silent, other, config=stream_config()) as entry:
            assert_whole(await ask(entry, silent))

    asyncio.run(scenario())


@pytest.mark.parametrize("mode", ["head_alone", "head_cut"])
def test_a_stream_is_not_cut_for_a_head_without_an_event(mode):
    async def scenario():
        silent, other = Target("a", "stream_pauses"), Target("b", mode)
        async with entry_before(silent, other, config=stream_config()) as entry:
            assert_whole(await ask(entry, silent))

    asyncio.run(scenario())


@pytest.mark.parametrize("mode", ["half_a_body", "cut_body"])
def test_a_request_is_not_failed_for_half_an_answer_of_another(mode):
    async def scenario():
        silent, other = Target("a", "pauses"), Target("b", mode)
        safe = config(idempotent=True)
        async with entry_before(silent, other, config=safe) as entry:
            status, _, body = await ask(entry, silent)
            assert (status, body) == (200, b"a")

    asyncio.run(scenario())


def test_a_head_without_an_event_does_not_end_the_attempt_beside_it():
    async def scenario():
        silent, other = Target("a", "head_late"), Target("b", "")
        other.modes, other.pause_s = ["stream_after_a_pause"], 1.0

        async def head_late(head, reader, writer):
            await asyncio.sleep(1.3)
            return await silent.head_alone(head, reader, writer)

        silent.head_late = head_late
        async with entry_before(silent, other, config=stream_config()) as entry:
            assert_whole(await ask(entry, silent))

    asyncio.run(scenario())


def test_a_suspect_leaves_a_target_that_stays_silent():
    async def scenario():
        silent, other = Target("a", "hangs"), Target("b", "whole")
        safe = config(idempotent=True)
        async with entry_before(silent, other, config=safe) as entry:
            note_crashes(entry, 1)
            status, _, body = await ask(entry, silent)
            assert (status, body) == (200, b"b")

    asyncio.run(scenario())


def test_a_target_that_was_put_aside_is_asked_where_no_other_is_left():
    async def scenario():
        silent, other = Target("a", "hangs"), Target("b", "whole")
        safe = config(idempotent=True)
        async with entry_before(silent, other, config=safe) as entry:
            for _ in range(5):
                entry.placer._outliers.failed(other.name, certain=True)
            status, _, body = await ask(entry, silent)
            assert (status, body) == (200, b"b")

    asyncio.run(scenario())


def test_an_only_target_is_asked_anew_where_a_kept_connection_is_silent():
    async def scenario():
        target = SilentOnceKept("a")
        safe = config(idempotent=True)
        async with entry_before(target, config=safe) as entry:
            assert (await entry.ask())[0] == 200
            status, _, body = await entry.ask(x_deadline="4")
            assert (status, body) == (200, b"a")

    asyncio.run(scenario())


def test_a_second_attempt_does_not_hang_on_a_kept_connection():
    async def scenario():
        silent, other = SilentOnceKept("a"), SilentOnceKept("b")
        safe = config(idempotent=True)
        async with entry_before(silent, other, config=safe) as entry:
            for target in (silent, other):
                assert (await ask(entry, target))[0] == 200
            status, _, body = await ask(entry, silent)
            assert (status, body) == (200, b"b")

    asyncio.run(scenario())


def test_a_second_attempt_that_never_began_costs_no_budget(monkeypatch):
    begin = Hedge.begin

    def begin_and_cancel(self, trial):
        second = begin(self, trial)
        second.cancel()
        return second

    monkeypatch.setattr(Hedge, "begin", begin_and_cancel)

    async def scenario():
        silent, other = Target("a", "pauses"), Target("b", "whole")
        safe = config(idempotent=True)
        async with entry_before(silent, other, config=safe) as entry:
            window = entry.gate._forwarder._retry_window
            assert (await ask(entry, silent))[0] == 200
            assert (other.heads, len(window._repeats)) == ([], 0)

    asyncio.run(scenario())


# Modes in which a target certifies that it has not run a request.
NOT_RUN = ("not_run", "refuses_late")
MODES = (
    *NOT_RUN, "fails_late", "unsealed_late", "head_alone", "head_cut",
    "stream", "stream_pauses", "stream_after_a_pause", "stream_cut",
    "stream_dies_late", "stream_hangs", "hangs", "silent_close",
)  # fmt: skip


async def ask_two(seed, first_mode, second_mode):
    """What is wrong with an answer of two targets, or with what is left."""
    rng = random.Random(f"{seed} {first_mode} {second_mode}")
    first, second = Target("a", first_mode), Target("b", second_mode)
    first.pause_s, second.pause_s = rng.uniform(0.8, 1.6), rng.uniform(0, 1)
    async with entry_before(first, second, config=stream_config()) as entry:
        status, _, body = await ask(entry, first, deadline="3")
        await asyncio.sleep(0.05)
        wrong = []
        # The first may be left, on a busy machine, if connecting takes long.
        ran = (first.heads and first_mode not in NOT_RUN) or (
            second.heads and second_mode not in NOT_RUN
        )
        if status == 503 and ran:
            wrong.append("said not to have run")
        if status == 200:
            payload, complete = unchunked(body)
            ids = event_ids(payload)
            if ids != ALL_IDS[: len(ids)] or complete and ids != ALL_IDS:
                wrong.append(f"events {ids}")
        forwarder = entry.gate._forwarder
        if any(entry.placer.fullness(c) for c in entry.candidates()):
            wrong.append("a slot is held")
        if forwarder._silence._seen_by_id or forwarder._running._sendings:
            wrong.append("an attempt is still counted")
        arrivals = len(first.heads) + len(second.heads)
        if len(forwarder._retry_window._repeats) != max(0, arrivals - 1):
            wrong.append("the budget is counted wrongly")
        return wrong and (first_mode, second_mode, wrong)


@pytest.mark.parametrize("seed", range(3))
def test_two_attempts_leave_nothing_wrong(seed):
    async def scenario():
        found = await asyncio.gather(
            *(ask_two(seed, a, b) for a in MODES for b in MODES)
        )
        assert [each for each in found if each] == []

    asyncio.run(scenario())


@pytest.mark.parametrize("mode", ["stream_hangs", "hangs"])
def test_a_caller_that_leaves_ends_both_attempts(mode):
    async def scenario():
        targets = Target("a", mode), Target("b", "hangs")
        async with entry_before(*targets, config=stream_config()) as entry:
            other = next(c for c in entry.candidates() if c.id == "b")
            held = entry.placer.take(other)
            _, writer = await entry.connect()
            writer.write(
                b"POST / HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n"
                b"X-Deadline: 8\r\n\r\n"
            )
            async with asyncio.timeout(5):
                while not targets[1].heads:
                    await asyncio.sleep(0.01)
                    if targets[0].heads:
                        held.give_back()
            peer = writer.transport.get_extra_info("socket")
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()
            async with asyncio.timeout(0.5):
                while sum(target.left for target in targets) < 2:
                    await asyncio.sleep(0.01)
            assert not entry.gate._forwarder._silence._seen_by_id

    asyncio.run(scenario())


def test_nothing_is_sent_for_a_caller_that_has_closed_within_a_stream():
    async def scenario():
        silent, other = Target("a", "stream_hangs"), Target("b", "stream")
        async with entry_before(silent, other, config=stream_config()) as entry:
            held = entry.placer.take(
                next(c for c in entry.candidates() if c.id == "b")
            )
            reader, writer = await entry.connect()
            writer.write(
                b"POST / HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n"
                b"X-Deadline: 8\r\n\r\n"
            )
            async with asyncio.timeout(5):
                await reader.readuntil(b"data: 3\n\n")
            writer.close()
            held.give_back()
            await asyncio.sleep(1.5)
            assert other.heads == []

    asyncio.run(scenario())
