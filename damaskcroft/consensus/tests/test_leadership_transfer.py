"""Leadership transfer at the planned end of a leader.

Without it, each planned end left the other replicas without a leader for an
election timeout, during which operators' changes and reads were refused.
"""

import asyncio
import itertools

import pytest

from damaskcroft._generated import consensus_pb2
from damaskcroft.consensus import Committed, NotLeader, Undecided
from damaskcroft.consensus.tests import fakes
from damaskcroft.consensus.tests.fakes import Cluster
from damaskcroft.consensus.tests.test_members import SETTLED_S, voter_ids

ELECTION_TIMEOUT_S = 0.6
MAX_TRANSFER_S = ELECTION_TIMEOUT_S
RETRY_S = 0.001
# Typical of a solid-state disk; syncs count into the time without commits.
FAST_SYNC_S = 0.004
SEEDS = range(10)


def others_of(cluster, leader):
    return [r for r in cluster.replicas.values() if r is not leader]


def run_transfer(cluster, leader, within_s=MAX_TRANSFER_S):
    return cluster.loop.run(leader.transfer_leadership(within_s))


class Writer:
    """Writes continuously to the present leader; keeps accepted writes."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.value_by_index = {}
        self.times = []
        self.undecided = 0
        self.written = 0

    async def run(self):
        while True:
            leader = self.cluster.leader()
            if leader is None:
                await asyncio.sleep(RETRY_S)
                continue
            self.written += 1
            value = f"v{self.written}"
            outcome = await leader.propose(value.encode())
            match outcome:
                case Committed(index=index):
                    assert index not in self.value_by_index
                    self.value_by_index[index] = value
                    self.times.append(self.cluster.loop.time())
                case Undecided():
                    self.undecided += 1
                case NotLeader():
                    self.written -= 1
            await asyncio.sleep(RETRY_S)

    def longest_gap_s(self):
        return max(b - a for a, b in itertools.pairwise(self.times))

    def check(self):
        leader = self.cluster.leader()
        applied = self.cluster.machines[leader.leader_id].applied
        held = dict(applied)
        for index, value in self.value_by_index.items():
            assert held.get(index) == value
        values = [value for _, value in applied]
        assert len(set(values)) == len(values)


async def end(cluster, leader):
    """Ends a leader as its process does after SIGTERM."""
    await leader.transfer_leadership(MAX_TRANSFER_S)
    await leader.stop()
    member = leader._options.id
    cluster.replicas.pop(member)
    del cluster.network.replicas_by_address[leader.address]


@pytest.mark.parametrize("seed", SEEDS)
def test_commits_continue_at_once_after_planned_end_of_leader(
    loop, monkeypatch, seed
):
    monkeypatch.setattr(fakes, "MAX_SYNC_S", FAST_SYNC_S)
    cluster = Cluster(loop, seed)
    loop.pass_time(3.0)
    writer = Writer(cluster)
    writing = loop.create_task(writer.run())
    loop.pass_time(1.0)
    leader = cluster.leader()
    loop.run(end(cluster, leader))
    loop.pass_time(3.0)
    writing.cancel()
    assert writer.undecided == 0
    assert writer.longest_gap_s() < ELECTION_TIMEOUT_S / 10
    writer.check()
    cluster.stop()


def test_former_leader_follows_until_it_stops(cluster, loop):
    leader = cluster.leader()
    assert run_transfer(cluster, leader)
    assert not leader.is_leader
    assert leader.leader_address == cluster.leader().address
    assert isinstance(cluster.write("after"), Committed)
    loop.pass_time(1.0)
    applied = cluster.machines[leader._options.id].applied
    assert [value for _, value in applied] == ["after"]


def test_transfer_from_follower_changes_nothing(cluster, loop):
    term = cluster.leader().term
    follower = others_of(cluster, cluster.leader())[0]
    assert run_transfer(cluster, follower)
    loop.pass_time(1.0)
    assert cluster.leader().term == term


def test_proposal_during_transfer_is_referred_to_new_leader(cluster, loop):
    leader = cluster.leader()

    async def propose_meanwhile():
        handing_over = asyncio.create_task(
            leader.transfer_leadership(MAX_TRANSFER_S)
        )
        await asyncio.sleep(0)
        return await leader.propose(b"meanwhile"), await handing_over

    outcome, done = loop.run(propose_meanwhile())
    assert done
    assert outcome == NotLeader(cluster.leader().address)
    loop.pass_time(1.0)
    assert all(not machine.applied for machine in cluster.machines.values())


def test_earlier_proposal_is_committed_before_transfer(cluster, loop):
    leader = cluster.leader()

    async def propose_first():
        proposing = asyncio.create_task(leader.propose(b"before"))
        await asyncio.sleep(0)
        done = await leader.transfer_leadership(MAX_TRANSFER_S)
        return await proposing, done

    outcome, done = loop.run(propose_first())
    assert done
    assert isinstance(outcome, Committed)


def test_transfer_without_followers_fails_and_leader_stays(cluster, loop):
    leader = cluster.leader()
    for replica in others_of(cluster, leader):
        cluster.crash(replica._options.id)
    started_at = loop.time()
    assert not run_transfer(cluster, leader)
    assert loop.time() - started_at <= MAX_TRANSFER_S + 0.001
    assert leader.is_leader


def stop_abruptly(cluster, address):
    """Stops the replica at an address without any further message."""
    dead = cluster.network.replicas_by_address.pop(address)
    cluster.replicas.pop(dead._options.id)
    return dead.stop()


def test_transfer_falls_back_to_other_voter(cluster, loop):
    leader = cluster.leader()
    send_timeout_now, recipients = leader._transport.timeout_now, []

    async def stop_before_delivery(address, request):
        recipients.append(address)
        if len(recipients) == 1:
            await stop_abruptly(cluster, address)
        return await send_timeout_now(address, request)

    leader._transport.timeout_now = stop_before_delivery
    assert run_transfer(cluster, leader)
    assert len(set(recipients)) == 2
    assert cluster.leader().address == recipients[1]
    assert isinstance(cluster.write("after"), Committed)


def test_leader_is_elected_after_successor_dies_with_its_votes(cluster, loop):
    """The former leader has granted its vote and can't withdraw it."""
    leader = cluster.leader()
    assert isinstance(cluster.write("before"), Committed)
    send_timeout_now = leader._transport.timeout_now

    async def stop_after_election(address, request):
        reply = await send_timeout_now(address, request)
        while leader.is_leader:
            await asyncio.sleep(RETRY_S / 10)
        await stop_abruptly(cluster, address)
        return reply

    leader._transport.timeout_now = stop_after_election
    assert not run_transfer(cluster, leader)
    loop.pass_time(5 * ELECTION_TIMEOUT_S)
    assert isinstance(cluster.write("after"), Committed)
    machine = cluster.machines[cluster.leader().leader_id]
    assert [value for _, value in machine.applied] == ["before", "after"]


