"""Execution of assignments at the target.

The activator is the only component that sends orders to the target.
"""

import asyncio

from transitions import Machine

from damaskcroft._generated import control_pb2
from damaskcroft.agent._gate import Gate
from damaskcroft.agent._held_up import HeldUp
from damaskcroft.agent._staging import Stager
from damaskcroft.clock import now_s
from damaskcroft.engines import (
    Engine,
    EngineState,
    LoadOrder,
    OrderAccepted,
    OrderRefused,
)
from damaskcroft.membership import LeaseClient
from damaskcroft.observe import log_event, log_warning
from damaskcroft.tasks import background
from damaskcroft.weights import ChunkStore

_POLL_S = 0.05
_RETRY_S = 0.5
# A load that has neither ended nor failed after this time is ordered again,
# because a restarted target has lost the order. It equals the default time-out
# of an order's answer (`order_timeout_s`).
_LOAD_TIMEOUT_S = 60.0


class Activator:
    """Brings the target to the state of the newest assignment.

    Attributes:
        failure: why the target can't serve the assigned version, or empty.
        held_up: why the order is not carried out yet.

    Args:
        own_id: id of this agent.
        client: lease and roster.
        gate: closed while the target changes versions.
        engine: the target.
        stager: fetches the files.
        store: holds the files.
    """

    # Set by the state machine below.
    state: str

    def __init__(
        self,
        own_id: str,
        client: LeaseClient,
        gate: Gate,
        engine: Engine,
        stager: Stager,
        store: ChunkStore,
    ):
        """Starts idle, with no assignment settled."""
        self._own_id = own_id
        self._client = client
        self._gate = gate
        self._engine = engine
        self._stager = stager
        self._store = store
        self.failure = ""
        self.held_up = HeldUp()
        self._settled_fencing = 0
        self._machine = Machine(
            model=self,
            states=["idle", "activating", "serving", "failed"],
            initial="idle",
            auto_transitions=False,
            transitions=[
                ["begin", "*", "activating"],
                ["succeed", "activating", "serving"],
                ["fail", "activating", "failed"],
                ["clear", "activating", "idle"],
            ],
        )

    def phase(self) -> control_pb2.Phase:
        """Returns the target's phase for the report to control."""
        if self.state == "activating":
            return control_pb2.PHASE_ACTIVATING
        if self.state == "serving":
            return control_pb2.PHASE_SERVING
        if self.state == "failed":
            return control_pb2.PHASE_FAILED
        if not self._stager.desired_manifest:
            return control_pb2.PHASE_IDLE
        if self._stager.staged_manifest == self._stager.desired_manifest:
            return control_pb2.PHASE_STAGED
        return control_pb2.PHASE_FETCHING

    async def run(self) -> None:
        """Carries out the newest assignment, until cancelled."""
        async with background(self.held_up.tell):
            while True:
                assignment = await self._next_assignment()
                self.begin()  # type: ignore[attr-defined]
                self._client.renew_now()
                done = await self._carry_out(assignment)
                if done:
                    self._settled_fencing = assignment.fencing
                    self.held_up.clear_reason()
                self._client.renew_now()

    async def _next_assignment(self) -> control_pb2.Assignment:
        while True:
            assignment = self._client.roster.assignments_by_target.get(
                self._own_id
            )
            if (
                assignment is not None
                and assignment.fencing > self._settled_fencing
                and self._client.lease.is_held
            ):
                return assignment
            await asyncio.sleep(_POLL_S)

    async def _carry_out(self, assignment: control_pb2.Assignment) -> bool:
        """Returns whether the assignment is settled, by success or failure."""
        state = await self._state()
        if state is None:
            return False
        if not assignment.manifest:
            return await self._withdraw(assignment)
        if state.active == assignment.manifest:
            # The order was carried out before this agent restarted.
            self._open(assignment)
            return True
        if not await self._wait_staged(assignment):
            return False
        order = self._order(assignment)
        before = (
            self._gate.model,
            self._gate.version,
            self._gate.manifest,
            self._gate.fencing,
        )
        if not assignment.old_and_new_fit:
            await self._shut_and_drain()
        if not await self._load(order, state):
            if state.active and state.active == before[2]:
                # The old version is still loaded and continues to serve.
                self._gate.open(*before)
            return self.state == "failed"
        await self._shut_and_drain()
        return await self._activate(order)

    async def _state(self) -> EngineState | None:
        """Returns the target's state; None, after a pause, if unreachable."""
        state = await self._engine.state()
        if isinstance(state, EngineState):
            if self.held_up.reason == control_pb2.HELD_UP_TARGET_UNREACHABLE:
                self.held_up.clear_reason()
            return state
        self.held_up.set_reason(control_pb2.HELD_UP_TARGET_UNREACHABLE)
        self._client.renew_now()
        await asyncio.sleep(_RETRY_S)
        return None

    async def _withdraw(self, assignment: control_pb2.Assignment) -> bool:
        await self._shut_and_drain()
        outcome = await self._engine.unload(assignment)
        if not isinstance(outcome, OrderAccepted):
            await self._note_order_failed("unload", outcome.reason)
            return False
        self.clear()  # type: ignore[attr-defined]
        log_event("withdrawn", fencing=assignment.fencing)
        return True

    async def _wait_staged(self, assignment: control_pb2.Assignment) -> bool:
        with self.held_up.delayed_by(control_pb2.HELD_UP_WEIGHTS_MISSING):
            while True:
                digest = assignment.manifest
                version = self._store.versions_by_digest.get(digest)
                if version is not None and version.verified:
                    return True
                if self._is_superseded(assignment):
                    return False
                await asyncio.sleep(_POLL_S)

    async def _shut_and_drain(self) -> None:
        """Closes the gate and waits until no request is running."""
        self._gate.shut()
        self._client.renew_now()
        with self.held_up.delayed_by(control_pb2.HELD_UP_REQUESTS_UNENDED):
            await self._gate.wait_idle()

    async def _load(self, order: LoadOrder, state: EngineState) -> bool:
        if order.assignment.manifest in state.loaded:
            return True
        outcome = await self._engine.load(order)
        if isinstance(outcome, OrderRefused):
            return self._record_failure(order, outcome.reason)
        if not isinstance(outcome, OrderAccepted):
            await self._note_order_failed("load", outcome.reason)
            return False
        with self.held_up.delayed_by(control_pb2.HELD_UP_LOAD_UNENDED):
            return await self._wait_loaded(order)

    async def _wait_loaded(self, order: LoadOrder) -> bool:
        manifest = order.assignment.manifest
        ordered_at = now_s()
        while now_s() - ordered_at < _LOAD_TIMEOUT_S:
            state = await self._state()
            if state is None:
                return False
            if manifest in state.loaded:
                return True
            if manifest in state.failed:
                return self._record_failure(order, state.failed[manifest])
            await asyncio.sleep(_POLL_S)
        log_warning("load_ordered_again", after_s=now_s() - ordered_at)
        return False

    async def _note_order_failed(self, order: str, reason: str) -> None:
        """Records an unanswered order and pauses before it is sent again."""
        self.held_up.set_reason(control_pb2.HELD_UP_ORDER_FAILED)
        log_event("order_failed", order=order, reason=reason)
        await asyncio.sleep(_RETRY_S)

    async def _activate(self, order: LoadOrder) -> bool:
        outcome = await self._engine.activate(order)
        if isinstance(outcome, OrderRefused):
            self._record_failure(order, outcome.reason)
            return True
        # Whatever the answer was, only the state that is read back counts,
        # because an order may be lost or take effect without an answer.
        state = await self._state()
        if state is None:
            return False
        if state.active != order.assignment.manifest:
            reason = getattr(outcome, "reason", "accepted and not obeyed")
            await self._note_order_failed("activate", reason)
            return False
        self._open(order.assignment)
        return True

    def _open(self, assignment: control_pb2.Assignment) -> None:
        self.failure = ""
        self._gate.open(
            _served_name(assignment),
            assignment.version,
            assignment.manifest,
            assignment.fencing,
        )
        self.succeed()  # type: ignore[attr-defined]
        log_event(
            "serving", version=assignment.version, fencing=assignment.fencing
        )

    def _record_failure(self, order: LoadOrder, reason: str) -> bool:
        self.failure = reason
        self.fail()  # type: ignore[attr-defined]
        log_warning(
            "activation_failed",
            version=order.assignment.version,
            fencing=order.assignment.fencing,
            reason=reason,
        )
        return False

    def _is_superseded(self, assignment: control_pb2.Assignment) -> bool:
        newest = self._client.roster.assignments_by_target[self._own_id]
        return newest.fencing > assignment.fencing

    def _order(self, assignment: control_pb2.Assignment) -> LoadOrder:
        version = self._store.versions_by_digest[assignment.manifest]
        return LoadOrder(assignment, version.location)


def _served_name(assignment: control_pb2.Assignment) -> str:
    """Returns the name in requests: the model, or model and adapter."""
    if not assignment.adapter:
        return assignment.model
    return f"{assignment.model}:{assignment.adapter}"
