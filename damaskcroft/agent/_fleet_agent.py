"""What an agent of a fleet tells the others about itself and its target."""

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

_TELL_TIMEOUT_S = 0.5
_NS_IN_MS = 1_000_000
# Delays of the link are told in steps, so that a word is needed seldom. A part
# of 8 KiB takes 18 ms on a link of 3.65 Mbit/s and up to 0.2 s behind others.
_DELAY_STEPS_MS = (0, 250, 500, 1000)


class FleetAgent:
    """This agent's state, told to every control node when it changes.

    Args:
        settings: where this agent stands.
        view: what it knows of the fleet.
        channels: to control nodes.
        quickest_part_s: what parts of weights take at least to come.
        guarded_goals: see `AgentState.guarded`.
    """

    def __init__(
        self,
        settings: NodeSettings,
        view: FleetView,
        channels: ChannelPool,
        quickest_part_s: Callable[[], float] = lambda: 0.0,
        guarded_goals: Callable[[], list[fleet_pb2.WeightGoal]] = list,
    ):
        """See the class."""
        self._guarded_goals = guarded_goals
        self._told_at = -math.inf
        # Words that are on their way to control nodes.
        self._telling: set[asyncio.Task] = set()
        self._quickest_part_s = quickest_part_s
        self._view = view
        self._channels = channels
        self._told_addresses: set[str] = set()
        self.state = fleet_pb2.AgentState(
            address=settings.rpc_address,
            target_address=settings.target_address,
            failure_domain=settings.failure_domain,
            region=settings.region,
            incarnation=secrets.token_hex(8),
            service=settings.target_service,
            started=time.time_ns() // _NS_IN_MS,
        )

    def known_state(self) -> fleet_pb2.AgentState | None:
        """The state once the target has been heard; None before.

        An agent that has just started must not tell that its target holds
        nothing: entries would leave it.
        """
        return self.state if self.state.sequence else None

    async def tell(
        self,
        phase: fleet_pb2.AgentPhase,
        held: Iterable[fleet_pb2.HeldLayers],
        staged: fleet_pb2.HeldLayers | None,
        target_born_ms: int = 0,
    ) -> None:
        """Tells what has changed; returns when control nodes have it.

        Where the fleet takes a word of an earlier incarnation for newer, since
        the time of day has gone back between the starts, this one goes above
        it (as incarnation numbers do in SWIM: Das, Gupta and Motivala, 2002).
        """
        state = fleet_pb2.AgentState()
        state.CopyFrom(self.state)
        known = self._view.agents_by_address.get(state.address)
        if known is not None and known.incarnation != state.incarnation:
            state.started = max(state.started, known.started + 1)
        state.phase = phase
        state.target_born_ms = target_born_ms
        state.link_delay_ms = _step_ms(self._quickest_part_s())
        del state.guarded[:]
        state.guarded.extend(self._guarded_goals())
        del state.held[:]
        state.held.extend(held)
        state.ClearField("staged")
        if staged is not None:
            state.staged.CopyFrom(staged)
        is_news = state != self.state or not self.state.sequence
        if not is_news and not self._must_renew():
            await self._tell_all()
            return
        state.sequence += 1
        self._told_addresses = set()
        self._told_at = now_s()
        self.state = state
        if is_news:
            self._log_state()
        self._view.take([], [state])
        await self._tell_all()

    def _must_renew(self) -> bool:
        """Whether a guard is to be told again, as others hold it for short."""
        if now_s() - self._told_at < GUARD_RENEWED_S:
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

    async def _tell_all(self) -> None:
        """Tells control nodes of which this agent heard after the last word.

        Their streams may have been opened before there was a word to give.
        Returns when the first one has it, since each tells everybody: one that
        is away would hold up orders for as long as a call to it takes to fail.
        """
        addresses = set(self._view.control_addresses) - self._told_addresses
        self._told_addresses |= addresses
        tasks = {asyncio.create_task(self._tell(a)) for a in addresses}
        self._telling |= tasks
        for task in tasks:
            task.add_done_callback(self._telling.discard)
        waiting = set(tasks)
        while waiting:
            done, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED
            )
            if any(task.result() for task in done):
                return

    async def _tell(self, address: str) -> bool:
        """Tells one control node; whether it has the word."""
        stub = fleet_grpc.FleetStub(self._channels.channel(address))
        request = fleet_pb2.RelayRequest(agents=[self.state])
        # Its stream of updates notices that a control node is away.
        with contextlib.suppress(*CALL_ERRORS):
            await stub.Relay(request, timeout=_TELL_TIMEOUT_S)
            return True
        return False

    def peers(self) -> list[fleet_pb2.AgentState]:
        """Agents beside targets of the same service, this one left out."""
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


def _step_ms(delay_s: float) -> int:
    return max(step for step in _DELAY_STEPS_MS if step <= delay_s * 1000)
