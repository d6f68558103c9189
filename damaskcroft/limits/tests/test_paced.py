"""What one entry may send to targets that named limits."""

import asyncio
import math

import pytest

from damaskcroft.limits import LimitBook, Named, RateLimits, Unnamed


class Entry:
    """The limits of one entry, beside others by name."""

    def __init__(self, *others):
        self.book = LimitBook()
        self.others = frozenset(others)
        self.limits = RateLimits(
            self.book, "own", lambda: self.others, self.book.take_all
        )

    def name(self, rate_s, start="t@1"):
        self.limits.answered(start, Named(rate_s), 0.0)

    async def sent_in(self, seconds, start="t@1"):
        """How many requests leave while there are always some."""
        sent = 0
        for _ in range(int(seconds * 50)):
            await asyncio.sleep(0.02)
            if not self.limits.waits_s(start):
                self.limits.sending(start)
                sent += 1
        return sent


@pytest.fixture
def entry(loop):
    return Entry()


def test_without_a_limit_nothing_waits(loop, entry):
    async def scenario():
        assert not entry.limits.is_any
        assert entry.limits.waits_s("t@1") == 0.0
        entry.name(2.0)
        assert entry.limits.waits_s("t@2") == 0.0
        assert not entry.limits.is_spared("t@2")

    loop.run(scenario())


def test_requests_leave_at_the_rate_that_was_named(loop, entry):
    async def scenario():
        entry.name(2.0)
        # Nobody begins with a token, so that no restart brings a burst.
        assert entry.limits.waits_s("t@1") == pytest.approx(0.5)
        assert 38 <= await entry.sent_in(20) <= 40
        await asyncio.sleep(60)
        assert await entry.sent_in(1) <= 3

    loop.run(scenario())


def test_another_rate_holds_from_the_next_request_on(loop, entry):
    async def scenario():
        entry.name(20.0)
        await entry.sent_in(5)
        entry.name(0.5)
        assert await entry.sent_in(10) <= 6

    loop.run(scenario())


def test_one_of_many_entries_leaves_most_targets_to_the_others(loop):
    async def scenario():
        entry = Entry(*(f"e{n}" for n in range(15)))
        starts = [f"t{n}@1" for n in range(100)]
        for start in starts:
            entry.name(1.0, start)
        mine = [s for s in starts if math.isfinite(entry.limits.waits_s(s))]
        assert 5 <= len(mine) <= 50
        (other, *_) = set(starts) - set(mine)
        assert entry.limits.returns_s(other) == 1.0

    loop.run(scenario())


def test_a_request_that_took_its_place_before_the_limit_needs_a_token(
    loop, entry
):
    async def scenario():
        await asyncio.sleep(1)
        taken_at = asyncio.get_running_loop().time()
        await asyncio.sleep(0.1)
        entry.name(2.0)
        assert not entry.limits.may_still_be_sent("t@1", taken_at)
        await asyncio.sleep(0.6)
        assert entry.limits.may_still_be_sent("t@1", taken_at)
        assert not entry.limits.may_still_be_sent("t@1", taken_at)
        later = asyncio.get_running_loop().time()
        assert entry.limits.may_still_be_sent("t@1", later)
        assert entry.limits.may_still_be_sent("t@2", taken_at)

    loop.run(scenario())


def test_a_limited_target_is_spared_but_tried_from_time_to_time(loop, entry):
    async def scenario():
        entry.name(2.0)
        assert not entry.limits.is_spared("t@1")
        entry.limits.sending("t@1")
        assert entry.limits.is_spared("t@1")
        await asyncio.sleep(3)
        assert not entry.limits.is_spared("t@1")

    loop.run(scenario())


def test_a_limited_target_that_was_left_alone_is_due(loop, entry):
    # Against a limit whose end nobody hears of, as its target is never tried.
    async def scenario():
        assert not entry.limits.is_due("t@1")
        entry.name(2.0)
        assert entry.limits.is_due("t@1")
        assert not entry.limits.is_due("t@2")
        entry.limits.sending("t@1")
        assert not entry.limits.is_due("t@1")
        await asyncio.sleep(3)
        assert entry.limits.is_due("t@1")

    loop.run(scenario())


def test_when_a_limit_ends_requests_come_back_step_by_step(loop, entry):
    async def scenario():
        entry.name(2.0)
        await entry.sent_in(2)
        entry.limits.answered("t@1", Unnamed(), 1.0)
        counts = [await entry.sent_in(0.5) for _ in range(4)]
        assert counts[0] <= 2
        assert counts == sorted(counts)

    loop.run(scenario())
