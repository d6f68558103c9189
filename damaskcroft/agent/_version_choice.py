"""Choice of the version that a target should hold, and of the next to fetch."""

import dataclasses
import math

from damaskcroft._generated import fleet_pb2
from damaskcroft.agent._fleet_agent import FleetAgent
from damaskcroft.agent._version_order import CandidateVersion, version_to_fetch
from damaskcroft.fleet import FleetView, holds_servable_layers
from damaskcroft.units import bytes_per_s
from damaskcroft.weights import ChunkStore, StagedVersion, weights_path

__all__ = ["ModelVersion", "VersionChoice", "origin_bytes_s", "origin_of"]

# Share of the narrowest link that bursts have been observed to use.
_LINK_UTILISATION = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class ModelVersion:
    """A version of a model's weights."""

    model: str
    version: int

    @property
    def path(self) -> str:
        """Path of the version at outside sources."""
        return weights_path(self.model, "", str(self.version))


class VersionChoice:
    """Chooses the version that one agent stages.

    Args:
        own: the agent.
        view: desired versions, and the versions that other targets hold.
        store: the chunks received of each version.
        link_bytes_s: rate of the agent's link.
        weights_s: time from the announcement of a version until no request
            may begin on an older one; 0 for no bound.
    """

    __slots__ = ("_link_bytes_s", "_own", "_store", "_view", "_weights_s")

    def __init__(
        self,
        own: FleetAgent,
        view: FleetView,
        store: ChunkStore,
        link_bytes_s: float,
        weights_s: float,
    ):
        """Stores the arguments; each call reads their current state."""
        self._own = own
        self._view = view
        self._store = store
        self._link_bytes_s = link_bytes_s
        self._weights_s = weights_s

    def version_to_stage(self) -> ModelVersion | None:
        """Returns the version that the target should hold.

        This is the desired version, or an older one on the way to it (see
        `_version_order`). Without a desired version it is the one that control
        recorded as in service, because that record outlives every target.
        Without a record it is the version that the other targets hold.
        """
        for model in self._models():
            version = self._chosen_version(model)
            if version:
                return ModelVersion(model, version)
        return None

    @property
    def may_find_version(self) -> bool:
        """Whether the target's service may load models.

        If not, only another configuration can lead to a version to stage.
        """
        return self._view.route_table is None or bool(self._models())

    def _models(self) -> list[str]:
        """Returns the models that the configuration names for the service."""
        table = self._view.route_table
        services = table.services_by_name if table is not None else {}
        service = services.get(self._own.state.service)
        if service is None:
            return []
        return [model.name for model in service.engine.models]

    def _chosen_version(self, model: str) -> int:
        desired = self._view.desired_version_by_model.get(model)
        if desired is not None:
            return self._version_to_fetch(desired)
        served = self._view.served_by_model.get(model)
        return served or self._held_by_others(model)

    def _version_to_fetch(self, desired: fleet_pb2.WeightGoal) -> int:
        held = self._held_version(desired.model)
        partial_by_version = self._partial_versions(held, desired)
        if not partial_by_version:
            return desired.version
        older = [
            CandidateVersion(
                version,
                partial.missing_bytes,
                self._expires_in_s(desired.model, version),
            )
            for version, partial in sorted(partial_by_version.items())
        ]
        newest = self._store.version_at(
            ModelVersion(desired.model, desired.version).path
        )
        # Before its manifest is known, the newest version is assumed to be as
        # large as the largest older one.
        missing_bytes = (
            newest.missing_bytes
            if newest
            else max(
                partial.size_bytes for partial in partial_by_version.values()
            )
        )
        return version_to_fetch(
            [*older, CandidateVersion(desired.version, missing_bytes)],
            self._expires_in_s(desired.model, held),
            self._rate_bytes_s(),
        )

    def _partial_versions(
        self, held: int, desired: fleet_pb2.WeightGoal
    ) -> dict[int, StagedVersion]:
        """Returns partly fetched versions between the held and the desired."""
        partial_by_version = {}
        for version in self._view.accepted_at_by_model.get(desired.model, {}):
            path = ModelVersion(desired.model, version).path
            partial = self._store.version_at(path)
            if partial is not None and held < version < desired.version:
                partial_by_version[version] = partial
        return partial_by_version

    def _held_version(self, model: str) -> int:
        """Returns the newest version that the target serves; 0 for none."""
        return max(
            (
                part.version
                for part in self._own.state.held
                if part.model == model and holds_servable_layers(part)
            ),
            default=0,
        )

    def _expires_in_s(self, model: str, version: int) -> float:
        """Returns the time until no request may begin on a version."""
        if not version:
            return 0.0
        if not self._weights_s:
            return math.inf
        return self._view.superseded_in_s(model, version, self._weights_s)

    def _rate_bytes_s(self) -> float:
        """Estimates a burst's rate at this agent from the links it uses."""
        outside_bytes_s = origin_bytes_s(self._view) or self._link_bytes_s
        return _LINK_UTILISATION * min(self._link_bytes_s, outside_bytes_s)

    def newer_than(self, chosen: ModelVersion | None) -> ModelVersion | None:
        """Returns the desired version if the chosen one is older; else None."""
        desired = chosen and self._view.desired_version_by_model.get(
            chosen.model
        )
        if not chosen or not desired or desired.version <= chosen.version:
            return None
        return ModelVersion(desired.model, desired.version)

    def _held_by_others(self, model: str) -> int:
        """Returns the newest version that any target of the service holds."""
        versions = [
            held.version
            for state in self._view.targets.address_holders()
            if state.service == self._own.state.service
            for held in state.held
            if held.model == model
        ]
        return max(versions, default=0)


def origin_of(view: FleetView) -> fleet_pb2.Service | None:
    """Returns the configured origin of weights; None without one."""
    services = (
        view.route_table.services_by_name.values() if view.route_table else ()
    )
    return next((service for service in services if service.origin), None)


def origin_bytes_s(view: FleetView) -> float:
    """Returns the rate of the origin's link; 0 if it is not known."""
    origin = origin_of(view)
    return bytes_per_s(origin.origin_link_mbps) if origin else 0.0
