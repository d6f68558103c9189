"""Engines that are slow at times, shared by many entries.

The load is 22 entries with 45 engines, each 2.5 times slower for 0.15 of the
time. Each entry sends to each engine once in two or three seconds.
"""

import collections
import statistics

import pytest

from damaskcroft.experiments import (
    FleetParameters,
    LoadParameters,
    Outcome,
    simulate,
)
from damaskcroft.experiments._engine import ModelEngine
from damaskcroft.experiments._policies import Standing
from damaskcroft.experiments._simulation import _Simulation
from damaskcroft.routing import Outliers, Placer

FLEET = FleetParameters(entries=22, engines=45, slow_share=0.15)
SEEDS = (1, 2, 3)
REGIONS = 3


class Counted(Standing):
    """Counts requests to other regions, and names the entries.

    Args:
        is_pace_known: whether placers receive the pace that engines report.
    """

    def __init__(self, is_pace_known):
        self._is_pace_known = is_pace_known
        self.crossings = self.sent = 0
        self._named = 0

    def placer(self, domain, rng):
        policy, is_pace_known = self, self._is_pace_known

        class CountingPlacer(Placer):
            def take(self, candidate, prompt_tokens=0, *, is_suspect=False):
                policy.sent += 1
                policy.crossings += candidate.region != domain
                return super().take(
                    candidate, prompt_tokens, is_suspect=is_suspect
                )

            def record_load(self, target_id, requests, pace=1.0):
                known = pace if is_pace_known else 1.0
                super().record_load(target_id, requests, known)

        self._named += 1
        return CountingPlacer(
            domain, domain, Outliers(), rng, name=f"entry-{self._named}"
        )


@pytest.fixture
def at_engines(monkeypatch):
    """Requests at slow engines, and the most at one engine in 0.1 s."""
    counts = collections.Counter()
    arrivals = collections.Counter()
    start_request = ModelEngine.start_request

    def counting(self, prompt_tokens, events):
        run = start_request(self, prompt_tokens, events)
        counts["slow"] += self.pace > 1
        tenth = int(10 * run.first.get_loop().time())
        arrivals[self, tenth] += 1
        counts["herd"] = max(counts["herd"], arrivals[self, tenth])
        return run

    monkeypatch.setattr(ModelEngine, "start_request", counting)
    return counts


def measure(is_pace_known, load_factor, seed, at_engines):
    at_engines.clear()
    policy = Counted(is_pace_known)
    load = LoadParameters(steps=((0.0, load_factor),), ends_s=8.0, skew=1.0)
    results = simulate(policy, FLEET, load, seed).sent_between(2.0, 8.0)
    in_time_by_region = [
        statistics.fmean(
            results.filter_by_entry(number).share(Outcome.IN_TIME)
            for number in range(region, FLEET.entries, REGIONS)
        )
        for region in range(REGIONS)
    ]
    return {
        "late": results.share(Outcome.LATE),
        "refused": results.share(Outcome.REFUSED),
        "slow": at_engines["slow"] / policy.sent,
        "herd": at_engines["herd"],
        "crossings": policy.crossings / policy.sent,
        "fuller_region": in_time_by_region[0],
    }


def paired_means(load_factor, at_engines):
    """Means over the seeds, without and with the pace known."""
    means = []
    for is_pace_known in (False, True):
        rows = [
            measure(is_pace_known, load_factor, seed, at_engines)
            for seed in SEEDS
        ]
        means.append(
            {key: statistics.fmean(row[key] for row in rows) for key in rows[0]}
        )
    return means


def test_fewer_answers_are_late_while_engines_have_room(at_engines):
    without, known = paired_means(0.6, at_engines)
    assert known["late"] < 0.8 * without["late"]
    assert known["slow"] < 0.85 * without["slow"]
    assert known["refused"] <= without["refused"]

    # Entries don't crowd at engines that have just reported the usual pace.
    assert known["herd"] <= without["herd"] + 1


@pytest.mark.parametrize("load_factor", [0.8, 1.0])
def test_callers_of_a_region_with_more_load_are_not_worse_off(
    load_factor, at_engines, monkeypatch
):
    monkeypatch.setattr(
        _Simulation,
        "_weigh_entries",
        lambda self: [
            1.0 if number % REGIONS else 1.5 for number in range(FLEET.entries)
        ],
    )
    without, known = paired_means(load_factor, at_engines)
    assert known["fuller_region"] >= without["fuller_region"]
    assert known["crossings"] <= without["crossings"]
