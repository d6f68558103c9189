"""Tests of the answers to callers of an entry that is stopping."""

import asyncio

import pytest

from damaskcroft.forwarding import _gate
from damaskcroft.forwarding._answer_times import AnswerTimes
from damaskcroft.forwarding.tests.fakes import (
    FakeTarget,
    configuration,
    route,
    running_entry,
)

# Time from the stop signal until the last answers, in these tests.
WITHIN_S = 0.5


class SlowTarget(FakeTarget):
    """Target that pauses for `pause_s` before or within its answer."""

    def __init__(self, *modes, pause_s=3.0):
        super().__init__("a", *modes)
        self.pause_s = pause_s

    async def slow(self, head, reader, writer):
        await asyncio.sleep(self.pause_s)
        return await self.whole(head, reader, writer)

    async def slow_stream(self, head, reader, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n"
            b"\r\nf\r\nid: 1\ndata: 1\n\n\r\n"
        )
        await asyncio.sleep(self.pause_s)
        return False


@pytest.fixture
def run_stopping(monkeypatch):
    """Runs a scenario with an entry whose longest answer took `usual_s`."""
    monkeypatch.setattr(_gate, "_STILL_ADMITTED_S", WITHIN_S / 2)
    monkeypatch.setattr(_gate, "_DURATION_MARGIN_S", 0.1)

    def run(target, scenario, usual_s=0.0, **fields):
        if usual_s is not None:
            monkeypatch.setattr(AnswerTimes, "longest_s", lambda *_: usual_s)
        fields = dict(timeout_ms=4000, max_attempts=1) | fields

        async def within():
            config = configuration(1, route(**fields))
            async with running_entry(target, config=config) as entry:
                await scenario(entry)

        asyncio.run(asyncio.wait_for(within(), 20))

    return run


async def answered_in_time(asking):
    """Returns a caller's answer; fails if it comes after the stop."""
    async with asyncio.timeout(2 * WITHIN_S):
        return await asking


def wait_for_requests(target, count=1):
    async def wait():
        while len(target.heads) < count:
            await asyncio.sleep(0.01)

    return asyncio.wait_for(wait(), 5)


@pytest.mark.parametrize("when", ["before", "after"])
def test_forwarded_request_is_answered_before_stop(run_stopping, when):
    # Guards against cutting a caller's connection where a status could be sent.
    target = SlowTarget("slow")

    async def scenario(entry):
        if when == "after":
            entry.gate.stop(WITHIN_S)
        asking = asyncio.create_task(entry.send_request(x_deadline="4"))
        await wait_for_requests(target)
        if when == "before":
            entry.gate.stop(WITHIN_S)
        status, head, _ = await answered_in_time(asking)
        assert status == 504
        assert "connection: close" in head
        assert "retry-after" not in head

    run_stopping(target, scenario)


@pytest.mark.parametrize("when", ["before", "after"])
def test_what_still_waits_at_the_end_is_told_that_it_has_not_run(
    run_stopping, when
):
    # Guards against status 504 for a request that was never forwarded, because
    # a caller does not repeat such a request.
    target = SlowTarget("slow")

    async def scenario(entry):
        busy = [
            asyncio.create_task(entry.send_request(x_id=str(n), x_deadline="4"))
            for n in range(4)
        ]
        await wait_for_requests(target, 4)
        if when == "after":
            entry.gate.stop(WITHIN_S)
        asking = asyncio.create_task(
            entry.send_request(x_id="9", x_deadline="4")
        )
        if when == "before":
            await asyncio.sleep(0.1)
            entry.gate.stop(WITHIN_S)
        status, head, _ = await answered_in_time(asking)
        assert status == 503
        assert "retry-after" in head
        assert len(target.heads) == 4
        for asking in busy:
            assert (await answered_in_time(asking))[0] == 504

    run_stopping(target, scenario)


def test_begun_stream_does_not_look_complete_at_stop(run_stopping):
    # Guards against a caller that takes the first half of a stream for all of
    # it.
    target = SlowTarget("slow_stream")

    async def scenario(entry):
        asking = asyncio.create_task(entry.send_request(x_deadline="4"))
        await wait_for_requests(target)
        await asyncio.sleep(0.1)
        entry.gate.stop(WITHIN_S)
        status, _, body = await answered_in_time(asking)
        assert status == 200
        assert b"id: 1" in body
        assert not body.endswith(b"0\r\n\r\n")

    run_stopping(target, scenario, streaming=True)


@pytest.mark.parametrize("usual_s", [WITHIN_S, None])
def test_request_that_recent_answers_show_too_long_is_refused(
    run_stopping, usual_s
):
    # Guards against admitting streams that can't be finished in time.
    target = SlowTarget("slow", pause_s=WITHIN_S)

    async def scenario(entry):
        assert (await entry.send_request(x_deadline="4"))[0] == 200
        entry.gate.stop(WITHIN_S)
        status, head, _ = await answered_in_time(
            entry.send_request(x_deadline="4")
        )
        assert status == 503
        assert "retry-after" in head
        assert len(target.heads) == 1

    run_stopping(target, scenario, usual_s)


def test_request_that_recent_answers_show_short_is_admitted(run_stopping):
    # Guards against refusing quick requests while the load balancer still sends
    # them.
    target = SlowTarget("slow", pause_s=WITHIN_S / 5)

    async def scenario(entry):
        entry.gate.stop(WITHIN_S)
        assert (await entry.send_request(x_deadline="4"))[0] == 200

    run_stopping(target, scenario, WITHIN_S / 5)


def test_short_caller_deadline_lets_request_be_admitted(run_stopping):
    # Guards against refusing requests whose own deadline is before the stop.
    target = SlowTarget("whole")

    async def scenario(entry):
        entry.gate.stop(4 * WITHIN_S)
        await asyncio.sleep(WITHIN_S)
        assert (await entry.send_request(x_deadline="4"))[0] == 503
        assert (await entry.send_request(x_deadline="1"))[0] == 200

    run_stopping(target, scenario)
