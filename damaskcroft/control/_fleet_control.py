"""What operators and targets may ask of a control node of a fleet."""

import asyncio
import dataclasses
import zlib

from damaskcroft._generated import fleet_grpc, fleet_pb2
from damaskcroft.consensus import Committed, DiskFailed, NotLeader, Replica
from damaskcroft.control._fleet_state import FleetState
from damaskcroft.fleet import (
    FleetView,
    Unusable,
    checked,
    configuration_faults,
    note_unusable,
    relay,
)
from damaskcroft.observe import log_event, metrics
from damaskcroft.rpc import CALL_ERRORS, ChannelPool, called

__all__ = ["Accepted", "FleetControl", "Invalid", "Unavailable"]

# Operators turn to another node after a second without an answer.
_COMMIT_TIMEOUT_S = 0.9
_READ_TIMEOUT_S = 0.8
_APPLY_POLL_S = 0.005
# Most elections are over after so long without a leader; a node that hears
# none for longer refuses at once, since another node may hear one.
_ELECTION_S = 2.0
_ELECTION_POLL_S = 0.03


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """It holds, durably, on a majority.

    Attributes:
        version: the version in place, which may be a higher one.
    """

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """It makes no sense and changed nothing."""

    fault: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """This node can't say now; another one, or a later try, may.

    Attributes:
        reason: one of a few fixed texts.
        detail: what of it differs from case to case.
        is_not_taken: whether it is sure that nothing came of a change.
    """

    reason: str
    detail: str = ""
    is_not_taken: bool = False


