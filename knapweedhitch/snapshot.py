"""Snapshot files: one checksummed value that replaces the log before it."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import Any

from knapweedhitch import wal
from knapweedhitch.disk import Disk
from knapweedhitch.exceptions import CodecError, CorruptFile

SNAPSHOT_NAME = "snapshot"


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Describe the replicated state after one log entry; voters maps node ids to disk ids."""

    index: int
    term: int
    voters: Mapping[str, str]
    group_id: str
    state: bytes

    def to_plain(self) -> list[Any]:
        """Return the snapshot as CBOR arrays and scalars."""
        return [self.index, self.term, dict(self.voters), self.group_id, self.state]


def from_plain(raw: Any) -> Snapshot:
    """Validate a decoded snapshot; raises CodecError."""
    if not isinstance(raw, list) or [type(part) for part in raw] != [int, int, dict, str, bytes]:
        raise CodecError("invalid snapshot fields")
    if not all(isinstance(text, str) for pair in raw[2].items() for text in pair):
        raise CodecError("the voters of a snapshot must be strings")
    return Snapshot(*raw)


def encode(snap: Snapshot) -> bytes:
    """Encode a snapshot as one checksummed frame, for the file and for transfers."""
    return wal.frame(0, snap.to_plain())


def decode(data: bytes, name: str = SNAPSHOT_NAME) -> Snapshot:
    """Decode a snapshot from one frame; raises CorruptFile that names the source."""
    result = wal.scan(name, data)
    if len(result.frames) != 1 or result.good_bytes != len(data):
        raise CorruptFile(name, result.good_bytes, "the snapshot is incomplete")
    try:
        return from_plain(result.frames[0])
    except CodecError as exc:
        raise CorruptFile(name, 0, str(exc)) from None


async def save(disk: Disk, snap: Snapshot) -> None:
    """Replace the snapshot file atomically; raises DiskFull, SyncFailed, StorageError."""
    await disk.replace(SNAPSHOT_NAME, encode(snap))


async def load(disk: Disk) -> Snapshot | None:
    """Load the snapshot of the folder, None if there is none; raises CorruptFile, StorageError."""
    data = await disk.read(SNAPSHOT_NAME)
    return None if data is None else decode(data)
