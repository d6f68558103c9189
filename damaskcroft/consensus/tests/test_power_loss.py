"""Nothing that was accepted is gone after losses of power and of disks."""

import asyncio
import random

import pytest

from damaskcroft.consensus import Committed, DurableLog, FolderDisk
from damaskcroft.consensus.tests.fakes import MAX_SYNC_S, MEMBERS
from damaskcroft.consensus.tests.power import PowerCluster

WRITERS = 3
ROUNDS = 3
# Elections, joins, drops of silent members and all retries between them.
SETTLED_S = 12.0
STEP_S = 0.05
MAX_SYNCS = 60
MAX_COMPACTIONS = 6
# Of losses, those that are followed by another before all is repaired.
AGAIN_SHARE = 0.3
SEEDS = range(10)


class Day:
    """Writers without a pause, disturbances, and losses of power."""

    def __init__(self, loop, folders, seed):
        self.loop = loop
        self.rng = random.Random(seed)
        folders.rng = random.Random(seed)
        self.cluster = PowerCluster(loop, folders, seed)
        self.accepted = {}
        self.written = 0
        self.added = 0
        self.is_quiet = False
        self.loop.pass_time(2.0)
        self.writers = [loop.create_task(self.write()) for _ in range(WRITERS)]

    async def write(self):
        while True:
            self.written += 1
            value = f"v{self.written}"
            leader = self.cluster.leader()
            if leader is None or self.is_quiet or self.cluster.is_dark:
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

    def all(self):
        return sorted(self.cluster.replicas)

    def follower(self):
        return self.rng.choice(
            [m for m in self.all() if not self.cluster.replicas[m].is_leader]
        )

    # --- Disturbances; each tells of which members one may lose its disk ----

    def calm(self):
        return self.all()

    def leader_killed(self):
        leader = self.cluster.leader()
        if leader is not None:
            self.restart([leader.leader_id])
        self.loop.pass_time(self.rng.random() * 1.5)
        return self.all()

    def all_killed(self):
        self.restart(self.all())
        self.loop.pass_time(self.rng.random() * 2.0)
        return self.all()

    def follower_killed(self):
        self.restart([self.follower()])
        return self.all()

    def killed_then_quiet(self):
        """What they had written is never followed by another write."""
        leader = self.cluster.leader()
        self.is_quiet = True
        if leader is None:
            return self.all()
        self.restart(m for m in self.all() if m != leader.leader_id)
        self.loop.pass_time(self.rng.random() / 2)
        return [leader.leader_id]

    def restart(self, members):
        members = list(members)
        for member in members:
            self.cluster.crash(member)
        for member in members:
            self.cluster.start(member)

    def follower_far_behind(self):
        """Back just now: it gets a snapshot."""
        member = self.follower()
        self.cluster.crash(member)
        self.loop.pass_time(2.0)
        self.cluster.start(member)
        self.loop.pass_time(self.rng.random())
        return self.all()

    def old_leader_far_behind(self):
        """Its log has entries that nobody else holds, then a snapshot."""
        leader = self.cluster.leader()
        if leader is None:
            return self.all()
        for replica in self.cluster.replicas.values():
            pair = (leader.address, replica.address)
            self.cluster.network.cuts |= {pair, pair[::-1]}
        self.loop.pass_time(3.0)
        self.cluster.network.cuts.clear()
        self.loop.pass_time(self.rng.random())
        return self.all()

    def replaced(self):
        """One is gone, another comes; it counts after a while, or not yet."""
        # Newcomers know the first members only, so one of these stays.
        first = [m for m in self.all() if m in MEMBERS]
        gone = self.rng.choice(
            [m for m in self.all() if first != [m]],
        )
        self.cluster.remove(gone)
        self.add()
        self.loop.pass_time(self.rng.choice([0.0, 0.3, 1.0, 2.0, 6.0]))
        return self.all() if self.is_repaired() else []

    def added_first(self):
        self.add()
        self.loop.pass_time(self.rng.random())
        return self.all()

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

    # --- One loss ----------------------------------------------------------

    def lose_power(self):
        disturbance = self.rng.choice(
            [
                self.calm, self.leader_killed, self.all_killed,
                self.follower_killed, self.follower_far_behind,
                self.old_leader_far_behind, self.replaced, self.added_first,
                self.killed_then_quiet,
            ]
        )  # fmt: skip
        candidates = disturbance()
        wiped = {self.rng.choice(candidates)} if candidates else set()
        name = self.rng.choice([None, "log", "log.new"])
        most = MAX_COMPACTIONS if name == "log.new" else MAX_SYNCS
        self.cluster.lose_power(self.rng.randrange(most), wiped, name)
        if self.is_quiet:
            self.cluster.go_dark(kept_share=0.0)
        self.dark_and_back(disturbance, wiped)
        if self.rng.random() < AGAIN_SHARE:
            self.cluster.lose_power(self.rng.randrange(MAX_SYNCS), set())
            self.dark_and_back(disturbance, wiped)
        before = len(self.accepted)
        self.wait_for(
            lambda: len(self.accepted) > before + 2, disturbance, wiped
        )
        self.wait_for(self.is_repaired, disturbance, wiped)
        self.check()

    def dark_and_back(self, *context):
        self.wait_for(lambda: self.cluster.is_dark, *context)
        self.is_quiet = False
        self.loop.pass_time(self.rng.random())
        self.cluster.power_up()

    def wait_for(self, is_so, *context):
        for _ in range(round(SETTLED_S / STEP_S)):
            if is_so():
                return
            self.loop.pass_time(STEP_S)
            self.look_at_writers()
        raise AssertionError(f"not within {SETTLED_S} s: {context}")

    def look_at_writers(self):
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
        self.is_quiet = True
        self.loop.pass_time(3.0)
        lists = [
            self.cluster.machines[member].applied
            for member in self.cluster.replicas
        ]
        assert all(applied == lists[0] for applied in lists)
        self.check()


@pytest.mark.parametrize("seed", SEEDS)
def test_nothing_accepted_is_lost_with_one_disk_and_all_power(
    loop, folders, seed
):
    """Changes were lost, or nobody was ever elected, after some such losses."""
    play(loop, folders, seed)


async def not_synced(log):
    log.synced_index = log.last_index


def taken_for_synced(log, disk, read=DurableLog.__init__):
    read(log, disk)
    log.synced_index = log.last_index


@pytest.mark.parametrize(
    "owner, name, fault, seed",
    [
        (DurableLog, "sync", not_synced, 6),
        (DurableLog, "__init__", taken_for_synced, 3),
        (FolderDisk, "_sync_folder", lambda disk: None, 0),
    ],
    ids=["entries", "entries of a killed process", "names"],
)
def test_these_losses_show_what_is_not_synced(
    loop, folders, monkeypatch, owner, name, fault, seed
):
    """The check above could pass whatever a replica leaves unsynced."""
    monkeypatch.setattr(owner, name, fault)
    with pytest.raises(AssertionError):
        play(loop, folders, seed)


def play(loop, folders, seed):
    day = Day(loop, folders, seed)
    try:
        for _ in range(ROUNDS):
            day.lose_power()
        day.end()
    finally:
        day.stop()
