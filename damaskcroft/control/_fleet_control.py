"""Operations of a fleet's control node for operators and targets."""

import asyncio
import dataclasses
import zlib
from collections.abc import Collection

from damaskcroft._generated import fleet_grpc, fleet_pb2
from damaskcroft.consensus import Committed, DiskFailed, NotLeader, Replica
from damaskcroft.control._fleet_state import FleetState
from damaskcroft.fleet import (
    FleetView,
    InvalidAnnouncement,
    checked,
    configuration_faults,
    record_invalid_announcement,
    relay,
)
from damaskcroft.observe import log_event, metrics
from damaskcroft.rpc import CALL_ERRORS, ChannelPool, called

__all__ = ["Accepted", "FleetControl", "Invalid", "Unavailable"]

# Operators retry at another node after a second without an answer.
_COMMIT_TIMEOUT_S = 0.9
_READ_TIMEOUT_S = 0.8
_APPLY_POLL_S = 0.005
# Most elections end within this time. A node that has been without a leader for
# longer refuses at once, because another node may be in touch with one.
_MAX_LEADERLESS_S = 2.0
_ELECTION_POLL_S = 0.03


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change is durable on a majority.

    Attributes:
        version: the version in force, which may be higher than the requested
            one.
    """

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The change failed validation and was not applied."""

    fault: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """This node cannot answer now; another node or a later attempt may.

    Attributes:
        reason: one of a few fixed texts, used as a metric label.
        detail: the variable part of the reason.
        is_not_committed: whether it is certain that the change will not be
            committed.
    """

    reason: str
    detail: str = ""
    is_not_committed: bool = False


