"""A leader is elected again, whatever asking one voter for its vote comes to.

What happened: after a leader was killed (seed 13 of standins/tests/chase.py,
version 38), the two other control nodes ran on with equal logs, term 38 and
entry 7184 each, and neither stood for election in a minute: no node's term
moved, no line was logged. An accepted version stayed where it was.

With the lines `election_not_won` and `vote_refused` it came again in
test_leader_killed_in_a_burst: for half a minute and more one node stood each
second, `no_pre_vote silent_s=28.8`, and the other refused each time, `reason=
hears_leader`. The one whom it heard was the one that stood. That node had led
before (`leader_cut_off`), its tasks were cancelled as it stepped down, and one
of them went on: the RPC library turns a cancellation that comes with a failure
of the call into that failure. The task sent heartbeats under the present term
in the name of a node that led no more, and whoever heard them neither stood
nor gave its vote.

The new leaders before it had stepped down 0.15 s after they were elected,
`leader_cut_off silent_s=inf`: they had given nobody the time to answer.
"""

import asyncio

import pytest

from damaskcroft.consensus import DurableLog
from damaskcroft.consensus._hard_state import HardStateFile

ELECTED_WITHIN_S = 5.0
READ_TIMEOUT_S = 3.0
# Above the election timeout of 0.6 s, below the longest wait for a leader.
SLOW_MOMENT_S = 0.75
# Twice that timeout, and a look of the leader at its followers.
LONGEST_ELECTION_WAIT_S = 1.4


async def fails(*_):
    raise AttributeError("'Connection' object has no attribute '_transport'")


async def never_answers(*_):
    await asyncio.sleep(1e6)


async def ends_by_cancellation(*_):
    raise asyncio.CancelledError


@pytest.mark.parametrize(
    "fault",
    [fails, never_answers, ends_by_cancellation],
    ids=lambda f: f.__name__,
)
def test_a_question_that_goes_wrong_once_ends_no_election(cluster, loop, fault):
    leader = next(m for m, r in cluster.replicas.items() if r.is_leader)
    others = [r for m, r in cluster.replicas.items() if m != leader]
    for replica in others:
        spoil_first_votes(replica, fault, count=2)
    cluster.crash(leader)
    loop.pass_time(ELECTED_WITHIN_S)
    assert len(cluster.leaders()) == 1


@pytest.mark.parametrize(
    "fault", [fails, never_answers], ids=lambda f: f.__name__
)
def test_a_voter_that_can_never_be_asked_stops_no_election(
    cluster, loop, fault
):
    leader = next(m for m, r in cluster.replicas.items() if r.is_leader)
    address = cluster.replicas[leader].address
    for replica in cluster.replicas.values():
        spoil_votes_of(replica, address, fault)
    cluster.crash(leader)
    loop.pass_time(ELECTED_WITHIN_S)
    assert len(cluster.leaders()) == 1


def spoil_first_votes(replica, fault, count):
    """The first questions for a vote go wrong; later ones are asked."""
    asked = []
    vote = replica._transport.vote

    async def spoilt(address, request):
        asked.append(address)
        if len(asked) <= count:
            await fault()
        return await vote(address, request)

    replica._transport.vote = spoilt


def spoil_votes_of(replica, address, fault):
    """Each question to one voter goes wrong."""
    vote = replica._transport.vote

    async def spoilt(asked, request):
        if asked == address:
            await fault()
        return await vote(asked, request)

    replica._transport.vote = spoilt


def cut_off(cluster, member):
    """Nothing passes between a member and the others, either way."""
    here = cluster.replicas[member].address
    for other in cluster.replicas.values():
        if other.address != here:
            cluster.network.cuts |= {(here, other.address)}
            cluster.network.cuts |= {(other.address, here)}


def leader_name(cluster):
    return next(m for m, r in cluster.replicas.items() if r.is_leader)


