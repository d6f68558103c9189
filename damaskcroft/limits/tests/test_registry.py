"""The registry of limits, with answers and announcements out of order."""

import asyncio
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from damaskcroft._generated import limits_pb2
from damaskcroft.limits import LimitRegistry, Named, Unnamed, Unreadable
from damaskcroft.standins.virtual_time import VirtualTimeLoop


def announcement(rate_s, revision=1, *, lifted=False, start="t@1"):
    return limits_pb2.NamedLimit(
        start_id=start, rate_s=rate_s, lifted=lifted, revision=revision
    )


@pytest.fixture
def registry():
    return LimitRegistry()


@pytest.fixture
def answered(loop, registry):
    """Returns a function that records an answer and merges its change."""

    def record(header, sent_at=0.0):
        change = registry.change("t@1", header, sent_at)
        return registry.merge_all([change] if change else [])

    return record


def test_an_answer_sets_a_limit_and_a_repetition_changes_nothing(
    loop, registry, answered
):
    async def scenario():
        assert registry.rate_s("t@1") == math.inf
        assert len(answered(Named(2.0))) == 1
        assert answered(Named(2.0)) == []
        assert registry.rate_s("t@1") == 2.0
        assert registry.rate_s("t@2") == math.inf

    loop.run(scenario())


def test_a_lower_limit_counts_at_once_a_higher_one_from_later_requests_only(
    loop, registry, answered
):
    async def scenario():
        await asyncio.sleep(10)
        answered(Named(2.0), sent_at=9.9)
        answered(Named(1.0), sent_at=5.0)
        assert registry.rate_s("t@1") == 1.0
        answered(Named(4.0), sent_at=9.9)
        assert registry.rate_s("t@1") == 1.0
        await asyncio.sleep(1)
        answered(Named(4.0), sent_at=10.5)
        assert registry.rate_s("t@1") == 4.0

    loop.run(scenario())


def test_only_a_later_request_lifts_a_limit(loop, registry, answered):
    async def scenario():
        await asyncio.sleep(10)
        answered(Named(2.0), sent_at=9.0)
        answered(Unnamed(), sent_at=9.5)
        assert registry.rate_s("t@1") == 2.0
        await asyncio.sleep(1)
        answered(Unnamed(), sent_at=10.5)
        assert registry.named() == []

    loop.run(scenario())


def test_an_unreadable_limit_neither_sets_nor_lifts_one(
    loop, registry, answered
):
    async def scenario():
        assert answered(Unreadable("nan")) == []
        assert not registry.is_active
        answered(Named(2.0))
        await asyncio.sleep(1)
        assert answered(Unreadable("inf"), sent_at=1.0) == []
        assert registry.rate_s("t@1") == 2.0

    loop.run(scenario())


def test_after_a_limit_the_rate_rises_step_by_step(loop, registry, answered):
    async def scenario():
        answered(Named(2.0))
        await asyncio.sleep(1)
        answered(Unnamed(), sent_at=1.0)
        rates = []
        while registry.is_active:
            rates.append(registry.rate_s("t@1"))
            await asyncio.sleep(0.5)
            registry.retain_only({"t@1"})
        assert rates[:3] == [2.0, 4.0, 8.0]
        assert registry.rate_s("t@1") == math.inf

    loop.run(scenario())


@given(st.permutations(range(5)))
def test_the_order_of_merges_does_not_matter(order):
    async def scenario():
        all_limits = [
            announcement(2.0, 1),
            announcement(1.0, 2),
            announcement(3.0, 2),
            announcement(3.0, 3, lifted=True),
            announcement(5.0, 3),
        ]
        registry = LimitRegistry()
        registry.merge_all(all_limits[n] for n in order)
        assert registry.rate_s("t@1") == 5.0

    loop = VirtualTimeLoop()
    loop.run(scenario())
    loop.close()


def test_an_outdated_announcement_changes_nothing(loop, registry):
    async def scenario():
        registry.merge_all([announcement(2.0, 3)])
        assert (
            registry.merge_all([announcement(9.0, 2), announcement(2.0, 3)])
            == []
        )

    loop.run(scenario())


def test_limits_of_targets_that_are_gone_are_dropped(loop, registry):
    async def scenario():
        registry.merge_all(
            [announcement(2.0, start="a"), announcement(2.0, start="b")]
        )
        registry.retain_only({"a"})
        # The announcement of the target may arrive later than its limit.
        assert registry.rate_s("b") == 2.0
        await asyncio.sleep(120)
        registry.retain_only({"a"})
        assert [each.start_id for each in registry.snapshot()] == ["a"]

    loop.run(scenario())