def test_leader_has_no_lease_while_timeout_now_may_arrive(cluster, loop):
    """TimeoutNow may arrive late; voters then ignore the present leader."""
    leader = cluster.leader()
    send_timeout_now, delayed = leader._transport.timeout_now, []

    async def delay_delivery(address, request):
        delayed.append((address, request))
        await asyncio.sleep(1e6)

    leader._transport.timeout_now = delay_delivery
    assert not run_transfer(cluster, leader)
    assert leader.is_leader
    assert isinstance(cluster.write("goes on"), Committed)
    loop.pass_time(1.0)
    assert not loop.run(cluster.confirmed_leaders())
    assert loop.run(leader.confirm_leadership(1.0))
    loop.run(send_timeout_now(*delayed[0]))
    loop.pass_time(0.3)
    assert cluster.leader().address == delayed[0][0]
    assert loop.run(cluster.confirmed_leaders()) == [cluster.leader()]
    assert isinstance(cluster.write("after"), Committed)


def test_transfer_to_older_replicas_fails_without_harm(cluster, loop):
    """A replica of an older release does not implement TimeoutNow.

    It also refuses its vote while it hears a leader.
    """
    leader = cluster.leader()
    for replica in others_of(cluster, leader):
        del cluster.network.replicas_by_address[replica.address]
        older = OlderReplica(replica)
        cluster.network.replicas_by_address[replica.address] = older
    assert not run_transfer(cluster, leader)
    assert leader.is_leader
    assert isinstance(cluster.write("goes on"), Committed)


