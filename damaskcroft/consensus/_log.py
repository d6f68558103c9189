"""The log of one replica on its disk.

Entries are framed with a checksum and synced in groups. Each entry notes how
far the log was synced when it was written: that tells a torn tail (never
promised to anyone, so it is cut) from damage in the middle (an error).
"""

import sys

from google.protobuf.message import DecodeError

from damaskcroft._generated import consensus_pb2
from damaskcroft.consensus import _frames
from damaskcroft.consensus._disk import Disk
from damaskcroft.consensus._errors import LogDamagedError

LOG_NAME = "log"
SNAPSHOT_NAME = "snapshot"


class DurableLog:
    """Entries after the last snapshot, in memory and on disk."""

    __slots__ = (
        "_configs",
        "_disk",
        "_entries",
        "_has_torn_tail",
        "_is_apart",
        "_offsets",
        "_size_bytes",
        "snapshot",
        "synced_index",
    )

    def __init__(self, disk: Disk):
        """Reads what the disk holds.

        Raises:
            LogDamagedError: synced content is unreadable.
        """
        self._disk = disk
        self._entries: list[consensus_pb2.LogEntry] = []
        self._offsets: list[int] = []
        # Asked for at every claim, so not to be looked for each time.
        self._configs: list[tuple[int, consensus_pb2.ClusterConfig]] = []
        self._size_bytes = 0
        self._has_torn_tail = False
        # Whether the file may be another one than memory goes on from.
        self._is_apart = False
        self.snapshot = _read_snapshot(disk)
        self._read_entries()
        self._finish_reset()
        # A process that was killed may have left the rest to the kernel only.
        self.synced_index = self.snapshot.index

    @property
    def first_index(self) -> int:
        """Index of the oldest entry held, or the next one to come."""
        if self._entries:
            return self._entries[0].index
        return self.snapshot.index + 1

    @property
    def last_index(self) -> int:
        """Index of the newest entry, or of the snapshot."""
        if self._entries:
            return self._entries[-1].index
        return self.snapshot.index

    @property
    def last_term(self) -> int:
        """Term of the newest entry, or of the snapshot."""
        if self._entries:
            return self._entries[-1].term
        return self.snapshot.term

    @property
    def size_bytes(self) -> int:
        """Size of all entries held."""
        return self._size_bytes

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None when it isn't held."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.first_index
        if not 0 <= position < len(self._entries):
            return None
        return self._entries[position].term

    def entry(self, index: int) -> consensus_pb2.LogEntry:
        """One held entry."""
        return self._entries[index - self.first_index]

    def entries_from(
        self, index: int, max_bytes: int
    ) -> list[consensus_pb2.LogEntry]:
        """Entries from an index on: at least one if any, then up to a size."""
        batch: list[consensus_pb2.LogEntry] = []
        size_bytes = 0
        for entry in self._entries[index - self.first_index :]:
            size_bytes += len(entry.command)
            if batch and size_bytes > max_bytes:
                break
            batch.append(entry)
        return batch

    def config(self) -> consensus_pb2.ClusterConfig:
        """The newest member list, committed or not."""
        return self.config_entry()[1]

    def config_entry(self) -> tuple[int, consensus_pb2.ClusterConfig]:
        """The newest member list and the index that holds it."""
        if self._configs:
            return self._configs[-1]
        return self.snapshot.index, self.snapshot.config

    def config_at(self, index: int) -> consensus_pb2.ClusterConfig:
        """The member list as of a held entry."""
        found = self.snapshot.config
        for config_index, config in self._configs:
            if config_index <= index:
                found = config
        return found

    def append(self, entries: list[consensus_pb2.LogEntry]) -> None:
        """Adds entries; they last only after `sync`.

        Raises:
            OSError: the disk took only the entries that are held now.
        """
        for entry in entries:
            entry.synced_index = self.synced_index
            frame = _frames.framed(entry.SerializeToString())
            self._append_frame(frame)
            self._keep(entry, len(frame))

    def _append_frame(self, frame: bytes) -> None:
        """Writes a frame whole, or leaves nothing of it behind.

        A torn frame before later, synced ones would read as damage.
        """
        self._rejoin()
        if self._has_torn_tail:
            self._disk.truncate(LOG_NAME, self._size_bytes)
        self._has_torn_tail = True
        self._disk.append(LOG_NAME, frame)
        self._has_torn_tail = False

    async def sync(self) -> None:
        """Makes every entry appended before this call last."""
        index, term = self.last_index, self.last_term
        if index <= self.synced_index:
            return
        self._rejoin()
        await self._disk.sync(LOG_NAME)
        # The tail may have been cut and rewritten while the disk worked.
        if self.term_at(index) == term and index > self.synced_index:
            self.synced_index = index

    def truncate_from(self, index: int) -> None:
        """Removes an entry and all after it, lastingly."""
        self._rejoin()
        position = index - self.first_index
        size_bytes = self._offsets[position]
        self._disk.truncate(LOG_NAME, size_bytes)
        del self._entries[position:]
        del self._offsets[position:]
        self._configs = [c for c in self._configs if c[0] < index]
        self._size_bytes = size_bytes
        self.synced_index = min(self.synced_index, self.last_index)

    def compact(
        self,
        snapshot: consensus_pb2.Snapshot,
        keep: int,
        keep_bytes: int = sys.maxsize,
    ) -> None:
        """Stores a snapshot and drops entries that it covers.

        Args:
            snapshot: the state up to a held, applied entry.
            keep: how many covered entries stay, for followers just behind.
            keep_bytes: how many bytes of covered entries stay at most.
        """
        first = max(
            snapshot.index + 1 - keep,
            self._first_within(snapshot.index, keep_bytes),
        )
        self._store(snapshot, [e for e in self._entries if e.index >= first])

    def _first_within(self, last_index: int, max_bytes: int) -> int:
        """The first of the entries up to an index that fit into a size."""
        end_bytes = self._size_bytes
        after = last_index + 1 - self.first_index
        if after < len(self._offsets):
            end_bytes = self._offsets[after]
        for position, offset_bytes in enumerate(self._offsets):
            if end_bytes - offset_bytes <= max_bytes:
                return self.first_index + position
        return last_index + 1

    def reset_to(self, snapshot: consensus_pb2.Snapshot) -> None:
        """Replaces everything by a leader's snapshot."""
        tail = []
        if self.term_at(snapshot.index) == snapshot.term:
            tail = [e for e in self._entries if e.index > snapshot.index]
        self._store(snapshot, tail)

    def _keep(self, entry: consensus_pb2.LogEntry, size_bytes: int) -> None:
        """Takes an entry that is on the disk into memory."""
        self._entries.append(entry)
        self._offsets.append(self._size_bytes)
        self._size_bytes += size_bytes
        if entry.HasField("config"):
            self._configs.append((entry.index, entry.config))

    def _store(
        self,
        snapshot: consensus_pb2.Snapshot,
        entries: list[consensus_pb2.LogEntry],
    ) -> None:
        """Swaps snapshot and entries, in an order that survives a crash.

        Memory follows only once the disk has taken both: a log that ends
        before its snapshot has a gap that nothing may be appended to.
        """
        frames = _framed_entries(entries)
        content = _frames.framed(snapshot.SerializeToString())
        self._disk.replace(SNAPSHOT_NAME, content)
        self._is_apart = True
        self._disk.replace(LOG_NAME, b"".join(frames))
        self._is_apart = self._has_torn_tail = False
        self.snapshot = snapshot
        self._forget_entries()
        for entry, frame in zip(entries, frames, strict=True):
            self._keep(entry, len(frame))
        self.synced_index = self.last_index

    def _rejoin(self) -> None:
        """Writes what memory holds, after a swap that may have failed midway.

        A disk may take the new file and refuse to make its name last.
        """
        if not self._is_apart:
            return
        frames = _framed_entries(self._entries)
        self._disk.replace(LOG_NAME, b"".join(frames))
        self._is_apart = self._has_torn_tail = False

    def _forget_entries(self) -> None:
        self._entries = []
        self._offsets = []
        self._configs = []
        self._size_bytes = 0

    def _read_entries(self) -> None:
        content = self._disk.read(LOG_NAME) or b""
        while self._size_bytes < len(content):
            payload = _frames.frame_at(content, self._size_bytes)
            entry = _parsed_entry(payload)
            if entry is None or not self._follows(entry):
                self._cut_torn_tail(content)
                return
            self._keep(entry, _frames.HEADER_BYTES + len(payload or b""))

    def _finish_reset(self) -> None:
        """Drops a log that its snapshot was to replace as the process ended."""
        index, term = self.snapshot.index, self.snapshot.term
        if self.first_index > index:
            return
        position = index - self.first_index
        held = self._entries[position : position + 1]
        if held and held[0].term == term:
            return
        self._disk.truncate(LOG_NAME, 0)
        self._forget_entries()

    def _follows(self, entry: consensus_pb2.LogEntry) -> bool:
        if not self._entries:
            # Compaction may keep entries that the snapshot covers.
            return entry.index <= self.snapshot.index + 1
        return entry.index == self._entries[-1].index + 1

    def _cut_torn_tail(self, content: bytes) -> None:
        """Cuts what was never synced; refuses to lose what was."""
        lost_index = self.last_index + 1
        for payload in _frames.frames_after(content, self._size_bytes):
            later = _parsed_entry(payload)
            if later is not None and later.synced_index >= lost_index:
                raise LogDamagedError(LOG_NAME, self._size_bytes)
        self._disk.truncate(LOG_NAME, self._size_bytes)


def _framed_entries(entries: list[consensus_pb2.LogEntry]) -> list[bytes]:
    return [_frames.framed(entry.SerializeToString()) for entry in entries]


def _parsed_entry(payload: bytes | None) -> consensus_pb2.LogEntry | None:
    if payload is None:
        return None
    try:
        return consensus_pb2.LogEntry.FromString(payload)
    except DecodeError:
        return None


def _read_snapshot(disk: Disk) -> consensus_pb2.Snapshot:
    content = disk.read(SNAPSHOT_NAME)
    if content is None:
        return consensus_pb2.Snapshot()
    payload = _frames.frame_at(content, 0)
    if payload is None:
        raise LogDamagedError(SNAPSHOT_NAME, 0)
    return consensus_pb2.Snapshot.FromString(payload)
