"""Source of what is known of cold targets: the view and the configuration."""

import math
import time

from damaskcroft._generated import fleet_pb2
from damaskcroft.fleet import FleetView, RouteTable, start_id
from damaskcroft.limits import ColdTargets, Senders

__all__ = ["follow_cold_targets"]

_MS_IN_S = 1000


class _ColdBounds:
    """Requests that a cold target of each service bears in any second."""

    __slots__ = ("_bounds_by_service", "_extra", "_ratio", "_table", "_view")

    def __init__(self, view: FleetView, ratio: float, extra: float):
        self._view = view
        self._ratio = ratio
        self._extra = extra
        self._table: RouteTable | None = None
        self._bounds_by_service: dict[str, float] = {}

    def by_service(self) -> dict[str, float]:
        """The bounds of the configuration in force; others have none."""
        table = self._view.route_table
        if table is not self._table:
            self._table = table
            services = table.services_by_name.values() if table else ()
            self._bounds_by_service = {
                service.name: self._bound(service.cold_requests_s)
                for service in services
                if service.cold_requests_s
            }
        return self._bounds_by_service

    def _bound(self, requests_s: float) -> float:
        """No requests if a number is not valid: the target is warm soon."""
        bound = requests_s * self._ratio + self._extra
        is_valid = math.isfinite(bound) and min(requests_s, bound) > 0
        return bound if is_valid else 0.0


def follow_cold_targets(
    view: FleetView,
    own_name: str,
    cold_ratio: float,
    cold_extra: float,
    announce_every_s: float,
) -> ColdTargets:
    """Returns limits on requests to cold targets that follow a view.

    Args:
        view: the entry's view of the fleet; without targets as yet.
        own_name: name of this entry.
        cold_ratio: requests that a cold target may get in a second, for each
            that it bears.
        cold_extra: requests that it may get beyond that.
        announce_every_s: interval of targets' announcements.
    """
    cold_targets = ColdTargets(
        Senders(own_name, view.entry_names.names, view.hears_majority),
        _ColdBounds(view, cold_ratio, cold_extra).by_service,
        lambda: view.evacuations.evacuated_domains,
        # One announcement may be lost.
        2 * announce_every_s,
    )

    def record_targets(update: fleet_pb2.FleetUpdate) -> None:
        for state in update.targets:
            if state.phase != fleet_pb2.TARGET_GONE:
                cold_targets.record_report(
                    start_id(state),
                    state.service,
                    state.failure_domain,
                    state.warming_ms / _MS_IN_S,
                    _cold_after_start_s(view, state),
                )

    view.add_listener(record_targets)
    return cold_targets


def _cold_after_start_s(view: FleetView, state: fleet_pb2.TargetState) -> float:
    """How long a target is still cold by the time of its start.

    The clocks of machines may differ: it is at most the whole time.
    """
    table = view.route_table
    service = table.services_by_name.get(state.service) if table else None
    if service is None or not state.born_ms:
        return 0.0
    age_s = time.time() - state.born_ms / _MS_IN_S
    return min(max(0.0, service.cold_start_s - age_s), service.cold_start_s)
