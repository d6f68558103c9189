"""Choice of the version to fetch first; a whole version takes three seconds."""

import math

import pytest

from damaskcroft.agent._version_order import CandidateVersion, version_to_fetch

WHOLE = 3000
RATE = 1000.0


@pytest.mark.parametrize(
    ("older_missing", "older_ends_in_s", "served_ends_in_s", "first"),
    [
        # The newest is complete in time.
        (300, 10.0, 7.0, 3),
        # The older one is almost complete and fills the gap.
        (300, 5.0, 2.0, 2),
        # The same if no version is in service any more.
        (300, 5.0, -1.0, 2),
        # The older one would expire as soon as it serves.
        (300, 1.0, -1.0, 3),
        # The older one is missing as many bytes as the newest.
        (WHOLE, 6.0, 0.0, 3),
        # The older one is complete and only has to be loaded.
        (0, 3.0, 0.5, 2),
    ],
)
def test_older_version_comes_first_only_if_it_shortens_the_gap(
    older_missing, older_ends_in_s, served_ends_in_s, first
):
    candidates = [
        CandidateVersion(2, older_missing, older_ends_in_s),
        CandidateVersion(3, WHOLE),
    ]
    assert version_to_fetch(candidates, served_ends_in_s, RATE) == first


def test_single_candidate_is_always_fetched():
    assert version_to_fetch([CandidateVersion(3, WHOLE)], -math.inf, RATE) == 3


def test_of_several_older_versions_the_soonest_to_serve_is_fetched():
    candidates = [
        CandidateVersion(2, 2000, 4.0),
        CandidateVersion(3, 200, 6.0),
        CandidateVersion(4, WHOLE),
    ]
    assert version_to_fetch(candidates, 0.0, RATE) == 3
