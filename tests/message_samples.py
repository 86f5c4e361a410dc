"""One valid message of each type, built from the types of its fields, for fuzz tests."""

from __future__ import annotations

import enum
import types
import typing
from typing import Any

import msgspec

from knapweedhitch import codec, messages
from knapweedhitch.model import Address, UpstreamRecord

SENDER = "127.0.9.100"
SENDERS = 100
# Replaced in encoded messages by ever higher ones, so that each record is newer than the last.
INCARNATION = 987_654_321
_BY_NAME: dict[str, Any] = {
    "sender": SENDER,
    "node_id": SENDER,
    "target": SENDER,
    "host": SENDER,
    "sequence": 5,
    "instance_id": "i-9",
    "service": "robes",
    "cluster": "knapweedhitch",
    "nonce": b"n" * 32,
    "mac": b"m" * 32,
    "started_wall_ms": 1_700_000_000_000,
    "status": 200,
    "incarnation": INCARNATION,
}


def sample_of(kind: Any, name: str = "") -> Any:
    """Return a valid value of a type."""
    origin = typing.get_origin(kind)
    if origin is typing.Annotated:
        return sample_of(typing.get_args(kind)[0], name)
    if origin is tuple:
        inner = [arg for arg in typing.get_args(kind) if arg is not ...]
        return tuple(sample_of(arg, name) for arg in inner)
    if origin in (types.UnionType, typing.Union):
        return sample_of(typing.get_args(kind)[0], name)
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return _sample_record(kind)
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return next(iter(kind))
    if name in _BY_NAME and isinstance(_BY_NAME[name], kind):
        return _BY_NAME[name]
    return {int: 3, float: 50.0, str: "a", bytes: b"b", bool: True}[kind]


def _sample_record(kind: type[msgspec.Struct]) -> Any:
    if kind is Address:
        return Address(SENDER, 7_000)
    hints = typing.get_type_hints(kind, include_extras=True)
    values = {field.name: sample_of(hints[field.name], field.name) for field in _fields(kind)}
    if kind is UpstreamRecord:
        values["slots"] = 6
    return kind(**values)


def _fields(kind: type[msgspec.Struct]) -> tuple[Any, ...]:
    return msgspec.structs.fields(kind)


def samples() -> dict[str, codec.Message]:
    """Return one message of each type by the name of the type."""
    types_ = [
        value
        for value in vars(messages).values()
        if isinstance(value, type) and issubclass(value, codec.Message) and value in codec._numbers
    ]
    return {kind.__name__: _sample_record(kind) for kind in types_}


def with_incarnation(data: bytes, incarnation: int) -> bytes:
    """Return an encoded message about another member, with another incarnation in its records.

    A record that the next one replaced at once would have no effect.
    """
    member = f"127.0.9.{100 + incarnation % SENDERS}"
    data = data.replace(SENDER.encode(), member.encode())
    return data.replace(INCARNATION.to_bytes(4, "big"), incarnation.to_bytes(4, "big"))


def plain(msg: codec.Message) -> list[Any]:
    """Return a message as the array that is encoded."""
    return [codec._numbers[type(msg)], *codec.to_plain(msg)]
