"""Orders to one target during rolling updates of a fleet.

Each agent decides by itself when its target switches, from the announced states
of the other agents, so that enough targets keep serving.
"""

import asyncio
import math
from collections.abc import Callable

from damaskcroft._generated import fleet_pb2
from damaskcroft.agent._fleet_agent import FleetAgent
from damaskcroft.agent._fleet_stager import FleetStager
from damaskcroft.agent._version_choice import ModelVersion
from damaskcroft.agent._weights_guard import WeightsGuard
from damaskcroft.clock import now_s
from damaskcroft.engines import (
    EngineReport,
    EngineUnreachable,
    OrderAccepted,
    StagedEngine,
)
from damaskcroft.fleet import FleetView, holds_servable_layers
from damaskcroft.observe import log_event, metrics
from damaskcroft.tasks import Signal

__all__ = ["FleetSwitcher"]

_POLL_S = 0.04
_IDLE_POLL_S = 0.2
# Longer than the idle interval, because a target that serves the desired
# version reports to control when it restarts.
_SETTLED_POLL_S = 0.6
# Interval of checks while old weights may have to be dropped: a third of the
# shortest time reserved for that (see WeightsGuard).
_GUARD_POLL_S = 0.1
# Maximum interval of checks whether the target holds older weights than before.
# It is shorter than the time in which an old version expires.
_GUARD_IDLE_POLL_S = 0.5
# Share of a service's targets that may be out of service at once during a
# rolling update. If running requests are waited for, a target is out for as
# long as the longest of them, some seconds, and only two waves fit between the
# last chunk's arrival and the time by which all must serve the new version. If
# they are interrupted and resumed elsewhere, it is out only while loading.
_MAX_OUT_SHARE_WAITING = 0.5
_MAX_OUT_SHARE_INTERRUPTING = 0.34
# Entries learn of a change within some milliseconds; requests already in
# flight to the target arrive within a few more.
_PROPAGATION_S = 0.03
# Time reserved before the deadline for running requests to end and for the
# load.
_SWITCH_RESERVE_S = 0.7
# An order without an effect for this long is sent again.
_ORDER_TIMEOUT_S = 10.0


