"""Tests of hedged requests: neither attempt may degrade the other's answer."""

import asyncio
import contextlib
import random
import socket
import struct
import types

import pytest

from damaskcroft.forwarding._attempt import Answered, Lost
from damaskcroft.forwarding._hedge import Hedge
from damaskcroft.forwarding._relay import Relay
from damaskcroft.forwarding.tests.fakes import (
    FakeTarget,
    PlainWire,
    event_ids,
    running_entry,
    unchunked,
)
from damaskcroft.forwarding.tests.silent import (
    ALL_EVENT_IDS,
    assert_complete_stream,
    config,
    send_request,
    stream_config,
)
from damaskcroft.forwarding.tests.test_quarantined import note_crashes
from damaskcroft.http1 import Head

# Larger than the part of an answer that an entry buffers before relaying it.
LARGE = b"x" * (600 * 1024)
LARGE_EVENTS = 24
# Linger time of zero: closing the socket sends a reset (socket(7)).
RESET = struct.pack("ii", 1, 0)


class Target(FakeTarget):
    """Fake target with further faults."""

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


class SilentOnReusedConnection(FakeTarget):
    """Target behind a proxy that drops requests on reused connections."""

    async def serve(self, reader, writer):
        self.heads.append(head := await self.read(reader))
        await self.whole(head, reader, writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            self.heads.append(await self.read(reader))
            await self.hangs(head, reader, writer)
        writer.close()


def test_large_answer_is_not_cut_for_useless_hedge():
    async def scenario():
        silent, other = Target("a", "large_pauses"), Target("b", "whole")
        repeatable = config(idempotent=True)
        async with running_entry(silent, other, config=repeatable) as entry:
            status, _, body = await send_request(entry, silent)
            payload, complete = unchunked(body)
            assert (status, len(payload), complete) == (
                200,
                2 * len(LARGE),
                True,
            )

    asyncio.run(scenario())


def test_stream_is_not_appended_to_large_refusal():
    async def scenario():
        silent = Target("a", "large_refusal_pauses")
        other = Target("b", "stream")
        async with running_entry(
            silent, other, config=stream_config()
        ) as entry:
            status, _, body = await send_request(entry, silent)
            assert status == 404
            assert b"data: " not in body

    asyncio.run(scenario())


def test_slow_caller_gets_no_duplicate_event():
    async def scenario():
        targets = Target("a", "large_events"), Target("b", "large_events")
        async with running_entry(*targets, config=stream_config()) as entry:
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
def test_late_refusal_does_not_end_hedged_attempt(mode):
    async def scenario():
        silent, other = Target("a", mode), Target("b", "stream_after_a_pause")
        other.pause_s = 1.0
        async with running_entry(
            silent, other, config=stream_config()
        ) as entry:
            assert_complete_stream(await send_request(entry, silent))

    asyncio.run(scenario())


@pytest.mark.parametrize("mode", ["head_alone", "head_cut"])
def test_stream_is_not_cut_for_head_without_event(mode):
    async def scenario():
        silent, other = Target("a", "stream_pauses"), Target("b", mode)
        async with running_entry(
            silent, other, config=stream_config()
        ) as entry:
            assert_complete_stream(await send_request(entry, silent))

    asyncio.run(scenario())


@pytest.mark.parametrize("mode", ["half_a_body", "cut_body"])
def test_request_is_not_failed_for_partial_hedged_answer(mode):
    async def scenario():
        silent, other = Target("a", "pauses"), Target("b", mode)
        repeatable = config(idempotent=True)
        async with running_entry(silent, other, config=repeatable) as entry:
            status, _, body = await send_request(entry, silent)
            assert (status, body) == (200, b"a")

    asyncio.run(scenario())


def test_head_without_event_does_not_end_hedged_attempt():
    async def scenario():
        silent, other = Target("a", "head_late"), Target("b", "")
        other.modes, other.pause_s = ["stream_after_a_pause"], 1.0

        async def head_late(head, reader, writer):
            await asyncio.sleep(1.3)
            return await silent.head_alone(head, reader, writer)

        silent.head_late = head_late
        async with running_entry(
            silent, other, config=stream_config()
        ) as entry:
            assert_complete_stream(await send_request(entry, silent))

    asyncio.run(scenario())


def test_suspect_request_moves_from_silent_target():
    async def scenario():
        silent, other = Target("a", "hangs"), Target("b", "whole")
        repeatable = config(idempotent=True)
        async with running_entry(silent, other, config=repeatable) as entry:
            note_crashes(entry, 1)
            status, _, body = await send_request(entry, silent)
            assert (status, body) == (200, b"b")

    asyncio.run(scenario())


def test_ejected_target_is_used_where_no_other_is_left():
    async def scenario():
        silent, other = Target("a", "hangs"), Target("b", "whole")
        repeatable = config(idempotent=True)
        async with running_entry(silent, other, config=repeatable) as entry:
            for _ in range(5):
                entry.placer._outliers.failed(other.name, certain=True)
            status, _, body = await send_request(entry, silent)
            assert (status, body) == (200, b"b")

    asyncio.run(scenario())


def test_only_target_is_retried_on_new_connection():
    async def scenario():
        target = SilentOnReusedConnection("a")
        repeatable = config(idempotent=True)
        async with running_entry(target, config=repeatable) as entry:
            assert (await entry.send_request())[0] == 200
            status, _, body = await entry.send_request(x_deadline="4")
            assert (status, body) == (200, b"a")

    asyncio.run(scenario())


def test_hedged_attempt_uses_new_connection():
    async def scenario():
        silent, other = (
            SilentOnReusedConnection("a"),
            SilentOnReusedConnection("b"),
        )
        repeatable = config(idempotent=True)
        async with running_entry(silent, other, config=repeatable) as entry:
            for target in (silent, other):
                assert (await send_request(entry, target))[0] == 200
            status, _, body = await send_request(entry, silent)
            assert (status, body) == (200, b"b")

    asyncio.run(scenario())


def test_unstarted_hedged_attempt_spends_no_budget(monkeypatch):
    begin = Hedge.begin

    def begin_and_cancel(self, hedged_attempt):
        second = begin(self, hedged_attempt)
        second.cancel()
        return second

    monkeypatch.setattr(Hedge, "begin", begin_and_cancel)

    async def scenario():
        silent, other = Target("a", "pauses"), Target("b", "whole")
        repeatable = config(idempotent=True)
        async with running_entry(silent, other, config=repeatable) as entry:
            assert (await send_request(entry, silent))[0] == 200
            assert (other.heads, retries_spent(entry)) == ([], 0)

    asyncio.run(scenario())


def retries_spent(entry):
    """Retries taken from the budget and not given back."""
    budgets = entry.gate._forwarder._retry_budget._budgets_by_service
    return sum(budget.sent for budget in budgets.values())


# Modes in which a target certifies that it has not run a request.
NOT_RUN = ("not_run", "refuses_late")
MODES = (
    *NOT_RUN, "fails_late", "unsealed_late", "head_alone", "head_cut",
    "stream", "stream_pauses", "stream_after_a_pause", "stream_cut",
    "stream_dies_late", "stream_hangs", "hangs", "silent_close",
)  # fmt: skip


async def request_from_two(seed, first_mode, second_mode):
    """Hedges one request and lists faults of the answer and of the state."""
    rng = random.Random(f"{seed} {first_mode} {second_mode}")
    first, second = Target("a", first_mode), Target("b", second_mode)
    first.pause_s, second.pause_s = rng.uniform(0.8, 1.6), rng.uniform(0, 1)
    async with running_entry(first, second, config=stream_config()) as entry:
        status, _, body = await send_request(entry, first, deadline="3")
        await asyncio.sleep(0.05)
        faults = []
        # On a busy machine the first target may get no request, if connecting
        # takes long.
        ran = (first.heads and first_mode not in NOT_RUN) or (
            second.heads and second_mode not in NOT_RUN
        )
        if status == 503 and ran:
            faults.append("said not to have run")
        if status == 200:
            payload, complete = unchunked(body)
            ids = event_ids(payload)
            if (
                ids != ALL_EVENT_IDS[: len(ids)]
                or complete
                and ids != ALL_EVENT_IDS
            ):
                faults.append(f"events {ids}")
        forwarder = entry.gate._forwarder
        if any(entry.placer.fullness(c) for c in entry.candidates()):
            faults.append("a slot is held")
        if forwarder._silence._activity_by_id or forwarder._running._dispatches:
            faults.append("an attempt is still counted")
        arrivals = len(first.heads) + len(second.heads)
        if retries_spent(entry) != max(0, arrivals - 1):
            faults.append("the budget is counted wrongly")
        return faults and (first_mode, second_mode, faults)


@pytest.mark.parametrize("seed", range(3))
def test_two_attempts_leave_consistent_state(seed):
    async def scenario():
        all_faults = await asyncio.gather(
            *(request_from_two(seed, a, b) for a in MODES for b in MODES)
        )
        assert [each for each in all_faults if each] == []

    asyncio.run(scenario())


@pytest.mark.parametrize("mode", ["stream_hangs", "hangs"])
def test_disconnected_caller_ends_both_attempts(mode):
    async def scenario():
        targets = Target("a", mode), Target("b", "hangs")
        async with running_entry(*targets, config=stream_config()) as entry:
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
                while sum(target.disconnects for target in targets) < 2:
                    await asyncio.sleep(0.01)
            assert not entry.gate._forwarder._silence._activity_by_id

    asyncio.run(scenario())


def test_no_hedge_for_caller_that_closed_within_stream():
    async def scenario():
        silent, other = Target("a", "stream_hangs"), Target("b", "stream")
        async with running_entry(
            silent, other, config=stream_config()
        ) as entry:
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


class EndedWhileChecked:
    """Attempt that is ended while the end of its answer is checked."""

    abort_reason = ""
    ended_by_close = True

    async def read_part(self):
        self.abort_reason = "outrun"
        return b""

    async def read_whole(self, max_bytes):
        return await self.read_part(), True

    def lost(self, reason):
        return Lost(self.abort_reason, given_up=True)


@pytest.mark.parametrize("streaming", [False, True])
def test_attempt_ended_while_its_end_is_checked_sends_nothing(loop, streaming):
    # Its hedge has had output by then, and a second head would follow.
    async def scenario():
        route = types.SimpleNamespace(streaming=streaming)
        pace = types.SimpleNamespace(
            first_s=0.1, record_output=lambda now: None
        )
        dispatch = types.SimpleNamespace(
            job=types.SimpleNamespace(route=route),
            answer=None,
            attempt=EndedWhileChecked(),
            progress=types.SimpleNamespace(begun=False, pace=pace),
            slot=types.SimpleNamespace(read=lambda: False),
            hedge=Hedge(),
        )
        wire = PlainWire()
        head = Head(200, [(b"x-seal", b"s")])
        relay = Relay(wire, lambda: None, lambda *_: None)
        outcome = await relay.relay(dispatch, Answered(head, wire.facts(head)))
        assert outcome == Lost("outrun", given_up=True)

    loop.run_until_complete(scenario())
