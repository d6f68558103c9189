"""Polls of a program's event loop, and what they tell of arrivals."""

import asyncio
import contextlib
import socket
import time

import pytest

from damaskcroft.clock import arrived_after_s, now_s, run

QUEUE_COUNT = 6
BLOCKED_S = 0.3


async def pass_through(queues):
    """Passes a message from queue to queue, with a task for each step."""
    for before, after in zip(queues, queues[1:], strict=False):
        asyncio.create_task(forward(before, after))  # noqa: RUF006
    queues[0].put_nowait("message")
    await queues[-1].get()


async def forward(before, after):
    after.put_nowait(await before.get())


def test_message_through_many_tasks_needs_few_polls(monkeypatch):
    polls = 0

    async def scenario():
        nonlocal polls
        selector = asyncio.get_running_loop()._selector
        select = type(selector).__mro__[1].select

        def counted(self, timeout=None):
            nonlocal polls
            polls += 1
            return select(self, timeout)

        monkeypatch.setattr(type(selector).__mro__[1], "select", counted)
        await pass_through([asyncio.Queue() for _ in range(QUEUE_COUNT)])

    run(scenario())
    assert polls <= 3


def test_sockets_are_polled_while_callbacks_are_always_ready():
    async def scenario():
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        busy = asyncio.create_task(spin())
        reader, writer = await asyncio.open_connection(sock=ours)
        theirs.sendall(b"x")
        async with asyncio.timeout(5):
            received = await reader.readexactly(1)
        busy.cancel()
        writer.close()
        theirs.close()
        return received

    async def spin():
        while True:
            await asyncio.sleep(0)

    assert run(scenario()) == b"x"


class Recorder(asyncio.Protocol):
    """Records the earliest time at which each message can have arrived."""

    def __init__(self, arrivals):
        self._arrivals = arrivals

    def data_received(self, data):
        del data
        self._arrivals.put_nowait(arrived_after_s())


@contextlib.asynccontextmanager
async def recording_server():
    """Yields the queue of arrivals, and a function that makes a client."""
    arrivals = asyncio.Queue()
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: Recorder(arrivals), "127.0.0.1", 0, backlog=1
    )
    address = server.sockets[0].getsockname()
    async with server:
        yield arrivals, lambda: socket.create_connection(address)


@pytest.mark.parametrize("is_connected_before", [False, True])
def test_a_message_that_waits_for_the_loop_is_known_to_be_old(
    is_connected_before,
):
    """Guards against a suspended process that takes old messages for new."""

    async def scenario():
        async with recording_server() as (arrivals, connect):
            with contextlib.ExitStack() as clients:
                client = clients.enter_context(connect())
                if is_connected_before:
                    client.sendall(b"x")
                    await arrivals.get()
                else:
                    # More connections wait than are accepted in one step.
                    clients.enter_context(connect())
                client.sendall(b"x")
                sent_at = now_s()
                # Like a suspension, this stops all tasks of the process.
                time.sleep(BLOCKED_S)  # noqa: ASYNC251
                return sent_at, await arrivals.get()

    sent_at, arrived_after = run(scenario())
    assert arrived_after <= sent_at


def test_a_message_in_a_calm_process_is_known_to_be_new():
    async def scenario():
        async with recording_server() as (arrivals, connect):
            for _ in range(20):
                await asyncio.sleep(0.02)
            with connect() as client:
                client.sendall(b"x")
                sent_at = now_s()
                return sent_at, await arrivals.get()

    sent_at, arrived_after = run(scenario())
    assert arrived_after > sent_at - BLOCKED_S
