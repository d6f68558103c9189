"""The few disk operations that the log needs, behind an interface."""

import abc
import asyncio
import os
import pathlib


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
            await asyncio.to_thread(os.fdatasync, handle)
        finally:
            os.close(handle)

    def truncate(self, name: str, size_bytes: int) -> None:
        """See Disk."""
        handle = self._handle(name)
        os.ftruncate(handle, size_bytes)
        os.fsync(handle)

    def replace(self, name: str, content: bytes) -> None:
        """See Disk. Written beside, synced, then renamed over."""
        beside = self._folder / f"{name}.new"
        with beside.open("wb") as file:
            file.write(content)
            file.flush()
            os.fsync(file.fileno())
        os.replace(beside, self._folder / name)
        self._forget(name)
        self._sync_folder()

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


def _sync_names(folder: pathlib.Path) -> None:
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