class OlderReplica:
    def __init__(self, replica):
        self.handle_append = replica.handle_append
        self.handle_install = replica.handle_install
        self.handle_join = replica.handle_join
        self.handle_vote = replica.handle_vote

    async def handle_timeout_now(self, request):
        raise fakes.PeerUnreachableError("no such call")


def test_two_concurrent_transfers_end_with_one_leader(cluster, loop):
    leader = cluster.leader()

    async def twice():
        return await asyncio.gather(
            leader.transfer_leadership(MAX_TRANSFER_S),
            leader.transfer_leadership(MAX_TRANSFER_S),
        )

    assert loop.run(twice()) == [True, True]
    assert len(cluster.leaders()) == 1
    assert cluster.leader().term == leader.term


def test_all_replicas_transfer_at_once(cluster, loop):
    """All nodes are told to shut down at the same moment."""

    async def all_at_once():
        replicas = cluster.replicas.values()
        await asyncio.gather(
            *(r.transfer_leadership(MAX_TRANSFER_S) for r in replicas)
        )

    loop.run(all_at_once())
    loop.pass_time(0.1)
    assert len(cluster.leaders()) == 1
    assert isinstance(cluster.write("after"), Committed)


@pytest.mark.parametrize("passed_s", [0.0, 0.01, 0.03, 0.1, 0.6, 2.0])
def test_transfer_while_member_is_replaced(cluster, loop, passed_s):
    leader = cluster.leader()
    assert isinstance(cluster.write("before"), Committed)
    gone = others_of(cluster, leader)[0]._options.id
    cluster.crash(gone)
    cluster.add("new")
    loop.pass_time(passed_s)
    run_transfer(cluster, leader)
    loop.pass_time(SETTLED_S)
    assert gone not in voter_ids(cluster)
    assert len(voter_ids(cluster)) == 3
    assert isinstance(cluster.write("after"), Committed)
    loop.pass_time(1.0)
    values = [value for _, value in cluster.machines["new"].applied]
    assert values == ["before", "after"]


@pytest.mark.parametrize("passed_s", [0.0, 0.001, 0.003, 0.02, 0.2])
def test_transfer_while_snapshot_is_installed(cluster, loop, passed_s):
    leader = cluster.leader()
    behind = others_of(cluster, leader)[0]._options.id
    cluster.crash(behind)
    for number in range(4 * cluster.snapshot_entries):
        assert isinstance(cluster.write(f"v{number}"), Committed)
    cluster.start(behind)
    loop.pass_time(passed_s)
    assert run_transfer(cluster, leader)
    assert isinstance(cluster.write("after"), Committed)
    loop.pass_time(1.0)
    applied = [machine.applied for machine in cluster.machines.values()]
    assert applied[0] == applied[1] == applied[2]
    assert len(applied[0]) == 4 * cluster.snapshot_entries + 1


def test_vote_beside_leader_is_granted_only_in_transfer(cluster, loop):
    leader = cluster.leader()
    voter, candidate = others_of(cluster, leader)
    request = consensus_pb2.VoteRequest(
        term=voter.term + 1,
        candidate=candidate._options.id,
        incarnation=candidate.incarnation,
        last_index=candidate.log.last_index,
        last_term=candidate.log.last_term,
    )
    assert not loop.run(voter.handle_vote(request)).granted
    request.leadership_transfer = True
    assert loop.run(voter.handle_vote(request)).granted


def test_stopped_replica_refuses_transfer(cluster, loop):
    leader = cluster.leader()
    stopped = others_of(cluster, leader)[0]
    loop.run(stopped.stop())
    request = consensus_pb2.TimeoutNowRequest(
        term=leader.term, leader=leader.leader_id
    )
    reply = loop.run(stopped.handle_timeout_now(request))
    loop.pass_time(ELECTION_TIMEOUT_S)
    assert not reply.stands
    assert not stopped.is_leader
    assert leader.is_leader


@pytest.mark.parametrize("seed", SEEDS)
def test_replica_that_shuts_down_refuses_transfer(loop, seed):
    cluster = Cluster(loop, seed)
    loop.pass_time(3.0)
    leader = cluster.leader()
    ending, staying = others_of(cluster, leader)
    loop.run(ending.transfer_leadership(MAX_TRANSFER_S, before_shutdown=True))
    assert loop.run(
        leader.transfer_leadership(MAX_TRANSFER_S, before_shutdown=True)
    )
    assert staying.is_leader
    cluster.stop()
