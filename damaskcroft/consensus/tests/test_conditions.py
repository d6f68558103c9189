"""Commands that may be appended only under a condition."""

import pytest

from damaskcroft.consensus import (
    AppendCondition,
    Committed,
    Expired,
    NotLeader,
)
from damaskcroft.consensus.tests.fakes import Cluster

ELECTED_AFTER_S = 3.0


@pytest.fixture
def leader(loop):
    """The leader of a cluster in virtual time."""
    cluster = Cluster(loop)
    loop.pass_time(ELECTED_AFTER_S)
    yield cluster.leader()
    for replica in cluster.replicas.values():
        loop.run(replica.stop())


def propose(loop, leader, term, before_s):
    condition = AppendCondition(term, loop.time() + before_s)
    return loop.run(leader.propose(b"x", condition))


def test_a_command_is_appended_before_its_time(loop, leader):
    assert isinstance(propose(loop, leader, leader.term, 0.1), Committed)


def test_a_command_is_not_appended_after_its_time(loop, leader):
    """Guards against a command that its proposer has given up."""
    last = leader.log.last_index
    assert propose(loop, leader, leader.term, -0.1) == Expired()
    assert leader.log.last_index == last


def test_a_command_is_not_appended_by_the_leader_of_another_term(loop, leader):
    """Guards against a time that is compared with another node's clock."""
    last = leader.log.last_index
    outcome = propose(loop, leader, leader.term - 1, 0.1)
    assert isinstance(outcome, NotLeader)
    assert leader.log.last_index == last


def test_a_command_that_waits_for_a_transfer_expires(loop, leader):
    """Guards against a time that is compared before the wait."""

    async def propose_during_a_transfer():
        leader._leadership_transfer.is_in_progress = True
        loop.call_later(0.2, end_transfer)
        condition = AppendCondition(leader.term, loop.time() + 0.1)
        return await leader.propose(b"x", condition)

    def end_transfer():
        leader._leadership_transfer.is_in_progress = False
        leader._leadership_transfer._finished.notify()

    assert loop.run(propose_during_a_transfer()) == Expired()
