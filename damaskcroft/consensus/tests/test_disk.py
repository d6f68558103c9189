import asyncio
import os
import time

import pytest

from damaskcroft._generated import consensus_pb2
from damaskcroft.consensus import DurableLog, FolderDisk, format_disk
from damaskcroft.consensus.tests.fakes import MEMBERS


@pytest.mark.parametrize("below", ["log", "data/log"])
def test_new_data_folder_survives_power_loss(folders, below):
    """Control lost its state when the name of a new folder was not synced."""
    machine = folders.create_folder("a")
    format_disk(FolderDisk(machine / below), MEMBERS)
    left = folders.after_power_loss("a", machine, kept_share=0.0)
    assert FolderDisk(left / below).read("vote") is not None


def test_entries_of_killed_process_are_durable_once_acknowledged(folders, loop):
    """The next process acknowledged entries that no disk had stored yet."""
    machine = folders.create_folder("a")
    entry = consensus_pb2.LogEntry(index=1, term=1, command=b"x")
    DurableLog(FolderDisk(machine / "log")).append([entry])
    log = DurableLog(FolderDisk(machine / "log"))
    loop.run(log.sync())
    assert log.synced_index == 1
    left = folders.after_power_loss("a", machine, kept_share=0.0)
    assert DurableLog(FolderDisk(left / "log")).last_index == 1


def test_slow_disk_is_logged(tmp_path, monkeypatch, caplog):
    # Without such a line, elections and refusals caused by a slow disk can't be
    # explained from the logs.
    sync = os.fdatasync

    def sync_late(handle):
        time.sleep(0.12)
        sync(handle)

    monkeypatch.setattr(os, "fdatasync", sync_late)
    caplog.set_level("INFO")
    disk = FolderDisk(tmp_path)
    disk.append("log", b"x")
    asyncio.run(disk.sync("log"))
    assert any("event=disk_slow step=sync" in t for t in caplog.messages)
