"""Codec that encodes messages as CBOR arrays and validates them when decoding."""

from __future__ import annotations

import io
import struct
import sys
from collections.abc import Callable
from typing import Annotated, Any, TypeVar

import cbor2
import msgspec

from knapweedhitch.exceptions import (
    CodecError,
    DuplicateRegistration,
    MessageTooLarge,
    UnknownMessage,
)

MAX_MESSAGE_BYTES = 1_048_576

# Tags that cbor2 decodes itself: dates, integers of over 64 bits, fractions, references, regular
# expressions, sets and the like. No message has them, and later steps can't handle all of them:
# Python refuses to format an integer of over 4,300 digits, and a list may contain itself.
KNOWN_TAGS = (
    *(0, 1, 2, 3, 4, 5, 25, 28, 29, 30, 35, 36, 37, 100),
    *(256, 258, 260, 261, 1004, 43_000, 55_799),
)

# CBOR has byte strings of its own, so they are passed on as they are.
BYTES = (bytes,)

# 11 significant bits.
HALF_PRECISION = struct.Struct("e")

# The bound excludes NaN, which compares unequal to everything.
Float = Annotated[float, msgspec.Meta(ge=-sys.float_info.max)]


class Record(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Represent data that is sent or stored as an array of its fields."""

    @classmethod
    def compact(cls, plain: list[Any]) -> None:
        """Shorten the array of the fields in place; most records have nothing to leave out."""


class Message(Record, frozen=True):
    """Represent any message between nodes."""


M = TypeVar("M", bound=type[Message])

_by_number: dict[int, type[Message]] = {}
_numbers: dict[type[Message], int] = {}


def message(number: int) -> Callable[[M], M]:
    """Register a message class under its type number; raises DuplicateRegistration."""

    def register(cls: M) -> M:
        if number in _by_number:
            raise DuplicateRegistration(f"message number {number} is registered twice")
        _by_number[number] = cls
        _numbers[cls] = number
        return cls

    return register


def to_plain(value: Any) -> Any:
    """Convert a value to CBOR arrays and scalars; raises CodecError."""
    try:
        plain = msgspec.to_builtins(value, builtin_types=BYTES)
    except TypeError as exc:
        raise CodecError(str(exc)) from None
    if isinstance(value, Record):
        value.compact(plain)
    return plain


def from_plain(cls: Any, raw: Any) -> Any:
    """Build a record from CBOR arrays and scalars; raises CodecError."""
    try:
        return msgspec.convert(raw, cls, builtin_types=BYTES)
    except (ValueError, OverflowError) as exc:
        raise CodecError(f"{getattr(cls, '__name__', cls)}: {exc}") from None


def encode(msg: Message) -> bytes:
    """Encode a message, with floats as short as their value allows."""
    return cbor2.dumps([_numbers[type(msg)], *to_plain(msg)], canonical=True)


def round_to_half(value: float) -> float:
    """Return a float of half precision, which takes 3 bytes of a message instead of 9."""
    try:
        rounded: float = HALF_PRECISION.unpack(HALF_PRECISION.pack(value))[0]
    except OverflowError:
        return value
    return rounded


def decode(data: bytes, max_bytes: int = MAX_MESSAGE_BYTES) -> Message:
    """Decode a message; raises CodecError, UnknownMessage and MessageTooLarge."""
    if len(data) > max_bytes:
        raise MessageTooLarge(f"{len(data)} bytes are over the limit of {max_bytes}")
    raw = load_plain(data)
    if not isinstance(raw, list) or not raw or type(raw[0]) is not int:
        raise CodecError("an array that starts with a message number is expected")
    cls = _by_number.get(raw[0])
    if cls is None:
        raise UnknownMessage(f"message number {raw[0]} is not known")
    msg: Message = from_plain(cls, raw[1:])
    return msg


def _refuse_tag(*args: object) -> Any:
    raise CodecError("tags are not accepted")


_tag_decoders = dict.fromkeys(KNOWN_TAGS, _refuse_tag)


def load_plain(data: bytes) -> Any:
    """Decode a single CBOR value; raises CodecError on invalid data, tags or trailing bytes."""
    stream = io.BytesIO(data)
    try:
        raw = cbor2.load(stream, tag_hook=_refuse_tag, semantic_decoders=_tag_decoders)
    except (cbor2.CBORError, ValueError, TypeError, OverflowError, RecursionError, EOFError) as exc:
        raise CodecError(f"not valid CBOR: {exc}") from None
    if stream.tell() != len(data):
        raise CodecError(f"{len(data) - stream.tell()} bytes follow the message")
    return raw
