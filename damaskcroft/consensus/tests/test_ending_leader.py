"""No accepted write is lost if a leader ends as all machines lose power."""

import random

import pytest

from damaskcroft.consensus import DurableLog, LogDamagedError
from damaskcroft.consensus.tests.power_loss import PowerCluster
from damaskcroft.consensus.tests.test_leadership_transfer import (
    MAX_TRANSFER_S,
    Writer,
)

ROUNDS = 2
WRITERS = 3
SEEDS = range(6)
STEP_S = 0.002
SETTLED_S = 12.0
# A leadership transfer takes about ten syncs, counted over all replicas.
MAX_SYNCS = 25


class LeaderEndScenario:
    """Runs writers without a pause; leaders end during a power loss.

    Args:
        loop: event loop in virtual time.
        folders: tracked folders of the replicas.
        seed: decides when the power is lost and whose disk is lost.
        end_mode: "term" transfers the leadership first, "kill" does not.
    """

    def __init__(self, loop, folders, seed, end_mode):
        self.loop = loop
        self.end_mode = end_mode
        self.rng = random.Random(seed)
        folders.rng = random.Random(seed)
        self.cluster = PowerCluster(loop, folders, seed)
        loop.pass_time(2.0)
        # All writing tasks share one writer, which checks their writes.
        self.writer = Writer(self.cluster)
        self.writing = [
            loop.create_task(self.writer.run()) for _ in range(WRITERS)
        ]
        self.completed_transfers = 0

    def run(self):
        for _ in range(ROUNDS):
            self.wait_until(self.are_all_voting)
            self.loop.pass_time(0.3 + self.rng.random())
            self.end_leader_at_power_loss()
            self.cluster.restore_power()
            self.wait_until_written(len(self.writer.value_by_index) + 1)
            self.writer.check()
        for task in self.writing:
            task.cancel()
        self.loop.pass_time(1.0)
        self.writer.check()

    def wait_until_written(self, count):
        self.wait_until(lambda: len(self.writer.value_by_index) >= count)

    def are_all_voting(self):
        members = list(self.cluster.replicas)
        return all(self.cluster.is_voting(member) for member in members)

    def end_leader_at_power_loss(self):
        leader = self.cluster.leader()
        wiped = {self.rng.choice(sorted(self.cluster.replicas))}
        self.cluster.lose_power(self.rng.randrange(MAX_SYNCS), wiped)
        if self.end_mode == "term":
            self.transfer_leadership(leader)
        if not self.cluster.has_lost_power:
            self.cluster.crash(leader._options.id)
        self.wait_until(lambda: self.cluster.has_lost_power)
        self.loop.pass_time(self.rng.random())

    def transfer_leadership(self, leader):
        ending = self.loop.create_task(
            leader.transfer_leadership(MAX_TRANSFER_S)
        )
        while not ending.done() and not self.cluster.has_lost_power:
            self.loop.pass_time(STEP_S)
        self.completed_transfers += ending.done() and ending.result()

    def wait_until(self, condition):
        for _ in range(round(SETTLED_S / STEP_S)):
            if condition():
                return
            self.loop.pass_time(STEP_S)
        raise AssertionError(f"not within {SETTLED_S} s")

    def stop(self):
        for task in self.writing:
            task.cancel()
        self.cluster.stop()


def run_scenario(loop, folders, seed, end_mode):
    made = LeaderEndScenario(loop, folders, seed, end_mode)
    try:
        made.run()
    finally:
        made.stop()
    return made


@pytest.mark.parametrize("end_mode", ["term", "kill"])
@pytest.mark.parametrize("seed", SEEDS)
def test_no_accepted_write_is_lost_if_leader_ends_at_power_loss(
    loop, folders, seed, end_mode
):
    run_scenario(loop, folders, seed, end_mode)


@pytest.mark.parametrize("end_mode", ["term", "kill"])
def test_scenario_detects_missing_syncs(loop, folders, monkeypatch, end_mode):
    """Shows that the test above fails if replicas leave data unsynced."""

    async def skip_sync(log):
        log.synced_index = log.last_index

    monkeypatch.setattr(DurableLog, "sync", skip_sync)
    with pytest.raises((AssertionError, LogDamagedError)):
        for seed in SEEDS:
            run_scenario(loop, folders, seed, end_mode)
