"""An in-memory data folder that simulates the faults of real disks."""

from __future__ import annotations

import dataclasses
import random

import trio

from knapweedhitch.exceptions import DiskFull, StorageError, SyncFailed


@dataclasses.dataclass
class Content:
    """Track the visible content of a file and the part that survives a power loss."""

    visible: bytes = b""
    durable: bytes | None = None


class FaultyDisk:
    """Implement the file operations in memory; fields enable faults."""

    def __init__(self, rng: random.Random | None = None) -> None:
        self.rng = rng or random.Random(1)
        self.files: dict[str, Content] = {}
        self.latency_ms = 0.0
        self.free_bytes: int | None = None
        self.failing_syncs = 0
        self.syncs = 0
        self.dead = False

    def reopened(self) -> FaultyDisk:
        """Return a handle for the next process; reads and writes on this one now fail."""
        fresh = FaultyDisk(self.rng)
        fresh.files, self.dead = self.files, True
        return fresh

    def copy(self) -> dict[str, Content]:
        """Return a copy of the synced files, like a backup."""
        durable = {n: c.durable for n, c in self.files.items()}
        return {n: Content(d, d) for n, d in durable.items() if d is not None}

    def lose_power(self, keep: float | None = None) -> None:
        """Drop unsynced data; a prefix of an append may remain, with or without zero padding."""
        for name, content in list(self.files.items()):
            durable = content.durable
            if durable is None:
                del self.files[name]
                continue
            if content.visible.startswith(durable):
                extra = content.visible[len(durable) :]
                share = self.rng.random() if keep is None else keep
                kept = extra[: int(len(extra) * share)]
                if extra and self.rng.random() < 0.5:
                    kept += bytes(len(extra) - len(kept))
                durable += kept
            content.visible = content.durable = durable

    def flip_bit(self, name: str, offset: int) -> None:
        """Flip one bit of a file, in its visible and its durable content."""
        data = bytearray(self.files[name].visible)
        data[offset % len(data)] ^= 1 << (offset % 8)
        self.files[name].visible = self.files[name].durable = bytes(data)

    async def _wait(self) -> None:
        await trio.sleep(self.latency_ms / 1_000.0)
        if self.dead:
            raise StorageError("the process that opened this folder has ended")

    def _allocate(self, data: bytes) -> int:
        if self.free_bytes is None:
            return len(data)
        n_written = min(len(data), self.free_bytes)
        self.free_bytes -= n_written
        return n_written

    async def names(self) -> frozenset[str]:
        return frozenset(self.files)

    async def read(self, name: str) -> bytes | None:
        await self._wait()
        return self.files[name].visible if name in self.files else None

    async def append(self, name: str, data: bytes) -> None:
        if self.dead:
            raise StorageError("the process that opened this folder has ended")
        n_written = self._allocate(data)
        self.files.setdefault(name, Content()).visible += data[:n_written]
        if n_written < len(data):
            raise DiskFull(name)

    async def sync(self, name: str) -> None:
        await self._wait()
        if self.failing_syncs:
            self.failing_syncs -= 1
            raise SyncFailed(name)
        self.syncs += 1
        self.files[name].durable = self.files[name].visible

    async def sync_folder(self) -> None:
        await self._wait()

    async def replace(self, name: str, data: bytes) -> None:
        await self._wait()
        if self.failing_syncs:
            self.failing_syncs -= 1
            raise SyncFailed(name)
        if self._allocate(data) < len(data):
            raise DiskFull(name)
        self.files[name] = Content(data, data)

    async def truncate(self, name: str, size: int) -> None:
        await self._wait()
        data = self.files[name].visible[:size]
        self.files[name] = Content(data, data)

    async def rename(self, name: str, new_name: str) -> None:
        await self._wait()
        self.files[new_name] = self.files.pop(name)

    async def close(self) -> None:
        pass

    async def start(self) -> None:
        pass

    async def stop(self) -> None:
        pass
