"""Snapshot files: one checked value that replaces the log before it."""

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
    """Hold the whole replicated state after one log entry; voters maps node id to disk id."""

    index: int
    term: int
    voters: Mapping[str, str]
    group_id: str
    state: bytes

    def to_plain(self) -> list[Any]:
        """Return the snapshot as CBOR arrays and scalars."""
        return [self.index, self.term, dict(self.voters), self.group_id, self.state]


def from_plain(raw: Any) -> Snapshot:
    """Return a checked snapshot; raises CodecError."""
    if not isinstance(raw, list) or [type(part) for part in raw] != [int, int, dict, str, bytes]:
        raise CodecError("not a snapshot")
    if not all(isinstance(text, str) for pair in raw[2].items() for text in pair):
        raise CodecError("the voters of a snapshot are text")
    return Snapshot(*raw)


def encode(snap: Snapshot) -> bytes:
    """Return the snapshot as one frame with checksums, for the file and for transfers."""
    return wal.frame(0, snap.to_plain())


def decode(data: bytes, place: str = SNAPSHOT_NAME) -> Snapshot:
    """Return the snapshot in a frame; raises CorruptFile."""
    result = wal.scan(place, data)
    if len(result.frames) != 1 or result.good_bytes != len(data):
        raise CorruptFile(place, result.good_bytes, "the snapshot is not whole")
    try:
        return from_plain(result.frames[0])
    except CodecError as exc:
        raise CorruptFile(place, 0, str(exc)) from None


async def save(disk: Disk, snap: Snapshot) -> None:
    """Write, sync and rename the snapshot file; raises DiskFull, SyncFailed."""
    await disk.replace(SNAPSHOT_NAME, encode(snap))


async def load(disk: Disk) -> Snapshot | None:
    """Return the snapshot of the folder, None if it has none; raises CorruptFile."""
    data = await disk.read(SNAPSHOT_NAME)
    return None if data is None else decode(data)
