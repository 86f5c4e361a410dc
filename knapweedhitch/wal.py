"""The append-only log file: checksummed frames, each with one batch of records."""

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
# Magic, sequence number, payload length, payload checksum; the checksum of these fields follows.
_FIELDS = struct.Struct(">4sQII")
_CRC = struct.Struct(">I")
HEADER_BYTES = _FIELDS.size + _CRC.size
# Unwritten blocks read as zeros after a crash. A last byte that is never zero distinguishes an
# unfinished write of the last frame, which ends in zeros, from damage to a synced frame, which
# leaves non-zero bytes at or after its end.
END_MARK = b"\xa5"
MAX_FRAME_BYTES = 1 << 28


@dataclasses.dataclass(frozen=True, slots=True)
class ScanResult:
    """Describe the decoded frames of a file and the length of its valid prefix in bytes."""

    frames: tuple[Any, ...]
    good_bytes: int


def frame(sequence: int, value: Any) -> bytes:
    """Encode one value as a frame with checksums."""
    payload = cbor2.dumps(value) + END_MARK
    header = _FIELDS.pack(MAGIC, sequence, len(payload), zlib.crc32(payload))
    return header + _CRC.pack(zlib.crc32(header)) + payload


def scan(path: str, data: bytes, first_sequence: int = 0) -> ScanResult:
    """Decode all frames before an unfinished last write; raises CorruptFile on other damage."""
    frames: list[Any] = []
    offset = 0
    while offset < len(data):
        end = _frame_end(path, data, offset, first_sequence + len(frames))
        if end is None:
            break
        frames.append(_decode_payload(path, data, offset, end))
        offset = end
    return ScanResult(tuple(frames), offset)


def _frame_end(path: str, data: bytes, offset: int, sequence: int) -> int | None:
    """Return the end of the frame at the offset, None if its write is unfinished.

    Raises CorruptFile.
    """
    body = offset + HEADER_BYTES
    if body > len(data):
        return None
    header = data[offset : offset + _FIELDS.size]
    if _CRC.unpack_from(data, offset + _FIELDS.size)[0] != zlib.crc32(header):
        if not any(memoryview(data)[body:]):
            return None
        raise CorruptFile(path, offset, "the frame header does not match its checksum")
    magic, found_sequence, length, crc = _FIELDS.unpack(header)
    if magic != MAGIC or found_sequence != sequence or length > MAX_FRAME_BYTES:
        raise CorruptFile(path, offset, f"expected frame {sequence}, found frame {found_sequence}")
    end: int = body + length
    if end > len(data):
        return None
    if zlib.crc32(memoryview(data)[body:end]) != crc:
        if not any(memoryview(data)[end - 1 :]):
            return None
        raise CorruptFile(path, offset, "the frame does not match its checksum")
    return end


def _decode_payload(path: str, data: bytes, offset: int, end: int) -> Any:
    try:
        return load_plain(data[offset + HEADER_BYTES : end - len(END_MARK)])
    except CodecError as exc:
        raise CorruptFile(path, offset, str(exc)) from None


class WriteAheadLog:
    """Append batches of records to one file; a failed write or sync closes it permanently."""

    def __init__(self, disk: Disk, name: str) -> None:
        self._disk = disk
        self.name = name
        self._sequence = 0
        self.size_bytes = 0
        self.closed = False

    async def load(self) -> tuple[Any, ...]:
        """Read all batches and truncate an unfinished last write; raises CorruptFile."""
        data = await self._disk.read(self.name) or b""
        result = scan(self.name, data)
        if result.good_bytes < len(data):
            await self._disk.truncate(self.name, result.good_bytes)
        self._sequence = len(result.frames)
        self.size_bytes = result.good_bytes
        return result.frames

    async def append(self, records: Any) -> None:
        """Append and sync one batch; raises StoreClosed, DiskFull, SyncFailed."""
        data = frame(self._sequence, records)
        with self._close_on_error(), trio.CancelScope(shield=True):
            await self._disk.append(self.name, data)
            await self._disk.sync(self.name)
        self._sequence += 1
        self.size_bytes += len(data)

    async def rewrite(self, batches: list[Any]) -> None:
        """Replace the whole file by these batches; raises StoreClosed, DiskFull, SyncFailed."""
        data = b"".join(frame(number, batch) for number, batch in enumerate(batches))
        with self._close_on_error(), trio.CancelScope(shield=True):
            await self._disk.replace(self.name, data)
        self._sequence = len(batches)
        self.size_bytes = len(data)

    def _close_on_error(self) -> _CloseOnError:
        if self.closed:
            raise StoreClosed(f"{self.name}: closed after a failed write")
        return _CloseOnError(self)


class _CloseOnError:
    """Close the log when a write fails, because the content of the file is then unknown."""

    def __init__(self, log: WriteAheadLog) -> None:
        self._log = log

    def __enter__(self) -> None:
        return None

    def __exit__(self, kind: type[BaseException] | None, *rest: object) -> None:
        if kind is not None and issubclass(kind, (StorageError, OSError)):
            self._log.closed = True
