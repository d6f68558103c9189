"""Stores the chunks of versions, in memory or on disk.

On disk, chunks are written at their places in the files that the version
consists of. A chunk is verified before it is written, and everything is
verified again when a process starts: after a restart the content of the disk is
trusted only by digest.
"""

import abc
import asyncio
import contextlib
import hashlib
import os
import pathlib
import shutil
from collections.abc import Collection, Iterator

from damaskcroft.tasks import Signal
from damaskcroft.weights._errors import ManifestError, StoreFullError
from damaskcroft.weights._holdings import Holdings
from damaskcroft.weights._manifest import (
    MANIFEST_NAME,
    load_manifest,
    manifest_digest,
    weights_path,
)

_FILES_NAME = "files"


class StagedVersion(abc.ABC):
    """One version's chunks, complete or being fetched."""

    def __init__(self, digest: str, content: bytes):
        """Parses the manifest; no chunk is held at first.

        Raises:
            ManifestError: `content` isn't the manifest with this digest.
        """
        self.digest = digest
        self.content = content
        self.manifest = load_manifest(content, digest)
        self.held = bytearray(len(self.manifest.chunks))
        self.held_count = 0
        self.verified = False
        self.index_by_digest: dict[bytes, int] = {}
        for index, chunk in enumerate(self.manifest.chunks):
            self.index_by_digest.setdefault(chunk.digest, index)
        # Chunks that other agents hold.
        self.holdings = Holdings()
        self._arrival_events_by_index: dict[int, asyncio.Event] = {}
        # Signalled whenever a chunk has been stored.
        self.arrived = Signal()

    @property
    def size_bytes(self) -> int:
        """Size of all files."""
        return sum(file.size_bytes for file in self.manifest.files)

    @property
    def missing_bytes(self) -> int:
        """Size of the chunks that are not held."""
        chunks = self.manifest.chunks
        return sum(chunks[index].size_bytes for index in self.missing())

    @property
    def is_complete(self) -> bool:
        """Whether every chunk is held."""
        return self.held_count == len(self.held)

    def missing(self) -> list[int]:
        """Chunks that are not held."""
        return [index for index, held in enumerate(self.held) if not held]

    def unread(self, suspects: Collection[str]) -> Iterator[int]:
        """Missing chunks that no agent is known to hold, in manifest order.

        Args:
            suspects: agents that do not answer now; what only they hold counts
                as unread.
        """
        for index in self.missing():
            if not self.holdings.is_available(index, suspects):
                yield index

    @abc.abstractmethod
    def read_chunk(self, index: int) -> bytes:
        """Reads a held chunk.

        Raises:
            OSError: the disk fails.
        """

    @property
    def location(self) -> str:
        """Folder from which a target can load the version; empty if none."""
        return ""

    @abc.abstractmethod
    def drop(self) -> None:
        """Frees the memory or disk space of the version."""

    @abc.abstractmethod
    def _store_data(self, index: int, data: bytes) -> None:
        """Stores a chunk whose bytes have been verified."""

    @abc.abstractmethod
    def _sync(self) -> None:
        """Makes the stored chunks as durable as the medium allows."""

    def write_chunk(self, index: int, data: bytes) -> bool:
        """Stores a chunk if its bytes match its digest.

        Returns:
            Whether they match.
        """
        chunk = self.manifest.chunks[index]
        if hashlib.sha256(data).digest() != chunk.digest:
            return False
        if not self.held[index]:
            self._store_data(index, data)
            self._mark_held(index)
        return True

    async def wait_for_chunk(self, index: int, timeout_s: float) -> bool:
        """Waits until a chunk is held; returns False on time-out."""
        if self.held[index]:
            return True
        arrival_event = self._arrival_events_by_index.setdefault(
            index, asyncio.Event()
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await arrival_event.wait()
        return bool(self.held[index])

    async def wait_until_complete(self) -> None:
        """Waits until every chunk is held."""
        while not self.is_complete:
            await self.arrived.wait_next()

    def scan(self) -> None:
        """Marks the chunks that the disk already holds, found by digest."""
        for index in range(len(self.held)):
            chunk = self.manifest.chunks[index]
            data = self.read_chunk(index)
            if hashlib.sha256(data).digest() == chunk.digest:
                self._mark_held(index)

    def verify_all_chunks(self) -> bool:
        """Reads all chunks back and drops those that are corrupt.

        Returns:
            Whether the version is complete and as durable as the medium allows.
        """
        for index, chunk in enumerate(self.manifest.chunks):
            data = self.read_chunk(index)
            if hashlib.sha256(data).digest() != chunk.digest:
                self._mark_missing(index)
        if not self.is_complete:
            return False
        self._sync()
        self.verified = True
        return True

    def _mark_held(self, index: int) -> None:
        if self.held[index]:
            return
        self.held[index] = 1
        self.held_count += 1
        arrival_event = self._arrival_events_by_index.pop(index, None)
        if arrival_event is not None:
            arrival_event.set()
        self.arrived.notify()

    def _mark_missing(self, index: int) -> None:
        self.held_count -= self.held[index]
        self.held[index] = 0


class FolderVersion(StagedVersion):
    """A version in the files from which it will be served."""

    def __init__(self, digest: str, content: bytes, folder: pathlib.Path):
        """Opens the version in `folder`, which is created if missing.

        Raises:
            ManifestError: `content` isn't the manifest with this digest.
        """
        super().__init__(digest, content)
        self.folder = folder
        self.files_folder = folder / _FILES_NAME
        self._create_files()

    @property
    def location(self) -> str:
        """The folder that contains the version's files."""
        return str(self.files_folder)

    def read_chunk(self, index: int) -> bytes:
        """Reads a chunk's range of its file."""
        chunk = self.manifest.chunks[index]
        with self._path(chunk.file).open("rb") as file:
            return os.pread(file.fileno(), chunk.size_bytes, chunk.offset_bytes)

    def drop(self) -> None:
        """Deletes the version's folder."""
        shutil.rmtree(self.folder, ignore_errors=True)

    def _store_data(self, index: int, data: bytes) -> None:
        chunk = self.manifest.chunks[index]
        with self._path(chunk.file).open("r+b") as file:
            os.pwrite(file.fileno(), data, chunk.offset_bytes)

    def _path(self, file_index: int) -> pathlib.Path:
        return self.files_folder / self.manifest.files[file_index].path

    def _create_files(self) -> None:
        self.files_folder.mkdir(parents=True, exist_ok=True)
        for file_index, file in enumerate(self.manifest.files):
            path = self._path(file_index)
            path.parent.mkdir(parents=True, exist_ok=True)
            with path.open("ab") as handle:
                handle.truncate(file.size_bytes)
        temporary_path = self.folder / f"{MANIFEST_NAME}.new"
        temporary_path.write_bytes(self.content)
        os.replace(temporary_path, self.folder / MANIFEST_NAME)

    def _sync(self) -> None:
        for file_index in range(len(self.manifest.files)):
            with self._path(file_index).open("rb") as file:
                os.fsync(file.fileno())


class MemoryVersion(StagedVersion):
    """A version in memory, for machines without a disk."""

    def __init__(self, digest: str, content: bytes):
        """Parses the manifest; no chunk is held at first.

        Raises:
            ManifestError: `content` isn't the manifest with this digest.
        """
        super().__init__(digest, content)
        self._chunks_by_index: dict[int, bytes] = {}

    def read_chunk(self, index: int) -> bytes:
        """Returns a chunk from memory, or no bytes if it is not held."""
        return self._chunks_by_index.get(index, b"")

    def drop(self) -> None:
        """Frees all chunks."""
        self._chunks_by_index.clear()

    def _store_data(self, index: int, data: bytes) -> None:
        self._chunks_by_index[index] = data

    def _sync(self) -> None:
        """Does nothing: memory lasts as long as the process."""


class ChunkStore(abc.ABC):
    """All versions held, within a budget of bytes."""

    def __init__(self, budget_bytes: int):
        """No version is held at first."""
        self._budget_bytes = budget_bytes
        self.versions_by_digest: dict[str, StagedVersion] = {}

    @abc.abstractmethod
    def _new_version(self, digest: str, content: bytes) -> StagedVersion:
        """Creates an empty version."""

    def open_version(
        self, content: bytes, keep_digests: set[str]
    ) -> StagedVersion:
        """Opens a version to be fetched; drops old versions to make room.

        Args:
            content: the version's manifest.
            keep_digests: versions that must not be dropped.

        Raises:
            ManifestError: the manifest is malformed.
            StoreFullError: the budget is too small beside the versions to keep.
        """
        digest = manifest_digest(content)
        version = self.versions_by_digest.get(digest)
        if version is not None:
            return version
        manifest = load_manifest(content, digest)
        needed_bytes = sum(file.size_bytes for file in manifest.files)
        self._make_room(needed_bytes, keep_digests)
        version = self._new_version(digest, content)
        self.versions_by_digest[digest] = version
        return version

    def version_at(self, path: str) -> StagedVersion | None:
        """The held version that outside sources keep at `path`, or None."""
        for version in self.versions_by_digest.values():
            manifest = version.manifest
            if path == weights_path(
                manifest.model, manifest.adapter, manifest.version
            ):
                return version
        return None

    def find_chunk(self, digest: bytes) -> bytes | None:
        """A chunk's bytes from any held version, or None."""
        for version in self.versions_by_digest.values():
            index = version.index_by_digest.get(digest)
            if index is not None and version.held[index]:
                return version.read_chunk(index)
        return None

    def drop(self, digest: str) -> None:
        """Removes a version and its files."""
        version = self.versions_by_digest.pop(digest, None)
        if version is not None:
            version.drop()

    def _make_room(self, needed_bytes: int, keep_digests: set[str]) -> None:
        held_bytes = sum(
            version.size_bytes for version in self.versions_by_digest.values()
        )
        for digest in self._droppable(keep_digests):
            if held_bytes + needed_bytes <= self._budget_bytes:
                return
            held_bytes -= self.versions_by_digest[digest].size_bytes
            self.drop(digest)
        if held_bytes + needed_bytes > self._budget_bytes:
            raise StoreFullError(
                f"{needed_bytes} bytes do not fit into the budget beside "
                f"{held_bytes}"
            )

    def _droppable(self, keep_digests: set[str]) -> Iterator[str]:
        for digest in list(self.versions_by_digest):
            if digest not in keep_digests:
                yield digest


class FolderStore(ChunkStore):
    """Versions in subfolders of one folder."""

    def __init__(self, folder: pathlib.Path, budget_bytes: int):
        """Creates `folder` if missing; `open_existing` reads what is in it."""
        super().__init__(budget_bytes)
        self._folder = folder
        folder.mkdir(parents=True, exist_ok=True)

    def open_existing(self) -> None:
        """Opens the versions of an earlier process, verified by digest."""
        for folder in sorted(self._folder.iterdir()):
            manifest_file = folder / MANIFEST_NAME
            if not manifest_file.is_file():
                shutil.rmtree(folder, ignore_errors=True)
                continue
            content = manifest_file.read_bytes()
            try:
                version = FolderVersion(folder.name, content, folder)
            except ManifestError:
                shutil.rmtree(folder, ignore_errors=True)
                continue
            version.scan()
            self.versions_by_digest[version.digest] = version

    def _new_version(self, digest: str, content: bytes) -> StagedVersion:
        return FolderVersion(digest, content, self._folder / digest)


class MemoryStore(ChunkStore):
    """Versions in memory."""

    def _new_version(self, digest: str, content: bytes) -> StagedVersion:
        return MemoryVersion(digest, content)
