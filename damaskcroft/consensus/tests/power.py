"""Folders that keep after a loss of power only what was synced.

The replicas' own disk code runs on real folders. What each file held when it
was last synced, and which names each folder held, is kept beside; a loss of
power goes back to that, with any part of what came later.
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

# What a disk writes at once, or tears.
BLOCK_BYTES = 4096
# Of the syncs of a disk that fails now and then.
REFUSED_SHARE = 0.4


class PowerLostError(OSError):
    """The machine went dark in the middle of what it did."""


class PowerDisk(FolderDisk):
    """The disk of one process; its end is the end of all that it does."""

    def __init__(self, folder):
        self.dead = False
        super().__init__(folder)

    def append(self, name, content):
        self.check()
        super().append(name, content)

    async def sync(self, name):
        self.check()
        await super().sync(name)
        self.check()

    def truncate(self, name, size_bytes):
        self.check()
        super().truncate(name, size_bytes)

    def replace(self, name, content):
        self.check()
        super().replace(name, content)

    def overwrite(self, name, offset_bytes, content):
        self.check()
        super().overwrite(name, offset_bytes, content)

    def check(self):
        if self.dead:
            raise PowerLostError("the process is gone")


class Folders:
    """What of the files below one folder would outlast a loss of power.

    Args:
        root: holds a folder for each machine.
        rng: draws what is kept of that which wasn't synced.
    """

    def __init__(self, root, rng):
        self.root = root
        self.rng = rng
        # Held open, or the numbers would be given out again.
        self.handle_by_inode = {}
        self.content_by_inode = {}
        self.names_by_folder = {}
        # A sync that is under way at a kill need not be carried out.
        self.kills_by_machine = collections.Counter()
        # Gets the file or folder; may raise.
        self.before_sync = lambda path: None
        self.boots = 0

    def patch(self, monkeypatch):
        """Takes the place of the syncs of the operating system."""
        monkeypatch.setattr(os, "fsync", self.sync)
        monkeypatch.setattr(os, "fdatasync", self.sync)
        monkeypatch.setattr(asyncio, "to_thread", self.sync_slowly)

    def sync(self, handle):
        path = path_of(handle)
        self.before_sync(path)
        if not path.is_dir():
            self.keep(handle, content_of(handle))
            return
        self.names_by_folder[path] = inodes_in(path)
        for child in path.iterdir():
            self.hold(child)

    async def sync_slowly(self, work, handle):
        """Only what was written before the call is sure to be kept."""
        del work
        self.before_sync(path_of(handle))
        content = content_of(handle)
        before = self.content_by_inode.get(os.fstat(handle).st_ino)
        machine = path_of(handle).relative_to(self.root).parts[0]
        kills = self.kills_by_machine[machine]
        await asyncio.sleep(MAX_SYNC_S * self.rng.random())
        if self.kills_by_machine[machine] > kills:
            raise PowerLostError("the process is gone")
        if self.content_by_inode.get(os.fstat(handle).st_ino) is before:
            self.keep(handle, content)

    def keep(self, handle, content):
        number = os.fstat(handle).st_ino
        self.content_by_inode[number] = content
        self.hold(f"/proc/self/fd/{handle}")

    def hold(self, path):
        number = os.stat(path).st_ino
        if number not in self.handle_by_inode:
            self.handle_by_inode[number] = os.open(path, os.O_RDONLY)

    def empty(self, machine):
        """A new folder of a machine; the folder itself is there for good."""
        self.boots += 1
        folder = self.root / f"{machine}-{self.boots}"
        folder.mkdir()
        self.names_by_folder[folder] = {}
        return folder

    def after_power_loss(self, machine, folder, kept_share=None):
        """A new folder with what is left of one."""
        left = self.empty(machine)
        if kept_share is None:
            kept_share = self.rng.choice([0.0, 0.5, 1.0])
        self.copy_left(folder, left, kept_share)
        return left

    def copy_left(self, folder, left, kept_share):
        """Each change of a name, and each write, is kept or lost by itself."""
        synced, now = self.names_by_folder.get(folder, {}), inodes_in(folder)
        for name in sorted(synced.keys() | now.keys()):
            number = synced.get(name)
            if number != now.get(name) and self.rng.random() < kept_share:
                number = now.get(name)
            if number is None:
                continue
            path = folder / name
            if path.is_dir():
                (left / name).mkdir()
                self.copy_left(path, left / name, kept_share)
                continue
            content = self.content_by_inode.get(number, b"")
            if number == now.get(name):
                content = self.torn(content, path.read_bytes(), kept_share)
            (left / name).write_bytes(content)
        for path in left.iterdir():
            self.hold(path)
            if path.is_file():
                self.content_by_inode[path.stat().st_ino] = path.read_bytes()
        self.names_by_folder[left] = inodes_in(left)

    def torn(self, synced, written, kept_share):
        """Part of what was written since; a hole is a write that is lost."""
        if kept_share == 1.0:
            return written
        if len(written) == len(synced) and written != synced:
            return self.torn_within(synced, written, kept_share)
        if not written.startswith(synced):
            return written if self.rng.random() < kept_share else synced
        size = round((len(written) - len(synced)) * self.rng.random())
        late = bytearray(written[len(synced) :][: round(size * kept_share * 2)])
        if len(late) > 1 and self.rng.random() < 0.5:
            start = self.rng.randrange(len(late) - 1)
            end = self.rng.randrange(start + 1, len(late))
            late[start:end] = bytes(end - start)
        return synced + bytes(late)

    def torn_within(self, synced, written, kept_share):
        """Each block that was written over is kept, lost, or torn."""
        left = b""
        for start in range(0, len(synced), BLOCK_BYTES):
            old = synced[start : start + BLOCK_BYTES]
            new = written[start : start + BLOCK_BYTES]
            if old != new and self.rng.random() < kept_share:
                cut = self.rng.choice([len(new), self.rng.randrange(len(new))])
                old = new[:cut] + bytes(min(len(new) - cut, 8)) + old[cut + 8 :]
            left += old
        return left

    def close(self):
        for handle in self.handle_by_inode.values():
            os.close(handle)


class PowerCluster(Cluster):
    """Replicas on such folders; all may lose power in the middle of a sync."""

    def __init__(self, loop, folders, seed=0, snapshot_entries=15):
        self.folders = folders
        self.folder_by_member = {}
        self.removed = set()
        self.wiped = set()
        self.syncs_left = None
        self.dark_at_name = None
        self.is_dark = False
        # The member whose disk refuses some syncs.
        self.refusing = None
        folders.before_sync = self.count_sync
        super().__init__(loop, seed, snapshot_entries)

    def empty_disk(self, member):
        folder = self.folders.empty(member)
        self.folder_by_member[member] = folder
        return self.disk_of(member)

    def disk_of(self, member):
        return PowerDisk(self.folder_by_member[member] / "log")

    def lose_power(self, syncs, wiped, name=None):
        """All machines go dark before one of the next syncs of any of them.

        Args:
            syncs: how many syncs are still made.
            wiped: members whose disks are lost in the same moment.
            name: counts only syncs of files of this name.
        """
        self.dark_at_name = name
        self.syncs_left = syncs
        self.wiped = wiped

    def count_sync(self, path):
        if self.is_dark:
            raise PowerLostError("dark")
        folder = self.folder_by_member.get(self.refusing)
        if folder in path.parents and self.rng.random() < REFUSED_SHARE:
            raise OSError("refused")
        names = (None, path.name)
        if self.syncs_left is None or self.dark_at_name not in names:
            return
        self.syncs_left -= 1
        if self.syncs_left < 0:
            self.go_dark()
            raise PowerLostError("dark")

    def go_dark(self, kept_share=None):
        """Now; some of what wasn't synced is kept, or a given share of it."""
        self.is_dark = True
        self.syncs_left = None
        addresses = list(self.network.replicas_by_address)
        self.network.cuts = {(a, b) for a in addresses for b in addresses}
        self.network.replicas_by_address.clear()
        for member, disk in self.disks.items():
            disk.dead = True
            folder = self.folder_by_member[member]
            self.folder_by_member[member] = (
                self.folders.empty(member)
                if member in self.wiped
                else self.folders.after_power_loss(member, folder, kept_share)
            )

    def power_up(self):
        """Ends what is left of the processes and starts them all again."""
        for replica in self.replicas.values():
            self.loop.run(replica.stop())
        for disk in self.disks.values():
            disk.close()
        self.replicas.clear()
        self.network.cuts.clear()
        self.refusing = None
        self.is_dark = False
        for member in sorted(set(self.disks) - self.removed):
            self.disks[member] = self.disk_of(member)
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
        self.disks[member] = self.disk_of(member)

    def stop(self):
        """Leaves the loop to whoever made it."""
        for replica in self.replicas.values():
            self.loop.run(replica.stop())
        for disk in self.disks.values():
            disk.close()

    def remove(self, member):
        """A machine that is gone for good."""
        self.crash(member)
        self.removed.add(member)


def path_of(handle):
    name = os.readlink(f"/proc/self/fd/{handle}")
    return pathlib.Path(name.removesuffix(" (deleted)"))


def content_of(handle):
    return pathlib.Path(f"/proc/self/fd/{handle}").read_bytes()


def inodes_in(folder):
    return {path.name: path.stat().st_ino for path in folder.iterdir()}
