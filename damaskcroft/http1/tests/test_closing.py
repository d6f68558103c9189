"""Requests that cross the closing of an idle connection.

Guards against a `close_idle` and an idle timeout that close connections
outright. A request whose bytes were unread in the kernel at that moment was
reset, and a later one found the connection closed: in both cases the caller
could not tell whether it had run. The fault was first seen at the server for
the product's own interface (figures in rpc/tests/test_kept_connections.py);
this server closed connections in the same way, 3.5 s after SIGTERM.
"""

import asyncio
import contextlib
import math

import aiosonic
import pytest

from damaskcroft.http1 import CallerLimits, Lingering, ShutdownTimes, drained
from damaskcroft.http1.tests.test_server import REQUEST, wait_until
from damaskcroft.standins.late_callers import LateCallers

NOT_RUN_ANSWER = b"HTTP/1.1 408"


async def open_idle_caller(call):
    caller = await call()
    await caller.send(REQUEST)
    await caller.read_until(b"got body")
    # Lets the server begin to wait for the next request.
    await asyncio.sleep(0.05)
    return caller


def test_a_request_unread_at_the_close_is_answered_or_has_not_run(run, served):
    async def scenario():
        async with served() as (handler, call, connections):
            callers = [await open_idle_caller(call) for _ in range(20)]
            runs = len(handler.requests)
            for caller in callers:
                # Now in the kernel; the loop has not read it yet.
                caller.writer.transport._sock.send(REQUEST)
            handler.stopping = True
            connections.close_idle()
            answers = [await caller.read_to_end() for caller in callers]
            for answer in answers:
                assert answer.startswith((NOT_RUN_ANSWER, b"HTTP/1.1 200"))
                assert answer.count(b"HTTP/1.1") == 1
            answered = [a for a in answers if a.endswith(b"got body")]
            assert len(handler.requests) - runs == len(answered)

    run(scenario())


def test_a_keep_alive_answer_is_not_followed_by_a_408_at_once(run, served):
    # Guards against a 408 that the caller reads, and discards, with the
    # answer.
    async def scenario():
        async with served() as (handler, call, connections):
            caller = await open_idle_caller(call)
            times = ShutdownTimes(0.0, math.inf, 5.0, 5.0)
            ending = asyncio.create_task(drained(connections, times))
            await asyncio.sleep(0.05)
            # The previous answer was sent 0.1 s ago.
            await caller.send(REQUEST)
            answer = await caller.read_to_end()
            caller.writer.close()
            await ending
            assert answer.startswith(b"HTTP/1.1 200")
            assert b"connection: close" in answer.lower()
            assert answer.endswith(b"got body")

    run(scenario())


def test_a_connection_just_accepted_is_not_closed_as_idle(run, served):
    # Guards against a 408 without Retry-After for a request in transit.
    async def scenario():
        async with served() as (_, call, connections):
            caller = await call()
            await wait_until(lambda: connections.open_count)
            times = ShutdownTimes(0.0, math.inf, 5.0, 5.0)
            ending = asyncio.create_task(drained(connections, times))
            await asyncio.sleep(0.1)
            await caller.send(REQUEST)
            answer = await caller.read_to_end()
            caller.writer.close()
            await ending
            assert answer.startswith(b"HTTP/1.1 200")
            assert b"connection: close" in answer.lower()

    run(scenario())


def test_a_request_sent_after_the_close_is_answered_as_not_run(run, served):
    async def scenario():
        async with served() as (handler, call, connections):
            caller = await open_idle_caller(call)
            connections.close_idle()
            await asyncio.sleep(0.1)
            # This caller has not read from its connection.
            await caller.send(REQUEST)
            assert (await caller.read_to_end()).startswith(NOT_RUN_ANSWER)
            assert len(handler.requests) == 1

    run(scenario())


@pytest.mark.parametrize("part", [REQUEST[:12], REQUEST[:-2]])
def test_a_request_half_read_at_the_shutdown_is_answered_as_not_run(
    run, served, part
):
    # Guards against a connection that is closed without an answer.
    async def scenario():
        async with served() as (handler, call, connections):
            handler.limits = CallerLimits
            caller = await call()
            await caller.send(part)
            await asyncio.sleep(0.05)
            await connections.close()
            assert (await caller.read_to_end()).startswith(NOT_RUN_ANSWER)
            assert handler.requests == []

    run(scenario())


