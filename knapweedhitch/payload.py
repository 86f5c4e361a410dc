"""Request bodies that can be sent again, and the memory limit of buffered ones."""

from __future__ import annotations

import dataclasses
import hashlib

from knapweedhitch.budget import ByteBudget
from knapweedhitch.exceptions import KeyedBodyTooLarge, KnapweedhitchError, SpoolFull
from knapweedhitch.exchange import BodySource, Headers

DIGEST_HEADERS = frozenset({b"content-type"})


class NoBody:
    """Represent the body of a request that has none."""

    async def receive(self) -> bytes | None:
        """Return None."""
        return None

    def rewind(self) -> bool:
        """Return True, since nothing was read."""
        return True


class ReplayBody:
    """Buffer the beginning of a body so that another attempt can send it again."""

    def __init__(self, source: BodySource, max_bytes: int) -> None:
        self._source = source
        self._max_bytes = max_bytes
        # Joined, because each part of its own would take some 50 bytes more.
        self._buffered = bytearray()
        self._position = 0
        self._is_complete = False
        self._is_replayable = True

    async def receive(self) -> bytes | None:
        """Return the next part, None at the end; raises Refusal or CallerGone."""
        if self._position < len(self._buffered):
            rest = bytes(self._buffered[self._position :])
            self._position = len(self._buffered)
            return rest
        if self._is_complete:
            return None
        try:
            part = await self._source.receive()
        except KnapweedhitchError:
            # No attempt can send the whole body.
            self._is_replayable = False
            raise
        if part is None:
            self._is_complete = True
        elif self._is_replayable:
            self._buffer_part(part)
        return part

    def _buffer_part(self, part: bytes) -> None:
        if len(self._buffered) + len(part) <= self._max_bytes:
            self._buffered += part
            self._position = len(self._buffered)
        else:
            self._is_replayable = False
            self._buffered, self._position = bytearray(), 0

    def rewind(self) -> bool:
        """Restart at the first byte; return False if it is no longer buffered."""
        self._position = 0
        return self._is_replayable


class BufferedBody:
    """Represent a body that is buffered completely."""

    def __init__(self, parts: list[bytes]) -> None:
        self._parts = parts
        self._position = 0

    async def receive(self) -> bytes | None:
        """Return the next part, None at the end."""
        if self._position >= len(self._parts):
            return None
        self._position += 1
        return self._parts[self._position - 1]

    def rewind(self) -> bool:
        """Restart at the first part; return True."""
        self._position = 0
        return True


Replayable = NoBody | ReplayBody | BufferedBody


@dataclasses.dataclass(slots=True)
class Reservation:
    """Track the bytes that one body takes of a spool."""

    size_bytes: int = 0


class Spool:
    """Read bodies into memory up to a limit for each and a limit for all, in bytes."""

    def __init__(self, max_body_bytes: int, max_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._budget = ByteBudget(max_bytes)

    @property
    def used_bytes(self) -> int:
        """Return the bytes of all bodies in memory."""
        return self._budget.used_bytes

    async def read(
        self, source: BodySource, length: int | None, reserved: Reservation
    ) -> list[bytes]:
        """Return the body in one part, recording its size; raises KeyedBodyTooLarge, SpoolFull."""
        if length is not None and length > self._max_body_bytes:
            raise KeyedBodyTooLarge(detail=f"limit {self._max_body_bytes} bytes")
        # Joined, because each part of its own would take some 50 bytes more.
        body = bytearray()
        while (part := await source.receive()) is not None:
            if len(body) + len(part) > self._max_body_bytes:
                raise KeyedBodyTooLarge(detail=f"limit {self._max_body_bytes} bytes")
            if not self._budget.reserve(len(part)):
                raise SpoolFull(detail=f"limit {self._budget.max_bytes} bytes")
            reserved.size_bytes += len(part)
            body += part
        return [bytes(body)] if body else []

    def free(self, reserved: Reservation) -> None:
        """Release the reserved bytes."""
        self._budget.free(reserved.size_bytes)
        reserved.size_bytes = 0


def request_digest(
    service: str, method: str, target: bytes, headers: Headers, parts: list[bytes]
) -> bytes:
    """Return the SHA-256 digest that identifies the payload of a keyed request."""
    hasher = hashlib.sha256()
    fields = [service.encode("ascii"), method.encode("ascii"), target]
    fields += [value for name, value in headers if name in DIGEST_HEADERS]
    for field in fields:
        # The length prefixes keep adjacent fields distinct.
        hasher.update(len(field).to_bytes(8, "big"))
        hasher.update(field)
    for part in parts:
        hasher.update(part)
    return hasher.digest()
