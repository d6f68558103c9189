"""What callers hear of an entry that ends soon."""

import asyncio

import pytest

from damaskcroft.forwarding import _gate
from damaskcroft.forwarding._answer_times import AnswerTimes
from damaskcroft.forwarding.tests.fakes import (
    FakeTarget,
    configuration,
    entry_before,
    route,
)

# From the word to end until the last answers, in these tests.
WITHIN_S = 0.5


class SlowTarget(FakeTarget):
    """Answers after `pause_s`, whole or after the first event."""

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
def at_the_end(monkeypatch):
    """Runs a scenario with an entry whose answers have taken `usual_s`."""
    monkeypatch.setattr(_gate, "_STILL_TAKEN_S", WITHIN_S / 2)
    monkeypatch.setattr(_gate, "_SLOWER_S", 0.1)

    def run(target, scenario, usual_s=0.0, **fields):
        if usual_s is not None:
            monkeypatch.setattr(AnswerTimes, "longest_s", lambda *_: usual_s)
        fields = dict(timeout_ms=4000, max_attempts=1) | fields

        async def within():
            config = configuration(1, route(**fields))
            async with entry_before(target, config=config) as entry:
                await scenario(entry)

        asyncio.run(asyncio.wait_for(within(), 20))

    return run


async def answered(asking):
    """A caller's status, head and body; fails if they come after the end."""
    async with asyncio.timeout(2 * WITHIN_S):
        return await asking


def until_asked(target, count=1):
    async def wait():
        while len(target.heads) < count:
            await asyncio.sleep(0.01)

    return asyncio.wait_for(wait(), 5)


@pytest.mark.parametrize("when", ["before", "after"])
def test_what_was_passed_on_is_answered_before_the_end(at_the_end, when):
    # Against a caller whose connection is cut where a status could be told.
    target = SlowTarget("slow")

    async def scenario(entry):
        if when == "after":
            entry.gate.stop(WITHIN_S)
        asking = asyncio.create_task(entry.ask(x_deadline="4"))
        await until_asked(target)
        if when == "before":
            entry.gate.stop(WITHIN_S)
        status, head, _ = await answered(asking)
        assert status == 504
        assert "connection: close" in head
        assert "retry-after" not in head

    at_the_end(target, scenario)


@pytest.mark.parametrize("when", ["before", "after"])
def test_what_still_waits_at_the_end_is_told_that_it_has_not_run(
    at_the_end, when
):
    # Against 504 for what was never passed on: nobody would send it again.
    target = SlowTarget("slow")

    async def scenario(entry):
        busy = [
            asyncio.create_task(entry.ask(x_id=str(n), x_deadline="4"))
            for n in range(4)
        ]
        await until_asked(target, 4)
        if when == "after":
            entry.gate.stop(WITHIN_S)
        asking = asyncio.create_task(entry.ask(x_id="9", x_deadline="4"))
        if when == "before":
            await asyncio.sleep(0.1)
            entry.gate.stop(WITHIN_S)
        status, head, _ = await answered(asking)
        assert status == 503
        assert "retry-after" in head
        assert len(target.heads) == 4
        for asking in busy:
            assert (await answered(asking))[0] == 504

    at_the_end(target, scenario)


def test_a_stream_that_has_begun_does_not_look_complete_at_the_end(at_the_end):
    # Against a stream whose caller takes its first half for all of it.
    target = SlowTarget("slow_stream")

    async def scenario(entry):
        asking = asyncio.create_task(entry.ask(x_deadline="4"))
        await until_asked(target)
        await asyncio.sleep(0.1)
        entry.gate.stop(WITHIN_S)
        status, _, body = await answered(asking)
        assert status == 200
        assert b"id: 1" in body
        assert not body.endswith(b"0\r\n\r\n")

    at_the_end(target, scenario, streaming=True)


@pytest.mark.parametrize("usual_s", [WITHIN_S, None])
def test_what_would_be_cut_by_its_routes_usual_time_is_refused(
    at_the_end, usual_s
):
    # Against streams that are taken although they can't be finished.
    target = SlowTarget("slow", pause_s=WITHIN_S)

    async def scenario(entry):
        assert (await entry.ask(x_deadline="4"))[0] == 200
        entry.gate.stop(WITHIN_S)
        status, head, _ = await answered(entry.ask(x_deadline="4"))
        assert status == 503
        assert "retry-after" in head
        assert len(target.heads) == 1

    at_the_end(target, scenario, usual_s)


def test_what_fits_by_its_routes_usual_time_is_taken(at_the_end):
    # Against refusals of quick requests while the balancer still sends them.
    target = SlowTarget("slow", pause_s=WITHIN_S / 5)

    async def scenario(entry):
        entry.gate.stop(WITHIN_S)
        assert (await entry.ask(x_deadline="4"))[0] == 200

    at_the_end(target, scenario, WITHIN_S / 5)


def test_a_callers_own_deadline_lets_a_request_be_taken(at_the_end):
    # Against refusals of what is over before the end in any case.
    target = SlowTarget("whole")

    async def scenario(entry):
        entry.gate.stop(4 * WITHIN_S)
        await asyncio.sleep(WITHIN_S)
        assert (await entry.ask(x_deadline="4"))[0] == 503
        assert (await entry.ask(x_deadline="1"))[0] == 200

    at_the_end(target, scenario)
