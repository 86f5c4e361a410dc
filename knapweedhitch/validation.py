"""Extraction of the first error from a pydantic validation failure."""

from __future__ import annotations

import dataclasses

import pydantic


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Describe a validation error; the path is empty if it concerns the whole document."""

    path: str
    message: str
    value: object


def first_problem(exc: pydantic.ValidationError) -> Problem:
    """Return the first error of a failed validation."""
    error = exc.errors()[0]
    path = ".".join(str(part) for part in error["loc"])
    return Problem(path, error["msg"], error.get("input"))
