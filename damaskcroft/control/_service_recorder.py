"""Records which version is in service while operators have named none.

What targets hold is soft: it is gone when all of them lose power at once. The
version that they served is owed to their users all the same, so it stands in
the replicated log as soon as they have shown it.
"""

import asyncio
import dataclasses

from damaskcroft._generated import fleet_pb2
from damaskcroft.clock import now_s
from damaskcroft.consensus import Replica
from damaskcroft.control._fleet_control import Accepted, FleetControl
from damaskcroft.control._fleet_state import FleetState
from damaskcroft.fleet import FleetView, version_in_service
from damaskcroft.observe import log_event

__all__ = ["ServiceRecorder"]

# How often the leader looks at what targets hold: as often as it tells its
# watchers something at least; a look costs less than such an update.
_LOOK_EVERY_S = 0.5
# After a record that wasn't acknowledged, the first pause, which doubles up to
# the longest: a log that is slow gets few more entries, and one that works
# again isn't left without the record for long.
_FIRST_PAUSE_S = 1.0
_LONGEST_PAUSE_S = 16.0


@dataclasses.dataclass(slots=True)
class _Seen:
    """A version that most holders have been seen with.

    Attributes:
        version: what they hold.
        record_at: not to be recorded before, in seconds of this process's
            clock.
        pause_s: what is waited after the next failure.
    """

    version: int
    record_at: float
    pause_s: float = _FIRST_PAUSE_S


class ServiceRecorder:
    """Writes the version in service into the log while this node leads.

    Args:
        replica: of this node.
        state: what the log has built.
        view: what targets and agents say.
        control: commits.
        settled_s: for how long the targets heard must agree. A new leader
            has heard few of them at first.
    """

    def __init__(
        self,
        replica: Replica,
        state: FleetState,
        view: FleetView,
        control: FleetControl,
        settled_s: float,
    ):
        """See the class."""
        self._replica = replica
        self._state = state
        self._view = view
        self._control = control
        self._settled_s = settled_s
        self._seen_by_model: dict[str, _Seen] = {}

    async def run(self) -> None:
        """Looks again and again until cancelled."""
        while True:
            await asyncio.sleep(_LOOK_EVERY_S)
            if not self._replica.is_confirmed_leader:
                self._seen_by_model.clear()
                continue
            for model in self._open_models():
                await self._look(model)

    def _open_models(self) -> list[str]:
        """Models with neither a goal nor a record."""
        models = {
            model.name
            for service in self._services()
            for model in service.engine.models
        }
        return sorted(
            models
            - self._state.goal_by_model.keys()
            - self._state.served_by_model.keys()
        )

    def _services(self) -> list[fleet_pb2.Service]:
        configuration = self._state.configuration
        return list(configuration.services) if configuration else []

    async def _look(self, model: str) -> None:
        version = version_in_service(self._view, self._services(), model)
        if not version:
            self._seen_by_model.pop(model, None)
            return
        seen = self._seen_by_model.get(model)
        if seen is None or seen.version != version:
            seen = _Seen(version, now_s() + self._settled_s)
            self._seen_by_model[model] = seen
        if now_s() < seen.record_at:
            return
        if not await self._record(model, version):
            seen.record_at = now_s() + seen.pause_s
            seen.pause_s = min(2 * seen.pause_s, _LONGEST_PAUSE_S)

    async def _record(self, model: str, version: int) -> bool:
        served = fleet_pb2.ServedVersion(model=model, version=version)
        command = fleet_pb2.FleetCommand(record_served=served)
        outcome = await self._control.commit(command)
        log_event(
            "service_recorded",
            model=model,
            version=version,
            outcome=type(outcome).__name__,
            in_place=self._state.served_by_model.get(model),
            named=self._state.weights_version(model),
        )
        return isinstance(outcome, Accepted)