class FleetSwitcher:
    """Sends all orders to one target: loads, and drops of old weights.

    Args:
        own: announces the state of this agent.
        view: desired versions, and the states of the other agents.
        engine: the target.
        stager: provides the staged version.
        weights_s: time from the announcement of a version until all must
            serve it.
        is_link_fast: see `WeightsGuard`.
    """

    def __init__(
        self,
        own: FleetAgent,
        view: FleetView,
        engine: StagedEngine,
        stager: FleetStager,
        weights_s: float,
        is_link_fast: Callable[[], bool] = lambda: False,
    ):
        """Subscribes to the updates of the view."""
        self._guard = WeightsGuard(view, engine, weights_s, is_link_fast)
        self._own = own
        self._view = view
        self._engine = engine
        self._stager = stager
        self._weights_s = weights_s
        # Given when the view has received an update of the target.
        self._target_updated = Signal()
        view.add_listener(self._on_update)

    async def run(self) -> None:
        """Drops expiring weights and loads staged ones, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_guard())
            group.create_task(self._run_switching())

    async def _run_guard(self) -> None:
        """Drops old weights in time, concurrently with the switching.

        An announcement to control nodes takes half a second if one is
        unreachable, and so may reading the staged pieces back; neither may
        delay the drop.
        """
        while True:
            seen = self._view.desired_changed.count
            due_in_s = self._guard.due_in_s()
            if due_in_s <= 0:
                report = await self._engine.report()
                if isinstance(report, EngineReport):
                    staged = self._stager.staged
                    await self._guard.drop_if_due(
                        report, staged.version if staged else 0
                    )
            wait_s = min(max(due_in_s, _GUARD_POLL_S), _GUARD_IDLE_POLL_S)
            await self._view.desired_changed.wait(seen, wait_s)

    async def _run_switching(self) -> None:
        while True:
            report = await self._engine.report()
            if isinstance(report, EngineUnreachable):
                await asyncio.sleep(_IDLE_POLL_S)
                continue
            self._guard.record_report(report)
            self._stager.record_start(report.born_ms)
            staged = self._stager.staged
            await self._announce(fleet_pb2.AGENT_SERVING, report)
            if staged is None or report.busy or self._serves(report, staged):
                await self._target_updated.wait_next(
                    self._poll_interval_s(report)
                )
                continue
            if not await self._stager.restage():
                await asyncio.sleep(_POLL_S)
                continue
            if not self._may_switch(report):
                await asyncio.sleep(_POLL_S)
                continue
            await self._switch(report, staged)

    def _poll_interval_s(self, report: EngineReport) -> float:
        """Returns the time until the next poll of a target without an order."""
        if not self._stager.may_find_version:
            return _SETTLED_POLL_S
        chosen = self._stager.version_to_stage()
        is_settled = chosen is not None and self._serves(report, chosen)
        if is_settled and not report.busy:
            return _SETTLED_POLL_S
        return _IDLE_POLL_S

    def _on_update(self, update: fleet_pb2.FleetUpdate) -> None:
        """Triggers a poll of the target if the update concerns it."""
        address = self._own.state.target_address
        if any(state.address == address for state in update.targets):
            self._target_updated.notify()

    async def leave(self) -> None:
        """Does in advance what would be due while this agent is restarted."""
        report = await self._engine.report()
        if isinstance(report, EngineUnreachable) or report.busy:
            return
        if not self._guard.is_due_during_restart(report):
            return
        # The order to load removes the old weights as well.
        if not await self._load_before_leaving(report):
            await self._guard.drop_old_weights(report)
        report = await self._engine.report()
        if isinstance(report, EngineReport):
            # No other process announces this state until the next process of
            # the agent does.
            await self._announce(fleet_pb2.AGENT_SERVING, report)

    async def _load_before_leaving(self, report: EngineReport) -> bool:
        """Orders the load of a staged version; returns whether it begins."""
        staged = self._stager.staged
        if staged is None or not await self._stager.restage():
            return False
        await self._announce(fleet_pb2.AGENT_SWITCHING, report)
        return await self._order(report, staged)

    async def _switch(self, report: EngineReport, staged: ModelVersion) -> None:
        log_event(
            "switching",
            path=staged.path,
            running=report.running,
            out=len(self._switching_peers()),
            left_s=self._time_left_s(staged),
        )
        await self._announce(fleet_pb2.AGENT_SWITCHING, report)
        await asyncio.sleep(_PROPAGATION_S)
        if await self._order(report, staged):
            await self._wait_until_loaded(staged)

    async def _order(self, report: EngineReport, staged: ModelVersion) -> bool:
        """Orders the load of the staged version; returns whether it begins.

        A target that has restarted since its pieces were verified may have
        lost some of them, and its order sequence may be the same as before, so
        its start is checked once more. Pieces may also have become corrupt
        since, so the order is sent only while their checks are recent.
        """
        if not await self._stager.restage(before_order=True):
            return False
        async with self._stager.pieces_lock:
            now = await self._engine.report()
            if not isinstance(now, EngineReport):
                return False
            self._stager.record_start(now.born_ms)
            if self._stager.staged != staged:
                log_event("switch_overtaken", path=staged.path)
                return False
            order = await self._engine.start(
                staged.model,
                staged.version,
                report.sequence,
                abort_running=self._may_interrupt(),
                before_s=self._stager.order_before_s,
            )
        metrics.ORDERS.labels("start", type(order).__name__).inc()
        log_event("ordered", path=staged.path, outcome=order)
        return isinstance(order, OrderAccepted)

    async def _wait_until_loaded(self, staged: ModelVersion) -> None:
        ordered_at = now_s()
        while now_s() - ordered_at < _ORDER_TIMEOUT_S:
            report = await self._engine.report()
            if isinstance(report, EngineReport):
                if self._serves(report, staged):
                    log_event(
                        "loaded",
                        path=staged.path,
                        after_s=now_s() - ordered_at,
                    )
                    await self._announce(fleet_pb2.AGENT_SERVING, report)
                    return
                self._stager.record_start(report.born_ms)
                if not report.busy:
                    log_event("order_had_no_effect", path=staged.path)
                    return
            await asyncio.sleep(_POLL_S)

    # --- Rolling update ------------------------------------------------------

    def _may_switch(self, report: EngineReport) -> bool:
        """Returns whether enough other targets serve while this one is out."""
        if not any(holds_servable_layers(part) for part in report.held):
            return True
        staged = self._stager.staged
        if (
            staged is None
            or self._guard.time_left_s(report) < _SWITCH_RESERVE_S
        ):
            return True
        targets = len(self._own.peers()) + 1
        share = (
            _MAX_OUT_SHARE_INTERRUPTING
            if self._may_interrupt()
            else _MAX_OUT_SHARE_WAITING
        )
        max_out = max(1, math.floor(targets * share))
        free = max_out - len(self._switching_peers())
        return self._count_ahead(staged) < free

    def _may_interrupt(self) -> bool:
        """Returns whether running requests may be resumed elsewhere."""
        table = self._view.route_table
        services = table.services_by_name if table else {}
        service = services.get(self._own.state.service)
        return service is not None and service.interruptible

    def _switching_peers(self) -> list[fleet_pb2.AgentState]:
        return [
            agent
            for agent in self._own.peers()
            if agent.phase == fleet_pb2.AGENT_SWITCHING
        ]

    def _count_ahead(self, staged: ModelVersion) -> int:
        """Returns how many agents with the version staged switch before us.

        They are ordered by address, so that two agents that become ready at
        the same moment don't both take the last place.
        """
        return sum(
            agent.address < self._own.state.address
            for agent in self._own.peers()
            if agent.phase == fleet_pb2.AGENT_SERVING
            and agent.staged.version == staged.version
            and not _holds(agent.held, staged)
        )

    def _time_left_s(self, staged: ModelVersion) -> float:
        """Returns the time until requests may begin on this version only.

        It is infinite for a version that was not announced.
        """
        accepted_at_by_version = self._view.accepted_at_by_model.get(
            staged.model, {}
        )
        accepted_at = accepted_at_by_version.get(staged.version)
        if accepted_at is None:
            return math.inf
        return accepted_at + self._weights_s - now_s()

    def _serves(self, report: EngineReport, staged: ModelVersion) -> bool:
        return _holds(report.held, staged)

    async def _announce(
        self, phase: fleet_pb2.AgentPhase, report: EngineReport
    ) -> None:
        staged = self._stager.staged
        staged_part = None
        if staged is not None:
            staged_part = fleet_pb2.HeldLayers(
                model=staged.model, version=staged.version
            )
        await self._own.announce(
            phase, report.held, staged_part, report.born_ms
        )


def _holds(held, staged: ModelVersion) -> bool:
    return any(
        part.model == staged.model and part.version == staged.version
        for part in held
    )