class FleetControl:
    """Operations of one control node."""

    def __init__(
        self,
        replica: Replica,
        state: FleetState,
        view: FleetView,
        channels: ChannelPool,
        failure_domains: Collection[str] = (),
    ):
        """Commits to `replica`, whose log drives `state`.

        Announcements of targets go into `view`; `channels` leads to other
        control nodes. Of `failure_domains`, and of those that targets
        announce, orders may name one.
        """
        self._failure_domains = frozenset(failure_domains)
        self._replica = replica
        self._state = state
        self._view = view
        self._channels = channels
        state.add_listener(self._update_service_names)

    def _update_service_names(self) -> None:
        """Restricts the view to targets of configured services."""
        configuration = self._state.configuration
        if configuration is not None:
            self._view.set_configured_services(
                s.name for s in configuration.services
            )

    # --- Operators -----------------------------------------------------------

    async def configure(
        self, configuration: fleet_pb2.Configuration
    ) -> Accepted | Invalid | Unavailable:
        """Commits a configuration unless its version is already reached."""
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
        # Uncompressed, the source is as large as the rest of the command;
        # compressed, a tenth of that. Links between regions are narrow.
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
        self, desired: fleet_pb2.WeightGoal
    ) -> Accepted | Invalid | Unavailable:
        """Sets the desired version of a model's weights."""
        if desired.version < 1 or not desired.model:
            return Invalid("no model, or a version below 1")
        if desired.version <= self._state.desired_version(desired.model):
            return Accepted(self._state.desired_version(desired.model))
        command = fleet_pb2.FleetCommand(name_weights=desired)
        outcome = await self.commit(command)
        log_event(
            "weights_put",
            model=desired.model,
            version=desired.version,
            outcome=type(outcome).__name__,
        )
        return outcome

    async def evacuate(
        self, failure_domain: str, *, evacuated: bool
    ) -> Accepted | Invalid | Unavailable:
        """Evacuates a failure domain, or ends its evacuation.

        Every order passes through the log, also one that changes nothing: what
        this node has applied may be older than an order accepted elsewhere.
        """
        outcome: Accepted | Invalid | Unavailable
        try:
            async with asyncio.timeout(_COMMIT_TIMEOUT_S):
                outcome = await self._evacuate(
                    failure_domain, evacuated=evacuated
                )
        except TimeoutError:
            outcome = Unavailable("not committed in time")
            self._record_refusal("evacuate", outcome)
        order = "start" if evacuated else "end"
        metrics.EVACUATION_ORDERS.labels(order, type(outcome).__name__).inc()
        log_event(
            "evacuation_ordered",
            failure_domain=failure_domain,
            order=order,
            outcome=type(outcome).__name__,
        )
        return outcome

    async def _evacuate(
        self, failure_domain: str, *, evacuated: bool
    ) -> Accepted | Invalid | Unavailable:
        refusal = await self._catch_up()
        if refusal is not None:
            self._record_refusal("evacuate", refusal)
            return refusal
        if not self._knows_domain(failure_domain):
            return Invalid("no such failure domain")
        known_revision = self._state.evacuations.revision(failure_domain)
        order = fleet_pb2.EvacuationOrder(
            failure_domain=failure_domain,
            evacuated=evacuated,
            known_revision=known_revision,
        )
        return await self.commit(fleet_pb2.FleetCommand(evacuate=order))

    def _knows_domain(self, failure_domain: str) -> bool:
        if failure_domain in self._failure_domains:
            return True
        if self._state.evacuations.revision(failure_domain):
            return True
        return any(
            state.failure_domain == failure_domain
            for state in self._view.targets.address_holders()
        )

    async def read(self) -> bytes | Unavailable:
        """Returns the newest acknowledged configuration, as it was written."""
        outcome = await self._read()
        if isinstance(outcome, Unavailable):
            self._record_refusal("read", outcome)
        return outcome

    async def _read(self) -> bytes | Unavailable:
        refusal = await self._catch_up()
        if refusal is not None:
            return refusal
        configuration = self._state.configuration
        if configuration is None:
            return Unavailable("no configuration yet")
        return zlib.decompress(configuration.source)

    async def _catch_up(self) -> Unavailable | None:
        """Waits until this node has applied all that was acknowledged."""
        index = None
        try:
            async with asyncio.timeout(_READ_TIMEOUT_S):
                while (index := await self._read_index()) is None:
                    if not self._may_find_leader():
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
        return None

    def _record_refusal(self, call: str, refusal: Unavailable) -> None:
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
        self,
        target_id: str,
        announcement: fleet_pb2.TargetState | InvalidAnnouncement,
    ) -> bool | InvalidAnnouncement:
        """Processes an announcement of a target.

        An invalid announcement changes nothing.

        Returns:
            Whether the announcement is in effect. That a target leaves takes
            effect once a majority of control nodes knows it, so that it
            reaches every connected entry.
        """
        state = checked(announcement)
        if isinstance(state, InvalidAnnouncement):
            record_invalid_announcement("announcement", target_id, state)
            return state
        if state.phase == fleet_pb2.TARGET_READY:
            self._view.merge([state])
            return True
        is_majority_informed = await self._relay_to_majority(state)
        log_event(
            "target_leaving",
            id=state.id,
            phase=fleet_pb2.TargetPhase.Name(state.phase),
            born_ms=state.born_ms,
            majority_knows=is_majority_informed,
        )
        return is_majority_informed

    async def leave(
        self, target_id: str, start: fleet_pb2.TargetState | InvalidAnnouncement
    ) -> bool | InvalidAnnouncement:
        """Processes the last announcement of a target; see `announce`.

        Args:
            target_id: the id of the target.
            start: the start that ends. Without a time of birth it is taken to
                be the newest start known to this node.
        """
        if isinstance(start, InvalidAnnouncement):
            record_invalid_announcement("leave", target_id, start)
            return start
        if not start.born_ms:
            start.born_ms = self._view.targets.newest_born_ms(target_id)
        return await self.announce(target_id, start)

    async def _relay_to_majority(self, state: fleet_pb2.TargetState) -> bool:
        self._view.merge([state])
        members = self._replica.member_addresses()
        others = [a for a in members if a != self._replica.address]
        request = fleet_pb2.RelayRequest(targets=[state])
        acknowledged = await asyncio.gather(
            *(relay(self._channels, address, request) for address in others)
        )
        informed_count = sum(acknowledged) + (self._replica.address in members)
        return informed_count > len(members) // 2

    # --- The log ------------------------------------------------------------

    async def commit(
        self, command: fleet_pb2.FleetCommand
    ) -> Accepted | Unavailable:
        """Commits a command at this node if it leads, else at the leader."""
        outcome = await self._commit(command)
        if isinstance(outcome, Unavailable):
            self._record_refusal(command.WhichOneof("kind") or "", outcome)
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
                    if (
                        not outcome.is_not_committed
                        or not self._may_find_leader()
                    ):
                        return outcome
                    await asyncio.sleep(_ELECTION_POLL_S)
        except TimeoutError:
            return Unavailable("not committed in time")

    def _may_find_leader(self) -> bool:
        """Whether a leader may be elected while the caller waits."""
        if self._replica.has_stopped:
            return False
        return self._replica.silent_s < _MAX_LEADERLESS_S

    async def _commit_once(
        self, command: fleet_pb2.FleetCommand
    ) -> Accepted | Unavailable:
        if self._replica.is_leader:
            return await self.commit_here(command)
        return await self._commit_at_leader(command)

    async def commit_here(
        self, command: fleet_pb2.FleetCommand
    ) -> Accepted | Unavailable:
        """Proposes a command to the replica of this node, which must lead."""
        outcome = await self._replica.propose(command.SerializeToString())
        match outcome:
            case Committed(result=None):
                # A newer build has sent a command that this one doesn't know.
                return Unavailable("unknown command")
            case Committed(result=result) if result.is_overtaken:
                return Unavailable("overtaken by another order")
            case Committed(result=result):
                if result.changed and command.HasField("name_weights"):
                    desired = command.name_weights
                    self._state.version_times.mark_accepted(
                        desired.model, desired.version
                    )
                return Accepted(result.version)
            case NotLeader():
                return Unavailable("not the leader", is_not_committed=True)
            case DiskFailed(reason=reason):
                return Unavailable("the leader's disk failed", reason)
        return Unavailable("not known to be committed")

    async def _commit_at_leader(
        self, command: fleet_pb2.FleetCommand
    ) -> Accepted | Unavailable:
        address = self._replica.leader_address
        if not address:
            return Unavailable("no leader known", is_not_committed=True)
        stub = fleet_grpc.FleetStub(self._channels.channel(address))
        request = fleet_pb2.ForwardRequest(command=command)
        try:
            # The library's own timeout may expire in the same event-loop
            # step as the caller's and then looks like a cancellation.
            reply = await called(stub.Forward(request), _COMMIT_TIMEOUT_S)
        except ConnectionRefusedError as error:
            return Unavailable(
                "leader gone", repr(error), is_not_committed=True
            )
        except CALL_ERRORS as error:
            return Unavailable("leader unreachable", f"{address}: {error!r}")
        if reply.not_taken:
            return Unavailable("not the leader", address, is_not_committed=True)
        if not reply.committed:
            return Unavailable("not known to be committed")
        return Accepted(reply.version)

    async def confirmed_index(self) -> int | None:
        """Confirms the leadership and returns the index that reads must apply.

        None where a majority does not confirm this node as the leader.
        """
        if not await self._replica.confirm_leadership(_READ_TIMEOUT_S):
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
