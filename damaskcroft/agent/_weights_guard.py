"""Removal of old weights from a target shortly before they expire.

Entries stop sending to targets with old weights before these expire, by the
delays that they have measured. A request that has left an entry can't be called
back, though: if the link has filled meanwhile, the request arrives late and
would begin on expired weights. The agent runs on the target's own machine, with
no link between them, so it removes the old weights in time.
"""

import math
from collections.abc import Callable, Iterable

from damaskcroft._generated import fleet_pb2
from damaskcroft.engines import EngineReport, OrderAccepted, StagedEngine
from damaskcroft.fleet import FleetView
from damaskcroft.observe import log_event, metrics

__all__ = ["WeightsGuard", "guarded_versions"]

# Old weights are dropped this long before the time from which requests must
# begin on newer ones, because a request received earlier may wait that long in
# the target's queue. Entries stop sending to the target at least 0.6 s before
# that time, and so at least 0.1 s before the drop (see Services).
_DROP_BEFORE_S = 0.5
# The same if the link is known to be quick: entries can then withdraw requests
# that have not begun in time, and the newer weights may still arrive, so the
# old ones are kept for longer.
_DROP_BEFORE_QUICK_LINK_S = 0.3
# An agent that is restarted is away for a second or two, and then has to
# receive the announced versions again.
_RESTART_S = 3.0


def guarded_versions(
    view: FleetView, service: str, weights_s: float
) -> list[fleet_pb2.WeightGoal]:
    """Returns the newest versions that an agent can guard at its target.

    To guard a version is to drop older weights before they expire. A version of
    unknown age is left out, because the agent can't tell when that is.

    Args:
        view: the agent's view of the fleet.
        service: name of the target's service.
        weights_s: time from the acceptance of a desired version by control
            until no request may begin on an older one; 0 for no bound.

    Returns:
        One version for each model; none if the targets load models in one
        piece, because no part of it can be dropped.
    """
    table = view.route_table
    known = table.services_by_name.get(service) if table else None
    if known is None or known.engine.layers < 2 or not weights_s:
        return []
    newest = (
        (m.name, _newest_of_known_age(view, m.name))
        for m in known.engine.models
    )
    return [
        fleet_pb2.WeightGoal(model=model, version=version)
        for model, version in newest
        if version
    ]


def _newest_of_known_age(view: FleetView, model: str) -> int:
    accepted_at_by_version = view.accepted_at_by_model.get(model, {})
    return max(
        (v for v, at in accepted_at_by_version.items() if math.isfinite(at)),
        default=0,
    )


class WeightsGuard:
    """Drops a target's old weights when no request may begin on them.

    Args:
        view: the announced versions and their times.
        engine: the target.
        weights_s: see `guarded_versions`.
        is_link_fast: returns whether current measurements show a short delay
            of the link; without measurements it returns False.
    """

    __slots__ = ("_engine", "_held", "_is_link_fast", "_view", "_weights_s")

    def __init__(
        self,
        view: FleetView,
        engine: StagedEngine,
        weights_s: float,
        is_link_fast: Callable[[], bool],
    ):
        """Starts before the first report of the target."""
        self._view = view
        self._engine = engine
        self._weights_s = weights_s
        self._is_link_fast = is_link_fast
        # Weights that the target held in its last report.
        self._held: tuple[fleet_pb2.HeldLayers, ...] = ()

    def record_report(self, report: EngineReport) -> None:
        """Records what the target holds."""
        self._held = report.held

    def due_in_s(self) -> float:
        """Returns the time until old weights may be due; infinite if never.

        Zero or less means that `drop_if_due` must be called now.
        """
        part = self._outdated(self._held)
        return (
            math.inf
            if part is None
            else self._part_left_s(part) - _DROP_BEFORE_S
        )

    async def drop_if_due(
        self, report: EngineReport, staged_version: int
    ) -> bool:
        """Drops old weights if they are due.

        Args:
            report: the target's current state.
            staged_version: version that is ready to be loaded; the order to
                load it removes the old weights as well.

        Returns:
            Whether an order was accepted.
        """
        self.record_report(report)
        part = self._outdated(report.held)
        if part is None or report.busy:
            return False
        left_s = self._part_left_s(part)
        if left_s > _DROP_BEFORE_S:
            return False
        is_ready = staged_version > part.version
        if left_s > _DROP_BEFORE_QUICK_LINK_S and (
            is_ready or self._is_link_fast()
        ):
            return False
        return await self.drop_old_weights(report)

    def is_due_during_restart(self, report: EngineReport) -> bool:
        """Returns whether old weights are due before a next process can act."""
        return self.time_left_s(report) <= _RESTART_S

    async def drop_old_weights(self, report: EngineReport) -> bool:
        """Drops old weights now; returns whether the order was accepted."""
        part = self._outdated(report.held)
        if part is None:
            return False
        kept = fleet_pb2.HeldLayers(
            model=part.model,
            version=part.version,
            first_layer=part.first_layer,
            end_layer=part.first_layer + 1,
        )
        # Running requests have begun in time and may end.
        order = await self._engine.keep_only(kept, report.sequence)
        metrics.ORDERS.labels("keep_only", type(order).__name__).inc()
        log_event(
            "old_weights_given_up",
            version=part.version,
            running=report.running,
            left_s=self._part_left_s(part),
            outcome=order,
        )
        return isinstance(order, OrderAccepted)

    def _outdated(
        self, held: Iterable[fleet_pb2.HeldLayers]
    ) -> fleet_pb2.HeldLayers | None:
        """Returns held layers that are older than an announced version.

        A single layer is skipped, because it can't serve requests.
        """
        for part in held:
            if part.end_layer - part.first_layer < 2:
                continue
            if self._part_left_s(part) < math.inf:
                return part
        return None

    def time_left_s(self, report: EngineReport) -> float:
        """Returns the time until the held weights expire, infinite if never."""
        part = self._outdated(report.held)
        return math.inf if part is None else self._part_left_s(part)

    def _part_left_s(self, part: fleet_pb2.HeldLayers) -> float:
        """Returns the time until no request may begin on these layers.

        It is infinite if they don't expire. A version of unknown age is left
        to entries, which send nothing to older ones: its age may come with the
        next update.
        """
        if not self._weights_s:
            return math.inf
        return self._view.superseded_in_s(
            part.model, part.version, self._weights_s
        )
