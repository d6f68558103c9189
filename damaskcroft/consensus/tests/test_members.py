"""Replaced, dropped and rejoining members, and failing disks."""

import asyncio

import pytest

from damaskcroft._generated import consensus_pb2
from damaskcroft.consensus import Committed, DiskFailed
from damaskcroft.consensus.tests.fakes import MEMBERS, address_of

SETTLED_S = 8.0


def voter_ids(cluster):
    config = cluster.leader().log.config()
    return sorted(m.id for m in config.members if not m.learner)


def accepted(cluster, value):
    return isinstance(cluster.write(value), Committed)


def lose_machine(cluster, member):
    """Crashes a member whose machine does not return."""
    cluster.crash(member)


@pytest.mark.parametrize("member", ["a", "b", "c"])
def test_replaced_member_is_no_longer_voter(cluster, loop, member):
    """A member is lost and replaced; then one more may be lost."""
    assert accepted(cluster, "before")
    lose_machine(cluster, member)
    cluster.add("new")
    loop.pass_time(SETTLED_S)
    assert voter_ids(cluster) == sorted({*MEMBERS, "new"} - {member})
    lose_machine(cluster, next(m for m in MEMBERS if m != member))
    loop.pass_time(SETTLED_S)
    assert accepted(cluster, "after")
    assert "before" in [value for _, value in cluster.machines["new"].applied]


def test_planned_replacement_leaves_three_voters(cluster, loop):
    cluster.add("new")
    loop.pass_time(SETTLED_S)
    assert voter_ids(cluster) == ["a", "b", "c", "new"]
    leader = next(m for m, r in cluster.replicas.items() if r.is_leader)
    lose_machine(cluster, leader)
    loop.pass_time(SETTLED_S)
    assert len(voter_ids(cluster)) == 3
    assert leader not in voter_ids(cluster)
    assert accepted(cluster, "after")


def test_dropped_member_rejoins_after_its_return(cluster, loop):
    cluster.add("new")
    loop.pass_time(SETTLED_S)
    absent = next(m for m in MEMBERS if not cluster.replicas[m].is_leader)
    cluster.crash(absent)
    loop.pass_time(SETTLED_S)
    assert absent not in voter_ids(cluster)
    cluster.start(absent)
    loop.pass_time(SETTLED_S)
    assert absent in voter_ids(cluster)


def test_silent_member_of_three_is_kept(cluster, loop):
    """It was not replaced, and its disk may hold accepted writes."""
    absent = next(m for m in MEMBERS if not cluster.replicas[m].is_leader)
    cluster.crash(absent)
    loop.pass_time(3 * SETTLED_S)
    assert voter_ids(cluster) == ["a", "b", "c"]
    assert accepted(cluster, "by two")


def test_two_added_members_become_voters(cluster, loop):
    cluster.add("d")
    cluster.add("e")
    loop.pass_time(SETTLED_S)
    assert voter_ids(cluster) == ["a", "b", "c", "d", "e"]
    for member in ("a", "d"):
        lose_machine(cluster, member)
    loop.pass_time(SETTLED_S)
    assert accepted(cluster, "by three")


def test_leader_with_full_disk_steps_down(cluster, loop):
    leader = next(m for m, r in cluster.replicas.items() if r.is_leader)
    cluster.disks[leader].full = True
    assert isinstance(cluster.write("refused"), DiskFailed)
    loop.pass_time(SETTLED_S)
    assert not cluster.replicas[leader].is_leader
    assert accepted(cluster, "by the others")
    cluster.disks[leader].full = False
    loop.pass_time(SETTLED_S)
    assert accepted(cluster, "later")
    loop.pass_time(1.0)
    values = [value for _, value in cluster.machines[leader].applied]
    assert values == ["by the others", "later"]


def test_log_is_readable_after_disk_was_full(cluster, loop):
    """A torn entry must not be followed by later ones."""
    follower = next(m for m, r in cluster.replicas.items() if not r.is_leader)
    cluster.disks[follower].full = True
    assert accepted(cluster, "by two")
    loop.pass_time(1.0)
    cluster.disks[follower].full = False
    loop.pass_time(SETTLED_S)
    assert accepted(cluster, "by all")
    loop.pass_time(1.0)
    cluster.crash(follower, kept_share=1.0)
    cluster.start(follower)
    loop.pass_time(SETTLED_S)
    values = [value for _, value in cluster.machines[follower].applied]
    assert values == ["by two", "by all"]


@pytest.mark.parametrize("emptied", [False, True])
def test_replica_that_knows_only_first_members_joins_later_leader(
    cluster, loop, emptied
):
    """A replacement asked only the initial members and never joined."""
    lose_machine(cluster, "a")
    cluster.add("new")
    loop.pass_time(SETTLED_S)
    while not cluster.replicas["new"].is_leader:
        leader = cluster.leader().leader_id
        cluster.crash(leader)
        loop.pass_time(SETTLED_S)
        cluster.start(leader)
        loop.pass_time(SETTLED_S)
    joining = "b" if emptied else "newer"
    if emptied:
        cluster.lose_disk(joining)
        cluster.start(joining)
    else:
        cluster.add(joining)
    loop.pass_time(SETTLED_S)
    assert cluster.is_voting(joining)


def test_voter_that_missed_its_promotion_grants_vote(cluster, loop):
    """Three of four remained, one of them a learner by its own log."""
    leader = cluster.leader()
    promote = leader._append_config

    def cut_off_then_promote(config):
        cluster.network.cuts.add((leader.address, address_of("new")))
        promote(config)

    leader._append_config = cut_off_then_promote
    cluster.add("new")
    loop.pass_time(1.0)
    assert cluster.is_voting("new")
    lose_machine(cluster, leader.leader_id)
    cluster.network.cuts.clear()
    loop.pass_time(SETTLED_S)
    assert accepted(cluster, "by three")


def test_emptied_voter_is_elected_by_voter_with_old_member_list(cluster, loop):
    """Three of five remained; only the emptied one had the newest log."""
    cluster.add("d")
    cluster.add("e")
    loop.pass_time(SETTLED_S)
    leader = cluster.leader()
    emptied, behind, *others = (
        m for m, r in cluster.replicas.items() if r is not leader
    )
    everybody = {address_of(member) for member in cluster.replicas}
    cuts = cluster.network.cuts
    cuts |= {(one, address_of(behind)) for one in everybody}
    cuts |= {(address_of(behind), one) for one in everybody}
    cluster.lose_disk(emptied)
    cluster.start(emptied)
    loop.pass_time(SETTLED_S)
    assert cluster.is_voting(emptied)
    cuts |= {(leader.address, address_of(other)) for other in others}
    loop.run(cluster.propose_briefly(leader, "newest"))
    loop.pass_time(0.1)
    lose_machine(cluster, leader.leader_id)
    lose_machine(cluster, others[0])
    cuts.clear()
    loop.pass_time(SETTLED_S)
    assert accepted(cluster, "by three")


def test_concurrent_joins_are_accepted_one_at_a_time(cluster, loop):
    """Both changes began from the same list, so the second undid the first."""
    leader = cluster.leader()
    requests = [
        consensus_pb2.JoinRequest(
            member=consensus_pb2.Voter(
                id=name, address=address_of(name), incarnation=name
            )
        )
        for name in ("d", "e")
    ]

    async def join():
        return await asyncio.gather(*map(leader.handle_join, requests))

    replies = loop.run(join())
    assert [reply.accepted for reply in replies] == [True, False]
    learners = [m.id for m in leader.log.config().members if m.learner]
    assert learners == ["d"]
