"""What callers get while load rises past what the engines bear.

Many entries share the engines, and each hears of an engine's load only now and
then. The most urgent kind has the shortest latency objective.
"""

import dataclasses

import pytest

from damaskcroft.experiments import (
    POLICIES_BY_NAME,
    EngineParameters,
    FleetParameters,
    LoadParameters,
    Outcome,
    RequestKind,
    simulate,
)

KINDS = (
    RequestKind("review", 0.33, 1330.0, 21.0, 0, 0.4),
    RequestKind("reply", 0.39, 827.0, 21.0, 1, 0.4),
    RequestKind("summary", 0.28, 647.0, 10.0, 2, 0.8),
)
# The least urgent kind alone is asked for 2.4 times as often.
BURST_KINDS = (*KINDS[:2], dataclasses.replace(KINDS[2], weight=0.28 * 2.4))
RISES_AT_S, ENDS_AT_S = 2.0, 6.0
LIGHT_LOAD = 0.55
SLOW_SHARE = 0.15
# No kind may be served less often than this part of the mean of all.
MIN_KIND_SHARE = 0.25
MAX_LATE = 0.1


def simulate_rise(load_factor, slow_share=0.0, kinds=KINDS):
    """Returns what was sent while the load was at `load_factor`."""
    fleet = FleetParameters(
        entries=11, engines=26, engine=EngineParameters(slow_share=slow_share)
    )
    load = LoadParameters(
        kinds=kinds,
        steps=((0.0, LIGHT_LOAD), (RISES_AT_S, load_factor)),
        ends_s=ENDS_AT_S,
    )
    results = simulate(POLICIES_BY_NAME["standing"], fleet, load, 1)
    return results.sent_between(RISES_AT_S, ENDS_AT_S)


@pytest.fixture(name="rise", scope="module")
def fixture_rise():
    """A load of 1.35 times saturation, at once at all entries."""
    return simulate_rise(1.35)


def count_callers(results):
    return sum(not attempt.is_retry for attempt in results.attempts)


def served_share(results, kind):
    of_kind = results.filter_by_kind(kind)
    return of_kind.count(Outcome.IN_TIME) / count_callers(of_kind)


def test_few_answers_are_late_while_load_rises_past_saturation(rise):
    assert rise.count(Outcome.LATE) < MAX_LATE * count_callers(rise)


def test_slow_engines_do_not_make_many_answers_late_past_saturation():
    rise = simulate_rise(1.35, SLOW_SHARE)
    assert rise.count(Outcome.LATE) < MAX_LATE * count_callers(rise)


def test_the_most_urgent_kind_is_served_best(rise):
    shares = [served_share(rise, kind.name) for kind in KINDS]
    assert shares[0] == max(shares)


def test_no_kind_is_starved(rise):
    mean = rise.count(Outcome.IN_TIME) / count_callers(rise)
    for kind in KINDS:
        assert served_share(rise, kind.name) > MIN_KIND_SHARE * mean


def test_a_burst_of_the_least_urgent_kind_does_not_crowd_out_others():
    burst = simulate_rise(1.35, kinds=BURST_KINDS)
    shares = [served_share(burst, kind.name) for kind in KINDS]
    mean = burst.count(Outcome.IN_TIME) / count_callers(burst)
    assert shares[0] == max(shares)
    assert min(shares) > MIN_KIND_SHARE * mean
    assert burst.count(Outcome.LATE) < MAX_LATE * count_callers(burst)


def test_no_request_is_refused_below_saturation():
    results = simulate_rise(0.85)
    assert results.count(Outcome.REFUSED) == 0
    assert results.share(Outcome.IN_TIME) > 0.97
