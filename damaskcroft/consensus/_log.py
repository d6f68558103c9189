"""The log of one replica on its disk.

Entries are framed with a checksum and synced in groups. Each entry records how
far the log was synced when the entry was written. With it, start-up tells a
torn tail, which was never acknowledged and is truncated, from damage to synced
entries, which is an error.
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
        "_may_file_differ",
        "_offsets",
        "_size_bytes",
        "snapshot",
        "synced_index",
    )

    def __init__(self, disk: Disk):
        """Reads snapshot and entries from the disk.

        Raises:
            LogDamagedError: synced content is unreadable.
        """
        self._disk = disk
        self._entries: list[consensus_pb2.LogEntry] = []
        self._offsets: list[int] = []
        # Kept apart from the entries because it is read at every claim.
        self._configs: list[tuple[int, consensus_pb2.ClusterConfig]] = []
        self._size_bytes = 0
        self._has_torn_tail = False
        # Whether the log file may differ from the entries in memory.
        self._may_file_differ = False
        self.snapshot = _read_snapshot(disk)
        self._read_entries()
        self._complete_reset()
        # A process that was killed may have left them in the page cache only.
        self.synced_index = self.snapshot.index

    @property
    def first_index(self) -> int:
        """Index of the oldest entry held, or of the next one if none is."""
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
        """Size in bytes of all entries held, with their frames."""
        return self._size_bytes

    def term_at(self, index: int) -> int | None:
        """The term of an entry, or None if the entry is not held."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.first_index
        if not 0 <= position < len(self._entries):
            return None
        return self._entries[position].term

    def entry(self, index: int) -> consensus_pb2.LogEntry:
        """Returns the entry at an index; it must be held."""
        return self._entries[index - self.first_index]

    def entries_from(
        self, index: int, max_bytes: int
    ) -> list[consensus_pb2.LogEntry]:
        """Returns entries from an index on, up to a size but at least one."""
        batch: list[consensus_pb2.LogEntry] = []
        size_bytes = 0
        for entry in self._entries[index - self.first_index :]:
            size_bytes += len(entry.command)
            if batch and size_bytes > max_bytes:
                break
            batch.append(entry)
        return batch

    def config(self) -> consensus_pb2.ClusterConfig:
        """The newest member list, whether committed or not."""
        return self.config_entry()[1]

    def config_entry(self) -> tuple[int, consensus_pb2.ClusterConfig]:
        """The newest member list and the index of its entry."""
        if self._configs:
            return self._configs[-1]
        return self.snapshot.index, self.snapshot.config

    def config_at(self, index: int) -> consensus_pb2.ClusterConfig:
        """The member list in effect at a held entry."""
        config_then = self.snapshot.config
        for config_index, config in self._configs:
            if config_index <= index:
                config_then = config
        return config_then

    def append(self, entries: list[consensus_pb2.LogEntry]) -> None:
        """Appends entries; they are durable only after `sync`.

        Raises:
            OSError: the disk failed; only the entries held now were written.
        """
        for entry in entries:
            entry.synced_index = self.synced_index
            frame = _frames.encode_frame(entry.SerializeToString())
            self._append_frame(frame)
            self._add_to_memory(entry, len(frame))

    def _append_frame(self, frame: bytes) -> None:
        """Writes a whole frame; a later call removes a frame that was torn.

        A torn frame followed by synced frames would be read as damage.
        """
        self._rewrite_if_differing()
        if self._has_torn_tail:
            self._disk.truncate(LOG_NAME, self._size_bytes)
        self._has_torn_tail = True
        self._disk.append(LOG_NAME, frame)
        self._has_torn_tail = False

    async def sync(self) -> None:
        """Makes every entry appended before this call durable."""
        index, term = self.last_index, self.last_term
        if index <= self.synced_index:
            return
        self._rewrite_if_differing()
        await self._disk.sync(LOG_NAME)
        # The tail may have been truncated and rewritten during the sync.
        if self.term_at(index) == term and index > self.synced_index:
            self.synced_index = index

    def truncate_from(self, index: int) -> None:
        """Removes an entry and all later ones; durable on return."""
        self._rewrite_if_differing()
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
        max_kept_entries: int,
        max_kept_bytes: int = sys.maxsize,
    ) -> None:
        """Stores a snapshot and drops entries that it covers.

        Args:
            snapshot: the state at an entry that is held and applied.
            max_kept_entries: maximum number of covered entries that are kept,
                so that followers slightly behind need no snapshot.
            max_kept_bytes: maximum size of the covered entries that are kept.
        """
        first = max(
            snapshot.index + 1 - max_kept_entries,
            self._first_index_within(snapshot.index, max_kept_bytes),
        )
        self._replace_files(
            snapshot, [e for e in self._entries if e.index >= first]
        )

    def _first_index_within(self, last_index: int, max_bytes: int) -> int:
        """Index from which the entries up to `last_index` fit into a size."""
        end_bytes = self._size_bytes
        after = last_index + 1 - self.first_index
        if after < len(self._offsets):
            end_bytes = self._offsets[after]
        for position, offset_bytes in enumerate(self._offsets):
            if end_bytes - offset_bytes <= max_bytes:
                return self.first_index + position
        return last_index + 1

    def reset_to(self, snapshot: consensus_pb2.Snapshot) -> None:
        """Replaces the log by a leader's snapshot.

        Entries after it are kept only if the log holds its last entry.
        """
        tail = []
        if self.term_at(snapshot.index) == snapshot.term:
            tail = [e for e in self._entries if e.index > snapshot.index]
        self._replace_files(snapshot, tail)

    def _add_to_memory(
        self, entry: consensus_pb2.LogEntry, size_bytes: int
    ) -> None:
        """Adds an entry that is on the disk to memory."""
        self._entries.append(entry)
        self._offsets.append(self._size_bytes)
        self._size_bytes += size_bytes
        if entry.HasField("config"):
            self._configs.append((entry.index, entry.config))

    def _replace_files(
        self,
        snapshot: consensus_pb2.Snapshot,
        entries: list[consensus_pb2.LogEntry],
    ) -> None:
        """Replaces snapshot and entries in an order that survives a crash.

        Memory is updated only after the disk has stored both. Otherwise the log
        could end before its snapshot, and entries appended after that gap would
        be unreadable.
        """
        frames = _encode_entries(entries)
        content = _frames.encode_frame(snapshot.SerializeToString())
        self._disk.replace(SNAPSHOT_NAME, content)
        self._may_file_differ = True
        self._disk.replace(LOG_NAME, b"".join(frames))
        self._may_file_differ = self._has_torn_tail = False
        self.snapshot = snapshot
        self._clear_memory()
        for entry, frame in zip(entries, frames, strict=True):
            self._add_to_memory(entry, len(frame))
        self.synced_index = self.last_index

    def _rewrite_if_differing(self) -> None:
        """Rewrites the log file after a replacement that may have failed.

        A disk may store the new file and then fail to sync its name.
        """
        if not self._may_file_differ:
            return
        frames = _encode_entries(self._entries)
        self._disk.replace(LOG_NAME, b"".join(frames))
        self._may_file_differ = self._has_torn_tail = False

    def _clear_memory(self) -> None:
        self._entries = []
        self._offsets = []
        self._configs = []
        self._size_bytes = 0

    def _read_entries(self) -> None:
        content = self._disk.read(LOG_NAME) or b""
        while self._size_bytes < len(content):
            payload = _frames.decode_frame(content, self._size_bytes)
            entry = _parse_entry(payload)
            if entry is None or not self._is_next_entry(entry):
                self._truncate_torn_tail(content)
                return
            self._add_to_memory(
                entry, _frames.HEADER_BYTES + len(payload or b"")
            )

    def _complete_reset(self) -> None:
        """Completes a reset that was interrupted by the end of the process.

        Such a reset has stored its snapshot but not yet replaced the log.
        """
        index, term = self.snapshot.index, self.snapshot.term
        if self.first_index > index:
            return
        position = index - self.first_index
        held = self._entries[position : position + 1]
        if held and held[0].term == term:
            return
        self._disk.truncate(LOG_NAME, 0)
        self._clear_memory()

    def _is_next_entry(self, entry: consensus_pb2.LogEntry) -> bool:
        if not self._entries:
            # Compaction may keep entries that the snapshot covers.
            return entry.index <= self.snapshot.index + 1
        return entry.index == self._entries[-1].index + 1

    def _truncate_torn_tail(self, content: bytes) -> None:
        """Truncates entries that were never synced.

        Raises:
            LogDamagedError: a later entry shows that lost ones were synced.
        """
        lost_index = self.last_index + 1
        for payload in _frames.find_frames_after(content, self._size_bytes):
            later = _parse_entry(payload)
            if later is not None and later.synced_index >= lost_index:
                raise LogDamagedError(LOG_NAME, self._size_bytes)
        self._disk.truncate(LOG_NAME, self._size_bytes)


def _encode_entries(entries: list[consensus_pb2.LogEntry]) -> list[bytes]:
    return [
        _frames.encode_frame(entry.SerializeToString()) for entry in entries
    ]


def _parse_entry(payload: bytes | None) -> consensus_pb2.LogEntry | None:
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
    payload = _frames.decode_frame(content, 0)
    if payload is None:
        raise LogDamagedError(SNAPSHOT_NAME, 0)
    return consensus_pb2.Snapshot.FromString(payload)
