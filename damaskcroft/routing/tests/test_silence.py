"""Whose silence it was."""

import asyncio

import pytest

from damaskcroft.routing import SilenceWatch

LOOK_EVERY_S = 0.1


@pytest.fixture
def watch():
    """A watch that knows of no target yet."""
    return SilenceWatch()


async def look_for(watch, seconds, talking=()):
    """Looks as often as an entry does; tells who was silent at the end."""
    silent = []
    for _ in range(round(seconds / LOOK_EVERY_S)):
        await asyncio.sleep(LOOK_EVERY_S)
        for target_id in talking:
            watch.heard(target_id)
        silent = watch.silent_ids()
    return silent


def test_a_target_with_work_that_says_nothing_is_silent(loop, watch):
    async def scenario():
        watch.sent("dead")
        watch.sent("alive")
        assert await look_for(watch, 0.7, ["alive"]) == []
        assert await look_for(watch, 0.3, ["alive"]) == ["dead"]

    loop.run(scenario())


def test_an_entrys_own_pause_is_no_silence_of_its_targets(loop, watch):
    """An entry that had been suspended put all its targets aside.

    Nothing could reach it for 5 s, and what targets had sent came again a
    moment after it was back. At its first look it held every target with work
    to have been silent for 5 s, ended all that might go on elsewhere, and
    sent it anew. Evidence: silence was counted over time in which the entry
    itself didn't look.
    """

    async def scenario():
        watch.sent("a")
        watch.sent("b")
        assert await look_for(watch, 0.5, ["a", "b"]) == []
        await asyncio.sleep(5.0)
        assert watch.silent_ids() == []
        assert await look_for(watch, 0.5, ["a"]) == []
        assert await look_for(watch, 0.5, ["a"]) == ["b"]

    loop.run(scenario())
