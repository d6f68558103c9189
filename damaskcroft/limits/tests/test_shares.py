"""Split of a limit among entries, without bursts in the sum."""

import pytest

from damaskcroft.limits import sending_share
from damaskcroft.limits.tests.simulation import (
    allowed_requests,
    demand_of,
    simulate,
)


@pytest.mark.parametrize("entries", [1, 2, 4, 15, 350])
@pytest.mark.parametrize("rate_s", [0.3, 0.5, 1, 1.8, 5, 40])
def test_shares_add_up_to_the_limit(entries, rate_s):
    names = [f"e{n}" for n in range(entries)]
    shares = [sending_share("t@1", rate_s, name, names) for name in names]
    assert sum(shares) == pytest.approx(rate_s)


def test_with_a_limit_of_zero_one_entry_sends_at_the_minimum_rate():
    names = [f"e{n}" for n in range(15)]
    shares = [sending_share("t@1", 0, name, names) for name in names]
    assert sorted(shares, reverse=True)[:2] == [0.25, 0.0]


def test_an_additional_entry_changes_few_shares():
    names = [f"e{n}" for n in range(15)]
    with_added = [*names, "added"]
    starts = [f"t{n}@1" for n in range(50)]
    changed_shares = sum(
        bool(sending_share(start, 1, name, names))
        != bool(sending_share(start, 1, name, with_added))
        for start in starts
        for name in names
    )
    # One of sixteen entries takes its share of 50 targets with four senders.
    assert changed_shares <= 2 * 50 * 4 / 16


@pytest.mark.parametrize(
    ("entries", "skew"), [(4, 0), (15, 0), (15, 1.5), (350, 0)]
)
@pytest.mark.parametrize("rate_s", [0.5, 1, 5, 40])
def test_requests_stay_within_the_bound_and_use_over_half_of_the_limit(
    entries, skew, rate_s
):
    result = simulate(sending_share, rate_s, demand_of(entries, skew))
    assert result.max_requests <= allowed_requests(rate_s)
    assert result.used_share > 0.5
