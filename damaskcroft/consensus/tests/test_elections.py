"""A leader is elected again, whatever asking one voter for its vote comes to.

What happened: after a leader was killed (seed 13 of standins/tests/chase.py,
version 38), the two other control nodes ran on with equal logs, term 38 and
entry 7184 each, and neither stood for election in a minute: no node's term
moved, no line was logged. An accepted version stayed where it was. The loop
that stands for election asks all voters at once; a single question that failed
in a way nobody foresaw, or that never came back, ended or stopped it for good.
"""

import asyncio

import pytest

ELECTED_WITHIN_S = 5.0


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
