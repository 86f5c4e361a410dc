"""File operations on one data folder; tests substitute a fault-injecting implementation."""

from __future__ import annotations

import errno
import fcntl
import os
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Protocol

import trio

from knapweedhitch.exceptions import DataFolderLocked, DiskFull, StorageError, SyncFailed

LOCK_NAME = "lock"
TEMPORARY_SUFFIX = ".new"
NO_SPACE = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)


class Disk(Protocol):
    """Define the file operations that durable state needs; all names are in one folder."""

    async def names(self) -> frozenset[str]:
        """Return the names of all files; raises StorageError."""

    async def read(self, name: str) -> bytes | None:
        """Read a whole file, None if it is missing; raises StorageError."""

    async def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file without syncing; raises DiskFull, StorageError."""

    async def sync(self, name: str) -> None:
        """Make the content of a file durable; raises SyncFailed."""

    async def sync_folder(self) -> None:
        """Sync the directory entries of the files; raises SyncFailed."""

    async def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically and durably; raises DiskFull, SyncFailed, StorageError."""

    async def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes and sync it; raises SyncFailed, StorageError."""

    async def rename(self, name: str, new_name: str) -> None:
        """Rename a file and sync the folder; raises SyncFailed, StorageError."""

    async def close(self) -> None:
        """Close all files and release the folder lock."""


@contextmanager
def _typed_errors(path: str, *, sync: bool = False) -> Iterator[None]:
    try:
        yield
    except OSError as exc:
        problem = f"{path}: {exc.strerror or exc}"
        if exc.errno in NO_SPACE:
            raise DiskFull(problem) from exc
        raise (SyncFailed if sync else StorageError)(problem) from exc


class FolderDisk:
    """Implement the file operations on a real folder, in worker threads as the disk may hang."""

    def __init__(self, folder: str) -> None:
        self.folder = Path(folder)
        self._files: dict[str, int] = {}
        # Held by each operation that writes; `close` must not close the file of a running one.
        self._busy = threading.Lock()
        with _typed_errors(folder):
            self.folder.mkdir(parents=True, exist_ok=True, mode=0o700)
            self._lock = os.open(self.folder / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            raise DataFolderLocked(f"{folder}: another process uses this data folder") from None

    async def names(self) -> frozenset[str]:
        """Return the names of all files; raises StorageError."""
        with _typed_errors(str(self.folder)):
            return await trio.to_thread.run_sync(self._names)

    async def read(self, name: str) -> bytes | None:
        """Read a whole file, None if it is missing; raises StorageError."""
        with _typed_errors(str(self.folder / name)):
            try:
                return await trio.to_thread.run_sync((self.folder / name).read_bytes)
            except FileNotFoundError:
                return None

    async def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file without syncing; raises DiskFull, StorageError."""
        with _typed_errors(str(self.folder / name)):
            await trio.to_thread.run_sync(self._append, name, data)

    async def sync(self, name: str) -> None:
        """Make the content of a file durable; raises SyncFailed."""
        with _typed_errors(str(self.folder / name), sync=True):
            # A stalled disk must not delay the shutdown; an abandoned sync has no effect.
            await trio.to_thread.run_sync(self._sync, name, abandon_on_cancel=True)

    async def sync_folder(self) -> None:
        """Sync the directory entries of the files; raises SyncFailed."""
        with _typed_errors(str(self.folder), sync=True):
            await trio.to_thread.run_sync(self._sync_folder)

    async def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically and durably; raises DiskFull, SyncFailed, StorageError."""
        with _typed_errors(str(self.folder / name), sync=True):
            await trio.to_thread.run_sync(self._replace, name, data)

    async def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes and sync it; raises SyncFailed, StorageError."""
        with _typed_errors(str(self.folder / name), sync=True):
            await trio.to_thread.run_sync(self._truncate, name, size)

    async def rename(self, name: str, new_name: str) -> None:
        """Rename a file and sync the folder; raises SyncFailed, StorageError."""
        with _typed_errors(str(self.folder / name), sync=True):
            await trio.to_thread.run_sync(self._rename, name, new_name)

    async def close(self) -> None:
        """Close all files and release the folder lock, unless an operation still writes.

        Then the end of the process does so: a file closed now could give its number to another
        one, which would get the rest of the write.
        """
        if not self._busy.acquire(blocking=False):
            return
        try:
            for name in list(self._files):
                self._close_file(name)
            if self._lock >= 0:
                os.close(self._lock)
                self._lock = -1
        finally:
            self._busy.release()

    def _names(self) -> frozenset[str]:
        return frozenset(p.name for p in self.folder.iterdir()) - {LOCK_NAME}

    def _file(self, name: str) -> int:
        fd = self._files.get(name)
        if fd is None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            fd = self._files[name] = os.open(self.folder / name, flags, 0o600)
        return fd

    def _close_file(self, name: str) -> None:
        fd = self._files.pop(name, None)
        if fd is not None:
            os.close(fd)

    @contextmanager
    def _writing(self) -> Iterator[None]:
        with self._busy:
            if self._lock < 0:
                raise StorageError(f"{self.folder}: closed")
            yield

    def _append(self, name: str, data: bytes) -> None:
        with self._writing():
            _write_all(self._file(name), data)

    def _sync(self, name: str) -> None:
        with self._busy:
            fd = self._file(name)
        os.fsync(fd)

    def _truncate(self, name: str, size: int) -> None:
        with self._writing():
            fd = self._file(name)
            os.ftruncate(fd, size)
            os.fsync(fd)

    def _rename(self, name: str, new_name: str) -> None:
        with self._writing():
            self._close_file(name)
            self._close_file(new_name)
            os.replace(self.folder / name, self.folder / new_name)
            self._sync_folder()

    def _replace(self, name: str, data: bytes) -> None:
        temporary = self.folder / (name + TEMPORARY_SUFFIX)
        with self._writing():
            self._close_file(name)
            fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
            try:
                _write_all(fd, data)
                os.fsync(fd)
            finally:
                os.close(fd)
            os.replace(temporary, self.folder / name)
            self._sync_folder()

    def _sync_folder(self) -> None:
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)


def _write_all(fd: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]
