"""Simulation of power losses under the replicas' real disk code.

The replicas use real folders. The simulation records the content that each
file had at its last sync and the names that each folder had. A power loss
restores that state, with a random part of later changes.
"""

import asyncio
import collections
import os
import pathlib

from damaskcroft.consensus import FolderDisk
from damaskcroft.consensus.tests.fakes import (
    MAX_SYNC_S,
    Cluster,
    address_of,
)

# Unit in which a disk writes, or tears a write.
BLOCK_BYTES = 4096
# Share of syncs that fail on a disk that is set to refuse some.
REFUSED_SHARE = 0.4


class PowerLostError(OSError):
    """The machine lost power during the operation."""


class PowerDisk(FolderDisk):
    """The disk of one process; it fails once the process was killed."""

    def __init__(self, folder):
        self.dead = False
        super().__init__(folder)

    def append(self, name, content):
        self.raise_if_dead()
        super().append(name, content)

    async def sync(self, name):
        self.raise_if_dead()
        await super().sync(name)
        self.raise_if_dead()

    def truncate(self, name, size_bytes):
        self.raise_if_dead()
        super().truncate(name, size_bytes)

    def replace(self, name, content):
        self.raise_if_dead()
        super().replace(name, content)

    def overwrite(self, name, offset_bytes, content):
        self.raise_if_dead()
        super().overwrite(name, offset_bytes, content)

    def raise_if_dead(self):
        if self.dead:
            raise PowerLostError("the process was killed")


class Folders:
    """Tracks what would survive a power loss, of all files below one folder.

    Args:
        root: contains a folder for each machine.
        rng: decides which unsynced changes survive.
    """

    def __init__(self, root, rng):
        self.root = root
        self.rng = rng
        # Handles are kept open so that the system does not reuse inode numbers.
        self.open_handle_by_inode = {}
        self.content_by_inode = {}
        self.names_by_folder = {}
        # Counts kills, because a sync in progress at a kill may not be done.
        self.kills_by_machine = collections.Counter()
        # Called with the file or folder to be synced; may raise.
        self.before_sync = lambda path: None
        self.folder_count = 0

    def patch(self, monkeypatch):
        """Replaces the sync calls of the operating system."""
        monkeypatch.setattr(os, "fsync", self.sync)
        monkeypatch.setattr(os, "fdatasync", self.sync)
        monkeypatch.setattr(asyncio, "to_thread", self.sync_slowly)

    def sync(self, handle):
        path = path_of(handle)
        self.before_sync(path)
        if not path.is_dir():
            self.record_content(handle, content_of(handle))
            return
        self.names_by_folder[path] = inodes_in(path)
        for child in path.iterdir():
            self.keep_inode_open(child)

    async def sync_slowly(self, work, handle):
        """Syncs with a delay; covers only what was written before the call."""
        del work
        self.before_sync(path_of(handle))
        content = content_of(handle)
        before = self.content_by_inode.get(os.fstat(handle).st_ino)
        machine = path_of(handle).relative_to(self.root).parts[0]
        kills = self.kills_by_machine[machine]
        await asyncio.sleep(MAX_SYNC_S * self.rng.random())
        if self.kills_by_machine[machine] > kills:
            raise PowerLostError("the process was killed")
        if self.content_by_inode.get(os.fstat(handle).st_ino) is before:
            self.record_content(handle, content)

    def record_content(self, handle, content):
        number = os.fstat(handle).st_ino
        self.content_by_inode[number] = content
        self.keep_inode_open(f"/proc/self/fd/{handle}")

    def keep_inode_open(self, path):
        number = os.stat(path).st_ino
        if number not in self.open_handle_by_inode:
            self.open_handle_by_inode[number] = os.open(path, os.O_RDONLY)

    def create_folder(self, machine):
        """Creates a folder for a machine, which survives power losses."""
        self.folder_count += 1
        folder = self.root / f"{machine}-{self.folder_count}"
        folder.mkdir()
        self.names_by_folder[folder] = {}
        return folder

    def after_power_loss(self, machine, folder, kept_share=None):
        """Returns a new folder with what survives of an old one."""
        surviving = self.create_folder(machine)
        if kept_share is None:
            kept_share = self.rng.choice([0.0, 0.5, 1.0])
        self.copy_surviving(folder, surviving, kept_share)
        return surviving

    def copy_surviving(self, folder, surviving, kept_share):
        """Copies what survives; each name change and each write may be lost."""
        synced, now = self.names_by_folder.get(folder, {}), inodes_in(folder)
        for name in sorted(synced.keys() | now.keys()):
            number = synced.get(name)
            if number != now.get(name) and self.rng.random() < kept_share:
                number = now.get(name)
            if number is None:
                continue
            path = folder / name
            if path.is_dir():
                (surviving / name).mkdir()
                self.copy_surviving(path, surviving / name, kept_share)
                continue
            content = self.content_by_inode.get(number, b"")
            if number == now.get(name):
                content = self.tear(content, path.read_bytes(), kept_share)
            (surviving / name).write_bytes(content)
        for path in surviving.iterdir():
            self.keep_inode_open(path)
            if path.is_file():
                self.content_by_inode[path.stat().st_ino] = path.read_bytes()
        self.names_by_folder[surviving] = inodes_in(surviving)

    def tear(self, synced, written, kept_share):
        """Returns content with a part of the unsynced writes.

        A write that is lost between others leaves a hole of zero bytes.
        """
        if kept_share == 1.0:
            return written
        if len(written) == len(synced) and written != synced:
            return self.tear_blocks(synced, written, kept_share)
        if not written.startswith(synced):
            return written if self.rng.random() < kept_share else synced
        size = round((len(written) - len(synced)) * self.rng.random())
        late = bytearray(written[len(synced) :][: round(size * kept_share * 2)])
        if len(late) > 1 and self.rng.random() < 0.5:
            start = self.rng.randrange(len(late) - 1)
            end = self.rng.randrange(start + 1, len(late))
            late[start:end] = bytes(end - start)
        return synced + bytes(late)

    def tear_blocks(self, synced, written, kept_share):
        """Keeps, drops or tears each overwritten block."""
        surviving = b""
        for start in range(0, len(synced), BLOCK_BYTES):
            old = synced[start : start + BLOCK_BYTES]
            new = written[start : start + BLOCK_BYTES]
            if old != new and self.rng.random() < kept_share:
                cut = self.rng.choice([len(new), self.rng.randrange(len(new))])
                old = new[:cut] + bytes(min(len(new) - cut, 8)) + old[cut + 8 :]
            surviving += old
        return surviving

    def close(self):
        for handle in self.open_handle_by_inode.values():
            os.close(handle)


