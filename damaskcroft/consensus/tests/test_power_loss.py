"""No accepted write is lost after losses of power and of disks."""

import asyncio
import random

import pytest

from damaskcroft.consensus import (
    Committed,
    DurableLog,
    FolderDisk,
    LogDamagedError,
)
from damaskcroft.consensus.tests.fakes import MAX_SYNC_S, MEMBERS
from damaskcroft.consensus.tests.power_loss import PowerCluster

WRITERS = 3
ROUNDS = 3
# Covers elections, joins, removal of silent members and retries in between.
SETTLED_S = 12.0
STEP_S = 0.05
MAX_SYNCS = 60
MAX_COMPACTIONS = 6
# Share of power losses followed by another before the cluster is repaired.
REPEATED_LOSS_SHARE = 0.3
SEEDS = range(10)


class PowerLossScenario:
    """Runs writers without a pause, with disturbances and power losses."""

    def __init__(self, loop, folders, seed):
        self.loop = loop
        self.rng = random.Random(seed)
        folders.rng = random.Random(seed)
        self.cluster = PowerCluster(loop, folders, seed)
        self.accepted = {}
        self.written = 0
        self.added = 0
        self.are_writes_paused = False
        self.loop.pass_time(2.0)
        self.writers = [loop.create_task(self.write()) for _ in range(WRITERS)]

    async def write(self):
        while True:
            self.written += 1
            value = f"v{self.written}"
            leader = self.cluster.leader()
            if (
                leader is None
                or self.are_writes_paused
                or self.cluster.has_lost_power
            ):
                await asyncio.sleep(STEP_S)
                continue
            try:
                async with asyncio.timeout(0.5):
                    outcome = await leader.propose(value.encode())
            except TimeoutError:
                continue
            if isinstance(outcome, Committed):
                assert outcome.index not in self.accepted
                self.accepted[outcome.index] = value
            await asyncio.sleep(self.rng.random() * MAX_SYNC_S)

    def member_ids(self):
        return sorted(self.cluster.replicas)

    def follower(self):
        return self.rng.choice(
            [
                m
                for m in self.member_ids()
                if not self.cluster.replicas[m].is_leader
            ]
        )

    # --- Disturbances; each returns members of which one may lose its disk -

    def no_disturbance(self):
        return self.member_ids()

    def kill_leader(self):
        leader = self.cluster.leader()
        if leader is not None:
            self.restart([leader.leader_id])
        self.loop.pass_time(self.rng.random() * 1.5)
        return self.member_ids()

    def kill_all(self):
        self.restart(self.member_ids())
        self.loop.pass_time(self.rng.random() * 2.0)
        return self.member_ids()

    def kill_follower(self):
        self.restart([self.follower()])
        return self.member_ids()

    def kill_followers_and_pause_writes(self):
        """Restarts the followers, with no write after their last entries."""
        leader = self.cluster.leader()
        self.are_writes_paused = True
        if leader is None:
            return self.member_ids()
        self.restart(m for m in self.member_ids() if m != leader.leader_id)
        self.loop.pass_time(self.rng.random() / 2)
        return [leader.leader_id]

    def restart(self, members):
        members = list(members)
        for member in members:
            self.cluster.crash(member)
        for member in members:
            self.cluster.start(member)

    def restart_lagging_follower(self):
        """Restarts a follower that needs a snapshot."""
        member = self.follower()
        self.cluster.crash(member)
        self.loop.pass_time(2.0)
        self.cluster.start(member)
        self.loop.pass_time(self.rng.random())
        return self.member_ids()

    def cut_off_leader(self):
        """Cuts off a leader, whose log then ends in entries only it holds.

        It needs a snapshot afterwards.
        """
        leader = self.cluster.leader()
        if leader is None:
            return self.member_ids()
        for replica in self.cluster.replicas.values():
            pair = (leader.address, replica.address)
            self.cluster.network.cuts |= {pair, pair[::-1]}
        self.loop.pass_time(3.0)
        self.cluster.network.cuts.clear()
        self.loop.pass_time(self.rng.random())
        return self.member_ids()

    def refuse_syncs(self):
        """Lets a disk refuse some syncs, also of names."""
        self.cluster.refusing_member = self.rng.choice(self.member_ids())
        self.loop.pass_time(self.rng.random() * 3.0)
        return self.member_ids()

    def replace_member(self):
        """Replaces a member; the new one may not be a voter yet."""
        # An added member knows only the initial members, so one of them stays.
        first = [m for m in self.member_ids() if m in MEMBERS]
        gone = self.rng.choice(
            [m for m in self.member_ids() if first != [m]],
        )
        self.cluster.remove(gone)
        self.add()
        self.loop.pass_time(self.rng.choice([0.0, 0.3, 1.0, 2.0, 6.0]))
        return self.member_ids() if self.is_repaired() else []

    def add_member(self):
        self.add()
        self.loop.pass_time(self.rng.random())
        return self.member_ids()

    def add(self):
        self.added += 1
        self.cluster.add(f"new{self.added}")

    def is_repaired(self):
        leader = self.cluster.leader()
        if leader is None:
            return False
        voters = [m for m in leader.log.config().members if not m.learner]
        here = [m for m in self.cluster.replicas if self.cluster.is_voting(m)]
        if len(here) < len(self.cluster.replicas):
            return False
        return len(here) - 1 > len(voters) // 2

    # --- One power loss ------------------------------------------------------

    def lose_power(self):
        disturbance = self.rng.choice(
            [
                self.no_disturbance, self.kill_leader, self.kill_all,
                self.kill_follower, self.restart_lagging_follower,
                self.cut_off_leader, self.replace_member, self.add_member,
                self.kill_followers_and_pause_writes, self.refuse_syncs,
            ]
        )  # fmt: skip
        candidates = disturbance()
        wiped = {self.rng.choice(candidates)} if candidates else set()
        name = self.rng.choice([None, "log", "log.new"])
        max_syncs = MAX_COMPACTIONS if name == "log.new" else MAX_SYNCS
        self.cluster.lose_power(self.rng.randrange(max_syncs), wiped, name)
        if self.are_writes_paused:
            self.cluster.cut_power(kept_share=0.0)
        self.lose_and_restore_power(disturbance, wiped)
        if self.rng.random() < REPEATED_LOSS_SHARE:
            self.cluster.lose_power(self.rng.randrange(MAX_SYNCS), set())
            self.lose_and_restore_power(disturbance, wiped)
        before = len(self.accepted)
        self.wait_for(
            lambda: len(self.accepted) > before + 2, disturbance, wiped
        )
        self.wait_for(self.is_repaired, disturbance, wiped)
        self.check()

    def lose_and_restore_power(self, *context):
        self.wait_for(lambda: self.cluster.has_lost_power, *context)
        self.are_writes_paused = False
        self.loop.pass_time(self.rng.random())
        self.cluster.restore_power()

    def wait_for(self, condition, *context):
        for _ in range(round(SETTLED_S / STEP_S)):
            if condition():
                return
            self.loop.pass_time(STEP_S)
            self.raise_writer_errors()
        raise AssertionError(f"not within {SETTLED_S} s: {context}")

    def raise_writer_errors(self):
        for writer in self.writers:
            if writer.done():
                writer.result()

    def check(self):
        leader = self.cluster.leader()
        held = dict(self.cluster.machines[leader.leader_id].applied)
        for index, value in self.accepted.items():
            assert held.get(index) == value, (index, value)

    def stop(self):
        for writer in self.writers:
            writer.cancel()
        self.cluster.stop()

    def end(self):
        self.are_writes_paused = True
        self.loop.pass_time(3.0)
        lists = [
            self.cluster.machines[member].applied
            for member in self.cluster.replicas
        ]
        assert all(applied == lists[0] for applied in lists)
        self.check()


