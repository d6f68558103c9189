"""The replicated state machine of a fleet: configuration and weights."""

import dataclasses
from collections.abc import Callable

from damaskcroft._generated import fleet_pb2
from damaskcroft.consensus import StateMachine
from damaskcroft.control._desired_version_times import DesiredVersionTimes
from damaskcroft.fleet import Evacuations
from damaskcroft.observe import log_event

__all__ = ["Applied", "FleetState"]


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """Result of a committed command.

    Attributes:
        changed: False when an equal or higher version was in force.
        version: the version in force now.
        is_overtaken: whether a later command of another effect came first, so
            that this one changed nothing.
    """

    changed: bool
    version: int
    is_overtaken: bool = False


class FleetState(StateMachine):
    """The highest versions of the configuration and of each model's weights.

    Attributes:
        configuration: the configuration with the highest version, or None.
        desired_version_by_model: desired versions of the models that have one.
        served_by_model: the recorded version in service of each model without
            a desired version.
        evacuations: evacuated failure domains.
        version_times: when this process applied each desired version, on its
            own clock; not part of the replicated state.
    """

    def __init__(self) -> None:
        """Creates the state of a new fleet, without any configuration."""
        self._listeners: list[Callable[[], None]] = []
        self.configuration: fleet_pb2.Configuration | None = None
        self.desired_version_by_model: dict[str, fleet_pb2.WeightGoal] = {}
        self.served_by_model: dict[str, int] = {}
        self.evacuations = Evacuations()
        self.version_times = DesiredVersionTimes()

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Registers `listener`, which is called after each change."""
        self._listeners.append(listener)

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()

    @property
    def version(self) -> int:
        """Version of the configuration; 0 without one."""
        return self.configuration.version if self.configuration else 0

    def desired_version(self, model: str) -> int:
        """The desired version of a model; 0 without one."""
        desired = self.desired_version_by_model.get(model)
        return desired.version if desired else 0

    def served(self) -> list[fleet_pb2.ServedVersion]:
        """Recorded versions in service of models without a desired version."""
        return [
            fleet_pb2.ServedVersion(model=model, version=version)
            for model, version in self.served_by_model.items()
        ]

    def apply(self, index: int, command: bytes) -> Applied | None:
        """Applies one command; None for one of an unknown kind."""
        parsed = fleet_pb2.FleetCommand.FromString(command)
        match parsed.WhichOneof("kind"):
            case "configure":
                return self._configure(parsed.configure)
            case "name_weights":
                return self._set_desired_version(parsed.name_weights)
            case "record_served":
                return self._record_served(parsed.record_served)
            case "evacuate":
                return self._evacuate(index, parsed.evacuate)
        return None

    def snapshot(self) -> bytes:
        """Serializes the whole state, byte for byte equal on all replicas."""
        image = fleet_pb2.FleetImage(
            configuration=self.configuration,
            goals=self.desired_version_by_model.values(),
            served=self.served(),
            evacuations=self.evacuations.snapshot(),
        )
        return image.SerializeToString(deterministic=True)

    def restore(self, state: bytes) -> None:
        """Replaces the state by that of a snapshot."""
        image = fleet_pb2.FleetImage.FromString(state)
        self.configuration = None
        if image.HasField("configuration"):
            self.configuration = image.configuration
        for desired in image.goals:
            self.version_times.record_restored(desired.model, desired.version)
        self.desired_version_by_model = {
            desired.model: desired for desired in image.goals
        }
        self.served_by_model = {
            each.model: each.version for each in image.served
        }
        self.evacuations.restore(image.evacuations)
        self._notify_listeners()

    def _configure(self, configuration: fleet_pb2.Configuration) -> Applied:
        changed = configuration.version > self.version
        if changed:
            self.configuration = configuration
            self._notify_listeners()
        return Applied(changed, self.version)

    def _evacuate(
        self, index: int, order: fleet_pb2.EvacuationOrder
    ) -> Applied:
        """Applies an order unless a later one has overtaken it.

        The log index is the revision: unlike versions, orders have no order of
        their own, and one that was held up on its way to the leader must not
        undo what an operator has ordered since.
        """
        domain = order.failure_domain
        is_evacuated = domain in self.evacuations.evacuated_domains
        revision = self.evacuations.revision(domain)
        if order.evacuated == is_evacuated:
            return Applied(False, revision)
        if order.known_revision != revision:
            log_event(
                "evacuation_overtaken",
                failure_domain=domain,
                evacuated=order.evacuated,
                known_revision=order.known_revision,
                revision=revision,
            )
            return Applied(False, revision, is_overtaken=True)
        state = fleet_pb2.Evacuation(
            failure_domain=domain, evacuated=order.evacuated, revision=index
        )
        self.evacuations.merge_all([state])
        self._notify_listeners()
        return Applied(True, index)

    def _set_desired_version(self, desired: fleet_pb2.WeightGoal) -> Applied:
        changed = desired.version > self.desired_version(desired.model)
        if changed:
            self.desired_version_by_model[desired.model] = desired
            self.served_by_model.pop(desired.model, None)
            self.version_times.record_set(desired.model, desired.version)
            self._notify_listeners()
        return Applied(changed, self.desired_version(desired.model))

    def _record_served(self, served: fleet_pb2.ServedVersion) -> Applied:
        """Keeps the first recorded version, unless a desired version is set.

        Two leaders may both record a version, or one may do so while an
        operator sets the desired version. The order of the log decides between
        records, and a desired version always takes precedence.
        """
        model = served.model
        if model in self.desired_version_by_model:
            return Applied(False, self.desired_version(model))
        changed = model not in self.served_by_model
        if changed:
            self.served_by_model[model] = served.version
            self._notify_listeners()
        return Applied(changed, self.served_by_model[model])
