"""Bodies of requests: parts kept for a further attempt, and whole ones kept for a digest."""

from __future__ import annotations

import hashlib

from knapweedhitch.exceptions import KeyedBodyTooLarge, SpoolFull
from knapweedhitch.exchange import BodySource, Headers

DIGEST_HEADERS = frozenset({b"content-type"})


class NoBody:
    """Be the body of a request without one."""

    async def receive(self) -> bytes | None:
        """Return None at once."""
        return None

    def rewind(self) -> bool:
        """Return True, since nothing was read."""
        return True


class ReplayBody:
    """Keep the first parts of a body so that a further attempt can send them again."""

    def __init__(self, source: BodySource, max_bytes: int) -> None:
        self._source = source
        self._max_bytes = max_bytes
        self._parts: list[bytes] = []
        self._size = 0
        self._at = 0
        self._whole = False
        self._kept = True

    async def receive(self) -> bytes | None:
        """Return the next part, None at the end; raises Refusal or CallerGone."""
        if self._at < len(self._parts):
            self._at += 1
            return self._parts[self._at - 1]
        if self._whole:
            return None
        part = await self._source.receive()
        if part is None:
            self._whole = True
        elif self._kept:
            self._keep(part)
        return part

    def _keep(self, part: bytes) -> None:
        self._size += len(part)
        if self._size <= self._max_bytes:
            self._parts.append(part)
            self._at += 1
        else:
            self._kept = False
            self._parts, self._at = [], 0

    def rewind(self) -> bool:
        """Start again; return False when earlier parts are no longer kept."""
        self._at = 0
        return self._kept


class BufferedBody:
    """Hold a whole body."""

    def __init__(self, parts: list[bytes]) -> None:
        self._parts = parts
        self._at = 0

    async def receive(self) -> bytes | None:
        """Return the next part, None at the end."""
        if self._at >= len(self._parts):
            return None
        self._at += 1
        return self._parts[self._at - 1]

    def rewind(self) -> bool:
        """Start again; return True."""
        self._at = 0
        return True


Replayable = NoBody | ReplayBody | BufferedBody


class Spool:
    """Hold whole bodies in memory up to a limit for each and a limit for all, in bytes."""

    def __init__(self, max_body_bytes: int, max_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._max_bytes = max_bytes
        self.used_bytes = 0

    async def read(self, source: BodySource, length: int | None, held: list[int]) -> list[bytes]:
        """Return all parts; raises KeyedBodyTooLarge, SpoolFull. `held` gets what to free."""
        if length is not None and length > self._max_body_bytes:
            raise KeyedBodyTooLarge(detail=f"limit {self._max_body_bytes} bytes")
        parts: list[bytes] = []
        size = 0
        while (part := await source.receive()) is not None:
            size += len(part)
            if size > self._max_body_bytes:
                raise KeyedBodyTooLarge(detail=f"limit {self._max_body_bytes} bytes")
            if self.used_bytes + len(part) > self._max_bytes:
                raise SpoolFull(detail=f"limit {self._max_bytes} bytes")
            self.used_bytes += len(part)
            held.append(len(part))
            parts.append(part)
        return parts

    def free(self, held: list[int]) -> None:
        """Give back the space of the parts."""
        self.used_bytes -= sum(held)
        held.clear()


def request_digest(
    service: str, method: str, target: bytes, headers: Headers, parts: list[bytes]
) -> bytes:
    """Return the SHA-256 digest of what a keyed request asks for."""
    hasher = hashlib.sha256()
    fields = [service.encode("ascii"), method.encode("ascii"), target]
    fields += [value for name, value in headers if name in DIGEST_HEADERS]
    for field in fields:
        # The lengths keep two fields from being read as one.
        hasher.update(len(field).to_bytes(8, "big"))
        hasher.update(field)
    for part in parts:
        hasher.update(part)
    return hasher.digest()
