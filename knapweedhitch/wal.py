"""The append-only log file: frames with checksums that hold batches of records."""

from __future__ import annotations

import dataclasses
import struct
import zlib
from typing import Any

import cbor2
import trio

from knapweedhitch.codec import load_plain
from knapweedhitch.disk import Disk
from knapweedhitch.exceptions import CodecError, CorruptFile, StorageError, StoreClosed

MAGIC = b"KHL1"
# magic, sequence number, payload length, payload checksum; the checksum of these follows.
_FIELDS = struct.Struct(">4sQII")
_CRC = struct.Struct(">I")
HEADER_BYTES = _FIELDS.size + _CRC.size
# Unwritten blocks read as zeros after a crash. A last byte that is never zero tells an unfinished
# write of the last frame from a damaged frame that had been synced: of an unfinished write the
# end is zero, while damage of a synced frame leaves something else than zeros behind it.
END_MARK = b"\xa5"
MAX_FRAME_BYTES = 1 << 28


@dataclasses.dataclass(frozen=True, slots=True)
class ScanResult:
    """Hold the decoded frames of a file and the size up to which the file is whole."""

    frames: tuple[Any, ...]
    good_bytes: int


def frame(sequence: int, value: Any) -> bytes:
    """Return one value as a frame with its checksums."""
    payload = cbor2.dumps(value) + END_MARK
    head = _FIELDS.pack(MAGIC, sequence, len(payload), zlib.crc32(payload))
    return head + _CRC.pack(zlib.crc32(head)) + payload


def scan(path: str, data: bytes, first_sequence: int = 0) -> ScanResult:
    """Return the frames before an unfinished last write; raises CorruptFile on other damage."""
    frames: list[Any] = []
    offset = 0
    while offset < len(data):
        end = _frame_end(path, data, offset, first_sequence + len(frames))
        if end is None:
            break
        frames.append(_payload(path, data, offset, end))
        offset = end
    return ScanResult(tuple(frames), offset)


def _frame_end(path: str, data: bytes, offset: int, sequence: int) -> int | None:
    """Return the end of the frame at the offset, None if its write was not finished."""
    body = offset + HEADER_BYTES
    if body > len(data):
        return None
    head = data[offset : offset + _FIELDS.size]
    if _CRC.unpack_from(data, offset + _FIELDS.size)[0] != zlib.crc32(head):
        if not any(memoryview(data)[body:]):
            return None
        raise CorruptFile(path, offset, "the frame header does not match its checksum")
    magic, found, length, crc = _FIELDS.unpack(head)
    if magic != MAGIC or found != sequence or length > MAX_FRAME_BYTES:
        raise CorruptFile(path, offset, f"frame {sequence} is expected, found {found}")
    end: int = body + length
    if end > len(data):
        return None
    if zlib.crc32(memoryview(data)[body:end]) != crc:
        if not any(memoryview(data)[end - 1 :]):
            return None
        raise CorruptFile(path, offset, "the frame does not match its checksum")
    return end


def _payload(path: str, data: bytes, offset: int, end: int) -> Any:
    try:
        return load_plain(data[offset + HEADER_BYTES : end - len(END_MARK)])
    except CodecError as exc:
        raise CorruptFile(path, offset, str(exc)) from None


class WriteAheadLog:
    """Append batches of records to one file; a failed write or sync closes it for good."""

    def __init__(self, disk: Disk, name: str) -> None:
        self._disk = disk
        self.name = name
        self._sequence = 0
        self.size_bytes = 0
        self.closed = False

    async def load(self) -> tuple[Any, ...]:
        """Return all batches and cut an unfinished last write; raises CorruptFile."""
        data = await self._disk.read(self.name) or b""
        result = scan(self.name, data)
        if result.good_bytes < len(data):
            await self._disk.truncate(self.name, result.good_bytes)
        self._sequence = len(result.frames)
        self.size_bytes = result.good_bytes
        return result.frames

    async def append(self, records: Any) -> None:
        """Append one batch and sync it; raises StoreClosed, DiskFull, SyncFailed."""
        data = frame(self._sequence, records)
        with self._guard(), trio.CancelScope(shield=True):
            await self._disk.append(self.name, data)
            await self._disk.sync(self.name)
        self._sequence += 1
        self.size_bytes += len(data)

    async def rewrite(self, batches: list[Any]) -> None:
        """Replace the whole file by these batches; raises StoreClosed, DiskFull, SyncFailed."""
        data = b"".join(frame(number, batch) for number, batch in enumerate(batches))
        with self._guard(), trio.CancelScope(shield=True):
            await self._disk.replace(self.name, data)
        self._sequence = len(batches)
        self.size_bytes = len(data)

    def _guard(self) -> _CloseOnError:
        if self.closed:
            raise StoreClosed(f"{self.name}: closed after a failed write")
        return _CloseOnError(self)


class _CloseOnError:
    """Close the log when a write fails; what reached the file is then unknown."""

    def __init__(self, log: WriteAheadLog) -> None:
        self._log = log

    def __enter__(self) -> None:
        return None

    def __exit__(self, kind: type[BaseException] | None, *rest: object) -> None:
        if kind is not None and issubclass(kind, (StorageError, OSError)):
            self._log.closed = True
