"""Disk operations that the log needs, behind an interface."""

import abc
import asyncio
import contextlib
import errno
import os
import pathlib
import time
from collections.abc import Iterator

from damaskcroft.observe import log_event

# A considerable part of an election timeout (0.6 s by default): callers that
# wait for such an operation may see a leader change or refused calls.
_SLOW_OPERATION_S = 0.1


class Disk(abc.ABC):
    """Named files; content is durable only once it is synced."""

    @abc.abstractmethod
    def read(self, name: str) -> bytes | None:
        """Returns the whole content of a file, or None if it does not exist."""

    @abc.abstractmethod
    def append(self, name: str, content: bytes) -> None:
        """Appends to a file; the content is not durable until `sync`."""

    @abc.abstractmethod
    async def sync(self, name: str) -> None:
        """Makes all content appended before this call durable."""

    @abc.abstractmethod
    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncates a file; durable on return."""

    @abc.abstractmethod
    def replace(self, name: str, content: bytes) -> None:
        """Replaces a file's whole content atomically; durable on return."""

    @abc.abstractmethod
    def overwrite(self, name: str, offset_bytes: int, content: bytes) -> None:
        """Overwrites a part of a file in place; durable on return.

        A power loss during the call may leave any content in that part. Because
        the file system has no names or sizes to record, this takes far less
        time than `replace` on a busy disk.
        """


class FolderDisk(Disk):
    """A disk whose files lie directly in one folder."""

    __slots__ = ("_append_handles_by_name", "_folder", "_unsynced_parents")

    def __init__(self, folder: pathlib.Path):
        """Opens `folder`; creates it and its parents if missing."""
        missing = [p for p in (folder, *folder.parents) if not p.exists()]
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        # An earlier process may have ended after it created the folder and
        # before it synced the parent.
        self._unsynced_parents = {folder.parent, *(p.parent for p in missing)}
        self._append_handles_by_name: dict[str, int] = {}

    def read(self, name: str) -> bytes | None:
        """Reads the file from the folder."""
        try:
            return (self._folder / name).read_bytes()
        except FileNotFoundError:
            return None

    def append(self, name: str, content: bytes) -> None:
        """Writes to a handle that is kept open for appending."""
        handle = self._append_handle(name)
        view = memoryview(content)
        while view:
            written = os.write(handle, view)
            view = view[written:]

    async def sync(self, name: str) -> None:
        """Syncs the file's data in a thread, so that the event loop runs on."""
        # A duplicate, because the file may be replaced and closed meanwhile.
        handle = os.dup(self._append_handle(name))
        try:
            with _log_if_slow("sync", name):
                await asyncio.to_thread(os.fdatasync, handle)
        finally:
            os.close(handle)

    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncates the file and syncs it."""
        handle = self._append_handle(name)
        with _log_if_slow("truncate", name):
            os.ftruncate(handle, size_bytes)
            os.fsync(handle)

    def replace(self, name: str, content: bytes) -> None:
        """Writes a temporary file, syncs it and renames it over the old one."""
        temporary_path = self._folder / f"{name}.new"
        with _log_if_slow("replace", name):
            with temporary_path.open("wb") as file:
                file.write(content)
                file.flush()
                os.fsync(file.fileno())
            os.replace(temporary_path, self._folder / name)
            self._close_handle(name)
            self._sync_folder_names()

    def overwrite(self, name: str, offset_bytes: int, content: bytes) -> None:
        """Writes in place and syncs the file's data."""
        # On Linux, pwrite on a handle opened with O_APPEND appends (pwrite(2),
        # section BUGS), so the kept handle can't be used.
        handle = os.open(self._folder / name, os.O_WRONLY)
        try:
            with _log_if_slow("overwrite", name):
                written = os.pwrite(handle, content, offset_bytes)
                if written < len(content):
                    raise OSError(errno.ENOSPC, "a part was written", name)
                os.fdatasync(handle)
        finally:
            os.close(handle)

    def close(self) -> None:
        """Closes all open files."""
        for name in list(self._append_handles_by_name):
            self._close_handle(name)

    def _append_handle(self, name: str) -> int:
        handle = self._append_handles_by_name.get(name)
        if handle is not None:
            return handle
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        handle = os.open(self._folder / name, flags, 0o600)
        try:
            self._sync_folder_names()
        except OSError:
            os.close(handle)
            raise
        self._append_handles_by_name[name] = handle
        return handle

    def _close_handle(self, name: str) -> None:
        handle = self._append_handles_by_name.pop(name, None)
        if handle is not None:
            os.close(handle)

    def _sync_folder_names(self) -> None:
        """Syncs the folder's names and, once, those of new parent folders."""
        _sync_names_in(self._folder)
        for parent in list(self._unsynced_parents):
            _sync_names_in(parent)
            self._unsynced_parents.discard(parent)


@contextlib.contextmanager
def _log_if_slow(step: str, name: str) -> Iterator[None]:
    """Logs a disk operation that takes at least `_SLOW_OPERATION_S`."""
    began_at = time.monotonic()
    try:
        yield
    finally:
        took_s = time.monotonic() - began_at
        if took_s >= _SLOW_OPERATION_S:
            log_event("disk_slow", step=step, file=name, took_s=took_s)


def _sync_names_in(folder: pathlib.Path) -> None:
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
