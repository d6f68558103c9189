"""One replica of the log: election, replication, commitment, membership.

A replica consists of concurrent tasks: one runs elections, one per peer
replicates entries, one syncs the leader's own log and one applies committed
entries.
"""

import asyncio
import contextlib
import functools
import random
from collections.abc import Callable, Coroutine
from typing import Any

from transitions import Machine

from damaskcroft._generated import consensus_pb2
from damaskcroft.clock import now_s
from damaskcroft.consensus._applier import Applier
from damaskcroft.consensus._disk import Disk
from damaskcroft.consensus._hard_state import HardStateFile
from damaskcroft.consensus._joining import Joiner
from damaskcroft.consensus._leadership_transfer import LeadershipTransfer
from damaskcroft.consensus._log import DurableLog
from damaskcroft.consensus._members import (
    find_member,
    is_voter,
    voters,
    with_member,
    without_member,
)
from damaskcroft.consensus._outcomes import (
    AppendCondition,
    Committed,
    DiskFailed,
    Expired,
    NotLeader,
    Outcome,
)
from damaskcroft.consensus._peers import Peer, Peers
from damaskcroft.consensus._setup import (
    ReplicaOptions,
    StateMachine,
)
from damaskcroft.consensus._transport import (
    PeerUnreachableError,
    RequestHandler,
    Transport,
)
from damaskcroft.consensus._votes import VoteRefusal, wait_for_majority
from damaskcroft.observe import log_event, metrics
from damaskcroft.tasks import Work, cancel_all, kept_up

# Passes a 10 Mbit/s link within a tenth of the shortest election timeout in
# use, so that a follower that catches up still receives heartbeats in time.
_BATCH_BYTES = 64 * 1024
# Multiplies the time after which a silent learner is dropped, because it may
# have to receive a large snapshot before its first reply.
_LEARNER_SILENCE_FACTOR = 4
# Number of checks per election timeout that a majority follows the leader.
_MAJORITY_CHECKS_PER_TIMEOUT = 4
# A leader without replies of a majority steps down after this many election
# timeouts, the longest time after which followers without a leader start an
# election.
_STEP_DOWN_TIMEOUTS = 2
# A member counts as silent after this many election timeouts without a reply.
_MEMBER_SILENCE_TIMEOUTS = 4
# After a disk failure, a replica starts no election for this many election
# timeouts, so that a replica with a working disk is elected first.
_DISK_PAUSE_TIMEOUTS = 4
_FOLLOWER, _CANDIDATE, _LEADER = "following", "standing", "leading"


