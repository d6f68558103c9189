"""Records the version in service of models without a desired version.

Targets hold their version in memory and lose it when all of them lose power at
once. Because users must then get the same version again, the leader commits it
to the replicated log once the targets have announced it for long enough.
"""

import asyncio
import dataclasses

from damaskcroft._generated import fleet_pb2
from damaskcroft.clock import now_s
from damaskcroft.consensus import Replica
from damaskcroft.control._answers import Accepted
from damaskcroft.control._command_log import CommandLog
from damaskcroft.control._fleet_state import FleetState
from damaskcroft.fleet import FleetView, version_in_service
from damaskcroft.observe import log_event

__all__ = ["ServiceRecorder"]

# How often the leader checks what targets hold: at the longest interval between
# updates to its watchers. A check costs less than such an update.
_CHECK_INTERVAL_S = 0.5
# The delay after a record that was not acknowledged doubles from the initial to
# the maximum one: a slow log gets few further entries, and a log that works
# again gets the record soon.
_INITIAL_RETRY_DELAY_S = 1.0
_MAX_RETRY_DELAY_S = 16.0


@dataclasses.dataclass(slots=True)
class _Observation:
    """A version that the majority of a model's holders have.

    Attributes:
        version: the version that they hold.
        earliest_record_at: earliest time of the next attempt to record it, in
            seconds on the clock of this process.
        retry_delay_s: delay after the next failed attempt.
    """

    version: int
    earliest_record_at: float
    retry_delay_s: float = _INITIAL_RETRY_DELAY_S


class ServiceRecorder:
    """Commits the version in service to the log while this node leads.

    Args:
        replica: the replica of this node.
        state: the state built from the log.
        view: announcements of targets and agents.
        log: commits the records.
        stable_s: how long a majority must hold the same version before it is
            recorded. A new leader has received few announcements at first.
    """

    def __init__(
        self,
        replica: Replica,
        state: FleetState,
        view: FleetView,
        log: CommandLog,
        stable_s: float,
    ):
        """Starts without observations of any model."""
        self._replica = replica
        self._state = state
        self._view = view
        self._log = log
        self._stable_s = stable_s
        self._observation_by_model: dict[str, _Observation] = {}

    async def run(self) -> None:
        """Checks all models at intervals until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            if not self._replica.is_confirmed_leader:
                self._observation_by_model.clear()
                continue
            for model in self._unrecorded_models():
                await self._check_model(model)

    def _unrecorded_models(self) -> list[str]:
        """Names of models with neither a desired nor a recorded version."""
        models = {
            model.name
            for service in self._services()
            for model in service.engine.models
        }
        return sorted(
            models
            - self._state.desired_version_by_model.keys()
            - self._state.served_by_model.keys()
        )

    def _services(self) -> list[fleet_pb2.Service]:
        configuration = self._state.configuration
        return list(configuration.services) if configuration else []

    async def _check_model(self, model: str) -> None:
        version = version_in_service(self._view, self._services(), model)
        if not version:
            self._observation_by_model.pop(model, None)
            return
        observation = self._observation_by_model.get(model)
        if observation is None or observation.version != version:
            observation = _Observation(version, now_s() + self._stable_s)
            self._observation_by_model[model] = observation
        if now_s() < observation.earliest_record_at:
            return
        if not await self._record(model, version):
            observation.earliest_record_at = now_s() + observation.retry_delay_s
            observation.retry_delay_s = min(
                2 * observation.retry_delay_s, _MAX_RETRY_DELAY_S
            )

    async def _record(self, model: str, version: int) -> bool:
        served = fleet_pb2.ServedVersion(model=model, version=version)
        command = fleet_pb2.FleetCommand(record_served=served)
        outcome = await self._log.commit(command)
        log_event(
            "service_recorded",
            model=model,
            version=version,
            outcome=type(outcome).__name__,
            in_place=self._state.served_by_model.get(model),
            named=self._state.desired_version(model),
        )
        return isinstance(outcome, Accepted)
