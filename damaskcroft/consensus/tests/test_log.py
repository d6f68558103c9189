import asyncio

import pytest

from damaskcroft._generated import consensus_pb2
from damaskcroft.consensus import (
    DurableLog,
    FolderDisk,
    LogDamagedError,
    NotFormattedError,
    format_disk,
)
from damaskcroft.consensus.tests.fakes import MEMBERS, Cluster
from damaskcroft.standins.virtual_time import VirtualTimeLoop


def entry(index, term=1):
    return consensus_pb2.LogEntry(
        index=index, term=term, command=f"command {index}".encode()
    )


@pytest.fixture
def folder(tmp_path):
    """A folder with five synced entries and one that was not synced."""
    log = DurableLog(FolderDisk(tmp_path))

    async def fill():
        for index in range(1, 6):
            log.append([entry(index)])
            await log.sync()
        log.append([entry(6)])

    asyncio.run(fill())
    return tmp_path


def damage(path, offset):
    content = bytearray(path.read_bytes())
    content[offset] ^= 0xFF
    path.write_bytes(content)


def test_entries_are_read_after_restart(folder):
    log = DurableLog(FolderDisk(folder))
    assert [log.entry(i).command for i in range(1, 7)] == [
        f"command {i}".encode() for i in range(1, 7)
    ]


@pytest.mark.parametrize("missing_bytes", [1, 7, 20])
def test_torn_tail_is_cut(folder, missing_bytes):
    path = folder / "log"
    path.write_bytes(path.read_bytes()[:-missing_bytes])
    assert DurableLog(FolderDisk(folder)).last_index == 5
    assert DurableLog(FolderDisk(folder)).last_index == 5


def test_torn_tail_is_cut_when_its_last_part_reached_the_disk(folder):
    log = DurableLog(FolderDisk(folder))
    log.synced_index = 5
    log.append([entry(7)])
    path = folder / "log"
    damage(path, len(path.read_bytes()) * 6 // 7 - 10)
    assert DurableLog(FolderDisk(folder)).last_index == 5


def test_damage_of_synced_entries_is_an_error(folder):
    damage(folder / "log", 60)
    with pytest.raises(LogDamagedError) as raised:
        DurableLog(FolderDisk(folder))
    assert raised.value.name == "log"


def test_damaged_snapshot_is_an_error(folder):
    log = DurableLog(FolderDisk(folder))
    log.compact(
        consensus_pb2.Snapshot(index=4, term=1, state=b"x"), max_kept_entries=1
    )
    reopened = DurableLog(FolderDisk(folder))
    assert (reopened.first_index, reopened.last_index) == (4, 6)
    damage(folder / "snapshot", 9)
    with pytest.raises(LogDamagedError):
        DurableLog(FolderDisk(folder))


class FailingReplaceDisk(FolderDisk):
    """Fails one replacement, before or after the file was renamed."""

    def __init__(self, folder, failing_name, is_renamed):
        super().__init__(folder)
        self.failing_name = failing_name
        self.is_renamed = is_renamed

    def replace(self, name, content):
        fails = name == self.failing_name
        if not fails or self.is_renamed:
            super().replace(name, content)
        if fails:
            self.failing_name = None
            raise OSError("stopped")


@pytest.fixture(params=[False, True], ids=["", "renamed"])
def is_renamed(request):
    return request.param


@pytest.fixture(params=[4, 9], ids=["longer, of another term", "shorter"])
def interrupted_reset(request, folder, is_renamed):
    """A log whose disk failed after its snapshot was replaced."""
    log = DurableLog(FailingReplaceDisk(folder, "log", is_renamed))
    index = request.param
    with pytest.raises(OSError):
        log.reset_to(consensus_pb2.Snapshot(index=index, term=2, state=b"x"))
    return log, folder, index


def test_entries_after_interrupted_reset_are_readable(
    interrupted_reset,
):
    """Entries after such a failure were unreadable or a mix of two logs."""
    _, folder, index = interrupted_reset
    log = DurableLog(FolderDisk(folder))
    assert (log.last_index, log.last_term) == (index, 2)
    log.append([entry(index + 1, term=2)])
    asyncio.run(log.sync())
    reopened = DurableLog(FolderDisk(folder))
    assert reopened.first_index == reopened.last_index == index + 1
    assert reopened.entry(index + 1).term == 2


def test_log_continues_unchanged_after_failed_reset(interrupted_reset):
    """The log continued from a snapshot beyond its last entry."""
    log, folder, _ = interrupted_reset
    assert (log.last_index, log.snapshot.index) == (6, 0)
    log.append([entry(7), entry(8)])
    asyncio.run(log.sync())
    log.truncate_from(8)
    assert [log.entry(i).index for i in (6, 7)] == [6, 7]


def test_log_is_readable_after_failed_compaction(folder, is_renamed):
    """The log was changed at offsets of a file that had been replaced."""
    log = DurableLog(FailingReplaceDisk(folder, "log", is_renamed))
    with pytest.raises(OSError):
        log.compact(consensus_pb2.Snapshot(index=4, term=1), max_kept_entries=1)
    log.truncate_from(6)
    log.append([entry(6, term=2), entry(7, term=2)])
    asyncio.run(log.sync())
    reopened = DurableLog(FolderDisk(folder))
    assert [reopened.term_at(i) for i in (5, 6, 7)] == [1, 2, 2]
    assert reopened.last_index == 7


@pytest.mark.parametrize("term, last_index", [(1, 6), (2, 3)])
def test_reset_keeps_only_entries_consistent_with_snapshot(
    folder, term, last_index
):
    """Entries of a former leader were kept after a later leader's snapshot."""
    log = DurableLog(FolderDisk(folder))
    log.reset_to(consensus_pb2.Snapshot(index=3, term=term, state=b"x"))
    assert log.last_index == last_index
    assert DurableLog(FolderDisk(folder)).last_index == last_index


def test_folder_is_formatted_only_once(tmp_path):
    format_disk(FolderDisk(tmp_path), MEMBERS)
    with pytest.raises(NotFormattedError):
        format_disk(FolderDisk(tmp_path), MEMBERS)


def test_new_leader_soon_after_the_old_one_is_cut_off():
    """Two election timeouts and a vote suffice, in virtual time."""
    loop = VirtualTimeLoop()
    asyncio.set_event_loop(loop)
    cluster = Cluster(loop, seed=3)
    loop.pass_time(3.0)
    old = cluster.leader()
    for member, address in MEMBERS.items():
        if member != old.leader_id:
            own = MEMBERS[old.leader_id]
            cluster.network.cuts |= {(own, address), (address, own)}
    loop.pass_time(1.6)
    assert cluster.leader().term > old.term
    assert not old.is_leader
    cluster.stop()


def test_replica_down_for_hundreds_of_changes_catches_up():
    loop = VirtualTimeLoop()
    asyncio.set_event_loop(loop)
    cluster = Cluster(loop, seed=4, snapshot_entries=50)
    loop.pass_time(3.0)
    down = next(m for m in MEMBERS if not cluster.replicas[m].is_leader)
    cluster.crash(down)
    for number in range(400):
        cluster.write(f"v{number}")
    cluster.start(down)
    loop.pass_time(3.0)
    lists = [machine.applied for machine in cluster.machines.values()]
    assert lists[0] == lists[1] == lists[2]
    assert len(lists[0]) == 400
    cluster.stop()
