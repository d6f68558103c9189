"""Nothing that was accepted is gone when a leader ends as all power goes."""

import random

import pytest

from damaskcroft.consensus import DurableLog, LogDamagedError
from damaskcroft.consensus.tests.power import PowerCluster
from damaskcroft.consensus.tests.test_handover import WITHIN_S, Writer

ROUNDS = 2
WRITERS = 3
SEEDS = range(6)
STEP_S = 0.002
SETTLED_S = 12.0
# A handover takes about ten syncs of all replicas together.
MAX_SYNCS = 25


class Play:
    """Writers without a pause; leaders that end as the power goes.

    Args:
        loop: in virtual time.
        folders: of the replicas.
        seed: draws when the power goes and whose disk is lost.
        how: "term" hands over first, "kill" doesn't.
    """

    def __init__(self, loop, folders, seed, how):
        self.loop = loop
        self.how = how
        self.rng = random.Random(seed)
        folders.rng = random.Random(seed)
        self.cluster = PowerCluster(loop, folders, seed)
        loop.pass_time(2.0)
        # One of them looks after what all of them write.
        self.writer = Writer(self.cluster)
        self.writing = [
            loop.create_task(self.writer.run()) for _ in range(WRITERS)
        ]
        self.handovers_done = 0

    def run(self):
        for _ in range(ROUNDS):
            self.until(self.is_whole)
            self.loop.pass_time(0.3 + self.rng.random())
            self.end_leader_as_power_goes()
            self.cluster.power_up()
            self.until_written(len(self.writer.value_by_index) + 1)
            self.writer.check()
        for task in self.writing:
            task.cancel()
        self.loop.pass_time(1.0)
        self.writer.check()

    def until_written(self, count):
        self.until(lambda: len(self.writer.value_by_index) >= count)

    def is_whole(self):
        members = list(self.cluster.replicas)
        return all(self.cluster.is_voting(member) for member in members)

    def end_leader_as_power_goes(self):
        leader = self.cluster.leader()
        wiped = {self.rng.choice(sorted(self.cluster.replicas))}
        self.cluster.lose_power(self.rng.randrange(MAX_SYNCS), wiped)
        if self.how == "term":
            self.hand_over(leader)
        if not self.cluster.is_dark:
            self.cluster.crash(leader._options.id)
        self.until(lambda: self.cluster.is_dark)
        self.loop.pass_time(self.rng.random())

    def hand_over(self, leader):
        ending = self.loop.create_task(leader.hand_over(WITHIN_S))
        while not ending.done() and not self.cluster.is_dark:
            self.loop.pass_time(STEP_S)
        self.handovers_done += ending.done() and ending.result()

    def until(self, is_so):
        for _ in range(round(SETTLED_S / STEP_S)):
            if is_so():
                return
            self.loop.pass_time(STEP_S)
        raise AssertionError(f"not within {SETTLED_S} s")

    def stop(self):
        for task in self.writing:
            task.cancel()
        self.cluster.stop()


def play(loop, folders, seed, how):
    made = Play(loop, folders, seed, how)
    try:
        made.run()
    finally:
        made.stop()
    return made


@pytest.mark.parametrize("how", ["term", "kill"])
@pytest.mark.parametrize("seed", SEEDS)
def test_nothing_accepted_is_lost_when_a_leader_ends_as_power_goes(
    loop, folders, seed, how
):
    play(loop, folders, seed, how)


@pytest.mark.parametrize("how", ["term", "kill"])
def test_these_ends_show_what_is_not_synced(loop, folders, monkeypatch, how):
    """The check above could pass whatever a replica leaves unsynced."""

    async def not_synced(log):
        log.synced_index = log.last_index

    monkeypatch.setattr(DurableLog, "sync", not_synced)
    with pytest.raises((AssertionError, LogDamagedError)):
        for seed in SEEDS:
            play(loop, folders, seed, how)
