"""Identity of requests across attempts, callers and nodes, as a keyed digest."""

from __future__ import annotations

import hashlib

from knapweedhitch.exchange import BodySource, CallSpec

HEAD_BYTES = 8
BODY_BYTES = 8
NO_BODY = bytes(BODY_BYTES)
KEY_LABEL = b"knapweedhitch request identity"


class Identifier:
    """Compute the digests of requests; all nodes of a cluster share the key."""

    def __init__(self, secret: bytes, max_body_bytes: int) -> None:
        self._key = hashlib.blake2b(secret, key=KEY_LABEL, digest_size=32).digest()
        self.max_body_bytes = max_body_bytes

    def head(self, service: str, route: str, method: str, target: bytes) -> bytes:
        """Return the digest of a request without its body."""
        names = f"{service}\0{route}\0{method}\0".encode()
        return hashlib.blake2b(names + target, key=self._key, digest_size=HEAD_BYTES).digest()

    def of_call(self, spec: CallSpec) -> bytes:
        """Return the digest of the head of a call."""
        return self.head(spec.service, spec.route, spec.method, spec.target)

    def body_hasher(self) -> hashlib.blake2b:
        """Return a hasher of the first bytes of a body."""
        return hashlib.blake2b(key=self._key, digest_size=BODY_BYTES)


class IdentifiedBody:
    """Pass a body on and hash its first bytes."""

    def __init__(self, body: BodySource, identifier: Identifier) -> None:
        self._body = body
        self._hasher = identifier.body_hasher()
        self._max_bytes = identifier.max_body_bytes
        self._hashed_bytes = 0
        self._held: list[bytes] = []
        self._is_complete = False
        self.digest: bytes | None = None

    async def receive(self) -> bytes | None:
        """Return the next part, None at the end; raises Refusal or CallerGone."""
        if self._held:
            return self._held.pop(0)
        return await self._receive_new()

    async def identify(self) -> None:
        """Read until the digest is known, at most the limit and one part; holds what was read."""
        while self.digest is None:
            part = await self._receive_new()
            if part is not None:
                self._held.append(part)

    async def _receive_new(self) -> bytes | None:
        if self._is_complete:
            return None
        part = await self._body.receive()
        if part is None:
            self._is_complete = True
            if self.digest is None:
                self.digest = self._hasher.digest()
        elif self.digest is None:
            self._hash(part)
        return part

    def _hash(self, part: bytes) -> None:
        kept = part[: self._max_bytes - self._hashed_bytes]
        self._hasher.update(kept)
        self._hashed_bytes += len(kept)
        if len(kept) < len(part):
            # A longer body differs from one that ends at the limit.
            self._hasher.update(b"\0more")
            self.digest = self._hasher.digest()
