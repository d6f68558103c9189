"""The replicated state of a fleet: its configuration and its weights."""

import dataclasses
from collections.abc import Callable

from damaskcroft._generated import fleet_pb2
from damaskcroft.consensus import StateMachine
from damaskcroft.control._goal_times import GoalTimes

__all__ = ["Applied", "FleetState"]


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """What a committed command did.

    Attributes:
        changed: False when an equal or higher version was in place.
        version: the version in place now.
    """

    changed: bool
    version: int


class FleetState(StateMachine):
    """The highest version of everything that operators named.

    Attributes:
        configuration: the highest, or None.
        goal_by_model: the highest version named.
        served_by_model: the version in service, of models without a goal.
        goal_times: when this process applied each goal, in seconds on its
            own clock; kept beside the replicated state.
    """

    def __init__(self) -> None:
        """Creates the state of a new fleet."""
        self._listeners: list[Callable[[], None]] = []
        self.configuration: fleet_pb2.Configuration | None = None
        self.goal_by_model: dict[str, fleet_pb2.WeightGoal] = {}
        self.served_by_model: dict[str, int] = {}
        self.goal_times = GoalTimes()

    def listen(self, listener: Callable[[], None]) -> None:
        """Calls `listener` after each change from now on."""
        self._listeners.append(listener)

    def _changed(self) -> None:
        for listener in self._listeners:
            listener()

    @property
    def version(self) -> int:
        """Version of the configuration; 0 for none."""
        return self.configuration.version if self.configuration else 0

    def weights_version(self, model: str) -> int:
        """The version that a model should serve; 0 for none named."""
        goal = self.goal_by_model.get(model)
        return goal.version if goal else 0

    def served(self) -> list[fleet_pb2.ServedVersion]:
        """The versions in service of models without a goal."""
        return [
            fleet_pb2.ServedVersion(model=model, version=version)
            for model, version in self.served_by_model.items()
        ]

    def apply(self, index: int, command: bytes) -> Applied | None:
        """See StateMachine."""
        del index  # The versions order everything here.
        parsed = fleet_pb2.FleetCommand.FromString(command)
        match parsed.WhichOneof("kind"):
            case "configure":
                return self._configure(parsed.configure)
            case "name_weights":
                return self._name_weights(parsed.name_weights)
            case "record_served":
                return self._record_served(parsed.record_served)
        return None

    def snapshot(self) -> bytes:
        """See StateMachine."""
        image = fleet_pb2.FleetImage(
            configuration=self.configuration,
            goals=self.goal_by_model.values(),
            served=self.served(),
        )
        return image.SerializeToString(deterministic=True)

    def restore(self, state: bytes) -> None:
        """See StateMachine."""
        image = fleet_pb2.FleetImage.FromString(state)
        self.configuration = None
        if image.HasField("configuration"):
            self.configuration = image.configuration
        for goal in image.goals:
            self.goal_times.restore(goal.model, goal.version)
        self.goal_by_model = {goal.model: goal for goal in image.goals}
        self.served_by_model = {
            kept.model: kept.version for kept in image.served
        }
        self._changed()

    def _configure(self, configuration: fleet_pb2.Configuration) -> Applied:
        changed = configuration.version > self.version
        if changed:
            self.configuration = configuration
            self._changed()
        return Applied(changed, self.version)

    def _name_weights(self, goal: fleet_pb2.WeightGoal) -> Applied:
        changed = goal.version > self.weights_version(goal.model)
        if changed:
            self.goal_by_model[goal.model] = goal
            self.served_by_model.pop(goal.model, None)
            self.goal_times.name(goal.model, goal.version)
            self._changed()
        return Applied(changed, self.weights_version(goal.model))

    def _record_served(self, served: fleet_pb2.ServedVersion) -> Applied:
        """Keeps the first version recorded, and none beside a goal.

        Leaders may record twice, or while an operator names a version: the
        order of the log decides, and what was named stands.
        """
        model = served.model
        if model in self.goal_by_model:
            return Applied(False, self.weights_version(model))
        changed = model not in self.served_by_model
        if changed:
            self.served_by_model[model] = served.version
            self._changed()
        return Applied(changed, self.served_by_model[model])
