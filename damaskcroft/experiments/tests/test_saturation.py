"""What callers get past saturation, without a network."""

import pytest

from damaskcroft.experiments import (
    POLICIES_BY_NAME,
    FleetShape,
    LoadShape,
    Outcome,
    mean_row,
    play,
    profile,
    saturation_per_s,
)

FLEET = FleetShape()
SEED = 1


@pytest.fixture(scope="module")
def rows_by_load():
    """What the standing policy gives at some loads, one seed."""
    standing = POLICIES_BY_NAME["standing"]
    return {
        times: mean_row("standing", standing, FLEET, times, 1)
        for times in (1.0, 1.3, 2.0)
    }


def test_without_rules_a_third_more_makes_answers_late():
    """The fault that the model has to show: goodput falls past saturation."""
    plain = POLICIES_BY_NAME["plain"]
    full = mean_row("plain", plain, FLEET, 1.0, 1)
    beyond = mean_row("plain", plain, FLEET, 1.3, 1)
    assert full.in_time > 0.75
    assert beyond.in_time_per_s < 0.6 * full.in_time_per_s
    assert beyond.late > beyond.in_time


def test_answers_in_time_do_not_fall_past_saturation(rows_by_load):
    """Before: 162 a second in time at saturation, 39 with a third more."""
    full = rows_by_load[1.0].in_time_per_s
    assert full > 0.8 * saturation_per_s(FLEET, LoadShape())
    for times in (1.3, 2.0):
        assert rows_by_load[times].in_time_per_s > 0.8 * full


def test_little_work_goes_into_late_answers(rows_by_load):
    """Before: five sixths of it."""
    for each in rows_by_load.values():
        assert each.late_work < 1 / 3


def test_callers_are_in_time_soon_after_the_load_has_fallen(rows_by_load):
    for each in rows_by_load.values():
        assert each.after > 0.9


def test_a_light_load_is_served_as_without_rules():
    for name in ("standing", "plain"):
        figures = play(POLICIES_BY_NAME[name], FLEET, profile(0.6), SEED)
        assert figures.share(Outcome.IN_TIME) > 0.99
        assert figures.count(Outcome.REFUSED) == 0


def test_the_same_seed_gives_the_same_play():
    standing = POLICIES_BY_NAME["standing"]
    first, second = (
        play(standing, FLEET, profile(1.1), SEED) for _ in range(2)
    )
    assert first.tries == second.tries
