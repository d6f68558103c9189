"""One replica of the log: election, replication, commitment, repair.

Straight-line tasks: one waits for elections, one for each peer replicates,
one syncs the leader's own log, one applies what is committed.
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
from damaskcroft.consensus._handover import Handover
from damaskcroft.consensus._hard_state import HardStateFile
from damaskcroft.consensus._joining import Joiner
from damaskcroft.consensus._log import DurableLog
from damaskcroft.consensus._members import (
    find_member,
    is_voter,
    voters,
    with_member,
    without_member,
)
from damaskcroft.consensus._outcomes import (
    Committed,
    DiskFailed,
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
from damaskcroft.consensus._votes import VoteRefusal, majority_agrees
from damaskcroft.observe import log_event, metrics
from damaskcroft.tasks import Work, end_all, kept_up

# Fits through a link of 10 Mbit/s in a tenth of the shortest election timeout
# in use, so that a follower that catches up still hears its leader in time.
_BATCH_BYTES = 64 * 1024
# A learner may have much to receive before its first answer.
_LEARNER_PATIENCE = 4
# How often a leader checks that a majority follows, in an election timeout.
_LOOKS_A_TIMEOUT = 4
# A leader whom no majority has answered for this many election timeouts steps
# down: the longest time after which those who hear nothing stand.
_CUT_OFF_TIMEOUTS = 2
# A member that has not answered for this many election timeouts is silent.
_SILENT_TIMEOUTS = 4
# After its disk failed, a replica stands for no election for this many
# election timeouts, so that one with a sound disk is elected first.
_DISK_PAUSE_TIMEOUTS = 4
_FOLLOWER, _CANDIDATE, _LEADER = "following", "standing", "leading"


class Replica(RequestHandler):
    """One member of the replicated log."""

    # Set by the lifecycle machine below.
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
        """Reads the disk; `start` begins to take part.

        Raises:
            LogDamagedError: the disk's synced content is unreadable.
        """
        self._options = options
        self._disk = disk
        self._transport = transport
        self._state_machine = state_machine
        self._rng = rng or random.Random()
        self.log = DurableLog(disk)
        self._hard = HardStateFile(disk, self.log)
        self._applier = Applier(self.log, state_machine, options)
        self.leader_id = ""
        self._peers = Peers(options.id)
        self._lock = asyncio.Lock()
        self._changed = self._applier.changed
        self._handover = Handover(options, self, transport, self._changed)
        self._replicate = asyncio.Event()
        self._append_local = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()
        self._leader_tasks: set[asyncio.Task] = set()
        self._heard_at = 0.0
        self._started_at = 0.0
        self.has_stopped = False
        self._ends_soon = False
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

    # --- What the rest of the process sees -------------------------------

    @property
    def term(self) -> int:
        """The current term."""
        return self._hard.term

    @property
    def incarnation(self) -> str:
        """This disk's incarnation."""
        return self._hard.incarnation

    @property
    def commit_index(self) -> int:
        """The newest entry known to be committed."""
        return self._applier.commit_index

    @property
    def applied_index(self) -> int:
        """The newest entry that the state holds."""
        return self._applier.applied_index

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads its term."""
        return self.state == _LEADER

    @property
    def peers(self) -> Peers:
        """What this replica, while it leads, knows of the others."""
        return self._peers

    @property
    def leader_address(self) -> str:
        """Where the leader is, or empty while unknown."""
        member = find_member(self.log.config(), self.leader_id)
        return member.address if member else ""

    @property
    def silent_s(self) -> float:
        """For how long no leader has been heard; 0 for a leader."""
        if self.is_leader:
            return 0.0
        return now_s() - max(self._heard_at, self._started_at)

    @property
    def address(self) -> str:
        """Where this replica serves the others."""
        return self._options.address

    def member_addresses(self) -> list[str]:
        """Addresses of all voting members."""
        return [member.address for member in voters(self.log.config())]

    @property
    def is_confirmed_leader(self) -> bool:
        """Whether a majority has followed within an election timeout.

        While true, no other leader can have been elected (dissertation,
        6.4.1): followers give no vote within that time of hearing us, but to
        one that we told to stand.
        """
        if not self.is_leader or self.commit_index < self._term_start_index:
            return False
        if not self._handover.has_lease():
            return False
        age_s = now_s() - self._peers.majority_confirmed_at(self.log.config())
        return age_s < self._options.election_timeout_s

    async def start(self) -> None:
        """Begins to take part."""
        # A restarted voter may have heard a leader just before it stopped.
        self._heard_at = now_s()
        self._started_at = now_s()
        self._spawn(self._elect_forever)
        self._spawn(self._applier.run)
        self._spawn(self._make_joiner().run)

    async def hand_over(
        self, within_s: float, *, for_good: bool = False
    ) -> bool:
        """Gives the leadership to another voter; goes on as its follower.

        What was proposed before is committed first. What is proposed
        meanwhile waits, and is then appended here or refused as not taken.

        Args:
            within_s: longest time; if nobody has taken over by then, this
                replica goes on as it is.
            for_good: whether this replica ends soon, so that no other one
                hands its leadership over to it.

        Returns:
            Whether another replica leads.
        """
        self._ends_soon = self._ends_soon or for_good
        return await self._handover.run(within_s)

    async def stop(self) -> None:
        """Ends all tasks; it neither leads nor stands from now on."""
        self.has_stopped = True
        await end_all(self._tasks | self._leader_tasks)
        self._applier.give_up_waiting()

    async def propose(self, command: bytes) -> Outcome:
        """Appends a command and waits until it is committed and applied."""
        await self._handover.until_none()
        if not self.is_leader:
            return NotLeader(self.leader_address)
        try:
            return await self._append_and_wait(
                consensus_pb2.LogEntry(command=command)
            )
        except OSError as error:
            self._note_disk_failure(error)
            return DiskFailed(str(error))

    async def confirm_leader(self, timeout_s: float) -> bool:
        """Waits until a majority confirms the leader after this call.

        Returns:
            Whether reads of the applied state are now linearizable.
        """
        asked_at = now_s()
        self._replicate.set()
        try:
            async with asyncio.timeout(timeout_s):
                while self.is_leader and not self._confirms(asked_at):
                    await self._changed.next()
        except TimeoutError:
            return False
        return self.is_leader

    # --- Requests of other replicas --------------------------------------

    async def handle_vote(
        self, request: consensus_pb2.VoteRequest
    ) -> consensus_pb2.VoteReply:
        """See RequestHandler."""
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
                self._hard.save(request.term, request.candidate)
                self._become_follower("")
                self._heard_at = now_s()
            return consensus_pb2.VoteReply(
                term=self.term,
                granted=granted,
                voter=self._options.id,
                incarnation=self.incarnation,
            )

    async def handle_append(
        self, request: consensus_pb2.AppendRequest
    ) -> consensus_pb2.AppendReply:
        """See RequestHandler."""
        async with self._lock:
            if request.term < self.term:
                return self._append_reply(False, 0)
            self._hear_leader(request.term, request.leader)
            if not self._holds_previous(request):
                return self._append_reply(False, self._probe_index(request))
            self._take_entries(request)
            await self.log.sync()
            match = request.previous_index + len(request.entries)
            self._applier.commit_up_to(min(request.commit_index, match))
            return self._append_reply(True, match)

    async def handle_install(
        self, request: consensus_pb2.InstallRequest
    ) -> consensus_pb2.AppendReply:
        """See RequestHandler."""
        async with self._lock:
            if request.term < self.term:
                return self._append_reply(False, 0)
            self._hear_leader(request.term, request.leader)
            snapshot = request.snapshot
            if snapshot.index > self.commit_index:
                self.log.reset_to(snapshot)
                self._applier.install(snapshot)
            return self._append_reply(True, snapshot.index)

    async def handle_join(
        self, request: consensus_pb2.JoinRequest
    ) -> consensus_pb2.JoinReply:
        """See RequestHandler."""
        if not self.is_confirmed_leader or self._config_change_pending():
            return consensus_pb2.JoinReply(leader=self.leader_address)
        member = consensus_pb2.Voter()
        member.CopyFrom(request.member)
        member.learner = True
        known = find_member(self.log.config(), member.id)
        if known and known.incarnation == member.incarnation:
            return consensus_pb2.JoinReply(accepted=True)
        log_event("learner_joins", id=member.id, incarnation=member.incarnation)
        outcome = await self._change_member(member)
        accepted = isinstance(outcome, Committed)
        return consensus_pb2.JoinReply(accepted=accepted)

    async def handle_timeout_now(
        self, request: consensus_pb2.TimeoutNowRequest
    ) -> consensus_pb2.TimeoutNowReply:
        """See RequestHandler."""
        async with self._lock:
            stands = (
                request.term == self.term
                and request.leader == self.leader_id
                and self.state == _FOLLOWER
                and self._is_voter()
                and not self._disk_fails()
                # It may still be asked for as long as its process serves.
                and not (self._ends_soon or self.has_stopped)
            )
            log_event("told_to_stand", by=request.leader, stands=stands)
            if stands:
                self._spawn_once(self._stand_as_told(request.term))
            return consensus_pb2.TimeoutNowReply(term=self.term, stands=stands)

    # --- Elections ---------------------------------------------------------

    async def _elect_forever(self) -> None:
        timeout_s = self._options.election_timeout_s
        while True:
            if self.is_leader:
                await asyncio.sleep(timeout_s / _LOOKS_A_TIMEOUT)
                await self._step_down_if_cut_off()
                self._drop_silent_member()
                continue
            await self._wait_for_silence(timeout_s * (1 + self._rng.random()))
            if self.is_leader or not self._is_voter() or self._disk_fails():
                continue
            try:
                await self._stand_for_election()
            except OSError as error:
                self._note_disk_failure(error)

    async def _wait_for_silence(self, silence_s: float) -> None:
        """Returns once no leader has been heard for `silence_s`."""
        started_at = now_s()
        while True:
            quiet_since = max(self._heard_at, started_at)
            remaining_s = quiet_since + silence_s - now_s()
            if remaining_s <= 0:
                return
            await asyncio.sleep(remaining_s)

    async def _step_down_if_cut_off(self) -> None:
        confirmed_at = self._peers.majority_confirmed_at(self.log.config())
        # Who has just been elected has had no time to be confirmed.
        age_s = now_s() - max(confirmed_at, self._peers.since)
        if age_s < _CUT_OFF_TIMEOUTS * self._options.election_timeout_s:
            return
        async with self._lock:
            log_event("leader_cut_off", term=self.term, silent_s=age_s)
            metrics.ELECTIONS.labels("stepped_down").inc()
            self._become_follower("")

    async def _stand_for_election(self) -> None:
        if not await self._poll(pre_vote=True):
            self._note_election("no_pre_vote")
            return
        async with self._lock:
            if self.is_leader or not self._is_voter():
                return
            term = self._stand_in_next_term()
        await self._ask_for_term(term, told=False)

    async def _stand_as_told(self, told_in_term: int) -> None:
        """Stands without asking first whether anybody hears the leader."""
        try:
            async with self._lock:
                if self.term != told_in_term or self.state != _FOLLOWER:
                    return
                term = self._stand_in_next_term()
            await self._ask_for_term(term, told=True)
        except OSError as error:
            self._note_disk_failure(error)

    def _stand_in_next_term(self) -> int:
        self._hard.save(self.term + 1, self._options.id)
        self.leader_id = ""
        self.stand()
        return self.term

    async def _ask_for_term(self, term: int, *, told: bool) -> None:
        won = await self._poll(pre_vote=False, told=told)
        async with self._lock:
            if self.term != term or self.state != _CANDIDATE:
                return
            if not won:
                self._note_election("lost")
                self._become_follower("")
                return
            self._become_leader()

    def _note_election(self, outcome: str) -> None:
        metrics.ELECTIONS.labels(outcome).inc()
        log_event(
            "election_not_won",
            reason=outcome,
            term=self.term,
            last=self.log.last_index,
            silent_s=now_s() - self._heard_at,
        )

    async def _poll(self, *, pre_vote: bool, told: bool = False) -> bool:
        """Asks all voters at once; whether a majority agrees."""
        request = consensus_pb2.VoteRequest(
            term=self.term + 1 if pre_vote else self.term,
            candidate=self._options.id,
            incarnation=self.incarnation,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            pre_vote=pre_vote,
            leadership_transfer=told,
        )
        electorate = voters(self.log.config())
        others = [v for v in electorate if v.id != self._options.id]
        asked = [
            asyncio.create_task(self._ask_vote(voter, request))
            for voter in others
        ]
        try:
            return await majority_agrees(
                asked, len(electorate), self._options.election_timeout_s
            )
        finally:
            for task in asked:
                task.cancel()

    async def _ask_vote(
        self, voter: consensus_pb2.Voter, request: consensus_pb2.VoteRequest
    ) -> bool:
        try:
            reply = await self._transport.vote(voter.address, request)
        except PeerUnreachableError:
            return False
        if reply.term > self.term:
            # Also after a pre-vote: a voter may have moved on without us, and
            # only a candidate of a later term than its own can win it over.
            async with self._lock:
                self._meet_term(reply.term)
            return False
        return reply.granted and reply.incarnation == voter.incarnation

    def _vote_refusal(
        self, request: consensus_pb2.VoteRequest
    ) -> VoteRefusal | None:
        """Why a vote is not granted; None if it is.

        Whether it counts is for the candidate to say, by its member list and
        our incarnation: our list may lack the entry that made a voter of
        either of the two disks. A disk that none makes one stands for nothing.
        """
        # Who leads the term before gave up its lease first.
        told = request.leadership_transfer and request.term > self.term
        refusal = None if told else self._refusal_for_leader()
        if refusal is not None:
            return refusal
        ours = (self.log.last_term, self.log.last_index)
        if (request.last_term, request.last_index) < ours:
            return VoteRefusal.LOG_BEHIND
        if request.term > self.term:
            return None
        if request.pre_vote or request.term < self.term:
            return VoteRefusal.OLD_TERM
        if self._hard.voted_for in ("", request.candidate):
            return None
        return VoteRefusal.VOTED_FOR_OTHER

    def _refusal_for_leader(self) -> VoteRefusal | None:
        """Why nobody may stand against the leader that there may be."""
        if self.state == _LEADER:
            return VoteRefusal.LEADS
        # Keep to a living leader, whoever else stands (dissertation, 4.2.3).
        silence_s = now_s() - self._heard_at
        timeout_s = self._options.election_timeout_s
        if self.leader_id and silence_s < timeout_s:
            return VoteRefusal.HEARS_LEADER
        # Before a restart we may have told a leader that we follow it.
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
        self._start_peers()

    def _become_follower(self, leader_id: str) -> None:
        was_leader = self.is_leader
        self.leader_id = leader_id
        self.follow()
        self._changed.give()
        if not was_leader:
            return
        for task in self._leader_tasks:
            task.cancel()
        self._leader_tasks.clear()
        self._applier.give_up_waiting()

    def _hear_leader(self, term: int, leader_id: str) -> None:
        if term > self.term:
            self._hard.save(term, "")
        if self.state != _FOLLOWER or self.leader_id != leader_id:
            self._become_follower(leader_id)
        self._heard_at = now_s()

    def _meet_term(self, term: int) -> None:
        if term <= self.term:
            return
        self._hard.save(term, "")
        self._become_follower("")

    # --- Following ---------------------------------------------------------

    def _holds_previous(self, request: consensus_pb2.AppendRequest) -> bool:
        if request.previous_index < self.log.snapshot.index:
            # Covered by the snapshot, and so committed and equal.
            return True
        term = self.log.term_at(request.previous_index)
        return term == request.previous_term

    def _probe_index(self, request: consensus_pb2.AppendRequest) -> int:
        """Where the leader should look for the common prefix next."""
        before = request.previous_index - 1
        return max(self.commit_index, min(self.log.last_index, before))

    def _take_entries(self, request: consensus_pb2.AppendRequest) -> None:
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
        self._append_local.set()
        self._replicate.set()
        return entry.index

    async def _append_and_wait(self, entry: consensus_pb2.LogEntry) -> Outcome:
        return await self._outcome_of(self._append(entry))

    async def _outcome_of(self, index: int) -> Outcome:
        async with self._applier.outcome_of(index, self.term) as outcome:
            return await outcome

    async def _sync_forever(self) -> None:
        """Group commit: one sync covers all that came in the meantime."""
        while True:
            await self._append_local.wait()
            self._append_local.clear()
            try:
                await self.log.sync()
            except OSError as error:
                self._note_disk_failure(error)
                return
            await self._advance_commit()

    def _start_peers(self) -> None:
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
        """Brings a member up to date for as long as this replica leads a term.

        The task is also cancelled when that is over, but a cancellation alone
        must not be what keeps a former leader from speaking as the leader.
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
            await self._wait_for_work()

    async def _wait_for_work(self) -> None:
        self._replicate.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._options.heartbeat_s):
                await self._replicate.wait()

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
        await self._take_append_reply(peer, reply, term, sent_at)

    async def _take_append_reply(
        self,
        peer: Peer,
        reply: consensus_pb2.AppendReply,
        term: int,
        sent_at: float,
    ) -> None:
        if reply.term > self.term:
            async with self._lock:
                self._meet_term(reply.term)
            return
        if not self.is_leader or self.term != term:
            return
        if peer.incarnation != reply.incarnation:
            # Another disk under the same id: it holds nothing until it says.
            peer.incarnation = reply.incarnation
            peer.match_index = 0
        peer.confirmed_at = max(peer.confirmed_at, sent_at)
        if reply.accepted:
            peer.match_index = max(peer.match_index, reply.match_index)
            peer.next_index = max(peer.match_index, reply.match_index) + 1
            await self._advance_commit()
        else:
            peer.next_index = reply.match_index + 1
        self._changed.give()

    async def _advance_commit(self) -> None:
        if not self.is_leader:
            return
        index = self._peers.majority_match(
            self.log.config(), self.log.synced_index
        )
        # Only entries of the own term are counted (Raft, 5.4.2).
        if self.log.term_at(index) != self.term:
            return
        if index > self.commit_index:
            self._applier.commit_up_to(index)
            # Followers hear of it at once, not with the next heartbeat.
            self._replicate.set()
        self._promote_learners()

    def _confirms(self, asked_at: float) -> bool:
        if self.commit_index < self._term_start_index:
            return False
        if self.applied_index < self.commit_index:
            return False
        return self._peers.majority_confirmed_at(self.log.config()) >= asked_at

    # --- Members -----------------------------------------------------------

    def _is_voter(self) -> bool:
        return is_voter(
            self.log.config(), self._options.id, self._hard.incarnation
        )

    def _config_change_pending(self) -> bool:
        if self._handover.is_under_way:
            return True
        return self.log.config_entry()[0] > self.commit_index

    async def _change_member(self, member: consensus_pb2.Voter) -> Outcome:
        config = with_member(self.log.config(), member)
        try:
            # Without a wait, or another change could begin from the same list.
            index = self._append(consensus_pb2.LogEntry(config=config))
        except OSError as error:
            self._note_disk_failure(error)
            return DiskFailed(str(error))
        self._start_peers()
        return await self._outcome_of(index)

    def _promote_learners(self) -> None:
        """Makes a learner a voter once it holds all that is committed."""
        if self._config_change_pending():
            return
        for member in self.log.config().members:
            if not member.learner:
                continue
            if self._peers.match(member) < self.commit_index:
                continue
            promoted = consensus_pb2.Voter()
            promoted.CopyFrom(member)
            promoted.learner = False
            log_event("learner_promoted", id=member.id, index=self.commit_index)
            self._append_config(with_member(self.log.config(), promoted))
            return

    def _drop_silent_member(self) -> None:
        """Removes a member that was replaced by another.

        An even number of voters bears no more losses than one fewer would.
        So when one of them is silent, it is dropped; it asks to be taken
        back should it return. An odd number is kept: with fewer disks an
        accepted write would be on fewer of them.
        """
        if not self.is_confirmed_leader or self._config_change_pending():
            return
        silent_s = _SILENT_TIMEOUTS * self._options.election_timeout_s
        if now_s() - self._peers.since < silent_s:
            return
        config = self.log.config()
        even = len(voters(config)) % 2 == 0
        for member in config.members:
            if member.id == self._options.id:
                continue
            if not member.learner and not even:
                continue
            patience_s = silent_s * (_LEARNER_PATIENCE if member.learner else 1)
            if self._peers.silent_s(member) < patience_s:
                continue
            log_event("member_dropped", id=member.id, learner=member.learner)
            self._peers.by_id.pop(member.id, None)
            self._append_config(without_member(config, member.id))
            return

    def _append_config(self, config: consensus_pb2.ClusterConfig) -> None:
        try:
            self._append(consensus_pb2.LogEntry(config=config))
        except OSError as error:
            self._note_disk_failure(error)

    def _make_joiner(self) -> Joiner:
        return Joiner(
            self._options,
            self._transport,
            self.log,
            self.incarnation,
            lambda: self.is_leader,
            lambda: max(self._heard_at, self._started_at),
        )

    # --- Disk and tasks ------------------------------------------------------

    def _note_disk_failure(self, error: OSError) -> None:
        log_event("disk_failed", reason=error, leader=self.is_leader)
        self._disk_failed_at = now_s()
        if self.is_leader:
            self._become_follower("")

    def _disk_fails(self) -> bool:
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