class PowerCluster(Cluster):
    """A cluster on tracked folders that can lose power during any sync."""

    def __init__(self, loop, folders, seed=0, snapshot_entries=15):
        self.folders = folders
        self.folder_by_member = {}
        self.removed = set()
        self.wiped = set()
        self.syncs_left = None
        self.counted_file_name = None
        self.has_lost_power = False
        # Member whose disk refuses some syncs, if any.
        self.refusing_member = None
        folders.before_sync = self.count_sync
        super().__init__(loop, seed, snapshot_entries)

    def empty_disk(self, member):
        folder = self.folders.create_folder(member)
        self.folder_by_member[member] = folder
        return self.open_disk(member)

    def open_disk(self, member):
        return PowerDisk(self.folder_by_member[member] / "log")

    def lose_power(self, syncs, wiped, name=None):
        """Schedules a power loss of all machines before one of the next syncs.

        Args:
            syncs: number of syncs that are still done.
            wiped: members whose disks are lost at the same time.
            name: counts only syncs of files with this name.
        """
        self.counted_file_name = name
        self.syncs_left = syncs
        self.wiped = wiped

    def count_sync(self, path):
        if self.has_lost_power:
            raise PowerLostError("the machine has no power")
        folder = self.folder_by_member.get(self.refusing_member)
        if folder in path.parents and self.rng.random() < REFUSED_SHARE:
            raise OSError("refused")
        names = (None, path.name)
        if self.syncs_left is None or self.counted_file_name not in names:
            return
        self.syncs_left -= 1
        if self.syncs_left < 0:
            self.cut_power()
            raise PowerLostError("the machine has no power")

    def cut_power(self, kept_share=None):
        """Cuts the power now.

        Args:
            kept_share: probability that an unsynced change survives; drawn if
                None.
        """
        self.has_lost_power = True
        self.syncs_left = None
        addresses = list(self.network.replicas_by_address)
        self.network.cuts = {(a, b) for a in addresses for b in addresses}
        self.network.replicas_by_address.clear()
        for member, disk in self.disks.items():
            disk.dead = True
            folder = self.folder_by_member[member]
            self.folder_by_member[member] = (
                self.folders.create_folder(member)
                if member in self.wiped
                else self.folders.after_power_loss(member, folder, kept_share)
            )

    def restore_power(self):
        """Ends the remaining processes and starts all members again."""
        for replica in self.replicas.values():
            self.loop.run(replica.stop())
        for disk in self.disks.values():
            disk.close()
        self.replicas.clear()
        self.network.cuts.clear()
        self.refusing_member = None
        self.has_lost_power = False
        for member in sorted(set(self.disks) - self.removed):
            self.disks[member] = self.open_disk(member)
            self.start(member)

    def crash(self, member, kept_share=1.0):
        """Kills a process; the kernel keeps all that it wrote."""
        del kept_share
        replica = self.replicas.pop(member)
        del self.network.replicas_by_address[address_of(member)]
        self.disks[member].dead = True
        self.folders.kills_by_machine[self.folder_by_member[member].name] += 1
        self.loop.run(replica.stop())
        self.disks[member].close()
        self.disks[member] = self.open_disk(member)

    def stop(self):
        """Stops all replicas; the loop is closed by its creator."""
        for replica in self.replicas.values():
            self.loop.run(replica.stop())
        for disk in self.disks.values():
            disk.close()

    def remove(self, member):
        """Crashes a member whose machine does not return."""
        self.crash(member)
        self.removed.add(member)


def path_of(handle):
    name = os.readlink(f"/proc/self/fd/{handle}")
    return pathlib.Path(name.removesuffix(" (deleted)"))


def content_of(handle):
    return pathlib.Path(f"/proc/self/fd/{handle}").read_bytes()


def inodes_in(folder):
    return {path.name: path.stat().st_ino for path in folder.iterdir()}