class Replica(RequestHandler):
    """One member of the replicated log."""

    # Set by the state machine below.
    state: str
    stand: Callable[[], bool]
    win: Callable[[], bool]
    follow: Callable[[], bool]

    def __init__(
        self,
        options: ReplicaOptions,
        disk: Disk,
        transport: Transport,
        state_machine: StateMachine,
        rng: random.Random | None = None,
    ):
        """Reads the disk; `start` begins participation.

        Raises:
            LogDamagedError: the disk's synced content is unreadable.
        """
        self._options = options
        self._disk = disk
        self._transport = transport
        self._state_machine = state_machine
        self._rng = rng or random.Random()
        self.log = DurableLog(disk)
        self._hard_state = HardStateFile(disk, self.log)
        self._applier = Applier(self.log, state_machine, options)
        self.leader_id = ""
        self._peers = Peers(options.id)
        self._lock = asyncio.Lock()
        self._changed = self._applier.changed
        self._leadership_transfer = LeadershipTransfer(
            options, self, transport, self._changed
        )
        self._replication_requested = asyncio.Event()
        self._local_sync_requested = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()
        self._leader_tasks: set[asyncio.Task] = set()
        self._leader_heard_at = 0.0
        self._started_at = 0.0
        self.has_stopped = False
        self._is_shutting_down = False
        self._term_start_index = 0
        self._disk_failed_at = float("-inf")
        self._machine = Machine(
            model=self,
            states=[_FOLLOWER, _CANDIDATE, _LEADER],
            initial=_FOLLOWER,
            auto_transitions=False,
            transitions=[
                ["stand", [_FOLLOWER, _CANDIDATE], _CANDIDATE],
                ["win", _CANDIDATE, _LEADER],
                ["follow", "*", _FOLLOWER],
            ],
        )

    # --- Interface to the rest of the process ----------------------------

    @property
    def term(self) -> int:
        """The current term."""
        return self._hard_state.term

    @property
    def incarnation(self) -> str:
        """This disk's incarnation."""
        return self._hard_state.incarnation

    @property
    def commit_index(self) -> int:
        """Index of the newest entry known to be committed."""
        return self._applier.commit_index

    @property
    def applied_index(self) -> int:
        """Index of the newest entry applied to the state machine."""
        return self._applier.applied_index

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader of its term."""
        return self.state == _LEADER

    @property
    def peers(self) -> Peers:
        """Replication state of the other members while this replica leads."""
        return self._peers

    @property
    def leader_address(self) -> str:
        """Address of the leader, or empty while unknown."""
        member = find_member(self.log.config(), self.leader_id)
        return member.address if member else ""

    @property
    def silent_s(self) -> float:
        """Time since a leader was last heard; 0 on the leader itself."""
        if self.is_leader:
            return 0.0
        return now_s() - max(self._leader_heard_at, self._started_at)

    @property
    def address(self) -> str:
        """Address at which this replica serves the others."""
        return self._options.address

    def member_addresses(self) -> list[str]:
        """Returns the addresses of all voters."""
        return [member.address for member in voters(self.log.config())]

    @property
    def is_confirmed_leader(self) -> bool:
        """Whether a majority has replied within an election timeout.

        While true, no other leader can have been elected (dissertation,
        6.4.1): followers refuse their vote for that time after hearing from
        the leader, except to a voter that the leader sent TimeoutNow.
        """
        if not self.is_leader or self.commit_index < self._term_start_index:
            return False
        if not self._leadership_transfer.has_lease():
            return False
        age_s = now_s() - self._peers.majority_confirmed_at(self.log.config())
        return age_s < self._options.election_timeout_s

    async def start(self) -> None:
        """Starts the tasks of the replica."""
        # A restarted voter may have followed a leader until just before.
        self._leader_heard_at = now_s()
        self._started_at = now_s()
        self._spawn(self._elect_forever)
        self._spawn(self._applier.run)
        self._spawn(self._make_joiner().run)

    async def transfer_leadership(
        self, within_s: float, *, before_shutdown: bool = False
    ) -> bool:
        """Transfers the leadership and continues as a follower.

        Commands proposed earlier are committed first. Commands proposed during
        the transfer wait until it ends; then they are appended here, or refused
        with `NotLeader`.

        Args:
            within_s: maximum duration; if no other replica is the leader by
                then, this one continues in its role.
            before_shutdown: whether this replica shuts down soon, so that it
                accepts no leadership from another one.

        Returns:
            Whether another replica is the leader.
        """
        self._is_shutting_down = self._is_shutting_down or before_shutdown
        return await self._leadership_transfer.run(within_s)

    async def stop(self) -> None:
        """Ends all tasks; the replica takes no part in elections afterwards."""
        self.has_stopped = True
        await cancel_all(self._tasks | self._leader_tasks)
        self._applier.resolve_as_undecided()

    async def propose(
        self, command: bytes, condition: AppendCondition | None = None
    ) -> Outcome:
        """Appends a command and waits until it is committed and applied.

        Args:
            command: the command.
            condition: when it may be appended; None for always.
        """
        await self._leadership_transfer.wait_until_finished()
        if not self.is_leader:
            return NotLeader(self.leader_address)
        if condition is not None:
            if condition.term != self.term:
                return NotLeader(self.leader_address)
            if now_s() > condition.before_s:
                return Expired()
        try:
            return await self._append_and_wait(
                consensus_pb2.LogEntry(command=command)
            )
        except OSError as error:
            self._handle_disk_failure(error)
            return DiskFailed(str(error))

    async def confirm_leadership(self, timeout_s: float) -> bool:
        """Waits until a majority replies to messages sent after this call.

        Returns:
            Whether reads of the applied state are linearizable now.
        """
        requested_at = now_s()
        self._replication_requested.set()
        try:
            async with asyncio.timeout(timeout_s):
                while self.is_leader and not self._is_confirmed_since(
                    requested_at
                ):
                    await self._changed.wait_next()
        except TimeoutError:
            return False
        return self.is_leader

    # --- Requests of other replicas --------------------------------------

    async def handle_vote(
        self, request: consensus_pb2.VoteRequest
    ) -> consensus_pb2.VoteReply:
        """Votes by log, term and the silence of the present leader."""
        async with self._lock:
            refusal = self._vote_refusal(request)
            granted = refusal is None
            if refusal is not None:
                log_event(
                    "vote_refused",
                    candidate=request.candidate,
                    term=request.term,
                    pre_vote=request.pre_vote,
                    reason=refusal.value,
                )
            if granted and not request.pre_vote:
                self._hard_state.save(request.term, request.candidate)
                self._become_follower("")
                self._leader_heard_at = now_s()
            return consensus_pb2.VoteReply(
                term=self.term,
                granted=granted,
                voter=self._options.id,
                incarnation=self.incarnation,
            )

    async def handle_append(
        self, request: consensus_pb2.AppendRequest
    ) -> consensus_pb2.AppendReply:
        """Stores the entries if the log matches up to the previous one."""
        async with self._lock:
            if request.term < self.term:
                return self._append_reply(False, 0)
            self._accept_leader(request.term, request.leader)
            if not self._matches_previous_entry(request):
                return self._append_reply(False, self._probe_index(request))
            self._store_entries(request)
            await self.log.sync()
            match = request.previous_index + len(request.entries)
            self._applier.advance_commit_index(min(request.commit_index, match))
            return self._append_reply(True, match)

    async def handle_install(
        self, request: consensus_pb2.InstallRequest
    ) -> consensus_pb2.AppendReply:
        """Installs the snapshot if it is ahead of the commit index."""
        async with self._lock:
            if request.term < self.term:
                return self._append_reply(False, 0)
            self._accept_leader(request.term, request.leader)
            snapshot = request.snapshot
            if snapshot.index > self.commit_index:
                self.log.reset_to(snapshot)
                self._applier.restore_snapshot(snapshot)
            return self._append_reply(True, snapshot.index)

    async def handle_join(
        self, request: consensus_pb2.JoinRequest
    ) -> consensus_pb2.JoinReply:
        """Adds the member if this replica leads and no change is pending."""
        if not self.is_confirmed_leader or self._config_change_pending():
            return consensus_pb2.JoinReply(leader=self.leader_address)
        member = consensus_pb2.Voter()
        member.CopyFrom(request.member)
        member.learner = True
        existing = find_member(self.log.config(), member.id)
        if existing and existing.incarnation == member.incarnation:
            return consensus_pb2.JoinReply(accepted=True)
        log_event("learner_joins", id=member.id, incarnation=member.incarnation)
        outcome = await self._change_member(member)
        accepted = isinstance(outcome, Committed)
        return consensus_pb2.JoinReply(accepted=accepted)

    async def handle_timeout_now(
        self, request: consensus_pb2.TimeoutNowRequest
    ) -> consensus_pb2.TimeoutNowReply:
        """Starts an election if the request comes from the known leader."""
        async with self._lock:
            stands = (
                request.term == self.term
                and request.leader == self.leader_id
                and self.state == _FOLLOWER
                and self._is_voter()
                and not self._has_recent_disk_failure()
                # A replica that shuts down may still receive requests as long
                # as its process serves them.
                and not (self._is_shutting_down or self.has_stopped)
            )
            log_event("told_to_stand", by=request.leader, stands=stands)
            if stands:
                self._spawn_once(self._run_transfer_election(request.term))
            return consensus_pb2.TimeoutNowReply(term=self.term, stands=stands)

    # --- Elections ---------------------------------------------------------

    async def _elect_forever(self) -> None:
        timeout_s = self._options.election_timeout_s
        while True:
            if self.is_leader:
                await asyncio.sleep(timeout_s / _MAJORITY_CHECKS_PER_TIMEOUT)
                await self._step_down_without_majority()
                self._remove_silent_member()
                continue
            await self._wait_for_silence(timeout_s * (1 + self._rng.random()))
            if (
                self.is_leader
                or not self._is_voter()
                or self._has_recent_disk_failure()
            ):
                continue
            try:
                await self._run_election()
            except OSError as error:
                self._handle_disk_failure(error)

    async def _wait_for_silence(self, silence_s: float) -> None:
        """Waits until no leader has been heard for `silence_s`."""
        started_at = now_s()
        while True:
            silent_since = max(self._leader_heard_at, started_at)
            remaining_s = silent_since + silence_s - now_s()
            if remaining_s <= 0:
                return
            await asyncio.sleep(remaining_s)

    async def _step_down_without_majority(self) -> None:
        confirmed_at = self._peers.majority_confirmed_at(self.log.config())
        # A leader that was just elected had no time to get replies.
        age_s = now_s() - max(confirmed_at, self._peers.leading_since)
        if age_s < _STEP_DOWN_TIMEOUTS * self._options.election_timeout_s:
            return
        async with self._lock:
            log_event("leader_cut_off", term=self.term, silent_s=age_s)
            metrics.ELECTIONS.labels("stepped_down").inc()
            self._become_follower("")

    async def _run_election(self) -> None:
        if not await self._request_votes(pre_vote=True):
            self._record_failed_election("no_pre_vote")
            return
        async with self._lock:
            if self.is_leader or not self._is_voter():
                return
            term = self._become_candidate()
        await self._campaign(term, is_leadership_transfer=False)

    async def _run_transfer_election(self, leader_term: int) -> None:
        """Starts an election without a pre-vote, at the leader's request."""
        try:
            async with self._lock:
                if self.term != leader_term or self.state != _FOLLOWER:
                    return
                term = self._become_candidate()
            await self._campaign(term, is_leadership_transfer=True)
        except OSError as error:
            self._handle_disk_failure(error)

    def _become_candidate(self) -> int:
        self._hard_state.save(self.term + 1, self._options.id)
        self.leader_id = ""
        self.stand()
        return self.term

    async def _campaign(
        self, term: int, *, is_leadership_transfer: bool
    ) -> None:
        won = await self._request_votes(
            pre_vote=False, is_leadership_transfer=is_leadership_transfer
        )
        async with self._lock:
            if self.term != term or self.state != _CANDIDATE:
                return
            if not won:
                self._record_failed_election("lost")
                self._become_follower("")
                return
            self._become_leader()

    def _record_failed_election(self, outcome: str) -> None:
        metrics.ELECTIONS.labels(outcome).inc()
        log_event(
            "election_not_won",
            reason=outcome,
            term=self.term,
            last=self.log.last_index,
            silent_s=now_s() - self._leader_heard_at,
        )

    async def _request_votes(
        self, *, pre_vote: bool, is_leadership_transfer: bool = False
    ) -> bool:
        """Requests all votes at once; returns whether a majority agrees."""
        request = consensus_pb2.VoteRequest(
            term=self.term + 1 if pre_vote else self.term,
            candidate=self._options.id,
            incarnation=self.incarnation,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            pre_vote=pre_vote,
            leadership_transfer=is_leadership_transfer,
        )
        electorate = voters(self.log.config())
        others = [v for v in electorate if v.id != self._options.id]
        vote_tasks = [
            asyncio.create_task(self._request_vote(voter, request))
            for voter in others
        ]
        try:
            return await wait_for_majority(
                vote_tasks, len(electorate), self._options.election_timeout_s
            )
        finally:
            for task in vote_tasks:
                task.cancel()

    async def _request_vote(
        self, voter: consensus_pb2.Voter, request: consensus_pb2.VoteRequest
    ) -> bool:
        try:
            reply = await self._transport.vote(voter.address, request)
        except PeerUnreachableError:
            return False
        if reply.term > self.term:
            # The term is adopted after a pre-vote as well: a voter may be in a
            # later term, and votes only for a candidate of a term after it.
            async with self._lock:
                self._adopt_newer_term(reply.term)
            return False
        return reply.granted and reply.incarnation == voter.incarnation

    def _vote_refusal(
        self, request: consensus_pb2.VoteRequest
    ) -> VoteRefusal | None:
        """Returns why a vote is refused, or None if it is granted.

        Whether the vote counts is decided by the candidate, by its member list
        and this replica's incarnation. This replica's list may lack the entry
        that made either of the two disks a voter. A disk that is a voter in no
        list starts no election.
        """
        # The previous leader gave up its lease before it sent TimeoutNow.
        is_leadership_transfer = (
            request.leadership_transfer and request.term > self.term
        )
        refusal = None if is_leadership_transfer else self._leader_refusal()
        if refusal is not None:
            return refusal
        own_position = (self.log.last_term, self.log.last_index)
        if (request.last_term, request.last_index) < own_position:
            return VoteRefusal.LOG_BEHIND
        if request.term > self.term:
            return None
        if request.pre_vote or request.term < self.term:
            return VoteRefusal.OLD_TERM
        if self._hard_state.voted_for in ("", request.candidate):
            return None
        return VoteRefusal.VOTED_FOR_OTHER

    def _leader_refusal(self) -> VoteRefusal | None:
        """Returns why no candidate may replace the present leader, if one."""
        if self.state == _LEADER:
            return VoteRefusal.LEADS
        # Granting it would depose a leader that is alive (dissertation, 4.2.3).
        silence_s = now_s() - self._leader_heard_at
        timeout_s = self._options.election_timeout_s
        if self.leader_id and silence_s < timeout_s:
            return VoteRefusal.HEARS_LEADER
        # Before a restart, this replica may have acknowledged a leader.
        if now_s() - self._started_at < timeout_s:
            return VoteRefusal.JUST_STARTED
        return None

    def _become_leader(self) -> None:
        self.win()
        self.leader_id = self._options.id
        metrics.ELECTIONS.labels("won").inc()
        log_event("leader_elected", term=self.term, last=self.log.last_index)
        self._peers = Peers(self._options.id, now_s())
        self._term_start_index = self.log.last_index + 1
        self._append(consensus_pb2.LogEntry())
        self._spawn_leader(self._sync_forever)
        self._start_replication()

    def _become_follower(self, leader_id: str) -> None:
        was_leader = self.is_leader
        self.leader_id = leader_id
        self.follow()
        self._changed.notify()
        if not was_leader:
            return
        for task in self._leader_tasks:
            task.cancel()
        self._leader_tasks.clear()
        self._applier.resolve_as_undecided()

    def _accept_leader(self, term: int, leader_id: str) -> None:
        if term > self.term:
            self._hard_state.save(term, "")
        if self.state != _FOLLOWER or self.leader_id != leader_id:
            self._become_follower(leader_id)
        self._leader_heard_at = now_s()

    def _adopt_newer_term(self, term: int) -> None:
        if term <= self.term:
            return
        self._hard_state.save(term, "")
        self._become_follower("")

    # --- Following ---------------------------------------------------------

    def _matches_previous_entry(
        self, request: consensus_pb2.AppendRequest
    ) -> bool:
        if request.previous_index < self.log.snapshot.index:
            # Covered by the snapshot, and so committed and equal.
            return True
        term = self.log.term_at(request.previous_index)
        return term == request.previous_term

    def _probe_index(self, request: consensus_pb2.AppendRequest) -> int:
        """Index at which the leader probes next for the common prefix."""
        before = request.previous_index - 1
        return max(self.commit_index, min(self.log.last_index, before))

    def _store_entries(self, request: consensus_pb2.AppendRequest) -> None:
        for position, entry in enumerate(request.entries):
            if entry.index <= self.log.snapshot.index:
                continue
            held_term = self.log.term_at(entry.index)
            if held_term == entry.term:
                continue
            if held_term is not None:
                self.log.truncate_from(entry.index)
            self.log.append(list(request.entries[position:]))
            return

    def _append_reply(
        self, accepted: bool, match_index: int
    ) -> consensus_pb2.AppendReply:
        return consensus_pb2.AppendReply(
            term=self.term,
            accepted=accepted,
            match_index=match_index,
            incarnation=self.incarnation,
        )

    # --- Leading -----------------------------------------------------------

    def _append(self, entry: consensus_pb2.LogEntry) -> int:
        entry.index = self.log.last_index + 1
        entry.term = self.term
        self.log.append([entry])
        self._local_sync_requested.set()
        self._replication_requested.set()
        return entry.index

    async def _append_and_wait(self, entry: consensus_pb2.LogEntry) -> Outcome:
        return await self._wait_for_outcome(self._append(entry))

    async def _wait_for_outcome(self, index: int) -> Outcome:
        async with self._applier.pending_outcome(index, self.term) as outcome:
            return await outcome

    async def _sync_forever(self) -> None:
        """Group commit: one sync covers all entries appended meanwhile."""
        while True:
            await self._local_sync_requested.wait()
            self._local_sync_requested.clear()
            try:
                await self.log.sync()
            except OSError as error:
                self._handle_disk_failure(error)
                return
            await self._advance_commit()

    def _start_replication(self) -> None:
        for member in self.log.config().members:
            if member.id == self._options.id or member.id in self._peers.by_id:
                continue
            peer = Peer(self.log.last_index + 1)
            self._peers.by_id[member.id] = peer
            self._spawn_leader(
                functools.partial(
                    self._replicate_while_leading, member.id, peer, self.term
                )
            )

    async def _replicate_while_leading(
        self, member_id: str, peer: Peer, term: int
    ) -> None:
        """Replicates to a member for as long as this replica leads a term.

        The task is also cancelled on stepping down. The term is checked as well
        because a cancellation can get lost, and a former leader must not send
        messages as the leader.
        """
        while self.is_leader and self.term == term:
            member = find_member(self.log.config(), member_id)
            if member is None:
                return
            sent_up_to = self.log.last_index
            try:
                await self._replicate_once(member, peer, term)
            except PeerUnreachableError:
                await asyncio.sleep(self._options.heartbeat_s)
                continue
            if peer.next_index <= self.log.last_index:
                continue
            if sent_up_to < self.log.last_index:
                continue
            await self._wait_for_replication_request()

    async def _wait_for_replication_request(self) -> None:
        self._replication_requested.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._options.heartbeat_s):
                await self._replication_requested.wait()

    async def _replicate_once(
        self, member: consensus_pb2.Voter, peer: Peer, term: int
    ) -> None:
        sent_at = now_s()
        previous_index = peer.next_index - 1
        previous_term = self.log.term_at(previous_index)
        if previous_term is None or peer.next_index < self.log.first_index:
            request = consensus_pb2.InstallRequest(
                term=term,
                leader=self._options.id,
                snapshot=self.log.snapshot,
            )
            reply = await self._transport.install(member.address, request)
        else:
            append = consensus_pb2.AppendRequest(
                term=term,
                leader=self._options.id,
                previous_index=previous_index,
                previous_term=previous_term,
                entries=self.log.entries_from(peer.next_index, _BATCH_BYTES),
                commit_index=self.commit_index,
            )
            reply = await self._transport.append(member.address, append)
        await self._handle_append_reply(peer, reply, term, sent_at)

    async def _handle_append_reply(
        self,
        peer: Peer,
        reply: consensus_pb2.AppendReply,
        term: int,
        sent_at: float,
    ) -> None:
        if reply.term > self.term:
            async with self._lock:
                self._adopt_newer_term(reply.term)
            return
        if not self.is_leader or self.term != term:
            return
        if peer.incarnation != reply.incarnation:
            # Another disk under the id holds only what it acknowledges.
            peer.incarnation = reply.incarnation
            peer.match_index = 0
        peer.confirmed_at = max(peer.confirmed_at, sent_at)
        if reply.accepted:
            peer.match_index = max(peer.match_index, reply.match_index)
            peer.next_index = max(peer.match_index, reply.match_index) + 1
            await self._advance_commit()
        else:
            peer.next_index = reply.match_index + 1
        self._changed.notify()

    async def _advance_commit(self) -> None:
        if not self.is_leader:
            return
        index = self._peers.majority_match_index(
            self.log.config(), self.log.synced_index
        )
        # Only entries of the current term are counted (Raft, 5.4.2).
        if self.log.term_at(index) != self.term:
            return
        if index > self.commit_index:
            self._applier.advance_commit_index(index)
            # Followers get the commit index at once, not with a heartbeat.
            self._replication_requested.set()
        self._promote_learners()

    def _is_confirmed_since(self, requested_at: float) -> bool:
        if self.commit_index < self._term_start_index:
            return False
        if self.applied_index < self.commit_index:
            return False
        return (
            self._peers.majority_confirmed_at(self.log.config()) >= requested_at
        )

    # --- Members -----------------------------------------------------------

    def _is_voter(self) -> bool:
        return is_voter(
            self.log.config(), self._options.id, self._hard_state.incarnation
        )

    def _config_change_pending(self) -> bool:
        if self._leadership_transfer.is_in_progress:
            return True
        return self.log.config_entry()[0] > self.commit_index

    async def _change_member(self, member: consensus_pb2.Voter) -> Outcome:
        config = with_member(self.log.config(), member)
        try:
            # Appended without an await after the list was read, so that no
            # other change starts from the same list.
            index = self._append(consensus_pb2.LogEntry(config=config))
        except OSError as error:
            self._handle_disk_failure(error)
            return DiskFailed(str(error))
        self._start_replication()
        return await self._wait_for_outcome(index)

    def _promote_learners(self) -> None:
        """Promotes a learner to voter once it holds all committed entries."""
        if self._config_change_pending():
            return
        for member in self.log.config().members:
            if not member.learner:
                continue
            if self._peers.match_index_of(member) < self.commit_index:
                continue
            promoted = consensus_pb2.Voter()
            promoted.CopyFrom(member)
            promoted.learner = False
            log_event("learner_promoted", id=member.id, index=self.commit_index)
            self._append_config(with_member(self.log.config(), promoted))
            return

    def _remove_silent_member(self) -> None:
        """Removes a silent learner, or a silent voter of an even number.

        An even number of voters tolerates no more failures than one voter less,
        so a silent voter, such as one that was replaced, is removed from it; it
        asks to rejoin should it return. With an odd number all voters are kept,
        because with fewer disks an accepted write would be on fewer of them.
        """
        if not self.is_confirmed_leader or self._config_change_pending():
            return
        silent_s = _MEMBER_SILENCE_TIMEOUTS * self._options.election_timeout_s
        if now_s() - self._peers.leading_since < silent_s:
            return
        config = self.log.config()
        is_voter_count_even = len(voters(config)) % 2 == 0
        for member in config.members:
            if member.id == self._options.id:
                continue
            if not member.learner and not is_voter_count_even:
                continue
            max_silence_s = silent_s * (
                _LEARNER_SILENCE_FACTOR if member.learner else 1
            )
            if self._peers.silent_s(member) < max_silence_s:
                continue
            log_event("member_dropped", id=member.id, learner=member.learner)
            self._peers.by_id.pop(member.id, None)
            self._append_config(without_member(config, member.id))
            return

    def _append_config(self, config: consensus_pb2.ClusterConfig) -> None:
        try:
            self._append(consensus_pb2.LogEntry(config=config))
        except OSError as error:
            self._handle_disk_failure(error)

    def _make_joiner(self) -> Joiner:
        return Joiner(
            self._options,
            self._transport,
            self.log,
            self.incarnation,
            lambda: self.is_leader,
            lambda: max(self._leader_heard_at, self._started_at),
        )

    # --- Disk and tasks ------------------------------------------------------

    def _handle_disk_failure(self, error: OSError) -> None:
        log_event("disk_failed", reason=error, leader=self.is_leader)
        self._disk_failed_at = now_s()
        if self.is_leader:
            self._become_follower("")

    def _has_recent_disk_failure(self) -> bool:
        pause_s = _DISK_PAUSE_TIMEOUTS * self._options.election_timeout_s
        return now_s() - self._disk_failed_at < pause_s

    def _spawn(self, work: Work) -> None:
        self._tasks.add(asyncio.create_task(kept_up(work)))

    def _spawn_once(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _spawn_leader(self, work: Work) -> None:
        self._leader_tasks.add(asyncio.create_task(kept_up(work)))
