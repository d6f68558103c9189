"""How often a program's event loop polls the kernel for I/O."""

import asyncio
import socket

from damaskcroft.clock import run

QUEUE_COUNT = 6


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
