"""Tests that a stream is completed despite several failing targets."""

import asyncio
import time

import pytest

from damaskcroft.forwarding.tests.fakes import (
    EVENTS,
    FakeTarget,
    configuration,
    event_ids,
    route,
    running_entry,
    unchunked,
)


class RefusingTarget(FakeTarget):
    """Target with further refusals that certify that nothing ran."""

    async def misses_with_429(self, head, reader, writer):
        writer.write(
            b"HTTP/1.1 429 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        )
        return True

    async def misdirects(self, head, reader, writer):
        writer.write(
            b"HTTP/1.1 421 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        )
        return True

    async def endless_unrelated(self, head, reader, writer):
        """Sends an endless answer to another request, until it is closed."""
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Seal: s\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        return await self.pump_chunks(writer)


def three_targets(*modes):
    """Three targets that share the modes, whichever is tried first."""
    targets = [RefusingTarget(name, "stream") for name in "abc"]
    shared = list(modes)
    for target in targets:
        target.modes = shared
    return targets


@pytest.mark.parametrize(
    "mode",
    [
        "fails",
        "unsealed",
        "not_run",
        "misses_with_429",
        "misdirects",
        "rests",
        "silent_close",
        "cut_body",
        "dies",
        "leaves_and_fails",
    ],
)
def test_stream_continues_after_second_target_fails(mode):
    # Guards against interrupting a stream while attempts, targets and time are
    # left.
    async def scenario():
        targets = three_targets("stream_cut", mode, "stream")
        stream = configuration(
            1, route(streaming=True, resumable=True, max_attempts=3)
        )
        async with running_entry(*targets, config=stream) as entry:
            status, _, body = await entry.send_request()
            payload, complete = unchunked(body)
            assert (status, complete) == (200, True)
            assert event_ids(payload) == list(range(1, EVENTS + 1))

    asyncio.run(scenario())


@pytest.mark.parametrize("mode", ["fails", "unsealed", "not_run", "rests"])
def test_failing_last_attempt_ends_stream_at_once(mode):
    # Without an attempt left, waiting can't produce a better answer.
    async def scenario():
        targets = three_targets("stream_cut", mode)
        stream = configuration(
            1, route(streaming=True, resumable=True, max_attempts=2)
        )
        async with running_entry(*targets, config=stream) as entry:
            status, _, body = await entry.send_request()
            payload, complete = unchunked(body)
            assert (status, complete) == (200, False)
            assert event_ids(payload) == [1, 2, 3]

    asyncio.run(scenario())


def unrelated_then_stream():
    targets = three_targets("endless_unrelated", "stream")
    return targets[:2]


def test_endless_answer_of_another_request_is_left_for_another_target():
    # Guards against discarding its bytes until the caller's deadline.
    async def scenario():
        stream = configuration(1, route(streaming=True, resumable=True))
        targets = unrelated_then_stream()
        async with running_entry(*targets, config=stream) as entry:
            began_at = time.monotonic()
            status, _, body = await entry.send_request()
            payload, complete = unchunked(body)
            assert (status, complete) == (200, True)
            assert event_ids(payload) == list(range(1, EVENTS + 1))
            assert time.monotonic() - began_at < 0.5

    asyncio.run(scenario())


def test_endless_answer_of_another_request_fails_one_that_runs_once():
    # The request may have run, so that it is sent to no other target.
    async def scenario():
        once = configuration(1, route(streaming=True))
        targets = unrelated_then_stream()
        async with running_entry(*targets, config=once) as entry:
            began_at = time.monotonic()
            status, _, _ = await entry.send_request()
            assert status == 502
            assert time.monotonic() - began_at < 0.5
            assert sum(len(target.heads) for target in targets) == 1

    asyncio.run(scenario())
