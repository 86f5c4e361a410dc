"""Values of the shared data classes as JSON values."""

from __future__ import annotations

import dataclasses
import enum
import json
import math
from collections.abc import Mapping, Set
from typing import Any

from knapweedhitch.exceptions import BadRequest

MAX_JSON_BYTES = 16_777_216


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
    return json.dumps(to_json(value), allow_nan=False).encode("ascii") + b"\n"
