"""One entry's share of the rate limits that targets announce."""

import asyncio
import math

import pytest

from damaskcroft.limits import LimitRegistry, Named, RateLimits, Unnamed


class Entry:
    """The rate limits of one entry, next to other entries by name."""

    def __init__(self, *others):
        self.registry = LimitRegistry()
        self.others = frozenset(others)
        self.limits = RateLimits(
            self.registry, "own", lambda: self.others, self.registry.merge_all
        )

    def announce(self, rate_s, start="t@1"):
        self.limits.record_answer(start, Named(rate_s), 0.0)

    async def sent_in(self, seconds, start="t@1"):
        """Returns how many requests are sent while some always wait."""
        sent = 0
        for _ in range(int(seconds * 50)):
            await asyncio.sleep(0.02)
            if not self.limits.time_to_send_s(start):
                self.limits.consume_token(start)
                sent += 1
        return sent


@pytest.fixture
def entry(loop):
    return Entry()


def test_without_a_limit_no_request_waits(loop, entry):
    async def scenario():
        assert not entry.limits.is_active
        assert entry.limits.time_to_send_s("t@1") == 0.0
        entry.announce(2.0)
        assert entry.limits.time_to_send_s("t@2") == 0.0
        assert not entry.limits.is_deferred("t@2")

    loop.run(scenario())


def test_requests_are_sent_at_the_announced_rate(loop, entry):
    async def scenario():
        entry.announce(2.0)
        # Buckets start empty, so that a restart doesn't cause a burst.
        assert entry.limits.time_to_send_s("t@1") == pytest.approx(0.5)
        assert 38 <= await entry.sent_in(20) <= 40
        await asyncio.sleep(60)
        assert await entry.sent_in(1) <= 3

    loop.run(scenario())


def test_a_changed_rate_applies_from_the_next_request(loop, entry):
    async def scenario():
        entry.announce(20.0)
        await entry.sent_in(5)
        entry.announce(0.5)
        assert await entry.sent_in(10) <= 6

    loop.run(scenario())


def test_one_of_many_entries_has_no_share_of_most_targets(loop):
    async def scenario():
        entry = Entry(*(f"e{n}" for n in range(15)))
        starts = [f"t{n}@1" for n in range(100)]
        for start in starts:
            entry.announce(1.0, start)
        own = [
            s for s in starts if math.isfinite(entry.limits.time_to_send_s(s))
        ]
        assert 5 <= len(own) <= 50
        (other, *_) = set(starts) - set(own)
        assert entry.limits.retry_in_s(other) == 1.0

    loop.run(scenario())


def test_a_request_with_a_slot_from_before_the_limit_needs_a_token(loop, entry):
    async def scenario():
        await asyncio.sleep(1)
        taken_at = asyncio.get_running_loop().time()
        await asyncio.sleep(0.1)
        entry.announce(2.0)
        assert not entry.limits.may_be_dispatched("t@1", taken_at)
        await asyncio.sleep(0.6)
        assert entry.limits.may_be_dispatched("t@1", taken_at)
        assert not entry.limits.may_be_dispatched("t@1", taken_at)
        later = asyncio.get_running_loop().time()
        assert entry.limits.may_be_dispatched("t@1", later)
        assert entry.limits.may_be_dispatched("t@2", taken_at)

    loop.run(scenario())


def test_a_limited_target_is_spared_only_for_the_probe_interval(loop, entry):
    async def scenario():
        entry.announce(2.0)
        assert not entry.limits.is_deferred("t@1")
        entry.limits.consume_token("t@1")
        assert entry.limits.is_deferred("t@1")
        await asyncio.sleep(3)
        assert not entry.limits.is_deferred("t@1")

    loop.run(scenario())


def test_a_limited_target_without_recent_requests_is_due(loop, entry):
    # Guards against a rate limit whose end goes unnoticed, because no request
    # is sent to its target.
    async def scenario():
        assert not entry.limits.is_probe_due("t@1")
        entry.announce(2.0)
        assert entry.limits.is_probe_due("t@1")
        assert not entry.limits.is_probe_due("t@2")
        entry.limits.consume_token("t@1")
        assert not entry.limits.is_probe_due("t@1")
        await asyncio.sleep(3)
        assert entry.limits.is_probe_due("t@1")

    loop.run(scenario())


def test_after_a_limit_the_number_of_requests_rises_step_by_step(loop, entry):
    async def scenario():
        entry.announce(2.0)
        await entry.sent_in(2)
        entry.limits.record_answer("t@1", Unnamed(), 1.0)
        counts = [await entry.sent_in(0.5) for _ in range(4)]
        assert counts[0] <= 2
        assert counts == sorted(counts)

    loop.run(scenario())
