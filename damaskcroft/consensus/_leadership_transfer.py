"""Leadership transfer: a leader passes its leadership to another voter.

A leader that shuts down without it leaves the cluster without a leader for an
election timeout. Follows section 3.10 of Ongaro's dissertation (2014).
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

__all__ = ["Leadership", "LeadershipTransfer"]

# A voter that was sent TimeoutNow and has not been elected within this share of
# an election timeout is considered failed, and another voter is tried.
_ATTEMPT_ELECTION_TIMEOUTS = 0.5


class Leadership(Protocol):
    """The part of a replica that a leadership transfer reads."""

    log: DurableLog
    leader_id: str

    @property
    def term(self) -> int:
        """The current term."""

    @property
    def is_leader(self) -> bool:
        """Whether the replica is the leader of that term."""

    @property
    def applied_index(self) -> int:
        """Index of the newest entry that is committed and applied."""

    @property
    def peers(self) -> Peers:
        """The replication state of the other members."""


class LeadershipTransfer:
    """Transfers the leadership of one replica to another voter.

    No entry is appended during a transfer. The leader's lease ends before
    TimeoutNow is sent, because voters grant the new candidate their vote even
    though they have heard from this leader within the election timeout.

    Args:
        options: options of the replica.
        leadership: the replica.
        transport: sends TimeoutNow to the other voters.
        changed: notified when any part of `leadership` has changed.
    """

    __slots__ = (
        "_changed",
        "_election_timeout_s",
        "_finished",
        "_id",
        "_leadership",
        "_lease_ended_term",
        "_transfer_lock",
        "_transport",
        "is_in_progress",
    )

    def __init__(
        self,
        options: ReplicaOptions,
        leadership: Leadership,
        transport: Transport,
        changed: Signal,
    ):
        """Keeps the arguments; no transfer is in progress."""
        self._id = options.id
        self._election_timeout_s = options.election_timeout_s
        self._leadership = leadership
        self._transport = transport
        self._changed = changed
        self._transfer_lock = asyncio.Lock()
        self._finished = Signal()
        self._lease_ended_term = -1
        self.is_in_progress = False

    def has_lease(self) -> bool:
        """Whether followers still refuse other candidates in this term.

        False once TimeoutNow was sent in the term and may have been received,
        because that voter may start an election at any later time.
        """
        return self._leadership.term != self._lease_ended_term

    async def wait_until_finished(self) -> None:
        """Waits until no transfer is in progress."""
        while self.is_in_progress:
            await self._finished.wait_next()

    async def run(self, within_s: float) -> bool:
        """Transfers the leadership; a concurrent call waits for the first.

        Returns:
            Whether another replica is the leader now.
        """
        started_at = now_s()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s), self._transfer_lock:
                await self._transfer()
        done = self._is_another_leader()
        metrics.LEADERSHIP_TRANSFERS.labels(
            "done" if done else "not_done"
        ).inc()
        log_event(
            "handover",
            done=done,
            leads=self._leadership.is_leader,
            term=self._leadership.term,
            took_s=now_s() - started_at,
        )
        return done

    async def _transfer(self) -> None:
        self.is_in_progress = True
        try:
            await self._transfer_to_any_voter()
        finally:
            self.is_in_progress = False
            self._finished.notify()

    async def _transfer_to_any_voter(self) -> None:
        attempted_ids: set[str] = set()
        while self._leadership.is_leader:
            responsive = self._responsive_voters(attempted_ids)
            if not responsive:
                return
            voter = self._select_successor(responsive)
            if voter is None:
                await self._changed.wait_next()
                continue
            attempted_ids.add(voter.id)
            if await self._send_timeout_now(voter):
                await self._wait_until_stepped_down(voter)
        while not self._is_another_leader():
            await self._changed.wait_next()

    def _is_another_leader(self) -> bool:
        return self._leadership.leader_id not in ("", self._id)

    def _responsive_voters(
        self, attempted_ids: set[str]
    ) -> list[consensus_pb2.Voter]:
        peers = self._leadership.peers
        return [
            voter
            for voter in voters(self._leadership.log.config())
            if voter.id not in attempted_ids
            and voter.id != self._id
            and peers.silent_s(voter) < self._election_timeout_s
        ]

    def _select_successor(
        self, responsive: list[consensus_pb2.Voter]
    ) -> consensus_pb2.Voter | None:
        """The most recently heard of the voters that hold the whole log."""
        last_index = self._leadership.log.last_index
        if self._leadership.applied_index < last_index:
            return None
        peers = self._leadership.peers
        candidates = [
            v for v in responsive if peers.match_index_of(v) >= last_index
        ]
        return min(candidates, key=peers.silent_s, default=None)

    async def _send_timeout_now(self, voter: consensus_pb2.Voter) -> bool:
        """Sends TimeoutNow; returns whether the voter has agreed to stand.

        Without a reply the voter may still start an election, so the lease
        stays ended; only a refusal restores it.
        """
        previous_term, self._lease_ended_term = (
            self._lease_ended_term,
            self._leadership.term,
        )
        request = consensus_pb2.TimeoutNowRequest(
            term=self._leadership.term, leader=self._id
        )
        log_event("handing_over", to=voter.id, term=request.term)
        try:
            async with asyncio.timeout(self._attempt_timeout_s):
                reply = await self._transport.timeout_now(
                    voter.address, request
                )
        except (PeerUnreachableError, TimeoutError) as error:
            log_event("handover_unanswered", to=voter.id, reason=error)
            return False
        if reply.stands:
            return True
        log_event("handover_refused", to=voter.id, term=reply.term)
        self._lease_ended_term = previous_term
        return False

    async def _wait_until_stepped_down(
        self, voter: consensus_pb2.Voter
    ) -> None:
        """Waits until this replica steps down, for one attempt at most."""
        try:
            async with asyncio.timeout(self._attempt_timeout_s):
                while self._leadership.is_leader:
                    await self._changed.wait_next()
        except TimeoutError:
            log_event("handover_not_taken", to=voter.id)

    @property
    def _attempt_timeout_s(self) -> float:
        return self._election_timeout_s * _ATTEMPT_ELECTION_TIMEOUTS
