"""Members that are replaced, dropped and taken back; disks that fail."""

import asyncio

import pytest

from damaskcroft._generated import consensus_pb2
from damaskcroft.consensus import Committed, DiskFailed
from damaskcroft.consensus.tests.fakes import MEMBERS, address_of

SETTLED_S = 8.0


def voting(cluster):
    config = cluster.leader().log.config()
    return sorted(m.id for m in config.members if not m.learner)


def accepted(cluster, value):
    return isinstance(cluster.write(value), Committed)


def lose(cluster, member):
    """A machine that is gone for good."""
    cluster.crash(member)


@pytest.mark.parametrize("member", ["a", "b", "c"])
def test_a_replaced_member_stops_counting(cluster, loop, member):
    """One member is gone, a new one comes; then one more may be lost."""
    assert accepted(cluster, "before")
    lose(cluster, member)
    cluster.add("new")
    loop.pass_time(SETTLED_S)
    assert voting(cluster) == sorted({*MEMBERS, "new"} - {member})
    lose(cluster, next(m for m in MEMBERS if m != member))
    loop.pass_time(SETTLED_S)
    assert accepted(cluster, "after")
    assert "before" in [value for _, value in cluster.machines["new"].applied]


def test_a_planned_replacement_leaves_three(cluster, loop):
    cluster.add("new")
    loop.pass_time(SETTLED_S)
    assert voting(cluster) == ["a", "b", "c", "new"]
    leader = next(m for m, r in cluster.replicas.items() if r.is_leader)
    lose(cluster, leader)
    loop.pass_time(SETTLED_S)
    assert len(voting(cluster)) == 3
    assert leader not in voting(cluster)
    assert accepted(cluster, "after")


def test_a_dropped_member_that_returns_is_taken_back(cluster, loop):
    cluster.add("new")
    loop.pass_time(SETTLED_S)
    away = next(m for m in MEMBERS if not cluster.replicas[m].is_leader)
    cluster.crash(away)
    loop.pass_time(SETTLED_S)
    assert away not in voting(cluster)
    cluster.start(away)
    loop.pass_time(SETTLED_S)
    assert away in voting(cluster)


def test_a_silent_member_of_three_is_kept(cluster, loop):
    """Nobody replaced it, and its disk may hold what was accepted."""
    away = next(m for m in MEMBERS if not cluster.replicas[m].is_leader)
    cluster.crash(away)
    loop.pass_time(3 * SETTLED_S)
    assert voting(cluster) == ["a", "b", "c"]
    assert accepted(cluster, "by two")


def test_two_more_than_the_first_members_all_count(cluster, loop):
    cluster.add("d")
    cluster.add("e")
    loop.pass_time(SETTLED_S)
    assert voting(cluster) == ["a", "b", "c", "d", "e"]
    for member in ("a", "d"):
        lose(cluster, member)
    loop.pass_time(SETTLED_S)
    assert accepted(cluster, "by three")


def test_a_leader_with_a_full_disk_gives_way(cluster, loop):
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


def test_a_disk_that_was_full_is_readable_afterwards(cluster, loop):
    """A torn entry must not stand before later ones."""
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
def test_whoever_knows_only_first_members_joins_a_later_leader(
    cluster, loop, emptied
):
    """A replacement asked the first members for ever and was never taken in."""
    lose(cluster, "a")
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


def test_a_new_voter_that_has_not_heard_of_it_gives_its_vote(cluster, loop):
    """Three of four were left, one of them still a learner by its own log."""
    leader = cluster.leader()
    promote = leader._append_config

    def cut_off_then_promote(config):
        cluster.network.cuts.add((leader.address, address_of("new")))
        promote(config)

    leader._append_config = cut_off_then_promote
    cluster.add("new")
    loop.pass_time(1.0)
    assert cluster.is_voting("new")
    lose(cluster, leader.leader_id)
    cluster.network.cuts.clear()
    loop.pass_time(SETTLED_S)
    assert accepted(cluster, "by three")


def test_an_emptied_voter_is_elected_by_one_that_still_lists_its_former_disk(
    cluster, loop
):
    """Three of five were left, and only the emptied one had the newest log."""
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
    lose(cluster, leader.leader_id)
    lose(cluster, others[0])
    cuts.clear()
    loop.pass_time(SETTLED_S)
    assert accepted(cluster, "by three")


def test_two_that_join_at_once_are_taken_in_one_after_the_other(cluster, loop):
    """Each list was made from the same one, so the second undid the first."""
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
