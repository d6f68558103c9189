"""A replica that no leader counts asks to be taken in."""

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

# Silence of the leader, in election timeouts, after which a replica asks.
_SILENT_TIMEOUTS = 2


class Joiner:
    """Asks the others to be made a learner while nobody counts this replica.

    That is so with an empty disk, on a new machine, and after the others have
    dropped it.

    Args:
        options: of the replica.
        transport: reaches the others.
        log: names the members.
        incarnation: of the replica's disk.
        is_leader: whether the replica leads.
        heard_at: loop time of the last word of a leader, or of the start.
    """

    def __init__(
        self,
        options: ReplicaOptions,
        transport: Transport,
        log: DurableLog,
        incarnation: str,
        is_leader: Callable[[], bool],
        heard_at: Callable[[], float],
    ):
        """See the class."""
        self._options = options
        self._transport = transport
        self._log = log
        self._incarnation = incarnation
        self._is_leader = is_leader
        self._heard_at = heard_at

    async def run(self) -> None:
        """Asks once in an election timeout, as long as it is needed."""
        member = consensus_pb2.Voter(
            id=self._options.id,
            address=self._options.address,
            incarnation=self._incarnation,
        )
        request = consensus_pb2.JoinRequest(member=member)
        while True:
            if self._is_left_out() and not self._is_leader():
                await self._ask(request)
            await asyncio.sleep(self._options.election_timeout_s)

    def _is_left_out(self) -> bool:
        member = find_member(self._log.config(), self._options.id)
        if member is None or member.incarnation != self._incarnation:
            return True
        silence_s = now_s() - self._heard_at()
        return silence_s > _SILENT_TIMEOUTS * self._options.election_timeout_s

    async def _ask(self, request: consensus_pb2.JoinRequest) -> None:
        known = {m.address for m in self._log.config().members}
        known.update(self._options.first_members.values())
        leaders = await self._ask_all(request, known)
        # The leader may have joined later than all that are known here.
        await self._ask_all(request, leaders - known)

    async def _ask_all(
        self, request: consensus_pb2.JoinRequest, addresses: set[str]
    ) -> set[str]:
        """Asks at each address; gives those of the leaders they tell of."""
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