def test_who_has_stepped_down_sends_nothing_as_a_leader(cluster, loop):
    cluster.network.hides_cancellation = True
    former = leader_name(cluster)
    address = cluster.replicas[former].address
    cut_off(cluster, former)
    loop.pass_time(ELECTED_WITHIN_S)
    cluster.network.cuts.clear()
    loop.pass_time(ELECTED_WITHIN_S)
    assert not cluster.replicas[former].is_leader
    cluster.network.appends.clear()
    loop.pass_time(ELECTED_WITHIN_S)
    assert address not in {sender for sender, _ in cluster.network.appends}


def test_a_leader_is_elected_after_one_that_was_cut_off_for_a_while(
    cluster, loop
):
    cluster.network.hides_cancellation = True
    cut_off(cluster, leader_name(cluster))
    loop.pass_time(ELECTED_WITHIN_S)
    cluster.network.cuts.clear()
    loop.pass_time(ELECTED_WITHIN_S)
    cluster.crash(leader_name(cluster))
    loop.pass_time(ELECTED_WITHIN_S)
    assert len(cluster.leaders()) == 1


def test_a_new_leader_gives_the_others_time_to_answer(cluster, loop, caplog):
    """Answers take 0.08 to 0.27 s here; the election timeout is 0.6 s."""
    cluster.network.latency_s = 0.08
    with caplog.at_level("INFO"):
        for _ in range(5):
            crashed = leader_name(cluster)
            cluster.crash(crashed)
            loop.pass_time(ELECTED_WITHIN_S)
            cluster.start(crashed)
            loop.pass_time(ELECTED_WITHIN_S)
            assert len(cluster.leaders()) == 1
    assert not [t for t in caplog.messages if "event=leader_cut_off" in t]


def test_the_newest_log_wins_though_the_other_voter_is_a_term_ahead(
    cluster, loop
):
    """Neither of two was ever elected, and the third had lost its disk."""
    newest = leader_name(cluster)
    other, gone = (m for m in cluster.replicas if m != newest)
    cluster.crash(gone)
    cluster.crash(other)
    loop.run(cluster.propose_briefly(cluster.replicas[newest], "newest"))
    cluster.crash(newest, kept_share=1.0)
    disk = cluster.disks[other]
    stood = HardStateFile(disk, DurableLog(disk))
    stood.save(stood.term + 1, other)
    for member in (newest, other):
        cluster.start(member)
    loop.pass_time(ELECTED_WITHIN_S)
    assert leader_name(cluster) == newest


def test_a_read_at_a_leader_that_steps_down_is_answered_at_once(cluster, loop):
    """It waited out its whole time though nobody could confirm it any more."""
    leader = cluster.leader()
    cut_off(cluster, leader.leader_id)

    async def read():
        reading = asyncio.create_task(leader.confirm_leader(READ_TIMEOUT_S))
        await asyncio.sleep(0.01)
        async with leader._lock:
            leader._become_follower("")
        async with asyncio.timeout(0.1):
            return await reading

    assert not loop.run(read())


def test_a_leader_outlasts_a_moment_in_which_nobody_answers(
    cluster, loop, caplog
):
    """Each slow moment of a busy machine cost an election and its refusals."""
    leader = cluster.leader()
    address = leader.address
    for replica in cluster.replicas.values():
        cluster.network.cuts.add((replica.address, address))
    with caplog.at_level("INFO"):
        loop.pass_time(SLOW_MOMENT_S)
        cluster.network.cuts.clear()
        loop.pass_time(ELECTED_WITHIN_S)
    assert cluster.leaders() == [leader]
    assert not [t for t in caplog.messages if "event=leader_elected" in t]


def test_a_leader_that_is_cut_off_steps_down_in_bounded_time(cluster, loop):
    """Callers there are kept waiting though another one may lead."""
    leader = cluster.leader()
    cut_off(cluster, leader.leader_id)
    loop.pass_time(LONGEST_ELECTION_WAIT_S)
    assert not leader.is_leader
