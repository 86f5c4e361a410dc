"""A data folder in memory that fails in the ways of real disks."""

from __future__ import annotations

import dataclasses
import random

import trio

from knapweedhitch.exceptions import DiskFull, StorageError, SyncFailed


@dataclasses.dataclass
class Content:
    """Hold what the system shows of a file and what a power loss leaves of it."""

    shown: bytes = b""
    durable: bytes | None = None


class FaultyDisk:
    """Keep files in memory; the fields turn faults on."""

    def __init__(self, rng: random.Random | None = None) -> None:
        self.rng = rng or random.Random(1)
        self.files: dict[str, Content] = {}
        self.latency_ms = 0.0
        self.free_bytes: int | None = None
        self.failing_syncs = 0
        self.syncs = 0
        self.dead = False

    def reopened(self) -> FaultyDisk:
        """Return the folder as the next process sees it; this handle is dead from now on."""
        fresh = FaultyDisk(self.rng)
        fresh.files, self.dead = self.files, True
        return fresh

    def copy(self) -> dict[str, Content]:
        """Return a copy of the synced files, as a backup would take it."""
        durable = {n: c.durable for n, c in self.files.items()}
        return {n: Content(d, d) for n, d in durable.items() if d is not None}

    def lose_power(self, keep: float | None = None) -> None:
        """Lose what was not synced; of an unsynced append a prefix stays, or zeros of its size."""
        for name, content in list(self.files.items()):
            durable = content.durable
            if durable is None:
                del self.files[name]
                continue
            if content.shown.startswith(durable):
                extra = content.shown[len(durable) :]
                share = self.rng.random() if keep is None else keep
                kept = extra[: int(len(extra) * share)]
                if extra and self.rng.random() < 0.5:
                    kept += bytes(len(extra) - len(kept))
                durable += kept
            content.shown = content.durable = durable

    def flip_bit(self, name: str, offset: int) -> None:
        """Damage one bit of a file."""
        data = bytearray(self.files[name].shown)
        data[offset % len(data)] ^= 1 << (offset % 8)
        self.files[name].shown = self.files[name].durable = bytes(data)

    async def _wait(self) -> None:
        await trio.sleep(self.latency_ms / 1_000.0)
        if self.dead:
            raise StorageError("the process that held this folder is gone")

    def _take_space(self, data: bytes) -> int:
        if self.free_bytes is None:
            return len(data)
        taken = min(len(data), self.free_bytes)
        self.free_bytes -= taken
        return taken

    async def names(self) -> frozenset[str]:
        return frozenset(self.files)

    async def read(self, name: str) -> bytes | None:
        await self._wait()
        return self.files[name].shown if name in self.files else None

    async def append(self, name: str, data: bytes) -> None:
        if self.dead:
            raise StorageError("the process that held this folder is gone")
        taken = self._take_space(data)
        self.files.setdefault(name, Content()).shown += data[:taken]
        if taken < len(data):
            raise DiskFull(name)

    async def sync(self, name: str) -> None:
        await self._wait()
        if self.failing_syncs:
            self.failing_syncs -= 1
            raise SyncFailed(name)
        self.syncs += 1
        self.files[name].durable = self.files[name].shown

    async def sync_folder(self) -> None:
        await self._wait()

    async def replace(self, name: str, data: bytes) -> None:
        await self._wait()
        if self.failing_syncs:
            self.failing_syncs -= 1
            raise SyncFailed(name)
        if self._take_space(data) < len(data):
            raise DiskFull(name)
        self.files[name] = Content(data, data)

    async def truncate(self, name: str, size: int) -> None:
        await self._wait()
        data = self.files[name].shown[:size]
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
