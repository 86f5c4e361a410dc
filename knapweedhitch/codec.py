"""Codec that encodes messages as CBOR arrays and validates them when decoding."""

from __future__ import annotations

import dataclasses
import enum
import functools
import io
import types
import typing
from collections.abc import Callable
from typing import Any, TypeVar

import cbor2

from knapweedhitch.exceptions import (
    CodecError,
    DuplicateRegistration,
    MessageTooLarge,
    UnknownMessage,
)

MAX_MESSAGE_BYTES = 1_048_576


class Message:
    """Represent any message between nodes; subclasses are frozen data classes."""

    __slots__ = ()


M = TypeVar("M", bound=type[Message])
Decoder = Callable[[Any], Any]

_by_number: dict[int, tuple[type[Message], tuple[Decoder, ...]]] = {}
_numbers: dict[type[Message], int] = {}


def message(number: int) -> Callable[[M], M]:
    """Register a message data class under its type number; raises DuplicateRegistration."""

    def register(cls: M) -> M:
        if number in _by_number:
            raise DuplicateRegistration(f"message number {number} is registered twice")
        _by_number[number] = (cls, field_decoders(cls))
        _numbers[cls] = number
        return cls

    return register


def field_decoders(cls: type) -> tuple[Decoder, ...]:
    """Return a validating decoder for each field of a data class."""
    hints = typing.get_type_hints(cls)
    return tuple(_decoder(hints[field.name]) for field in dataclasses.fields(cls))


# Cached: resolving type hints for each value took most of the time of loading a state.
@functools.cache
def _decoder(hint: Any) -> Decoder:
    origin = typing.get_origin(hint)
    if origin in (typing.Union, types.UnionType):
        return _optional_decoder(hint)
    if origin is tuple:
        return _tuple_decoder(typing.get_args(hint))
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return _enum_decoder(hint)
    if dataclasses.is_dataclass(hint) and isinstance(hint, type):
        return _dataclass_decoder(hint)
    if hint is float:
        return _float_decoder
    if hint in (int, str, bytes, bool):
        return _scalar_decoder(hint)
    raise TypeError(f"no decoder for {hint}")


def _optional_decoder(hint: Any) -> Decoder:
    inner = [arg for arg in typing.get_args(hint) if arg is not type(None)]
    if len(inner) != 1:
        raise TypeError(f"no decoder for {hint}")
    decode = _decoder(inner[0])
    return lambda raw: None if raw is None else decode(raw)


def _tuple_decoder(args: tuple[Any, ...]) -> Decoder:
    if len(args) == 2 and args[1] is Ellipsis:
        decode_item = _decoder(args[0])
        return lambda raw: tuple(decode_item(item) for item in _require_array(raw))
    decoders = tuple(_decoder(arg) for arg in args)
    return lambda raw: _decode_fields(decoders, _require_array(raw))


def _require_array(raw: Any) -> Any:
    if not isinstance(raw, (list, tuple)):
        raise CodecError(f"an array is expected, got {type(raw).__name__}")
    return raw


def _decode_fields(decoders: tuple[Decoder, ...], raw: Any) -> tuple[Any, ...]:
    if len(raw) != len(decoders):
        raise CodecError(f"{len(decoders)} fields are expected, got {len(raw)}")
    return tuple(decode(item) for decode, item in zip(decoders, raw, strict=True))


def _enum_decoder(cls: type[enum.Enum]) -> Decoder:
    def decode(raw: Any) -> enum.Enum:
        try:
            return cls(raw)
        except (ValueError, TypeError):
            raise CodecError(f"{cls.__name__} has no such value") from None

    return decode


def _dataclass_decoder(cls: type) -> Decoder:
    decoders = field_decoders(cls)
    return lambda raw: cls(*_decode_fields(decoders, _require_array(raw)))


def _float_decoder(raw: Any) -> float:
    if isinstance(raw, bool) or not isinstance(raw, (int, float)) or raw != raw:
        raise CodecError("a number is expected")
    return float(raw)


def _scalar_decoder(cls: type) -> Decoder:
    def decode(raw: Any) -> Any:
        if type(raw) is not cls:
            raise CodecError(f"{cls.__name__} is expected, got {type(raw).__name__}")
        return raw

    return decode


def to_plain(value: Any) -> Any:
    """Convert a value to CBOR arrays and scalars; raises CodecError."""
    if isinstance(value, (str, int, bytes, float, type(None))):
        return value
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, (tuple, list)):
        return [to_plain(item) for item in value]
    if dataclasses.is_dataclass(value):
        return [to_plain(getattr(value, field.name)) for field in dataclasses.fields(value)]
    raise CodecError(f"{type(value).__name__} cannot be encoded")


def from_plain(cls: type, raw: Any) -> Any:
    """Build a data class from CBOR arrays and scalars; raises CodecError."""
    try:
        return _decoder(cls)(raw)
    except (ValueError, OverflowError) as exc:
        raise CodecError(f"{cls.__name__}: {exc}") from None


def encode(msg: Message) -> bytes:
    """Encode a message."""
    fields = [to_plain(getattr(msg, f.name)) for f in dataclasses.fields(msg)]  # type: ignore[arg-type]
    return cbor2.dumps([_numbers[type(msg)], *fields])


def decode(data: bytes, max_bytes: int = MAX_MESSAGE_BYTES) -> Message:
    """Decode a message; raises CodecError, UnknownMessage and MessageTooLarge."""
    if len(data) > max_bytes:
        raise MessageTooLarge(f"{len(data)} bytes are over the limit of {max_bytes}")
    raw = load_plain(data)
    if not isinstance(raw, list) or not raw or type(raw[0]) is not int:
        raise CodecError("an array that starts with a message number is expected")
    entry = _by_number.get(raw[0])
    if entry is None:
        raise UnknownMessage(f"message number {raw[0]} is not known")
    cls, decoders = entry
    try:
        return cls(*_decode_fields(decoders, raw[1:]))
    except CodecError as exc:
        raise CodecError(f"{cls.__name__}: {exc}") from None


def load_plain(data: bytes) -> Any:
    """Decode a single CBOR value; raises CodecError on invalid data or trailing bytes."""
    stream = io.BytesIO(data)
    try:
        raw = cbor2.load(stream)
    except (cbor2.CBORError, ValueError, TypeError, OverflowError, RecursionError, EOFError) as exc:
        raise CodecError(f"not valid CBOR: {exc}") from None
    if stream.tell() != len(data):
        raise CodecError(f"{len(data) - stream.tell()} bytes follow the message")
    return raw
