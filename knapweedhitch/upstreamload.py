"""Parse what an upstream reports of itself in the headers of a response."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable

from knapweedhitch.framing import HeaderNames

MAX_VALUE = 1_000_000
NORMAL_PERCENT = 100.0
LEAVING_VALUE = b"1"


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Describe a reported load; `slowdown` is the ratio of current to normal service time."""

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamReport:
    """Describe what an upstream reports of itself in one response."""

    # Empty for a probe of an upstream that is not known yet.
    instance_id: str
    # When the request was sent, in milliseconds on the clock of the event loop.
    requested_ms: float
    load: UpstreamLoad | None = None
    # Requests per second that the upstream takes from all nodes together; None if it names none.
    limit_per_s: float | None = None
    leaving: bool = False
    # Names of the reports whose values were malformed.
    malformed: tuple[str, ...] = ()


def parse_report(
    headers: Iterable[tuple[bytes, bytes]],
    names: HeaderNames,
    instance_id: str,
    requested_ms: float,
) -> UpstreamReport:
    """Return the report in the headers of a response."""
    load: UpstreamLoad | None = None
    limit_per_s: float | None = None
    leaving = False
    malformed: list[str] = []
    for name, value in headers:
        if name == names.load:
            load = parse_load(value)
            if load is None:
                malformed.append("load")
        elif name == names.limit:
            limit_per_s = parse_limit(value)
            if limit_per_s is None:
                malformed.append("limit")
        elif name == names.leaving:
            leaving = value.strip() == LEAVING_VALUE
    return UpstreamReport(instance_id, requested_ms, load, limit_per_s, leaving, tuple(malformed))


def parse_limit(value: bytes) -> float | None:
    """Return a limit in requests per second, or None if it is malformed."""
    try:
        limit = float(value)
    except ValueError:
        return None
    return limit if math.isfinite(limit) and 0 <= limit <= MAX_VALUE else None


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