@pytest.mark.parametrize("seed", SEEDS)
def test_no_accepted_write_is_lost_with_one_disk_and_all_power(
    loop, folders, seed
):
    """After some power losses, changes were lost or no leader was elected."""
    run_scenario(loop, folders, seed)


async def skip_sync(log):
    log.synced_index = log.last_index


def assume_synced(log, disk, read=DurableLog.__init__):
    read(log, disk)
    log.synced_index = log.last_index


@pytest.mark.parametrize(
    "owner, name, fault",
    [
        (DurableLog, "sync", skip_sync),
        (DurableLog, "__init__", assume_synced),
        (FolderDisk, "_sync_folder_names", lambda disk: None),
    ],
    ids=["entries", "entries of a killed process", "names"],
)
def test_scenario_detects_missing_syncs(
    loop, folders, monkeypatch, owner, name, fault
):
    """Shows that the test above fails if replicas leave data unsynced."""
    monkeypatch.setattr(owner, name, fault)
    with pytest.raises((AssertionError, LogDamagedError)):
        for seed in SEEDS:
            run_scenario(loop, folders, seed)


def run_scenario(loop, folders, seed):
    scenario = PowerLossScenario(loop, folders, seed)
    try:
        for _ in range(ROUNDS):
            scenario.lose_power()
        scenario.end()
    finally:
        scenario.stop()
