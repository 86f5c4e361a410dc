"""Idempotency keys that include their creation time: UUIDv7 (RFC 9562) and ULID."""

from __future__ import annotations

import random
import re
import secrets

from knapweedhitch.exceptions import KeyInvalid

MAX_TIME_MS = (1 << 48) - 1
UUID7 = re.compile(r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}")
# Crockford base 32; the first character encodes only three bits of the 48-bit time.
ULID = re.compile(r"[0-7][0-9A-HJKMNP-TV-Z]{25}")
ULID_DIGITS = "0123456789ABCDEFGHJKMNPQRSTVWXYZ"
ULID_TIME_CHARS = 10
MAX_KEY_CHARS = 36


def normalize(key: str) -> str:
    """Return the canonical form of a key, as both formats ignore case; raises KeyInvalid."""
    if len(key) <= MAX_KEY_CHARS:
        if UUID7.fullmatch(key.lower()):
            return key.lower()
        if ULID.fullmatch(key.upper()):
            return key.upper()
    raise KeyInvalid(detail="use a UUIDv7 or a ULID")


def key_time_ms(key: str) -> int:
    """Return the creation time since the Unix epoch; raises KeyInvalid."""
    text = normalize(key)
    if len(text) == MAX_KEY_CHARS:
        return int(text[:8] + text[9:13], 16)
    time_ms = 0
    for char in text[:ULID_TIME_CHARS]:
        time_ms = time_ms * 32 + ULID_DIGITS.index(char)
    return time_ms


def generate_uuid7(wall_ms: int, rng: random.Random | None = None) -> str:
    """Generate a UUIDv7 for a wall-clock time; raises KeyInvalid."""
    if not 0 <= wall_ms <= MAX_TIME_MS:
        raise KeyInvalid(detail=f"{wall_ms} ms does not fit 48 bits")
    bits = rng.getrandbits(74) if rng is not None else secrets.randbits(74)
    value = (wall_ms << 80) | (0x7 << 76) | ((bits >> 62) << 64) | (0b10 << 62)
    value |= bits & ((1 << 62) - 1)
    text = f"{value:032x}"
    return f"{text[:8]}-{text[8:12]}-{text[12:16]}-{text[16:20]}-{text[20:]}"
