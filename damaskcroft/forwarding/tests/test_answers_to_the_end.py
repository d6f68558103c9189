"""A request that was read gets its answer, whatever its targets do."""

import asyncio

import pytest

from damaskcroft.forwarding.tests.fakes import (
    EVENTS,
    FakeTarget,
    configuration,
    entry_before,
    event_ids,
    route,
    unchunked,
)


class RefusingTarget(FakeTarget):
    """Refuses in the other ways that promise that nothing ran."""

    async def misses_with_429(self, head, reader, writer):
        writer.write(
            b"HTTP/1.1 429 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        )
        return True

    async def misdirects(self, head, reader, writer):
        writer.write(
            b"HTTP/1.1 421 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        )
        return True


def three(*modes):
    """Three targets that behave as told, whichever is asked first."""
    targets = [RefusingTarget(name, "stream") for name in "abc"]
    shared = list(modes)
    for target in targets:
        target.modes = shared
    return targets


@pytest.mark.parametrize(
    "mode",
    [
        "fails",
        "unsealed",
        "not_run",
        "misses_with_429",
        "misdirects",
        "rests",
        "silent_close",
        "cut_body",
        "dies",
        "leaves_and_fails",
    ],
)
def test_a_stream_goes_on_past_a_second_target_that_fails(mode):
    # Against a stream that is broken off with attempts, targets and time left.
    async def scenario():
        targets = three("stream_cut", mode, "stream")
        stream = configuration(
            1, route(streaming=True, resumable=True, max_attempts=3)
        )
        async with entry_before(*targets, config=stream) as entry:
            status, _, body = await entry.ask()
            payload, complete = unchunked(body)
            assert (status, complete) == (200, True)
            assert event_ids(payload) == list(range(1, EVENTS + 1))

    asyncio.run(scenario())


@pytest.mark.parametrize("mode", ["fails", "unsealed", "not_run", "rests"])
def test_a_failing_last_target_ends_a_stream_at_once(mode):
    # With no attempt left nothing better can come.
    async def scenario():
        targets = three("stream_cut", mode)
        stream = configuration(
            1, route(streaming=True, resumable=True, max_attempts=2)
        )
        async with entry_before(*targets, config=stream) as entry:
            status, _, body = await entry.ask()
            payload, complete = unchunked(body)
            assert (status, complete) == (200, False)
            assert event_ids(payload) == [1, 2, 3]

    asyncio.run(scenario())
