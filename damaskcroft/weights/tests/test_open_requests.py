"""Tests of open chunk requests and of the slots for chunks."""

import asyncio

from damaskcroft.weights._open_requests import OpenRequests
from damaskcroft.weights._window import PartWindow


def test_request_is_abandoned_once_its_chunk_is_available_elsewhere(loop):
    async def scenario():
        requests = OpenRequests()
        is_available = False
        with (
            requests.track(lambda: is_available) as abandoned,
            requests.track(lambda: False) as kept,
        ):
            await asyncio.sleep(1)
            assert not abandoned.done()
            is_available = True
            await asyncio.wait({abandoned}, timeout=0.2)
            assert abandoned.done()
            assert not kept.done()

    loop.run(scenario())


def test_open_requests_share_one_timer(loop):
    """Guards against one timer per request, each firing ten times a second."""
    checks = []

    def should_abandon():
        checks.append(loop.time())
        return False

    async def scenario():
        requests = OpenRequests()

        async def ask(after_s):
            await asyncio.sleep(after_s)
            with requests.track(should_abandon) as abandoned:
                await asyncio.wait({abandoned}, timeout=1)

        await asyncio.gather(*(ask(n / 100) for n in range(30)))
        # Without an open request there are no checks.
        before = len(checks)
        await asyncio.sleep(1)
        assert len(checks) == before

    loop.run(scenario())
    assert len(set(checks)) <= 14


def test_chunk_slots_are_granted_first_come_first_served(loop):
    """Guards against waking all waiting chunks when one slot is released."""
    entered = []

    async def scenario():
        window = PartWindow()

        async def hold_slot(number):
            async with window.chunk_slot():
                entered.append(number)
                await asyncio.sleep(1)

        tasks = [asyncio.create_task(hold_slot(n)) for n in range(12)]
        await asyncio.sleep(0.5)
        admitted_count = len(entered)
        assert admitted_count < 12
        # A cancelled waiter occupies no slot.
        tasks[admitted_count].cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert entered == [n for n in range(12) if n != admitted_count]

    loop.run(scenario())
