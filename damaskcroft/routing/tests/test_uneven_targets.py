"""Placement where targets report how long work takes there now."""

import collections
import random

import pytest
from prometheus_client import REGISTRY

from damaskcroft.routing import Candidate, Outliers, Placer
from damaskcroft.routing._target_subsets import TargetSubsets


def candidate(name, region="r", prompt_tokens_s=0.0):
    return Candidate(name, f"x:{name}", "d", region, 10, prompt_tokens_s)


@pytest.fixture
def placer():
    """A placer that prefers no targets."""
    return Placer("d", "r", Outliers(), random.Random(1))


def test_a_slow_target_comes_after_fuller_ones_but_is_not_refused(loop, placer):
    async def scenario():
        slow, fuller = candidate("slow"), candidate("fuller")
        placer.record_load("slow", 2, 2.5)
        placer.record_load("fuller", 7)
        assert placer.choose([slow, fuller], ()).candidate is fuller
        placer.record_load("fuller", 10)
        chosen = placer.choose([slow, fuller], ())
        assert chosen.candidate is slow
        assert chosen.has_room

    loop.run(scenario())


def test_unread_prompts_are_bounded_by_the_time_to_read_them(loop, placer):
    """0.12 s of reading are 3600 tokens as usual, 1440 at a pace of 2.5."""

    async def scenario():
        target = candidate("a", prompt_tokens_s=30_000.0)
        placer.take(target, 1000)
        assert placer.choose([target], (), 1000).has_room
        placer.record_load("a", 1, 2.5)
        assert not placer.choose([target], (), 1000).has_room
        assert placer.choose([target], (), 400).has_room

    loop.run(scenario())


def test_placing_is_as_before_while_no_target_reports_another_pace(loop):
    async def scenario():
        targets = [candidate(f"t{n}", f"r{n % 3}") for n in range(30)]
        choices = []
        for name in ("", "entry-1"):
            placer = Placer("d", "r0", Outliers(), random.Random(1), name=name)
            loads = random.Random(2)
            for _ in range(200):
                target = placer.choose(targets, ()).candidate
                placer.take(target)
                placer.record_load(target.id, loads.randrange(10))
                placer.record_gap("s", target.id, loads.random())
                choices.append(target.id)
        assert choices[:200] == choices[200:]

    loop.run(scenario())


def test_a_preferred_target_is_chosen_until_it_is_much_fuller(loop):
    async def scenario():
        placer = Placer("d", "r", Outliers(), random.Random(1), name="e")
        targets = [candidate(f"t{n}") for n in range(20)]
        subset = TargetSubsets("e").preferred([each.id for each in targets])
        placer.record_load("far", 1, 2.5)
        for target in targets:
            placer.record_load(target.id, 2 if target.id in subset else 1)
        assert placer.choose(targets, ()).candidate.id in subset
        for target_id in subset:
            placer.record_load(target_id, 4)
        assert placer.choose(targets, ()).candidate.id not in subset

    loop.run(scenario())


def test_preferences_of_entries_spread_over_the_targets():
    ids = [f"i-t{n}@17963063751{n:02}" for n in range(15)]
    entries_by_target = collections.Counter(
        target_id
        for entry in range(12)
        for target_id in TargetSubsets(f"entry-{entry}").preferred(ids)
    )
    assert min(entries_by_target[target_id] for target_id in ids) >= 2
    assert max(entries_by_target.values()) <= 2 * 12 * 8 / 15


def test_the_end_of_a_target_changes_at_most_one_preference():
    ids = [f"t{n}" for n in range(30)]
    subsets = TargetSubsets("e")
    before = subsets.preferred(ids)
    for gone in ids:
        after = subsets.preferred([each for each in ids if each != gone])
        assert len(before - after) == (gone in before)


def test_requests_to_other_regions_are_counted(loop, placer):
    def count():
        return REGISTRY.get_sample_value("damask_requests_across_regions_total")

    async def scenario():
        before = count()
        placer.take(candidate("near"))
        assert count() == before
        placer.take(candidate("far", "another"))
        assert count() == before + 1

    loop.run(scenario())
