"""Helpers for tests with targets that become silent."""

import asyncio

from damaskcroft.forwarding.tests.fakes import (
    EVENTS,
    configuration,
    event_ids,
    route,
    unchunked,
)

ALL_EVENT_IDS = list(range(1, EVENTS + 1))


def config(max_attempts=2, **fields):
    return configuration(
        1, route(timeout_ms=8000, max_attempts=max_attempts, **fields)
    )


def stream_config(max_attempts=2):
    return config(max_attempts, streaming=True, resumable=True)


async def send_request(entry, first, deadline="4", **headers):
    """Sends a request that reaches the target `first` before the others."""
    others = [c for c in entry.candidates() if c.id != first.name]
    held = [entry.placer.take(c) for c in others]
    before = len(first.heads)
    asking = asyncio.create_task(
        entry.send_request(x_deadline=deadline, **headers)
    )
    async with asyncio.timeout(10):
        while len(first.heads) == before and not asking.done():
            await asyncio.sleep(0.01)
    for slot in held:
        slot.give_back()
    return await asking


def assert_complete_stream(answer):
    status, _, body = answer
    payload, complete = unchunked(body)
    assert (status, event_ids(payload), complete) == (200, ALL_EVENT_IDS, True)
