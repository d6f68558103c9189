"""Limits that change while connections wait and requests are being read.

What happened: the limit of idleness was read when a connection began to wait.
A longer one did not hold for connections that waited already: their callers,
who reuse a connection by the limit in force, read that it had ended.
"""

import asyncio
import dataclasses
import time

import h11
import pytest

from damaskcroft.http1 import Channel
from damaskcroft.http1._exchange import Answer
from damaskcroft.http1._idle_limits import IdleLimits
from damaskcroft.http1._reader import RequestReader
from damaskcroft.http1.tests.conftest import LIMITS, EchoHandler
from damaskcroft.http1.tests.test_closing import PROMISE, kept
from damaskcroft.http1.tests.test_server import WHOLE

SHORT_S = 0.4
LONG_S = 1.2
MANY = 1000
# Where a busy machine shall end nothing that the test doesn't mean to.
ROOMY = dataclasses.replace(LIMITS, head_timeout_s=3.0, idle_timeout_s=3.0)
LONG_HEAD = WHOLE.replace(b"\r\n\r\n", b"\r\nX: " + b"x" * 1000 + b"\r\n\r\n")


def idle_limit(limit_s):
    return dataclasses.replace(LIMITS, idle_timeout_s=limit_s)


async def answers_after(callers, pause_s):
    """The first bytes of what each gets that sends after a pause."""
    await asyncio.sleep(pause_s)
    answers = []
    for caller in callers:
        await caller.send(WHOLE)
        answers.append(await caller.until(b"\r\n"))
    return set(answers)


def change(handler, connections, limit_s):
    handler.limits_in_force = idle_limit(limit_s)
    connections.note_limits()


def test_a_longer_idle_limit_holds_for_connections_that_wait(run, served):
    # Against a 408 at the end of the limit before.
    async def scenario():
        async with served() as (handler, call, connections):
            change(handler, connections, SHORT_S)
            callers = [await kept(call) for _ in range(4)]
            change(handler, connections, LONG_S)
            answers = await answers_after(callers, 0.75 * LONG_S)
            assert answers == {b"HTTP/1.1 200 \r\n"}

    run(scenario())


def test_a_shorter_idle_limit_ends_no_connection_that_waits(run, served):
    async def scenario():
        async with served() as (handler, call, connections):
            change(handler, connections, LONG_S)
            callers = [await kept(call) for _ in range(4)]
            change(handler, connections, SHORT_S)
            answers = await answers_after(callers, 0.75 * LONG_S)
            assert answers == {b"HTTP/1.1 200 \r\n"}
            # From then on the shorter one holds.
            answer = await callers[0].rest()
            assert PROMISE in answer

    run(scenario())


def test_a_longer_idle_limit_between_two_shorter_ones_holds(run, served):
    async def scenario():
        async with served() as (handler, call, connections):
            change(handler, connections, SHORT_S)
            callers = [await kept(call) for _ in range(4)]
            change(handler, connections, LONG_S)
            await asyncio.sleep(0.05)
            change(handler, connections, SHORT_S)
            answers = await answers_after(callers, 0.7 * LONG_S)
            assert answers == {b"HTTP/1.1 200 \r\n"}

    run(scenario())


def test_the_longest_idle_limit_since_a_time_is_kept_in_few_entries():
    limits = IdleLimits(15.0)
    limits.note(60.0, 10.0)
    assert limits.longest_s(5.0) == 60.0
    limits.note(15.0, 20.0)
    limits.note(30.0, 30.0)
    limits.note(5.0, 40.0)
    assert limits.longest_s(5.0) == 60.0
    assert limits.longest_s(20.5) == 30.0
    assert limits.longest_s(40.5) == 5.0
    for number in range(1000):
        limits.note(5.0 - number / 1000, 50.0 + number)
    # Whoever waited so long ago has been let go.
    assert len(limits._past) < 10
    assert limits.longest_s(1050.0) == limits.longest_s(2000.0)


def test_a_request_that_comes_as_its_idle_limit_ends_is_answered(run, served):
    # Against a 408 for bytes that the loop had read in the same step.
    async def scenario():
        async with served() as (handler, call, _):
            callers = await asyncio.gather(*(kept(call) for _ in range(3)))

            def stand_still():
                for caller in callers:
                    caller.writer.transport._sock.send(WHOLE)
                time.sleep(LIMITS.idle_timeout_s)

            loop = asyncio.get_running_loop()
            loop.call_later(0.05, stand_still)
            answers = [await caller.until(b"\r\n") for caller in callers]
            assert set(answers) == {b"HTTP/1.1 200 \r\n"}
            assert len(handler.requests) == 2 * len(callers)

    run(scenario())


