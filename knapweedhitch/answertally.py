"""Counts of the answers of one target by route, kept and reported by the node beside it."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Annotated

from msgspec import Meta

from knapweedhitch.codec import Record

# Service times are counted in quarters of an octave, from 1 ms to 65 s.
BUCKETS_PER_OCTAVE = 4
BUCKETS = 64
# Routes beyond this number are counted together.
MAX_ROUTES = 32
OTHER_ROUTES = ""

Count = Annotated[int, Meta(ge=0, le=1 << 53)]
Times = Annotated[tuple[Count, ...], Meta(max_length=BUCKETS)]


class RouteAnswers(Record, frozen=True):
    """Count the answers on one route: all, failures, and service times by bucket."""

    route: str
    answers: Count = 0
    failures: Count = 0
    times: Times = ()

    def since(self, earlier: RouteAnswers | None) -> RouteAnswers:
        """Return what was added since an earlier count of the same process."""
        if earlier is None:
            return self
        before = [*earlier.times, *([0] * max(0, len(self.times) - len(earlier.times)))]
        return RouteAnswers(
            self.route,
            max(0, self.answers - earlier.answers),
            max(0, self.failures - earlier.failures),
            tuple(max(0, now - was) for now, was in zip(self.times, before, strict=False)),
        )


def bucket_of(time_ms: float) -> int:
    """Return the bucket of a service time."""
    if time_ms <= 1.0:
        return 0
    return min(BUCKETS - 1, int(BUCKETS_PER_OCTAVE * math.log2(time_ms)))


@dataclasses.dataclass(slots=True, eq=False)
class _Counts:
    answers: int = 0
    failures: int = 0
    times: list[int] = dataclasses.field(default_factory=lambda: [0] * BUCKETS)


class AnswerTally:
    """Count the answers of one target."""

    def __init__(self) -> None:
        self._routes: dict[str, _Counts] = {}

    def record(self, route: str, *, failed: bool, time_ms: float | None) -> None:
        """Count an answer; a time of None is not comparable, as that of a cold target."""
        if route not in self._routes and len(self._routes) >= MAX_ROUTES:
            route = OTHER_ROUTES
        counts = self._routes.setdefault(route, _Counts())
        counts.answers += 1
        if failed:
            counts.failures += 1
        elif time_ms is not None:
            counts.times[bucket_of(time_ms)] += 1

    @property
    def answers(self) -> int:
        """Return the number of answers on all routes."""
        return sum(counts.answers for counts in self._routes.values())

    def snapshot(self) -> tuple[RouteAnswers, ...]:
        """Return the counts of all routes, without trailing empty buckets."""
        return tuple(
            RouteAnswers(route, c.answers, c.failures, _trimmed(c.times))
            for route, c in self._routes.items()
        )


def _trimmed(times: Sequence[int]) -> tuple[int, ...]:
    last = max((i for i, n in enumerate(times) if n), default=-1)
    return tuple(times[: last + 1])


def added(
    now: Iterable[RouteAnswers], before: Mapping[str, RouteAnswers]
) -> tuple[RouteAnswers, ...]:
    """Return what the counts of one process have grown by, without routes that have not."""
    grown = (counts.since(before.get(counts.route)) for counts in now)
    return tuple(counts for counts in grown if counts.answers)
