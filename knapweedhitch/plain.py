"""Conversion of the shared data classes to JSON, and parsing of JSON request bodies."""

from __future__ import annotations

import dataclasses
import enum
import json
import math
from collections.abc import Iterator, Mapping, Set
from typing import Any

import msgspec
import trio

from knapweedhitch.exceptions import BadRequest

MAX_JSON_BYTES = 16_777_216
# Rows encoded between two checkpoints; calls of the node wait for about a millisecond.
ROWS_PER_STEP = 50


def to_json(value: Any) -> Any:
    """Return a value as JSON types; infinite numbers become null, bytes become text."""
    if value is None or isinstance(value, (bool, int, str)):
        return value
    if isinstance(value, float):
        return value if math.isfinite(value) else None
    if isinstance(value, bytes):
        return value.decode("utf-8", errors="backslashreplace")
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, msgspec.Struct):
        return {name: to_json(getattr(value, name)) for name in value.__struct_fields__}
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {f.name: to_json(getattr(value, f.name)) for f in dataclasses.fields(value)}
    if isinstance(value, Mapping):
        return {str(key): to_json(item) for key, item in value.items()}
    if isinstance(value, Set):
        return sorted((to_json(item) for item in value), key=str)
    if isinstance(value, (tuple, list)):
        return [to_json(item) for item in value]
    return str(value)


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")


def parse_object(data: bytes) -> dict[str, Any]:
    """Parse a JSON object; raises BadRequest."""
    if len(data) > MAX_JSON_BYTES:
        raise BadRequest(detail=f"the body is over {MAX_JSON_BYTES} bytes")
    try:
        raw = json.loads(data, parse_constant=_reject_constant)
        if b"\\u" in data:
            # An escape can stand for half of a surrogate pair, which no later step can encode.
            json.dumps(raw, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as exc:
        raise BadRequest(detail=f"the body is not JSON: {exc}") from None
    if not isinstance(raw, dict):
        raise BadRequest(detail="the body is not a JSON object")
    return raw


def dump(value: Any) -> bytes:
    """Return the value as one line of JSON."""
    return _encode(value).encode("ascii") + b"\n"


async def dump_page(page: Mapping[str, Any]) -> bytes:
    """Return the page as JSON, encoding its rows and entries with checkpoints in between."""
    parts = []
    for rows, part in enumerate(_iter_parts(page)):
        parts.append(part)
        if rows % ROWS_PER_STEP == ROWS_PER_STEP - 1:
            await trio.lowlevel.checkpoint()
    return "".join(parts).encode("ascii") + b"\n"


def _iter_parts(page: Mapping[str, Any]) -> Iterator[str]:
    prefix = "{"
    for key, value in page.items():
        yield f"{prefix}{json.dumps(key)}: "
        prefix = ", "
        if isinstance(value, Mapping):
            yield from _iter_entries(value)
        elif isinstance(value, (list, tuple, Iterator)):
            yield from _iter_rows(iter(value))
        else:
            yield _encode(value)
    yield "}" if prefix == ", " else "{}"


def _iter_entries(value: Mapping[str, Any]) -> Iterator[str]:
    prefix = "{"
    # Copied, because the original may change at a checkpoint.
    for key, item in list(value.items()):
        yield f"{prefix}{json.dumps(str(key))}: {_encode(item)}"
        prefix = ", "
    yield "}" if prefix == ", " else "{}"


def _iter_rows(rows: Iterator[Any]) -> Iterator[str]:
    prefix = "["
    for row in rows:
        yield f"{prefix}{_encode(row)}"
        prefix = ", "
    yield "]" if prefix == ", " else "[]"


def _encode(value: Any) -> str:
    return json.dumps(to_json(value), allow_nan=False)
