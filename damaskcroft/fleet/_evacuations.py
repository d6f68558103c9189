"""Evacuations: failure domains whose targets get no request.

An operator evacuates a failure domain before planned work there and ends the
evacuation afterwards. Control keeps the state of each domain in its log; here
the states of all control nodes are merged, and the highest revision counts.
"""

from collections.abc import Iterable

from damaskcroft._generated import fleet_pb2
from damaskcroft.observe import log_event, metrics

__all__ = ["Evacuations"]


class Evacuations:
    """State of the failure domains that were evacuated at least once."""

    __slots__ = ("_states_by_domain", "evacuated_domains")

    def __init__(self) -> None:
        """Starts without evacuated domains."""
        self._states_by_domain: dict[str, fleet_pb2.Evacuation] = {}
        self.evacuated_domains: frozenset[str] = frozenset()

    def revision(self, failure_domain: str) -> int:
        """Revision of a domain's state; 0 if it was never evacuated."""
        state = self._states_by_domain.get(failure_domain)
        return state.revision if state is not None else 0

    def snapshot(self) -> list[fleet_pb2.Evacuation]:
        """Returns all states, in the order of their domains' names."""
        return [state for _, state in sorted(self._states_by_domain.items())]

    def restore(self, states: Iterable[fleet_pb2.Evacuation]) -> None:
        """Replaces all states."""
        self._states_by_domain = {each.failure_domain: each for each in states}
        self._update()

    def may_include(self, failure_domain: str) -> bool:
        """Whether a domain is evacuated, or unknown while some domain is."""
        if not self.evacuated_domains:
            return False
        return not failure_domain or failure_domain in self.evacuated_domains

    def merge_all(self, states: Iterable[fleet_pb2.Evacuation]) -> bool:
        """Merges states; returns whether the evacuated domains changed."""
        for state in states:
            if state.revision > self.revision(state.failure_domain):
                self._states_by_domain[state.failure_domain] = state
        return self._update()

    def _update(self) -> bool:
        evacuated_domains = frozenset(
            domain
            for domain, state in self._states_by_domain.items()
            if state.evacuated
        )
        if evacuated_domains == self.evacuated_domains:
            return False
        for domain in sorted(evacuated_domains ^ self.evacuated_domains):
            log_event(
                "evacuation_applied",
                failure_domain=domain,
                evacuated=domain in evacuated_domains,
                revision=self.revision(domain),
            )
        self.evacuated_domains = evacuated_domains
        metrics.EVACUATED_DOMAINS.set(len(evacuated_domains))
        return True
