"""Join requests of a replica that no leader replicates to."""

import asyncio
from collections.abc import Callable

from damaskcroft._generated import consensus_pb2
from damaskcroft.clock import now_s
from damaskcroft.consensus._log import DurableLog
from damaskcroft.consensus._members import find_member
from damaskcroft.consensus._setup import ReplicaOptions
from damaskcroft.consensus._transport import Transport
from damaskcroft.observe import log_event

__all__ = ["Joiner"]

# A replica asks to join after this many election timeouts without a leader.
_LEADER_SILENCE_TIMEOUTS = 2


class Joiner:
    """Asks the other replicas to add this one as a learner while needed.

    That is the case with an empty disk, on a new machine, and after the other
    members have dropped the replica.

    Args:
        options: options of the replica.
        transport: sends the join requests.
        log: holds the member list.
        incarnation: incarnation of the replica's disk.
        is_leader: returns whether the replica is the leader.
        leader_heard_at: returns the loop time at which a leader was last
            heard, or at which the replica started.
    """

    def __init__(
        self,
        options: ReplicaOptions,
        transport: Transport,
        log: DurableLog,
        incarnation: str,
        is_leader: Callable[[], bool],
        leader_heard_at: Callable[[], float],
    ):
        """Keeps the arguments; `run` sends the requests."""
        self._options = options
        self._transport = transport
        self._log = log
        self._incarnation = incarnation
        self._is_leader = is_leader
        self._leader_heard_at = leader_heard_at

    async def run(self) -> None:
        """Sends a join request once per election timeout while needed."""
        member = consensus_pb2.Voter(
            id=self._options.id,
            address=self._options.address,
            incarnation=self._incarnation,
        )
        request = consensus_pb2.JoinRequest(member=member)
        while True:
            if self._needs_to_join() and not self._is_leader():
                await self._request_to_join(request)
            await asyncio.sleep(self._options.election_timeout_s)

    def _needs_to_join(self) -> bool:
        member = find_member(self._log.config(), self._options.id)
        if member is None or member.incarnation != self._incarnation:
            return True
        silence_s = now_s() - self._leader_heard_at()
        return (
            silence_s
            > _LEADER_SILENCE_TIMEOUTS * self._options.election_timeout_s
        )

    async def _request_to_join(
        self, request: consensus_pb2.JoinRequest
    ) -> None:
        known_addresses = {m.address for m in self._log.config().members}
        known_addresses.update(self._options.first_members.values())
        leaders = await self._send_to_all(request, known_addresses)
        # The leader may have joined later than all members known here.
        await self._send_to_all(request, leaders - known_addresses)

    async def _send_to_all(
        self, request: consensus_pb2.JoinRequest, addresses: set[str]
    ) -> set[str]:
        """Sends the request to all; returns the leaders in the replies."""
        others = sorted(addresses - {self._options.address})
        replies = await asyncio.gather(
            *(self._transport.join(address, request) for address in others),
            return_exceptions=True,
        )
        leaders = set()
        for address, reply in zip(others, replies, strict=True):
            if isinstance(reply, BaseException):
                log_event("join_unanswered", address=address, reason=reply)
            elif reply.leader:
                leaders.add(reply.leader)
        return leaders
