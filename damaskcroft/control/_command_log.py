"""Access to the replicated log of a fleet: commits and linearizable reads."""

import asyncio
import dataclasses

from damaskcroft._generated import fleet_grpc, fleet_pb2
from damaskcroft.clock import now_s
from damaskcroft.consensus import (
    AppendCondition,
    Committed,
    DiskFailed,
    Expired,
    NotLeader,
    Replica,
)
from damaskcroft.control._answers import (
    EXPIRED,
    Accepted,
    Invalid,
    Unavailable,
    record_refusal,
)
from damaskcroft.control._fleet_state import FleetState
from damaskcroft.observe import log_event
from damaskcroft.rpc import CALL_ERRORS, ChannelPool, called

__all__ = ["COMMIT_TIMEOUT_S", "CommandLog", "ReadPoint"]

# Operators retry at another node after a second without an answer. What they
# ordered here is appended before, or not at all.
COMMIT_TIMEOUT_S = 0.9
_READ_TIMEOUT_S = 0.8
_APPLY_POLL_S = 0.005
# Most elections end within this time. A node that has been without a leader for
# longer refuses at once, because another node may be in touch with one.
_MAX_LEADERLESS_S = 2.0
_ELECTION_POLL_S = 0.03


@dataclasses.dataclass(frozen=True, slots=True)
class ReadPoint:
    """State of the log that the leader has confirmed as the newest.

    Attributes:
        index: index that a reader must apply.
        term: term of the leader; 0 from a build that does not send it.
        clock_s: time at the leader's clock when it confirmed.
        received_at: time at the clock of this node when it learned that.
    """

    index: int
    term: int
    clock_s: float
    received_at: float

    def condition(self, expires_at: float) -> AppendCondition | None:
        """Returns the condition of an append at the leader that confirmed.

        Args:
            expires_at: latest time of the append, at the clock of this node.
                The leader reaches it early by the time that its confirmation
                took to arrive, and never late.
        """
        if not self.term:
            return None
        left_s = expires_at - self.received_at
        return AppendCondition(self.term, self.clock_s + left_s)


class CommandLog:
    """Commits commands at the leader, and waits until this node is up to date.

    Args:
        replica: the replica of this node.
        state: the state that its log drives.
        channels: channels to other control nodes.
    """

    def __init__(
        self, replica: Replica, state: FleetState, channels: ChannelPool
    ):
        """Keeps the arguments."""
        self._replica = replica
        self._state = state
        self._channels = channels

    async def commit(
        self, command: fleet_pb2.FleetCommand
    ) -> Accepted | Unavailable:
        """Commits a command at this node if it leads, else at the leader."""
        outcome = await self._commit(command)
        if isinstance(outcome, Unavailable):
            self.record_refusal(command.WhichOneof("kind") or "", outcome)
        return outcome

    async def _commit(
        self, command: fleet_pb2.FleetCommand
    ) -> Accepted | Unavailable:
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_S):
                while True:
                    outcome = await self.commit_once(command)
                    if not await self.finds_other_leader(outcome):
                        return outcome
        except TimeoutError:
            return Unavailable("not committed in time")

    async def finds_other_leader(
        self, outcome: Accepted | Invalid | Unavailable
    ) -> bool:
        """Waits for an election if a command was refused for want of a leader.

        Returns:
            Whether to try again.
        """
        if not isinstance(outcome, Unavailable):
            return False
        if not outcome.is_not_committed or not self._may_find_leader():
            return False
        await asyncio.sleep(_ELECTION_POLL_S)
        return True

    def _may_find_leader(self) -> bool:
        """Whether a leader may be elected while the caller waits."""
        if self._replica.has_stopped:
            return False
        return self._replica.silent_s < _MAX_LEADERLESS_S

    async def commit_once(
        self,
        command: fleet_pb2.FleetCommand,
        condition: AppendCondition | None = None,
    ) -> Accepted | Unavailable:
        """Commits a command at the leader of the moment, without a retry."""
        if self._replica.is_leader:
            return await self.commit_here(command, condition)
        return await self._commit_at_leader(command, condition)

    async def commit_here(
        self,
        command: fleet_pb2.FleetCommand,
        condition: AppendCondition | None = None,
    ) -> Accepted | Unavailable:
        """Proposes a command to the replica of this node, which must lead."""
        outcome = await self._replica.propose(
            command.SerializeToString(), condition
        )
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
            case Expired():
                return EXPIRED
            case DiskFailed(reason=reason):
                return Unavailable("the leader's disk failed", reason)
        return Unavailable("not known to be committed")

    async def _commit_at_leader(
        self,
        command: fleet_pb2.FleetCommand,
        condition: AppendCondition | None,
    ) -> Accepted | Unavailable:
        address = self._replica.leader_address
        if not address:
            return Unavailable("no leader known", is_not_committed=True)
        stub = fleet_grpc.FleetStub(self._channels.channel(address))
        request = fleet_pb2.ForwardRequest(command=command)
        if condition is not None:
            request.term = condition.term
            request.before_s = condition.before_s
        try:
            # The library's own timeout may expire in the same event-loop
            # step as the caller's and then looks like a cancellation.
            reply = await called(stub.Forward(request), COMMIT_TIMEOUT_S)
        except ConnectionRefusedError as error:
            return Unavailable(
                "leader gone", repr(error), is_not_committed=True
            )
        except CALL_ERRORS as error:
            return Unavailable("leader unreachable", f"{address}: {error!r}")
        if reply.expired:
            return EXPIRED
        if reply.not_taken:
            return Unavailable("not the leader", address, is_not_committed=True)
        if not reply.committed:
            return Unavailable("not known to be committed")
        return Accepted(reply.version)

    async def confirm_here(self) -> ReadPoint | None:
        """Confirms that this node leads; None where no majority agrees."""
        if not await self._replica.confirm_leadership(_READ_TIMEOUT_S):
            return None
        return ReadPoint(
            self._replica.commit_index, self._replica.term, now_s(), now_s()
        )

    async def _confirm(self) -> ReadPoint | None:
        if self._replica.is_leader:
            return await self.confirm_here()
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
        if not reply.confirmed:
            return None
        return ReadPoint(reply.index, reply.term, reply.clock_s, now_s())

    async def catch_up(self) -> ReadPoint | Unavailable:
        """Waits until this node has applied all that was acknowledged."""
        point = None
        try:
            async with asyncio.timeout(_READ_TIMEOUT_S):
                while (point := await self._confirm()) is None:
                    if not self._may_find_leader():
                        return Unavailable("no majority confirms the leader")
                    await asyncio.sleep(_ELECTION_POLL_S)
                while self._replica.applied_index < point.index:
                    if self._replica.has_stopped:
                        return Unavailable("this node ends")
                    await asyncio.sleep(_APPLY_POLL_S)
        except TimeoutError:
            if point is None:
                return Unavailable("no majority confirms the leader")
            return Unavailable("not caught up in time")
        return point

    def record_refusal(self, call: str, refusal: Unavailable) -> None:
        """Counts and logs a call that this node could not answer."""
        record_refusal(
            call,
            refusal,
            leader=self._replica.leader_address,
            term=self._replica.term,
        )
