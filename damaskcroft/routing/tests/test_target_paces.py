"""What an entry knows of the pace of targets."""

import asyncio

import pytest
from prometheus_client import REGISTRY

from damaskcroft.routing._target_paces import TargetPaces

# An engine writes an event in this time.
USUAL_GAP_S = 0.05


@pytest.fixture
def paces():
    """Paces of targets that report them, all as usual."""
    paces = TargetPaces()
    paces.record_report("another", 1.1)
    return paces


def pace(paces, target_id):
    return paces.pace(target_id, asyncio.get_running_loop().time())


async def stream(paces, target_id, gaps_s):
    for gap_s in gaps_s:
        await asyncio.sleep(gap_s)
        paces.record_gap("s", target_id, gap_s)


def test_a_slow_report_fades_within_a_second(loop, paces):
    async def scenario():
        paces.record_report("a", 2.5)
        assert pace(paces, "a") == 2.5
        await asyncio.sleep(0.5)
        assert pace(paces, "a") == 1.75
        await asyncio.sleep(1.5)
        assert pace(paces, "a") < 1.1
        assert not paces.is_slow("a")

    loop.run(scenario())


def test_what_has_been_slow_for_long_is_believed_for_longer(loop, paces):
    async def scenario():
        for _ in range(3):
            paces.record_report("a", 2.5)
            await asyncio.sleep(1.0)
        assert pace(paces, "a") > 1.9
        paces.record_report("a", 1.0)
        assert pace(paces, "a") == 1.0

    loop.run(scenario())


def test_an_absurd_report_is_bounded(loop, paces):
    async def scenario():
        paces.record_report("a", 1e9)
        assert pace(paces, "a") == 4.0

    loop.run(scenario())


def test_gaps_are_ignored_where_no_target_reports_its_pace(loop):
    async def scenario():
        paces = TargetPaces()
        paces.record_report("a", 1.0)
        await stream(paces, "a", [USUAL_GAP_S] * 9 + [9 * USUAL_GAP_S] * 9)
        assert not paces.is_active
        assert pace(paces, "a") == 1.0

    loop.run(scenario())


def test_gaps_show_a_target_that_has_become_slow_and_usual_again(loop, paces):
    async def scenario():
        await stream(paces, "b", [USUAL_GAP_S] * 40)
        await stream(paces, "a", [2.5 * USUAL_GAP_S] * 2)
        assert pace(paces, "a") > 2
        await stream(paces, "a", [USUAL_GAP_S])
        assert pace(paces, "a") == 1.0

    loop.run(scenario())


def test_a_prompt_read_between_two_events_does_not_count_as_slow(loop, paces):
    async def scenario():
        await stream(paces, "a", [USUAL_GAP_S] * 40)
        for _ in range(3):
            await stream(paces, "a", [3 * USUAL_GAP_S, USUAL_GAP_S])
            assert pace(paces, "a") == 1.0

    loop.run(scenario())


def test_events_of_several_answers_in_one_pass_count_once(loop, paces):
    async def scenario():
        await stream(paces, "a", [USUAL_GAP_S] * 40)
        await asyncio.sleep(3 * USUAL_GAP_S)
        for _ in range(5):
            paces.record_gap("s", "a", 3 * USUAL_GAP_S)
        assert pace(paces, "a") == 1.0

    loop.run(scenario())


def test_a_target_that_stays_slow_is_counted_once(loop, paces):
    def count():
        return REGISTRY.get_sample_value("damask_targets_slow_for_long_total")

    async def scenario():
        before = count()
        for _ in range(10):
            paces.record_report("a", 2.5)
            await asyncio.sleep(1.0)
        assert count() == before + 1

    loop.run(scenario())
