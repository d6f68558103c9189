"""How a limit is split among entries, and that no burst comes of it."""

import pytest

from damaskcroft.limits import sending_share
from damaskcroft.limits.tests.plays import allowed, demand_of, played


@pytest.mark.parametrize("entries", [1, 2, 4, 15, 350])
@pytest.mark.parametrize("rate_s", [0.3, 0.5, 1, 1.8, 5, 40])
def test_shares_add_up_to_the_limit(entries, rate_s):
    names = [f"e{n}" for n in range(entries)]
    shares = [sending_share("t@1", rate_s, name, names) for name in names]
    assert sum(shares) == pytest.approx(rate_s)


def test_a_limit_of_nothing_leaves_one_entry_that_tries_seldom():
    names = [f"e{n}" for n in range(15)]
    shares = [sending_share("t@1", 0, name, names) for name in names]
    assert sorted(shares, reverse=True)[:2] == [0.25, 0.0]


def test_an_entry_more_changes_few_shares():
    names = [f"e{n}" for n in range(15)]
    more = [*names, "added"]
    starts = [f"t{n}@1" for n in range(50)]
    moved = sum(
        bool(sending_share(start, 1, name, names))
        != bool(sending_share(start, 1, name, more))
        for start in starts
        for name in names
    )
    # One of sixteen entries takes its part of 50 targets with four senders.
    assert moved <= 2 * 50 * 4 / 16


@pytest.mark.parametrize(
    ("entries", "skew"), [(4, 0), (15, 0), (15, 1.5), (350, 0)]
)
@pytest.mark.parametrize("rate_s", [0.5, 1, 5, 40])
def test_targets_get_no_more_than_they_named_and_about_as_much(
    entries, skew, rate_s
):
    play = played(sending_share, rate_s, demand_of(entries, skew))
    assert play.most <= allowed(rate_s)
    assert play.used > 0.5
