"""The few disk operations that the log needs, behind an interface."""

import abc
import asyncio
import contextlib
import errno
import os
import pathlib
import time
from collections.abc import Iterator

from damaskcroft.observe import log_event

# A good part of an election timeout: whoever waits for it may see its leader
# change, or its calls refused.
_SLOW_S = 0.1


class Disk(abc.ABC):
    """Named files; content lasts only once it is synced."""

    @abc.abstractmethod
    def read(self, name: str) -> bytes | None:
        """The whole content of a file, or None when there is none."""

    @abc.abstractmethod
    def append(self, name: str, content: bytes) -> None:
        """Adds to the end of a file; not yet lasting."""

    @abc.abstractmethod
    async def sync(self, name: str) -> None:
        """Makes all that was appended before this call last."""

    @abc.abstractmethod
    def truncate(self, name: str, size_bytes: int) -> None:
        """Cuts a file; lasting when this returns."""

    @abc.abstractmethod
    def replace(self, name: str, content: bytes) -> None:
        """Swaps a file's whole content at once; lasting on return."""

    @abc.abstractmethod
    def overwrite(self, name: str, offset_bytes: int, content: bytes) -> None:
        """Writes over a part of a file; lasting on return.

        A loss of power meanwhile may leave anything in that part. The file
        system has no names or sizes to write down for it, so that it takes
        far less than `replace` on a busy disk.
        """


class FolderDisk(Disk):
    """Files directly below one folder."""

    __slots__ = ("_folder", "_handles_by_name", "_unsynced_parents")

    def __init__(self, folder: pathlib.Path):
        """Uses `folder`, which is created if it is missing."""
        missing = [p for p in (folder, *folder.parents) if not p.exists()]
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        # An earlier process may have ended before it synced the last one.
        self._unsynced_parents = {folder.parent, *(p.parent for p in missing)}
        self._handles_by_name: dict[str, int] = {}

    def read(self, name: str) -> bytes | None:
        """See Disk."""
        try:
            return (self._folder / name).read_bytes()
        except FileNotFoundError:
            return None

    def append(self, name: str, content: bytes) -> None:
        """See Disk."""
        handle = self._handle(name)
        view = memoryview(content)
        while view:
            written = os.write(handle, view)
            view = view[written:]

    async def sync(self, name: str) -> None:
        """See Disk. The wait happens in a thread, so the loop goes on."""
        # A copy, since the file may be replaced and closed meanwhile.
        handle = os.dup(self._handle(name))
        try:
            with _told_if_slow("sync", name):
                await asyncio.to_thread(os.fdatasync, handle)
        finally:
            os.close(handle)

    def truncate(self, name: str, size_bytes: int) -> None:
        """See Disk."""
        handle = self._handle(name)
        with _told_if_slow("truncate", name):
            os.ftruncate(handle, size_bytes)
            os.fsync(handle)

    def replace(self, name: str, content: bytes) -> None:
        """See Disk. Written beside, synced, then renamed over."""
        beside = self._folder / f"{name}.new"
        with _told_if_slow("replace", name):
            with beside.open("wb") as file:
                file.write(content)
                file.flush()
                os.fsync(file.fileno())
            os.replace(beside, self._folder / name)
            self._forget(name)
            self._sync_folder()

    def overwrite(self, name: str, offset_bytes: int, content: bytes) -> None:
        """See Disk."""
        # The handle that is kept would append (pwrite(2), bugs).
        handle = os.open(self._folder / name, os.O_WRONLY)
        try:
            with _told_if_slow("overwrite", name):
                written = os.pwrite(handle, content, offset_bytes)
                if written < len(content):
                    raise OSError(errno.ENOSPC, "a part was written", name)
                os.fdatasync(handle)
        finally:
            os.close(handle)

    def close(self) -> None:
        """Closes all open files."""
        for name in list(self._handles_by_name):
            self._forget(name)

    def _handle(self, name: str) -> int:
        handle = self._handles_by_name.get(name)
        if handle is not None:
            return handle
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        handle = os.open(self._folder / name, flags, 0o600)
        try:
            self._sync_folder()
        except OSError:
            os.close(handle)
            raise
        self._handles_by_name[name] = handle
        return handle

    def _forget(self, name: str) -> None:
        handle = self._handles_by_name.pop(name, None)
        if handle is not None:
            os.close(handle)

    def _sync_folder(self) -> None:
        """Makes names last: those in the folder and, once, its own."""
        _sync_names(self._folder)
        for parent in list(self._unsynced_parents):
            _sync_names(parent)
            self._unsynced_parents.discard(parent)


@contextlib.contextmanager
def _told_if_slow(step: str, name: str) -> Iterator[None]:
    """Logs a step on a file that takes long."""
    began_at = time.monotonic()
    try:
        yield
    finally:
        took_s = time.monotonic() - began_at
        if took_s >= _SLOW_S:
            log_event("disk_slow", step=step, file=name, took_s=took_s)


def _sync_names(folder: pathlib.Path) -> None:
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
