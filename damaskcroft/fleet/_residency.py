"""Data residency: the regions where a request may be served.

Routes and customers may each name regions. Where both do, both apply, and a
request for which they have none in common may be served nowhere.
"""

from damaskcroft._generated import fleet_pb2

__all__ = ["allowed_regions"]


def allowed_regions(
    route: fleet_pb2.Route, customer: fleet_pb2.Customer | None
) -> frozenset[str] | None:
    """Returns the regions that a route and a customer both allow.

    Args:
        route: route of the request.
        customer: customer of the request; None on public routes.

    Returns:
        The regions, possibly none; None if neither names any.
    """
    of_route = frozenset(route.allowed_regions)
    of_customer = frozenset(customer.allowed_regions if customer else ())
    if of_route and of_customer:
        return of_route & of_customer
    return of_route or of_customer or None