def test_a_head_that_comes_over_the_end_of_the_idle_limit_is_read(run, served):
    async def scenario():
        async with served() as (handler, call, _):
            handler.limits_in_force = dataclasses.replace(
                ROOMY, idle_timeout_s=1.0
            )
            caller = await kept(call)
            await asyncio.sleep(0.5)
            await caller.send(WHOLE[:12])
            await asyncio.sleep(0.6)
            await caller.send(WHOLE[12:])
            assert await caller.until(b"\r\n") == b"HTTP/1.1 200 \r\n"

    run(scenario())


def test_a_thousand_connections_that_end_at_once_are_each_told(run, served):
    # Against a reset once more than some hundred were told and not closed.
    async def scenario():
        async with served() as (handler, call, connections):
            change(handler, connections, 3.0)
            callers = [await call() for _ in range(MANY)]
            for caller in callers:
                await caller.send(WHOLE)
            for caller in callers:
                await caller.until(b"got body")
            await asyncio.sleep(0.05)
            connections.close_idle()
            await asyncio.sleep(0.5)
            # None has looked at its connection.
            for caller in callers:
                await caller.send(WHOLE)
            for caller in callers:
                assert (await caller.rest()).startswith(PROMISE)
            assert len(handler.requests) == MANY

    run(scenario())


def test_a_longer_head_is_read_on_a_connection_from_before(run, served):
    # Against 431 by the limit in force when the connection was accepted.
    async def scenario():
        async with served() as (handler, call, _):
            handler.limits_in_force = dataclasses.replace(ROOMY, head_bytes=500)
            caller = await kept(call)
            handler.limits_in_force = ROOMY
            await caller.send(LONG_HEAD[:900])
            await asyncio.sleep(0.05)
            await caller.send(LONG_HEAD[900:])
            assert await caller.until(b"\r\n") == b"HTTP/1.1 200 \r\n"

    run(scenario())


def test_a_long_head_in_pieces_is_refused_by_the_limit_in_force(run, served):
    async def scenario():
        async with served() as (handler, call, _):
            handler.limits_in_force = ROOMY
            caller = await kept(call)
            handler.limits_in_force = dataclasses.replace(ROOMY, head_bytes=500)
            await caller.send(LONG_HEAD[:900])
            assert (await caller.rest()).startswith(b"HTTP/1.1 431")
            assert len(handler.requests) == 1

    run(scenario())


@pytest.mark.parametrize("first", [12, len(LONG_HEAD) - 2])
@pytest.mark.parametrize(
    "smaller",
    [{"head_bytes": 20}, {"body_bytes": 1}, {"head_timeout_s": 0.05}],
    ids=lambda limits: next(iter(limits)),
)
def test_a_request_is_judged_by_the_limits_at_its_first_byte(
    run, served, smaller, first
):
    async def scenario():
        async with served() as (handler, call, connections):
            handler.limits_in_force = ROOMY
            caller = await kept(call)
            await caller.send(LONG_HEAD[:first])
            await asyncio.sleep(0.05)
            handler.limits_in_force = dataclasses.replace(ROOMY, **smaller)
            connections.note_limits()
            await asyncio.sleep(0.1)
            await caller.send(LONG_HEAD[first:])
            assert await caller.until(b"\r\n") == b"HTTP/1.1 200 \r\n"

    run(scenario())


def test_limits_that_come_right_behind_a_first_byte_do_not_hold_for_it(
    run,
):
    # Against a refusal by limits applied before the reader's next step.
    async def scenario():
        handler = EchoHandler()
        parser, channel = h11.Connection(h11.SERVER), Channel()
        reader = RequestReader(parser, channel, handler, IdleLimits(1.0))
        channel.data_received(WHOLE)
        assert await reader.wait_for_first_byte()
        handler.limits_in_force = dataclasses.replace(LIMITS, body_bytes=1)
        answer = Answer(parser, channel, handler.is_stopping)
        request = await reader.read_request(answer)
        assert request is not None
        assert request.body == b"body"

    run(scenario())
