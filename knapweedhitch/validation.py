"""Description of a failed msgspec validation: where the problem is and which value has it."""

from __future__ import annotations

import re
from typing import Any

import msgspec

# The message of msgspec ends with the path of the value, as in "... - at `$.listen.callers.port`".
_AT = re.compile(r"(?P<message>.*?)(?: - at (?P<key>`key` in )?`\$(?P<path>[^`]*)`)?", re.DOTALL)
_STEP = re.compile(r"\.(?P<name>[^.\[]+)|\[(?P<index>\d+)\]")
# These messages name a field below the path of the value that has the problem.
_FIELD = re.compile(r"Object (?:contains unknown|missing required) field `(?P<name>.*)`", re.DOTALL)
_NAMED_FIELD = re.compile(r"(?P<name>\w+): ")


class Problem(msgspec.Struct, frozen=True):
    """Describe a validation error; the path is empty if it concerns the whole document."""

    path: str
    message: str
    value: object


def describe_problem(exc: msgspec.ValidationError, document: Any) -> Problem:
    """Return the path, message and value of the first problem in a document."""
    match = _AT.fullmatch(str(exc))
    assert match is not None
    message, steps = match["message"], _parse_path(match["path"] or "")
    field = _FIELD.fullmatch(message) or _NAMED_FIELD.match(message)
    if field is not None:
        steps.append(field["name"])
    path = ".".join(str(step) for step in steps)
    return Problem(path, message, _find_value(document, steps))


def _parse_path(text: str) -> list[str | int]:
    steps: list[str | int] = []
    for step in _STEP.finditer(text):
        steps.append(step["name"] if step["index"] is None else int(step["index"]))
    return steps


def _find_value(value: Any, steps: list[str | int]) -> Any:
    """Return the value at a path, None if the document has none there."""
    for step in steps:
        try:
            value = value[step]
        except (KeyError, IndexError, TypeError):
            return None
    return value