class FleetControl:
    """One control node's operations."""

    def __init__(
        self,
        replica: Replica,
        state: FleetState,
        view: FleetView,
        channels: ChannelPool,
    ):
        """Works on a replica, the state that it drives, and the targets."""
        self._replica = replica
        self._state = state
        self._view = view
        self._channels = channels
        state.listen(self._name_services)

    def _name_services(self) -> None:
        """Lets targets count whose services the configuration names."""
        configuration = self._state.configuration
        if configuration is not None:
            self._view.name_services(s.name for s in configuration.services)

    # --- Operators -----------------------------------------------------------

    async def configure(
        self, configuration: fleet_pb2.Configuration
    ) -> Accepted | Invalid | Unavailable:
        """Puts a configuration in force unless a higher one is."""
        fault = next(configuration_faults(configuration), None)
        if fault is not None:
            log_event(
                "configuration_invalid",
                version=configuration.version,
                fault=fault,
            )
            return Invalid(fault)
        if configuration.version <= self._state.version:
            return Accepted(self._state.version)
        command = fleet_pb2.FleetCommand(configure=configuration)
        # Written out it is as large as all else together, ten times smaller
        # this way; links between regions are narrow.
        command.configure.source = zlib.compress(configuration.source)
        outcome = await self.commit(command)
        log_event(
            "configuration_put",
            version=configuration.version,
            routes=len(configuration.routes),
            outcome=type(outcome).__name__,
            in_place=self._state.version,
        )
        return outcome

    async def name_weights(
        self, goal: fleet_pb2.WeightGoal
    ) -> Accepted | Invalid | Unavailable:
        """Names the version of weights that a model should serve."""
        if goal.version < 1 or not goal.model:
            return Invalid("no model, or a version below 1")
        if goal.version <= self._state.weights_version(goal.model):
            return Accepted(self._state.weights_version(goal.model))
        command = fleet_pb2.FleetCommand(name_weights=goal)
        outcome = await self.commit(command)
        log_event(
            "weights_put",
            model=goal.model,
            version=goal.version,
            outcome=type(outcome).__name__,
        )
        return outcome

    async def read(self) -> bytes | Unavailable:
        """The newest acknowledged configuration, as its operator wrote it."""
        outcome = await self._read()
        if isinstance(outcome, Unavailable):
            self._note_refusal("read", outcome)
        return outcome

    async def _read(self) -> bytes | Unavailable:
        index = None
        try:
            async with asyncio.timeout(_READ_TIMEOUT_S):
                while (index := await self._read_index()) is None:
                    if not self._may_hear_leader():
                        return Unavailable("no majority confirms the leader")
                    await asyncio.sleep(_ELECTION_POLL_S)
                while self._replica.applied_index < index:
                    if self._replica.has_stopped:
                        return Unavailable("this node ends")
                    await asyncio.sleep(_APPLY_POLL_S)
        except TimeoutError:
            if index is None:
                return Unavailable("no majority confirms the leader")
            return Unavailable("not caught up in time")
        configuration = self._state.configuration
        if configuration is None:
            return Unavailable("no configuration yet")
        return zlib.decompress(configuration.source)

    def _note_refusal(self, call: str, refusal: Unavailable) -> None:
        metrics.CONTROL_REFUSALS.labels(call, refusal.reason).inc()
        log_event(
            "control_refused",
            call=call,
            reason=refusal.reason,
            detail=refusal.detail,
            leader=self._replica.leader_address,
            term=self._replica.term,
        )

    # --- Targets -------------------------------------------------------------

    async def announce(
        self, target_id: str, word: fleet_pb2.TargetState | Unusable
    ) -> bool | Unusable:
        """Takes a target's word; whether it may count as taken.

        That a target is leaving counts once a majority of control nodes
        knows, so that every entry in touch hears of it. What no target can
        have said changes nothing.
        """
        state = checked(word)
        if isinstance(state, Unusable):
            note_unusable("announcement", target_id, state)
            return state
        if state.phase == fleet_pb2.TARGET_READY:
            self._view.take([state])
            return True
        known = await self._tell_majority(state)
        log_event(
            "target_leaving",
            id=state.id,
            phase=fleet_pb2.TargetPhase.Name(state.phase),
            born_ms=state.born_ms,
            majority_knows=known,
        )
        return known

    async def leave(
        self, target_id: str, start: fleet_pb2.TargetState | Unusable
    ) -> bool | Unusable:
        """Takes a target's last word; see `announce`.

        Args:
            target_id: whose it is.
            start: which start ends. Where it isn't told, that is the newest
                one that this node knows.
        """
        if isinstance(start, Unusable):
            note_unusable("leave", target_id, start)
            return start
        if not start.born_ms:
            start.born_ms = self._view.book.newest_born_ms(target_id)
        return await self.announce(target_id, start)

    async def _tell_majority(self, state: fleet_pb2.TargetState) -> bool:
        self._view.take([state])
        members = self._replica.member_addresses()
        others = [a for a in members if a != self._replica.address]
        request = fleet_pb2.RelayRequest(targets=[state])
        told = await asyncio.gather(
            *(relay(self._channels, address, request) for address in others)
        )
        counted = sum(told) + (self._replica.address in members)
        return counted > len(members) // 2

    # --- The log ------------------------------------------------------------

    async def commit(
        self, command: fleet_pb2.FleetCommand
    ) -> Accepted | Unavailable:
        """Commits a command here or at the leader."""
        outcome = await self._commit(command)
        if isinstance(outcome, Unavailable):
            self._note_refusal(command.WhichOneof("kind") or "", outcome)
        return outcome

    async def _commit(
        self, command: fleet_pb2.FleetCommand
    ) -> Accepted | Unavailable:
        try:
            async with asyncio.timeout(_COMMIT_TIMEOUT_S):
                while True:
                    outcome = await self._commit_once(command)
                    if not isinstance(outcome, Unavailable):
                        return outcome
                    if not outcome.is_not_taken or not self._may_hear_leader():
                        return outcome
                    await asyncio.sleep(_ELECTION_POLL_S)
        except TimeoutError:
            return Unavailable("not committed in time")

    def _may_hear_leader(self) -> bool:
        """Whether one may be elected while a caller waits."""
        if self._replica.has_stopped:
            return False
        return self._replica.silent_s < _ELECTION_S

    async def _commit_once(
        self, command: fleet_pb2.FleetCommand
    ) -> Accepted | Unavailable:
        if self._replica.is_leader:
            return await self.commit_here(command)
        return await self._commit_at_leader(command)

    async def commit_here(
        self, command: fleet_pb2.FleetCommand
    ) -> Accepted | Unavailable:
        """Commits a command as the leader."""
        outcome = await self._replica.propose(command.SerializeToString())
        match outcome:
            case Committed(result=result):
                if result.changed and command.HasField("name_weights"):
                    goal = command.name_weights
                    self._state.goal_times.accept(goal.model, goal.version)
                return Accepted(result.version)
            case NotLeader():
                return Unavailable("not the leader", is_not_taken=True)
            case DiskFailed(reason=reason):
                return Unavailable("the leader's disk failed", reason)
        return Unavailable("not known to be committed")

    async def _commit_at_leader(
        self, command: fleet_pb2.FleetCommand
    ) -> Accepted | Unavailable:
        address = self._replica.leader_address
        if not address:
            return Unavailable("no leader known", is_not_taken=True)
        stub = fleet_grpc.FleetStub(self._channels.channel(address))
        request = fleet_pb2.ForwardRequest(command=command)
        try:
            # Not by the library's timeout, which may end in the same step as
            # the caller's and then looks like a cancellation.
            reply = await called(stub.Forward(request), _COMMIT_TIMEOUT_S)
        except ConnectionRefusedError as error:
            return Unavailable("leader gone", repr(error), is_not_taken=True)
        except CALL_ERRORS as error:
            return Unavailable("leader unreachable", f"{address}: {error!r}")
        if reply.not_taken:
            return Unavailable("not the leader", address, is_not_taken=True)
        if not reply.committed:
            return Unavailable("not known to be committed")
        return Accepted(reply.version)

    async def confirmed_index(self) -> int | None:
        """As the leader: an index that reads must have applied."""
        if not await self._replica.confirm_leader(_READ_TIMEOUT_S):
            return None
        return self._replica.commit_index

    async def _read_index(self) -> int | None:
        if self._replica.is_leader:
            return await self.confirmed_index()
        address = self._replica.leader_address
        if not address:
            return None
        stub = fleet_grpc.FleetStub(self._channels.channel(address))
        try:
            reply = await called(
                stub.ReadIndex(fleet_pb2.ReadIndexRequest()), _READ_TIMEOUT_S
            )
        except CALL_ERRORS as error:
            log_event("read_index_failed", leader=address, reason=error)
            return None
        return reply.index if reply.confirmed else None
