"""Announcement of the state of an agent and its target to the fleet."""

import asyncio
import contextlib
import math
import secrets
import time
from collections.abc import Callable, Iterable

from damaskcroft._generated import fleet_grpc, fleet_pb2
from damaskcroft.clock import now_s
from damaskcroft.fleet import GUARD_RENEWED_S, FleetView, NodeSettings
from damaskcroft.observe import log_event
from damaskcroft.rpc import CALL_ERRORS, ChannelPool

__all__ = ["FleetAgent"]

_ANNOUNCE_TIMEOUT_S = 0.5
_NS_IN_MS = 1_000_000
# Link delays are rounded down to these steps, so that they rarely require an
# announcement. A part of 8 KiB takes 18 ms on a link of 3.65 Mbit/s, and up to
# 0.2 s behind other parts.
_DELAY_STEPS_MS = (0, 250, 500, 1000)


class FleetAgent:
    """This agent's state, announced to every control node when it changes.

    Args:
        settings: addresses, failure domain, region and service of this agent.
        view: this agent's view of the fleet.
        channels: channels to control nodes.
        min_part_s: returns the recent minimum transfer time of a part of
            weights.
        guarded_versions: returns the versions for `AgentState.guarded`.
    """

    def __init__(
        self,
        settings: NodeSettings,
        view: FleetView,
        channels: ChannelPool,
        min_part_s: Callable[[], float] = lambda: 0.0,
        guarded_versions: Callable[[], list[fleet_pb2.WeightGoal]] = list,
    ):
        """Starts with a state that has not been announced."""
        self._guarded_versions = guarded_versions
        self._announced_at = -math.inf
        # Announcements in flight to control nodes.
        self._announcing: set[asyncio.Task] = set()
        self._min_part_s = min_part_s
        self._view = view
        self._channels = channels
        self._announced_addresses: set[str] = set()
        self.state = fleet_pb2.AgentState(
            address=settings.rpc_address,
            target_address=settings.target_address,
            failure_domain=settings.failure_domain,
            region=settings.region,
            incarnation=secrets.token_hex(8),
            service=settings.target_service,
            started=time.time_ns() // _NS_IN_MS,
        )

    def announced_state(self) -> fleet_pb2.AgentState | None:
        """Returns the state; None before the target's first report.

        An agent that has just started must not announce that its target holds
        nothing, because entries would stop sending to it.
        """
        return self.state if self.state.sequence else None

    async def announce(
        self,
        phase: fleet_pb2.AgentPhase,
        held: Iterable[fleet_pb2.HeldLayers],
        staged: fleet_pb2.HeldLayers | None,
        target_born_ms: int = 0,
    ) -> None:
        """Announces a changed state; returns when a control node has it.

        If the time of day was set back between two starts of the agent, the
        fleet takes the announcement of the earlier incarnation for the newer
        one. The start time of this incarnation is then raised above it, as
        incarnation numbers are in SWIM (Das, Gupta and Motivala, 2002).
        """
        state = fleet_pb2.AgentState()
        state.CopyFrom(self.state)
        known = self._view.agents_by_address.get(state.address)
        if known is not None and known.incarnation != state.incarnation:
            state.started = max(state.started, known.started + 1)
        state.phase = phase
        state.target_born_ms = target_born_ms
        state.link_delay_ms = _rounded_delay_ms(self._min_part_s())
        del state.guarded[:]
        state.guarded.extend(self._guarded_versions())
        del state.held[:]
        state.held.extend(held)
        state.ClearField("staged")
        if staged is not None:
            state.staged.CopyFrom(staged)
        is_changed = state != self.state or not self.state.sequence
        if not is_changed and not self._must_renew():
            await self._announce_to_control()
            return
        state.sequence += 1
        self._announced_addresses = set()
        self._announced_at = now_s()
        self.state = state
        if is_changed:
            self._log_state()
        self._view.merge([], [state])
        await self._announce_to_control()

    def _must_renew(self) -> bool:
        """Returns whether a guard must be renewed before it expires."""
        if now_s() - self._announced_at < GUARD_RENEWED_S:
            return False
        return any(
            part.model == goal.model and part.version < goal.version
            for part in self.state.held
            for goal in self.state.guarded
        )

    def _log_state(self) -> None:
        state = self.state
        log_event(
            "agent_state",
            phase=fleet_pb2.AgentPhase.Name(state.phase),
            held=_versions(state.held),
            staged=state.staged.version,
            link_delay_ms=state.link_delay_ms,
            guarded=",".join(str(goal.version) for goal in state.guarded),
            target_born_ms=state.target_born_ms,
            sequence=state.sequence,
        )

    async def _announce_to_control(self) -> None:
        """Sends the state to the control nodes that have not received it.

        Their update streams may have been opened before there was a state to
        announce. Returns when the first node has the state, because each node
        relays it to all: an unreachable one would delay orders until the call
        to it times out.
        """
        addresses = (
            set(self._view.control_addresses) - self._announced_addresses
        )
        self._announced_addresses |= addresses
        tasks = {asyncio.create_task(self._announce_to(a)) for a in addresses}
        self._announcing |= tasks
        for task in tasks:
            task.add_done_callback(self._announcing.discard)
        waiting = set(tasks)
        while waiting:
            done, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED
            )
            if any(task.result() for task in done):
                return

    async def _announce_to(self, address: str) -> bool:
        """Sends the state to one control node; returns whether it has it."""
        stub = fleet_grpc.FleetStub(self._channels.channel(address))
        request = fleet_pb2.RelayRequest(agents=[self.state])
        # The update stream detects an unreachable control node.
        with contextlib.suppress(*CALL_ERRORS):
            await stub.Relay(request, timeout=_ANNOUNCE_TIMEOUT_S)
            return True
        return False

    def peers(self) -> list[fleet_pb2.AgentState]:
        """Returns the other agents whose targets belong to the same service."""
        return [
            agent
            for agent in self._view.agents_by_address.values()
            if agent.service == self.state.service
            and agent.address != self.state.address
        ]


def _versions(held: Iterable[fleet_pb2.HeldLayers]) -> str:
    return ",".join(
        f"{part.version}[{part.first_layer}:{part.end_layer}]" for part in held
    )


def _rounded_delay_ms(delay_s: float) -> int:
    return max(step for step in _DELAY_STEPS_MS if step <= delay_s * 1000)
