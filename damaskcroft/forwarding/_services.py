"""Targets by service, as this entry believes them to be now."""

from damaskcroft._generated import fleet_pb2
from damaskcroft.fleet import FleetView
from damaskcroft.routing import Candidate

__all__ = ["Services"]

# Slots of a target that doesn't say.
_USUAL_SLOTS = 8


class Services:
    """Answers which targets could run a request."""

    def __init__(self, view: FleetView, region_by_domain: dict[str, str]):
        """Reads `view`."""
        self._view = view
        self._region_by_domain = region_by_domain
        self._states_by_service: dict[str, list[fleet_pb2.TargetState]] = {}
        self._seen_changes = -1

    def candidates(self, service: str, model: str) -> list[Candidate]:
        """Ready targets of a service that hold a model whole.

        Args:
            service: its name.
            model: what the request asks for; empty for plain services.
        """
        self._refresh()
        states = self._states_by_service.get(service, [])
        return [
            self._candidate(state)
            for state in states
            if not model or self._holds(state, model)
        ]

    def _refresh(self) -> None:
        if self._seen_changes == self._view.book.changes:
            return
        self._seen_changes = self._view.book.changes
        self._states_by_service = {}
        for state in self._view.book.believed():
            if state.phase == fleet_pb2.TARGET_READY:
                states = self._states_by_service.setdefault(state.service, [])
                states.append(state)

    def _holds(self, state: fleet_pb2.TargetState, model: str) -> bool:
        layers = self._layers(state.service)
        return any(
            held.model == model
            and held.first_layer == 0
            and (held.end_layer == 0 or held.end_layer >= layers)
            for held in state.held
        )

    def _layers(self, service: str) -> int:
        table = self._view.table
        known = table.services_by_name.get(service) if table else None
        return known.engine.layers if known else 0

    def _candidate(self, state: fleet_pb2.TargetState) -> Candidate:
        return Candidate(
            id=state.id,
            address=state.address,
            failure_domain=state.failure_domain,
            region=self._region_by_domain.get(state.failure_domain, ""),
            slots=state.slots or _USUAL_SLOTS,
        )
