"""The durable state of one replica: identity, term and vote, log entries and snapshot."""

from __future__ import annotations

import secrets
from collections.abc import Sequence
from typing import Any

import trio

from knapweedhitch import snapshot as snapshots
from knapweedhitch.disk import Disk
from knapweedhitch.exceptions import CorruptFile, StorageError, StoreClosed
from knapweedhitch.messages import LogEntry
from knapweedhitch.snapshot import Snapshot
from knapweedhitch.wal import WriteAheadLog, frame, scan

IDENTITY_NAME = "identity"
LOG_NAME = "log"
# Names the disk if its folder was created when the deployment started for the first time.
FOUNDER_NAME = "founder"
DAMAGED_SUFFIX = ".damaged"
# A peer that lags by up to this many entries gets them from the log, otherwise a snapshot.
KEPT_ENTRIES = 200


class Store:
    """Persist the state of a replica; a failed write closes the store permanently."""

    def __init__(self, disk: Disk, owner: tuple[str, str], disk_id: str) -> None:
        self._disk = disk
        self._owner = owner
        self._wal = WriteAheadLog(disk, LOG_NAME)
        self.disk_id = disk_id
        # Whether this disk may take part in forming the group; it has every vote that it gave.
        self.is_founder = False
        self.term = 0
        self.vote = ""
        self.snapshot: Snapshot | None = None
        self._base_index = 0
        self._base_term = 0
        self._entries: list[LogEntry] = []

    @classmethod
    async def open(
        cls, disk: Disk, cluster: str, node_id: str, *, is_first_start: bool = False
    ) -> Store:
        """Open the store of a folder, or create one if it has no identity.

        A folder that is created in the first start of the deployment is a founder's, also in later
        starts. Raises CorruptFile, StorageError.
        """
        disk_id = await _load_identity(disk, cluster, node_id)
        if disk_id is None:
            return await cls.create(disk, cluster, node_id, is_founder=is_first_start)
        store = cls(disk, (cluster, node_id), disk_id)
        store.is_founder = await disk.read(FOUNDER_NAME) == disk_id.encode("ascii")
        store.snapshot = await snapshots.load(disk)
        store._replay(await store._wal.load())
        # After a failed sync, reads may return content that never reached the disk. Rewriting the
        # log makes durable what was read.
        await store._rewrite_log()
        return store

    @classmethod
    async def create(
        cls, disk: Disk, cluster: str, node_id: str, *, is_founder: bool = False
    ) -> Store:
        """Create an empty store with a new disk id, renaming old files; raises StorageError."""
        for name in (IDENTITY_NAME, LOG_NAME, snapshots.SNAPSHOT_NAME):
            if name in await disk.names():
                await disk.rename(name, name + DAMAGED_SUFFIX)
        store = cls(disk, (cluster, node_id), secrets.token_hex(16))
        store.is_founder = is_founder
        if is_founder:
            await disk.replace(FOUNDER_NAME, store.disk_id.encode("ascii"))
        # The identity comes last, so that a folder with an identity always has its log.
        await store._rewrite_log()
        await store._save_identity()
        return store

    async def renew_disk_id(self) -> None:
        """Replace the disk id and keep the content; raises StorageError."""
        self.disk_id = secrets.token_hex(16)
        self.is_founder = False
        # A crash between the two writes leaves a log with another disk id. The next start treats
        # the folder as corrupt and starts empty, which is safe as well.
        with trio.CancelScope(shield=True):
            await self._rewrite_log()
            await self._save_identity()

    async def _save_identity(self) -> None:
        identity = [*self._owner, self.disk_id]
        try:
            await self._disk.replace(IDENTITY_NAME, frame(0, identity))
        except StorageError:
            self._wal.closed = True
            raise

    @property
    def closed(self) -> bool:
        """Return whether a failed write has closed the store."""
        return self._wal.closed

    @property
    def is_empty(self) -> bool:
        """Return whether the store has never held a term, an entry or a snapshot."""
        return self.term == 0 and self.last_index == 0

    @property
    def first_index(self) -> int:
        """Return the index of the first entry in the log."""
        return self._base_index + 1

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None if the log does not hold it."""
        if index == self._base_index:
            return self._base_term
        entry = self.entry(index)
        return None if entry is None else entry.term

    def entry(self, index: int) -> LogEntry | None:
        """Return an entry, None if the log does not hold it."""
        if not self._base_index < index <= self.last_index:
            return None
        return self._entries[index - self._base_index - 1]

    def entries_from(self, index: int, max_entries: int, max_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries from an index on within both limits, but at least one if there is one."""
        start = index - self._base_index - 1
        selected: list[LogEntry] = []
        n_bytes = 0
        for entry in self._entries[start : start + max_entries]:
            n_bytes += len(entry.body)
            if selected and n_bytes > max_bytes:
                break
            selected.append(entry)
        return tuple(selected)

    async def set_term(self, term: int, vote: str) -> None:
        """Make term and vote durable; raises StorageError."""
        await self._wal.append([["term", term, vote]])
        self.term, self.vote = term, vote

    def stage(self, entries: Sequence[LogEntry]) -> None:
        """Add entries in memory; `flush` makes them durable."""
        self._entries.extend(entries)

    async def flush(self, entries: Sequence[LogEntry]) -> None:
        """Write and sync staged entries; raises StorageError."""
        await self._wal.append([_entry_record(entry) for entry in entries])

    async def replace_tail(self, entries: Sequence[LogEntry]) -> None:
        """Replace the log from the index of the first entry on; raises StorageError."""
        last_kept = entries[0].index - 1
        del self._entries[last_kept - self._base_index :]
        self._entries.extend(entries)
        await self._wal.append([["cut", last_kept], *map(_entry_record, entries)])

    async def save_snapshot(self, snap: Snapshot) -> None:
        """Save a snapshot of applied entries and compact the log; raises StorageError."""
        new_base_index = max(self._base_index, snap.index - KEPT_ENTRIES)
        new_base_term = self.term_at(new_base_index)
        if new_base_term is None:
            raise StoreClosed(f"the snapshot at index {snap.index} is beyond the log")
        with trio.CancelScope(shield=True):
            await self._save(snap)
            self._entries = self._entries[new_base_index - self._base_index :]
            self._base_index, self._base_term = new_base_index, new_base_term
            await self._rewrite_log()

    async def install_snapshot(self, snap: Snapshot) -> None:
        """Replace log and state by a snapshot from the leader; raises StorageError."""
        with trio.CancelScope(shield=True):
            await self._save(snap)
            if self.term_at(snap.index) == snap.term:
                self._entries = self._entries[snap.index - self._base_index :]
            else:
                self._entries = []
            self._base_index, self._base_term = snap.index, snap.term
            await self._rewrite_log()

    async def close(self) -> None:
        """Close the files and release the data folder."""
        await self._disk.close()

    async def _save(self, snap: Snapshot) -> None:
        if self.closed:
            raise StoreClosed("closed after a failed write")
        try:
            await snapshots.save(self._disk, snap)
        except StorageError:
            self._wal.closed = True
            raise
        self.snapshot = snap

    async def _rewrite_log(self) -> None:
        header = [self.disk_id, self._base_index, self._base_term, self.term, self.vote]
        await self._wal.rewrite([header, [_entry_record(entry) for entry in self._entries]])

    def _replay(self, batches: tuple[Any, ...]) -> None:
        try:
            disk_id, self._base_index, self._base_term, self.term, self.vote = batches[0]
            if disk_id != self.disk_id:
                raise CorruptFile(LOG_NAME, 0, "the log belongs to another disk")
            for batch in batches[1:]:
                for record in batch:
                    self._replay_record(record)
        except (IndexError, TypeError, ValueError) as exc:
            raise CorruptFile(LOG_NAME, 0, f"invalid record: {exc}") from None
        snapshot_index = self.snapshot.index if self.snapshot else 0
        if self._base_index > snapshot_index:
            raise CorruptFile(snapshots.SNAPSHOT_NAME, 0, "the snapshot before the log is missing")
        self._drop_before_snapshot()

    def _replay_record(self, record: Any) -> None:
        kind, *fields = record
        if kind == "term":
            self.term, self.vote = fields
        elif kind == "cut":
            del self._entries[max(0, fields[0] - self._base_index) :]
        else:
            term, index, entry_kind, body = fields
            if index != self.last_index + 1:
                raise CorruptFile(LOG_NAME, 0, f"entry {index} follows {self.last_index}")
            self._entries.append(LogEntry(term, index, entry_kind, body))

    def _drop_before_snapshot(self) -> None:
        # A crash between writing the snapshot and the log leaves a log that ends before the
        # snapshot or conflicts with it. The snapshot holds committed state, so it wins.
        snap = self.snapshot
        if snap is None or self.term_at(snap.index) == snap.term:
            return
        self._entries = []
        self._base_index, self._base_term = snap.index, snap.term


def _entry_record(entry: LogEntry) -> list[Any]:
    return ["entry", entry.term, entry.index, entry.kind, entry.body]


async def _load_identity(disk: Disk, cluster: str, node_id: str) -> str | None:
    data = await disk.read(IDENTITY_NAME)
    if data is None:
        return None
    result = scan(IDENTITY_NAME, data)
    if len(result.frames) != 1 or result.good_bytes != len(data):
        raise CorruptFile(IDENTITY_NAME, result.good_bytes, "the identity is incomplete")
    try:
        found_cluster, found_node, disk_id = result.frames[0]
    except (TypeError, ValueError):
        raise CorruptFile(IDENTITY_NAME, 0, "invalid identity record") from None
    if (found_cluster, found_node) != (cluster, node_id):
        raise StorageError(f"the data folder belongs to {found_cluster}/{found_node}")
    return str(disk_id)
