"""Fuzz test of one caller and two targets whose answers stop at any byte.

In every case the caller gets a complete answer to its own request or a correct
status: a non-repeatable request runs at most once, a request reported as not
run has not run, and a stream has no gap.
"""

import asyncio
import re

import hypothesis.strategies as st
from hypothesis import given

from damaskcroft.forwarding.tests.fakes import (
    EVENTS,
    FakeTarget,
    configuration,
    event_ids,
    route,
    running_entry,
    unchunked,
)

_NOT_RUN = (429, 503)


class TruncatingTarget(FakeTarget):
    """Sends its answer up to a byte, and closes or resets there.

    Args:
        name: its id, and the content of its answer.
        up_to: number of bytes sent; the whole answer if it is shorter.
        behaviour: further fault that it shows.
    """

    def __init__(self, name, up_to, behaviour):
        super().__init__(name, "scripted")
        self.up_to = up_to
        self.behaviour = behaviour
        self.runs = 0

    async def scripted(self, head, reader, writer):
        if self.behaviour == "not_run":
            return await self.not_run(head, reader, writer)
        self.runs += 1
        answer = self.answer(head)
        writer.write(answer[: self.up_to])
        await writer.drain()
        if self.behaviour == "reset":
            writer.transport.abort()
        return self.up_to >= len(answer) and self.behaviour != "closes"

    def answer(self, head):
        ours = b"X-Id: " + head["x-id"].encode()
        if self.behaviour == "crossed":
            ours = b"X-Id: another"
        status = b"500 Oops" if self.behaviour == "fails" else b"200 OK"
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
    targets = [TruncatingTarget("a", *first), TruncatingTarget("b", *second)]
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
    async with running_entry(*targets, config=config) as entry:
        status, head, body = await entry.send_request()
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
    assert answered.behaviour not in ("crossed", "fails", "not_run")


def check_stream(body):
    try:
        payload, complete = unchunked(body)
    except ValueError:
        # The body ended within the chunk framing, so it can't look complete.
        return
    numbers = event_ids(payload)
    assert numbers == list(range(1, len(numbers) + 1))
    if complete:
        assert len(numbers) == EVENTS
