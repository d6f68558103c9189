"""The replicated state of a fleet: its configuration and weight goals."""

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
    """The highest version of everything that operators named."""

    def __init__(self) -> None:
        """Creates the state of a new fleet."""
        self._listeners: list[Callable[[], None]] = []
        self.configuration: fleet_pb2.Configuration | None = None
        self.goal_by_model: dict[str, fleet_pb2.WeightGoal] = {}
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

    def apply(self, index: int, command: bytes) -> Applied | None:
        """See StateMachine."""
        del index  # The versions order everything here.
        parsed = fleet_pb2.FleetCommand.FromString(command)
        match parsed.WhichOneof("kind"):
            case "configure":
                return self._configure(parsed.configure)
            case "name_weights":
                return self._name_weights(parsed.name_weights)
        return None

    def snapshot(self) -> bytes:
        """See StateMachine."""
        image = fleet_pb2.FleetImage(
            configuration=self.configuration,
            goals=self.goal_by_model.values(),
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
            self.goal_times.name(goal.model, goal.version)
            self._changed()
        return Applied(changed, self.weights_version(goal.model))
