"""Semantic validation of configurations."""

from collections.abc import Iterator

from damaskcroft._generated import fleet_pb2

__all__ = ["configuration_faults"]


def configuration_faults(
    configuration: fleet_pb2.Configuration,
) -> Iterator[str]:
    """Describes the faults of a configuration; yields none if it is valid."""
    if configuration.version < 1:
        yield "the version is below 1"
    yield from _route_faults(configuration)
    yield from _key_faults(configuration)


def _route_faults(configuration: fleet_pb2.Configuration) -> Iterator[str]:
    services = {service.name for service in configuration.services}
    locations: set[tuple[str, str]] = set()
    for route in configuration.routes:
        location = (route.host, route.path_prefix)
        if location in locations:
            yield f"route {route.name}: another has its host and prefix"
        locations.add(location)
        if route.timeout_ms <= 0:
            yield f"route {route.name}: no time"
        if not route.path_prefix.startswith("/"):
            yield f"route {route.name}: its prefix begins with no slash"
        for share in route.shares:
            if share.service not in services:
                yield f"route {route.name}: unknown service {share.service}"
        if any(share.weight < 0 for share in route.shares):
            yield f"route {route.name}: a weight is negative"
        if sum(share.weight for share in route.shares) <= 0:
            yield f"route {route.name}: no service has a weight"


def _key_faults(configuration: fleet_pb2.Configuration) -> Iterator[str]:
    owner_by_key: dict[str, str] = {}
    for customer in configuration.customers:
        for key in customer.keys:
            owner = owner_by_key.setdefault(key, customer.name)
            if owner != customer.name:
                yield f"customers {owner} and {customer.name} share a key"
