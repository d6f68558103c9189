"""Term and vote of a replica after failed and torn writes."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from damaskcroft._generated import consensus_pb2
from damaskcroft.consensus import DurableLog, FolderDisk, LogDamagedError
from damaskcroft.consensus._hard_state import (
    HardStateFile,
    create_hard_state_file,
)
from damaskcroft.consensus.tests.fakes import FakeDisk

BLOCK_BYTES = 4096


class FailingDisk(FakeDisk):
    """Tears and refuses the overwrite with the number `torn_at`."""

    def __init__(self, synced=None):
        super().__init__(random.Random(0), synced)
        self.overwrites = self.replaces = 0
        self.torn_at = None

    def overwrite(self, name, offset_bytes, content):
        self.overwrites += 1
        if self.overwrites == self.torn_at:
            half = content[: len(content) // 2] + b"\xff"
            super().overwrite(name, offset_bytes, half)
            raise OSError("refused")
        super().overwrite(name, offset_bytes, content)

    def replace(self, name, content):
        self.replaces += 1
        super().replace(name, content)


def formatted(disk):
    """Creates a hard state file on a disk and returns the disk."""
    create_hard_state_file(disk, consensus_pb2.HardState(incarnation="i"))
    return disk


def read(disk):
    return HardStateFile(disk, DurableLog(disk))


def held(hard):
    return hard.term, hard.voted_for


def test_save_replaces_no_file():
    # Replacing a file delays elections when the file system is busy.
    disk = formatted(FailingDisk())
    hard, before = read(disk), disk.replaces
    hard.save(1, "a")
    assert disk.replaces == before
    assert held(read(disk)) == (1, "a")


@pytest.mark.parametrize("copy", [0, 1])
def test_state_is_read_from_intact_copy(copy):
    disk = formatted(FailingDisk())
    read(disk).save(7, "a")
    disk.overwrite("vote", copy * BLOCK_BYTES + 4, b"\xff\xff\xff\xff")
    hard = read(disk)
    assert held(hard) == (7, "a")
    assert hard.incarnation == "i"


def test_two_damaged_copies_are_an_error():
    disk = formatted(FailingDisk())
    read(disk).save(7, "a")
    for copy in range(2):
        disk.overwrite("vote", copy * BLOCK_BYTES + 4, b"\xff\xff\xff\xff")
    with pytest.raises(LogDamagedError):
        read(disk)


def test_file_with_one_copy_is_read_and_completed():
    disk = FailingDisk()
    formatted(disk)
    disk.synced["vote"] = disk.synced["vote"][:BLOCK_BYTES].rstrip(b"\0")
    read(disk).save(3, "b")
    assert len(disk.synced["vote"]) > BLOCK_BYTES
    assert held(read(disk)) == (3, "b")


STEPS = st.lists(
    st.tuples(
        st.booleans(),  # Whether there is a vote.
        st.sampled_from([0, 0, 1, 2]),  # Which write is torn.
        st.booleans(),  # Whether the process starts again.
    ),
    max_size=12,
)


@given(steps=STEPS)
def test_what_was_saved_holds_over_torn_writes(steps):
    # A lost vote would let the replica vote twice in one term.
    disk = formatted(FailingDisk())
    hard, term = read(disk), 0
    for votes, torn, restarts in steps:
        before, term = held(hard), term + 1
        wanted = (term, "a" if votes else "")
        disk.torn_at = disk.overwrites + torn if torn else None
        try:
            hard.save(*wanted)
            assert held(hard) == wanted
        except OSError:
            assert held(hard) == before
        disk.torn_at = None
        if restarts:
            hard = read(disk)
            assert held(hard) in (before, wanted)
            assert not torn or held(hard) != before or torn == 1
            assert torn or held(hard) == wanted


def test_state_of_killed_process_is_durable_once_read(folders):
    # Otherwise a vote could be read, acted upon and then lost with the power.
    machine = folders.create_folder("a")
    disk = formatted(FolderDisk(machine / "log"))
    hard = read(disk)

    def refuse(path):
        if path.name == "vote":
            raise OSError("killed")

    folders.before_sync = refuse
    with pytest.raises(OSError):
        hard.save(5, "a")
    folders.before_sync = lambda path: None
    assert held(read(FolderDisk(machine / "log"))) == (5, "a")
    left = folders.after_power_loss("a", machine, kept_share=0.0)
    assert held(read(FolderDisk(left / "log"))) == (5, "a")
