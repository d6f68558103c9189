"""Limits that change while connections are idle and requests are being read.

Guards against an idle timeout that is read only when a connection becomes
idle. A longer timeout then did not apply to connections already idle: their
callers, which reuse a connection by the timeout in force, found it closed.
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
from damaskcroft.http1.tests.test_closing import (
    NOT_RUN_ANSWER,
    open_idle_caller,
)
from damaskcroft.http1.tests.test_server import REQUEST

SHORT_S = 0.4
LONG_S = 1.2
CONNECTION_COUNT = 1000
# Limits long enough that a busy machine causes no unintended time-out.
GENEROUS_LIMITS = dataclasses.replace(
    LIMITS, head_timeout_s=3.0, idle_timeout_s=3.0
)
REQUEST_WITH_LONG_HEAD = REQUEST.replace(
    b"\r\n\r\n", b"\r\nX: " + b"x" * 1000 + b"\r\n\r\n"
)


def idle_limit(limit_s):
    return dataclasses.replace(LIMITS, idle_timeout_s=limit_s)


async def send_after(callers, pause_s):
    """Sends a request from each caller after a pause; returns status lines."""
    await asyncio.sleep(pause_s)
    answers = []
    for caller in callers:
        await caller.send(REQUEST)
        answers.append(await caller.read_until(b"\r\n"))
    return set(answers)


def change(handler, connections, limit_s):
    handler.limits_in_force = idle_limit(limit_s)
    connections.apply_limits()


def test_a_longer_idle_limit_applies_to_idle_connections(run, served):
    # Guards against a 408 at the end of the previous, shorter limit.
    async def scenario():
        async with served() as (handler, call, connections):
            change(handler, connections, SHORT_S)
            callers = [await open_idle_caller(call) for _ in range(4)]
            change(handler, connections, LONG_S)
            answers = await send_after(callers, 0.75 * LONG_S)
            assert answers == {b"HTTP/1.1 200 \r\n"}

    run(scenario())


def test_a_shorter_idle_limit_closes_no_idle_connection(run, served):
    async def scenario():
        async with served() as (handler, call, connections):
            change(handler, connections, LONG_S)
            callers = [await open_idle_caller(call) for _ in range(4)]
            change(handler, connections, SHORT_S)
            answers = await send_after(callers, 0.75 * LONG_S)
            assert answers == {b"HTTP/1.1 200 \r\n"}
            # After that request the shorter one applies.
            answer = await callers[0].read_to_end()
            assert NOT_RUN_ANSWER in answer

    run(scenario())


def test_a_longer_idle_limit_between_two_shorter_ones_applies(run, served):
    async def scenario():
        async with served() as (handler, call, connections):
            change(handler, connections, SHORT_S)
            callers = [await open_idle_caller(call) for _ in range(4)]
            change(handler, connections, LONG_S)
            await asyncio.sleep(0.05)
            change(handler, connections, SHORT_S)
            answers = await send_after(callers, 0.7 * LONG_S)
            assert answers == {b"HTTP/1.1 200 \r\n"}

    run(scenario())


def test_idle_limits_return_the_longest_since_a_time_in_bounded_memory():
    limits = IdleLimits(15.0)
    limits.note(60.0, 10.0)
    assert limits.longest_timeout_s(5.0) == 60.0
    limits.note(15.0, 20.0)
    limits.note(30.0, 30.0)
    limits.note(5.0, 40.0)
    assert limits.longest_timeout_s(5.0) == 60.0
    assert limits.longest_timeout_s(20.5) == 30.0
    assert limits.longest_timeout_s(40.5) == 5.0
    for number in range(1000):
        limits.note(5.0 - number / 1000, 50.0 + number)
    # Connections idle for that long have been closed.
    assert len(limits._past) < 10
    assert limits.longest_timeout_s(1050.0) == limits.longest_timeout_s(2000.0)


def test_a_request_that_arrives_as_the_idle_limit_expires_is_answered(
    run, served
):
    # Guards against a 408 for bytes read in the same loop iteration.
    async def scenario():
        async with served() as (handler, call, _):
            callers = await asyncio.gather(
                *(open_idle_caller(call) for _ in range(3))
            )

            def block_loop():
                for caller in callers:
                    caller.writer.transport._sock.send(REQUEST)
                time.sleep(LIMITS.idle_timeout_s)

            loop = asyncio.get_running_loop()
            loop.call_later(0.05, block_loop)
            answers = [await caller.read_until(b"\r\n") for caller in callers]
            assert set(answers) == {b"HTTP/1.1 200 \r\n"}
            assert len(handler.requests) == 2 * len(callers)

    run(scenario())


def test_a_head_that_arrives_across_the_idle_limit_is_read(run, served):
    async def scenario():
        async with served() as (handler, call, _):
            handler.limits_in_force = dataclasses.replace(
                GENEROUS_LIMITS, idle_timeout_s=1.0
            )
            caller = await open_idle_caller(call)
            await asyncio.sleep(0.5)
            await caller.send(REQUEST[:12])
            await asyncio.sleep(0.6)
            await caller.send(REQUEST[12:])
            assert await caller.read_until(b"\r\n") == b"HTTP/1.1 200 \r\n"

    run(scenario())


def test_a_thousand_connections_closed_at_once_each_get_an_answer(run, served):
    # Guards against resets once a few hundred connections are half closed.
    async def scenario():
        async with served() as (handler, call, connections):
            change(handler, connections, 3.0)
            callers = [await call() for _ in range(CONNECTION_COUNT)]
            for caller in callers:
                await caller.send(REQUEST)
            for caller in callers:
                await caller.read_until(b"got body")
            await asyncio.sleep(0.05)
            connections.close_idle()
            await asyncio.sleep(0.5)
            # No caller has read from its connection.
            for caller in callers:
                await caller.send(REQUEST)
            for caller in callers:
                assert (await caller.read_to_end()).startswith(NOT_RUN_ANSWER)
            assert len(handler.requests) == CONNECTION_COUNT

    run(scenario())


def test_a_raised_head_limit_applies_to_an_open_connection(run, served):
    # Guards against a 431 by the limit in force when it was accepted.
    async def scenario():
        async with served() as (handler, call, _):
            handler.limits_in_force = dataclasses.replace(
                GENEROUS_LIMITS, head_bytes=500
            )
            caller = await open_idle_caller(call)
            handler.limits_in_force = GENEROUS_LIMITS
            await caller.send(REQUEST_WITH_LONG_HEAD[:900])
            await asyncio.sleep(0.05)
            await caller.send(REQUEST_WITH_LONG_HEAD[900:])
            assert await caller.read_until(b"\r\n") == b"HTTP/1.1 200 \r\n"

    run(scenario())


def test_a_long_head_in_pieces_is_refused_by_the_limit_in_force(run, served):
    async def scenario():
        async with served() as (handler, call, _):
            handler.limits_in_force = GENEROUS_LIMITS
            caller = await open_idle_caller(call)
            handler.limits_in_force = dataclasses.replace(
                GENEROUS_LIMITS, head_bytes=500
            )
            await caller.send(REQUEST_WITH_LONG_HEAD[:900])
            assert (await caller.read_to_end()).startswith(b"HTTP/1.1 431")
            assert len(handler.requests) == 1

    run(scenario())


@pytest.mark.parametrize("first", [12, len(REQUEST_WITH_LONG_HEAD) - 2])
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
            handler.limits_in_force = GENEROUS_LIMITS
            caller = await open_idle_caller(call)
            await caller.send(REQUEST_WITH_LONG_HEAD[:first])
            await asyncio.sleep(0.05)
            handler.limits_in_force = dataclasses.replace(
                GENEROUS_LIMITS, **smaller
            )
            connections.apply_limits()
            await asyncio.sleep(0.1)
            await caller.send(REQUEST_WITH_LONG_HEAD[first:])
            assert await caller.read_until(b"\r\n") == b"HTTP/1.1 200 \r\n"

    run(scenario())


def test_limits_changed_right_after_a_first_byte_do_not_apply_to_it(
    run,
):
    # Guards against a refusal by limits changed before the reader resumes.
    async def scenario():
        handler = EchoHandler()
        parser, channel = h11.Connection(h11.SERVER), Channel()
        reader = RequestReader(parser, channel, handler, IdleLimits(1.0))
        channel.data_received(REQUEST)
        assert await reader.wait_for_first_byte()
        handler.limits_in_force = dataclasses.replace(LIMITS, body_bytes=1)
        answer = Answer(parser, channel, handler.is_stopping)
        request = await reader.read_request(answer)
        assert request is not None
        assert request.body == b"body"

    run(scenario())