def test_a_client_library_with_a_pool_reads_the_408(run, served):
    # Guards against a reset that the library sees before it reads its buffer.
    async def scenario():
        async with served() as (handler, _, connections):
            url = f"http://{connections.address}/work"
            async with aiosonic.HTTPClient() as client:
                await client.post(url, data=b"body")
                connections.close_idle()
                await asyncio.sleep(1.5)
                response = await client.post(url, data=b"body")
            assert response.status_code == 408
            assert len(handler.requests) == 1

    run(scenario())


def test_lingering_connections_are_closed_after_the_linger_time(loop):
    closed = []

    async def scenario():
        lingering = Lingering()
        for number in range(3):
            lingering.begin(number, lambda number=number: closed.append(number))
        lingering.done(1)
        await asyncio.sleep(3600)

    loop.run_until_complete(scenario())
    assert closed == [0, 2]


@pytest.mark.parametrize(("every_s", "least"), [(0.01, 500), (0.0, 0)])
def test_the_oldest_lingering_connections_over_the_maximum_are_closed(
    loop, every_s, least
):
    # Connections half closed together at a shutdown all linger for a while.
    closed = []

    async def scenario():
        lingering = Lingering()
        for number in range(1000):
            lingering.begin(number, lambda number=number: closed.append(number))
            await asyncio.sleep(every_s)
        return list(closed)

    early = loop.run_until_complete(scenario())
    assert early == list(range(len(early)))
    assert least <= len(early) <= 2 * least


def test_a_request_that_crosses_the_idle_timeout_has_not_run(run, served):
    async def scenario():
        async with served() as (handler, call, connections):
            caller = await open_idle_caller(call)
            await asyncio.sleep(0.4)
            await caller.send(REQUEST)
            assert (await caller.read_to_end()).startswith(NOT_RUN_ANSWER)
            assert len(handler.requests) == 1

    run(scenario())


def test_a_request_that_has_been_read_is_answered_at_the_close(run, served):
    async def scenario():
        async with served() as (handler, call, connections):
            handler.gate.clear()
            caller = await open_busy_caller(call, handler)
            connections.close_idle()
            handler.gate.set()
            await caller.read_until(b"got body")

    run(scenario())


def test_a_connection_that_its_caller_closed_is_not_waited_for(run, served):
    async def scenario():
        async with served() as (_, call, connections):
            caller = await open_idle_caller(call)
            connections.close_idle()
            await caller.read_to_end()
            closed_at = asyncio.get_running_loop().time()
            caller.writer.close()
            await wait_until(lambda: connections.open_count == 0)
            took_s = asyncio.get_running_loop().time() - closed_at
            assert took_s < 0.5

    run(scenario())


def test_a_handler_that_ignores_cancellation_does_not_delay_the_close(
    run, served
):
    # Guards against an entry that is killed by its platform while it waits.
    async def scenario():
        async with served() as (handler, call, _):
            handler.gate = UncancellableGate()
            await open_busy_caller(call, handler)
            closed_at = asyncio.get_running_loop().time()
        assert asyncio.get_running_loop().time() - closed_at < 1.0

    run(scenario())


def test_connections_made_while_a_server_stops_listening_are_answered(served):
    callers = LateCallers(REQUEST)

    async def scenario():
        async with served() as (handler, _, connections):
            host, _, port = connections.address.rpartition(":")
            callers.place = host, int(port)
            await asyncio.sleep(0)
        return len(handler.requests)

    with asyncio.Runner(loop_factory=callers.new_loop) as runner:
        runs = runner.run(scenario())
    outcomes = callers.outcomes()
    assert outcomes
    assert set(outcomes) <= {"200", "408"}
    assert outcomes.count("200") == runs


def test_no_connection_is_made_after_the_last_accept(served):
    # Guards against a reset of a new connection with a complete request.
    callers = LateCallers(REQUEST)

    async def scenario():
        async with served() as (handler, _, connections):
            host, _, port = connections.address.rpartition(":")
            callers.place = host, int(port)
        return len(handler.requests)

    with callers.after_accepts():
        runs = asyncio.run(scenario())
    outcomes = callers.outcomes()
    assert callers.place is None
    assert set(outcomes) <= {"200", "408"}
    assert outcomes.count("200") == runs


class UncancellableGate:
    """Waits for three seconds and ignores cancellation."""

    async def wait(self):
        loop = asyncio.get_running_loop()
        until = loop.time() + 3.0
        while loop.time() < until:
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(until - loop.time())


async def open_busy_caller(call, handler):
    caller = await call()
    await caller.send(REQUEST)
    await wait_until(lambda: handler.requests)
    return caller
