"""The gaps between events of streams, which show a target's pace."""

import asyncio

import pytest
from prometheus_client import REGISTRY

from damaskcroft.forwarding.tests.fakes import (
    FakeTarget,
    configuration,
    route,
    running_entry,
)

STREAM = configuration(1, route(streaming=True, resumable=True))


async def record_gaps(target, send):
    """Returns the gaps that the placer hears of while `send` runs."""
    gaps = []
    async with running_entry(target, config=STREAM) as entry:
        entry.placer.record_gap = lambda *gap: gaps.append(gap)
        await send(entry)
    return gaps


def test_gaps_between_events_are_recorded_for_their_target():
    async def scenario():
        target = FakeTarget("a", "stream_slowly")
        gaps = await record_gaps(target, lambda entry: entry.send_request())
        assert {(service, id_) for service, id_, _ in gaps} == {("s", "a")}
        assert len(gaps) >= 5
        assert all(0.15 < gap_s < 1.0 for _, _, gap_s in gaps[:5])

    asyncio.run(scenario())


def test_the_wait_for_a_first_event_is_no_gap():
    # Guards against targets that seem slow since prompts queue there.
    async def scenario():
        target = FakeTarget("a", "stream_after_a_pause")
        gaps = await record_gaps(target, lambda entry: entry.send_request())
        assert all(gap_s < 0.5 for _, _, gap_s in gaps)

    asyncio.run(scenario())


@pytest.mark.parametrize("pace", [1.0, 2.5])
def test_requests_at_slow_targets_are_counted(pace):
    def count():
        return REGISTRY.get_sample_value(
            "damask_requests_at_slow_targets_total"
        )

    async def scenario():
        async with running_entry(
            FakeTarget("a", "stream"), config=STREAM
        ) as entry:
            before = count()
            entry.placer.record_load("a", 0, pace)
            await entry.send_request()
            assert count() - before == (pace > 1)

    asyncio.run(scenario())
