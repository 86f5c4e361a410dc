"""Parse the load that an upstream reports in a response header."""

from __future__ import annotations

import dataclasses
import math

MAX_VALUE = 1_000_000
NORMAL_PERCENT = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Describe a reported load; `slowdown` is the ratio of current to normal service time."""

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


def parse_load(value: bytes) -> UpstreamLoad | None:
    """Return the load from `running,waiting,slots[,percent]`, or None if it is malformed."""
    try:
        values = [float(part) for part in value.split(b",")]
    except ValueError:
        return None
    if not 3 <= len(values) <= 4 or any(
        not math.isfinite(item) or not 0 <= item <= MAX_VALUE for item in values
    ):
        return None
    slowdown = values[3] / NORMAL_PERCENT if len(values) == 4 else 1.0
    return UpstreamLoad(int(values[0]), int(values[1]), int(values[2]), max(slowdown, 0.01))
