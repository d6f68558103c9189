"""Access to the replicated log of a fleet: commits and linearizable reads."""

import asyncio

from damaskcroft._generated import fleet_grpc, fleet_pb2
from damaskcroft.consensus import Committed, DiskFailed, NotLeader, Replica
from damaskcroft.control._answers import Accepted, Unavailable
from damaskcroft.control._fleet_state import FleetState
from damaskcroft.observe import log_event, metrics
from damaskcroft.rpc import CALL_ERRORS, ChannelPool, called

__all__ = ["COMMIT_TIMEOUT_S", "CommandLog"]

# Operators retry at another node after a second without an answer.
COMMIT_TIMEOUT_S = 0.9
_READ_TIMEOUT_S = 0.8
_APPLY_POLL_S = 0.005
# Most elections end within this time. A node that has been without a leader for
# longer refuses at once, because another node may be in touch with one.
_MAX_LEADERLESS_S = 2.0
_ELECTION_POLL_S = 0.03


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
            reply = await called(stub.Forward(request), COMMIT_TIMEOUT_S)
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

    async def catch_up(self) -> Unavailable | None:
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

    def record_refusal(self, call: str, refusal: Unavailable) -> None:
        metrics.CONTROL_REFUSALS.labels(call, refusal.reason).inc()
        log_event(
            "control_refused",
            call=call,
            reason=refusal.reason,
            detail=refusal.detail,
            leader=self._replica.leader_address,
            term=self._replica.term,
        )
