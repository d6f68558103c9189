"""Regions where requests may be served, by route and customer."""

import pytest

from damaskcroft._generated import fleet_pb2
from damaskcroft.fleet import allowed_regions


@pytest.mark.parametrize(
    ("of_route", "of_customer", "allowed"),
    [
        ([], [], None),
        (["r1"], [], {"r1"}),
        ([], ["r2"], {"r2"}),
        (["r1", "r2"], ["r2", "r3"], {"r2"}),
        (["r1"], ["r2"], set()),
    ],
)
def test_regions_of_route_and_customer_both_apply(
    of_route, of_customer, allowed
):
    route = fleet_pb2.Route(allowed_regions=of_route)
    customer = fleet_pb2.Customer(allowed_regions=of_customer)
    assert allowed_regions(route, customer) == allowed


def test_a_public_route_has_its_own_regions_only():
    route = fleet_pb2.Route(allowed_regions=["r1"])
    assert allowed_regions(route, None) == {"r1"}
    assert allowed_regions(fleet_pb2.Route(), None) is None
