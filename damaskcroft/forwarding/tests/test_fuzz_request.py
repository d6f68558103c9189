"""One caller, and targets whose answers stop at any byte.

Whatever two targets do, a caller gets a whole answer of its own or hears the
truth: what runs once runs once, "not run" is so, and a stream has no gap.
"""

import asyncio
import re

import hypothesis.strategies as st
from hypothesis import given

from damaskcroft.forwarding.tests.fakes import (
    EVENTS,
    FakeTarget,
    configuration,
    entry_before,
    event_ids,
    route,
    unchunked,
)

_NOT_RUN = (429, 503)


class CutTarget(FakeTarget):
    """Gives its answer up to a byte, and closes or resets there.

    Args:
        name: its id, and what it answers.
        upto: bytes that it sends; more than there are for all.
        how: what else it does.
    """

    def __init__(self, name, upto, how):
        super().__init__(name, "scripted")
        self.upto = upto
        self.how = how
        self.runs = 0

    async def scripted(self, head, reader, writer):
        if self.how == "not_run":
            return await self.not_run(head, reader, writer)
        self.runs += 1
        answer = self.answer(head)
        writer.write(answer[: self.upto])
        await writer.drain()
        if self.how == "reset":
            writer.transport.abort()
        return self.upto >= len(answer) and self.how != "closes"

    def answer(self, head):
        ours = b"X-Id: " + head["x-id"].encode()
        if self.how == "crossed":
            ours = b"X-Id: another"
        status = b"500 Oops" if self.how == "fails" else b"200 OK"
        if self.stream:
            first = int(head.get("x-last", 0)) + 1
            body = b""
            for number in range(first, EVENTS + 1):
                event = b"id: %d\ndata: %d\n\n" % (number, number)
                body += b"%x\r\n%s\r\n" % (len(event), event)
            return (
                b"HTTP/1.1 %s\r\n%s\r\nX-Seal: s\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n"
                % (status, ours, body)
            )
        body = self.name.encode() * 40
        return (
            b"HTTP/1.1 %s\r\n%s\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n%s"
            % (status, ours, len(body), body)
        )


behaviours = st.tuples(
    st.integers(0, 400),
    st.sampled_from(
        ["whole", "whole", "closes", "reset", "not_run", "crossed", "fails"]
    ),
)
kinds = st.sampled_from(["once", "safe", "stream", "resumable"])


@given(kinds, behaviours, behaviours)
def test_a_caller_gets_the_whole_of_one_answer_or_the_truth(
    kind, first, second
):
    asyncio.run(asyncio.wait_for(play(kind, first, second), 20))


async def play(kind, first, second):
    targets = [CutTarget("a", *first), CutTarget("b", *second)]
    streams = kind in ("stream", "resumable")
    for target in targets:
        target.stream = streams
    config = configuration(
        1,
        route(
            idempotent=kind == "safe",
            streaming=streams,
            resumable=kind == "resumable",
            timeout_ms=500,
        ),
    )
    async with entry_before(*targets, config=config) as entry:
        status, head, body = await entry.ask()
    runs = sum(target.runs for target in targets)
    if kind in ("once", "stream"):
        assert runs <= 1
    if status in _NOT_RUN:
        assert runs == 0
    if status != 200:
        return
    if streams:
        check_stream(body)
        return
    length = int(re.search(r"content-length: (\d+)", head)[1])
    assert len(body) == length
    assert body in (b"a" * 40, b"b" * 40)
    answered = next(t for t in targets if body.startswith(t.name.encode()))
    assert answered.how not in ("crossed", "fails", "not_run")


def check_stream(body):
    try:
        payload, complete = unchunked(body)
    except ValueError:
        # Ended within the framing: it can't look complete.
        return
    numbers = event_ids(payload)
    assert numbers == list(range(1, len(numbers) + 1))
    if complete:
        assert len(numbers) == EVENTS
