"""Lookup of routes by host and path, and of customers by key."""

from damaskcroft._generated import fleet_pb2

__all__ = ["RouteTable", "mark_interruptible"]


class RouteTable:
    """One configuration, indexed for the lookup of requests.

    Each configuration gets a new table, which never changes, so that a request
    is handled under one version from start to end.
    """

    __slots__ = (
        "_customers_by_key",
        "_lengths_by_host",
        "_routes_by_host",
        "keys_required",
        "limits",
        "services_by_name",
        "version",
    )

    def __init__(self, configuration: fleet_pb2.Configuration):
        """Indexes a valid configuration."""
        self.version = configuration.version
        self.limits = configuration.limits
        self.keys_required = configuration.keys_required
        self.services_by_name = {s.name: s for s in configuration.services}
        self._customers_by_key = {
            key: customer
            for customer in configuration.customers
            for key in customer.keys
        }
        # Of each host by prefix, of which there may be thousands.
        self._routes_by_host: dict[str, dict[str, fleet_pb2.Route]] = {}
        for route in configuration.routes:
            routes = self._routes_by_host.setdefault(route.host, {})
            routes.setdefault(route.path_prefix, route)
        # The longest first, so that the first match is the answer.
        self._lengths_by_host = {
            host: sorted({len(prefix) for prefix in routes}, reverse=True)
            for host, routes in self._routes_by_host.items()
        }

    def route(self, host: str, path: str) -> fleet_pb2.Route | None:
        """The route with the longest prefix of the path.

        Args:
            host: host as sent by the caller, possibly with a port.
            path: path without the query.
        """
        name = host.lower()
        if name not in self._routes_by_host:
            name = name.rpartition(":")[0]
        routes = self._routes_by_host.get(name, {})
        for length in self._lengths_by_host.get(name, ()):
            route = routes.get(path[:length])
            if route is not None:
                return route
        return None

    def customer(self, key: str) -> fleet_pb2.Customer | None:
        """The customer to whom a key belongs."""
        return self._customers_by_key.get(key)


def mark_interruptible(configuration: fleet_pb2.Configuration) -> None:
    """Marks services whose requests can be interrupted and continued elsewhere.

    Every route to the service must be idempotent or resumable, and must allow a
    second attempt.
    """
    uninterruptible = {
        share.service
        for route in configuration.routes
        if not (route.idempotent or route.resumable) or route.max_attempts < 2
        for share in route.shares
    }
    for service in configuration.services:
        service.interruptible = service.name not in uninterruptible
