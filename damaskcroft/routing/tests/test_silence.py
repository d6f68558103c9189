"""Silence of targets, as distinct from pauses of the entry itself."""

import asyncio

import pytest

from damaskcroft.routing import SilenceWatch

POLL_INTERVAL_S = 0.1


@pytest.fixture
def watch():
    """Returns a watch without targets."""
    return SilenceWatch()


async def poll_for(watch, seconds, sending=()):
    """Polls as often as an entry does; returns the last silent targets."""
    silent = []
    for _ in range(round(seconds / POLL_INTERVAL_S)):
        await asyncio.sleep(POLL_INTERVAL_S)
        for target_id in sending:
            watch.record_data(target_id)
        silent = watch.silent_ids()
    return silent


def test_a_target_with_work_that_sends_nothing_is_silent(loop, watch):
    async def scenario():
        watch.sent("dead")
        watch.sent("alive")
        assert await poll_for(watch, 0.7, ["alive"]) == []
        assert await poll_for(watch, 0.3, ["alive"]) == ["dead"]

    loop.run(scenario())


def test_a_pause_of_the_entry_is_not_silence_of_its_targets(loop, watch):
    """Guards against an entry that ejects all targets after its own suspension.

    Nothing reaches it for 5 s, and the data that targets sent arrives a moment
    after it resumes. At its first poll it took every target with work for
    silent for 5 s, and ended and resent all requests that could run elsewhere,
    because silence was counted over time in which the entry itself didn't poll.
    """

    async def scenario():
        watch.sent("a")
        watch.sent("b")
        assert await poll_for(watch, 0.5, ["a", "b"]) == []
        await asyncio.sleep(5.0)
        assert watch.silent_ids() == []
        assert await poll_for(watch, 0.5, ["a"]) == []
        assert await poll_for(watch, 0.5, ["a"]) == ["b"]

    loop.run(scenario())
