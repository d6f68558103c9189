"""Tests of the choice between the holders of a chunk."""

import random

import pytest

from damaskcroft.weights._holdings import Holdings, packed
from damaskcroft.weights._peer_selection import PeerSelector
from damaskcroft.weights._planner import Participant, make_planner

CHUNK = 3
ALL = packed([1] * 8)
OWN, NEAR, ALSO_NEAR, FAR = (
    "10.0.0.1:1 10.0.0.2:1 10.0.0.3:1 10.1.0.1:1".split()
)


@pytest.fixture
def holdings():
    return Holdings()


@pytest.fixture
def selector(holdings):
    participants = [
        Participant(address, address, address[:4])
        for address in (OWN, NEAR, ALSO_NEAR, FAR)
    ]
    planner = make_planner("latin", OWN, participants)
    return PeerSelector(planner, holdings, random.Random(1))


def test_request_to_another_domain_moves_to_a_neighbour(selector, holdings):
    holdings.add_report(FAR, ALL, b"")
    with selector.open_request(FAR):
        assert not selector.has_better_source(CHUNK, FAR, ())
        holdings.add_report(NEAR, ALL, b"")
        assert selector.has_better_source(CHUNK, FAR, ())
        assert not selector.has_better_source(CHUNK, FAR, (NEAR,))


def test_request_stays_at_a_neighbour_with_equally_many_requests(
    selector, holdings
):
    """Guards against requests that alternate between two neighbours."""
    holdings.add_report(NEAR, ALL, b"")
    holdings.add_report(ALSO_NEAR, ALL, b"")
    with selector.open_request(NEAR):
        assert not selector.has_better_source(CHUNK, NEAR, ())


def test_request_moves_to_a_neighbour_with_fewer_requests(selector, holdings):
    holdings.add_report(NEAR, ALL, b"")
    holdings.add_report(ALSO_NEAR, ALL, b"")
    with selector.open_request(NEAR), selector.open_request(NEAR):
        assert selector.has_better_source(CHUNK, NEAR, ())
