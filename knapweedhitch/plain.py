"""Values of the shared data classes as JSON values."""

from __future__ import annotations

import dataclasses
import enum
import json
import math
from collections.abc import Iterator, Mapping, Set
from typing import Any

import trio

from knapweedhitch.exceptions import BadRequest

MAX_JSON_BYTES = 16_777_216
# Rows that are encoded between two checkpoints; calls of the node wait about a millisecond.
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
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {f.name: to_json(getattr(value, f.name)) for f in dataclasses.fields(value)}
    if isinstance(value, Mapping):
        return {str(key): to_json(item) for key, item in value.items()}
    if isinstance(value, Set):
        return sorted((to_json(item) for item in value), key=str)
    if isinstance(value, (tuple, list)):
        return [to_json(item) for item in value]
    return str(value)


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")


def parse_object(data: bytes) -> dict[str, Any]:
    """Return the JSON object in the bytes; raises BadRequest."""
    if len(data) > MAX_JSON_BYTES:
        raise BadRequest(detail=f"the body is over {MAX_JSON_BYTES} bytes")
    try:
        raw = json.loads(data, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as exc:
        raise BadRequest(detail=f"the body is not JSON: {exc}") from None
    if not isinstance(raw, dict):
        raise BadRequest(detail="the body is not a JSON object")
    return raw


def dump(value: Any) -> bytes:
    """Return the value as one line of JSON."""
    return _text(value).encode("ascii") + b"\n"


async def dump_page(page: Mapping[str, Any]) -> bytes:
    """Return the page as JSON; its rows and entries are encoded in steps with checkpoints."""
    parts = []
    for rows, part in enumerate(_parts(page)):
        parts.append(part)
        if rows % ROWS_PER_STEP == ROWS_PER_STEP - 1:
            await trio.lowlevel.checkpoint()
    return "".join(parts).encode("ascii") + b"\n"


def _parts(page: Mapping[str, Any]) -> Iterator[str]:
    opening = "{"
    for key, value in page.items():
        yield f"{opening}{json.dumps(key)}: "
        opening = ", "
        if isinstance(value, Mapping):
            yield from _entries(value)
        elif isinstance(value, (list, tuple, Iterator)):
            yield from _rows(iter(value))
        else:
            yield _text(value)
    yield "}" if opening == ", " else "{}"


def _entries(value: Mapping[str, Any]) -> Iterator[str]:
    opening = "{"
    # A copy, because the original may change at a checkpoint.
    for key, item in list(value.items()):
        yield f"{opening}{json.dumps(str(key))}: {_text(item)}"
        opening = ", "
    yield "}" if opening == ", " else "{}"


def _rows(rows: Iterator[Any]) -> Iterator[str]:
    opening = "["
    for row in rows:
        yield f"{opening}{_text(row)}"
        opening = ", "
    yield "]" if opening == ", " else "[]"


def _text(value: Any) -> str:
    return json.dumps(to_json(value), allow_nan=False)
