"""A leader that ends hands its term over, so that nobody waits for an election.

Leadership transfer of Ongaro's dissertation (2014), section 3.10.
"""

import asyncio
import contextlib
from typing import Protocol

from damaskcroft._generated import consensus_pb2
from damaskcroft.clock import now_s
from damaskcroft.consensus._log import DurableLog
from damaskcroft.consensus._members import voters
from damaskcroft.consensus._peers import Peers
from damaskcroft.consensus._setup import ReplicaOptions
from damaskcroft.consensus._transport import PeerUnreachableError, Transport
from damaskcroft.observe import log_event, metrics
from damaskcroft.tasks import Signal

__all__ = ["Handover", "Leadership"]

# A voter that was told to stand and doesn't lead after this share of an
# election timeout is taken for gone; another one is told.
_ATTEMPT_SHARE = 0.5


class Leadership(Protocol):
    """What a handover sees of its replica."""

    log: DurableLog
    leader_id: str

    @property
    def term(self) -> int:
        """The current term."""

    @property
    def is_leader(self) -> bool:
        """Whether the replica leads that term."""

    @property
    def applied_index(self) -> int:
        """The newest entry that is committed and applied."""

    @property
    def peers(self) -> Peers:
        """What it knows of the other members."""


class Handover:
    """Gives the leadership of one replica to another voter.

    While it does, nothing new is appended. The lease of the leader ends
    before another replica is told to stand, since that one is elected by
    voters that heard this leader a moment ago.

    Args:
        options: of the replica.
        leadership: of the replica.
        transport: reaches the others.
        changed: given when anything of the leadership has changed.
    """

    __slots__ = (
        "_changed",
        "_election_timeout_s",
        "_ended",
        "_id",
        "_leadership",
        "_one_at_a_time",
        "_risked_term",
        "_transport",
        "is_under_way",
    )

    def __init__(
        self,
        options: ReplicaOptions,
        leadership: Leadership,
        transport: Transport,
        changed: Signal,
    ):
        """None is under way."""
        self._id = options.id
        self._election_timeout_s = options.election_timeout_s
        self._leadership = leadership
        self._transport = transport
        self._changed = changed
        self._one_at_a_time = asyncio.Lock()
        self._ended = Signal()
        self._risked_term = -1
        self.is_under_way = False

    def has_lease(self) -> bool:
        """Whether followers still give no vote to others in this term.

        One that was told to stand may do so at any later time.
        """
        return self._leadership.term != self._risked_term

    async def until_none(self) -> None:
        """Waits while a handover is under way."""
        while self.is_under_way:
            await self._ended.next()

    async def run(self, within_s: float) -> bool:
        """Hands over; a second call waits for the first.

        Returns:
            Whether another replica leads now.
        """
        started_at = now_s()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s), self._one_at_a_time:
                await self._hand_over()
        done = self._another_leads()
        metrics.HANDOVERS.labels("done" if done else "not_done").inc()
        log_event(
            "handover",
            done=done,
            leads=self._leadership.is_leader,
            term=self._leadership.term,
            took_s=now_s() - started_at,
        )
        return done

    async def _hand_over(self) -> None:
        self.is_under_way = True
        try:
            await self._until_another_leads()
        finally:
            self.is_under_way = False
            self._ended.give()

    async def _until_another_leads(self) -> None:
        told: set[str] = set()
        while self._leadership.is_leader:
            heard = self._heard_voters(told)
            if not heard:
                return
            voter = self._caught_up(heard)
            if voter is None:
                await self._changed.next()
                continue
            told.add(voter.id)
            if await self._tell(voter):
                await self._wait_for_end(voter)
        while not self._another_leads():
            await self._changed.next()

    def _another_leads(self) -> bool:
        return self._leadership.leader_id not in ("", self._id)

    def _heard_voters(self, told: set[str]) -> list[consensus_pb2.Voter]:
        peers = self._leadership.peers
        return [
            voter
            for voter in voters(self._leadership.log.config())
            if voter.id not in told
            and voter.id != self._id
            and peers.silent_s(voter) < self._election_timeout_s
        ]

    def _caught_up(
        self, heard: list[consensus_pb2.Voter]
    ) -> consensus_pb2.Voter | None:
        """The one heard last of those that hold the whole log."""
        last_index = self._leadership.log.last_index
        if self._leadership.applied_index < last_index:
            return None
        peers = self._leadership.peers
        ready = [v for v in heard if peers.match(v) >= last_index]
        return min(ready, key=peers.silent_s, default=None)

    async def _tell(self, voter: consensus_pb2.Voter) -> bool:
        """Tells a voter to stand; whether it may do so."""
        held, self._risked_term = self._risked_term, self._leadership.term
        request = consensus_pb2.TimeoutNowRequest(
            term=self._leadership.term, leader=self._id
        )
        log_event("handing_over", to=voter.id, term=request.term)
        try:
            async with asyncio.timeout(self._attempt_s):
                reply = await self._transport.timeout_now(
                    voter.address, request
                )
        except (PeerUnreachableError, TimeoutError) as error:
            log_event("handover_unanswered", to=voter.id, reason=error)
            return False
        if reply.stands:
            return True
        log_event("handover_refused", to=voter.id, term=reply.term)
        self._risked_term = held
        return False

    async def _wait_for_end(self, voter: consensus_pb2.Voter) -> None:
        """Waits until this replica leads no more, or an attempt's time."""
        try:
            async with asyncio.timeout(self._attempt_s):
                while self._leadership.is_leader:
                    await self._changed.next()
        except TimeoutError:
            log_event("handover_not_taken", to=voter.id)

    @property
    def _attempt_s(self) -> float:
        return self._election_timeout_s * _ATTEMPT_SHARE
