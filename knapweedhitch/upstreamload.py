"""What an upstream says of its own load, in a header of its answers."""

from __future__ import annotations

import dataclasses
import math

MAX_FIGURE = 1_000_000
USUAL_PERCENT = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Hold one load header; `slowdown` is how many times longer work takes than usual."""

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


def parse_load(value: bytes) -> UpstreamLoad | None:
    """Return the figures `running,waiting,slots[,percent]`, None if they cannot be read."""
    try:
        figures = [float(part) for part in value.split(b",")]
    except ValueError:
        return None
    if not 3 <= len(figures) <= 4 or any(
        not math.isfinite(figure) or not 0 <= figure <= MAX_FIGURE for figure in figures
    ):
        return None
    slowdown = figures[3] / USUAL_PERCENT if len(figures) == 4 else 1.0
    return UpstreamLoad(int(figures[0]), int(figures[1]), int(figures[2]), max(slowdown, 0.01))
