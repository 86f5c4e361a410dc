"""Compare the answers of a new version with those of the other versions in the same period.

Failures and slow answers are compared on each route and on all routes together. The worst new
target counts no worse than the next one, so that no verdict follows from one target. A version is
bad if others of the usual rate would hardly ever give as many bad answers.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable, Mapping, Sequence

from knapweedhitch.answertally import BUCKETS, BUCKETS_PER_OCTAVE, RouteAnswers

ALL_ROUTES = "*"
# The probability that a version like the others has so many bad answers. Hundreds of comparisons
# are made in one roll-out.
MAX_CHANCE = 1e-5
SUSPICIOUS_CHANCE = 0.01
MIN_BAD = 4
MIN_SUSPICIOUS = 3
# The usual rate is that of the other versions plus this many standard errors.
RATE_ERRORS = 1.0
MIN_FAILURE_RATE = 0.01
# Targets of one version differ in speed and in their neighbours.
MIN_SLOW_RATE = 0.1
SLOW_RATE_MARGIN = 1.5
# At a higher usual rate, no number of bad answers would be unlikely.
MAX_USUAL_RATE = 0.9
# With fewer answers of the other versions, times are not compared, and failures with this rate.
MIN_OLD_ANSWERS = 8
UNKNOWN_FAILURE_RATE = 0.1
# An answer is slow above 2.0 to 2.4 times the median of the other versions.
SLOW_BUCKETS = BUCKETS_PER_OCTAVE + 1


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Describe the answers that one target gave on one route in one report interval."""

    at_ms: float
    instance_id: str
    is_new: bool
    route: str
    answers: int
    failures: int
    # Buckets of service times that are not empty, and their counts.
    times: tuple[tuple[int, int], ...]

    @classmethod
    def of(cls, at_ms: float, instance_id: str, counts: RouteAnswers, *, is_new: bool) -> Sample:
        """Return the sample with these counts."""
        times = tuple((bucket, n) for bucket, n in enumerate(counts.times) if n)
        return cls(at_ms, instance_id, is_new, counts.route, counts.answers, counts.failures, times)


@dataclasses.dataclass(frozen=True, slots=True)
class Comparison:
    """Describe the bad answers of both sides on one route, with the worst new target capped."""

    measure: str
    route: str
    new: int
    new_bad: int
    old: int
    old_bad: int
    chance: float

    def fields(self) -> dict[str, object]:
        """Return the figures for a log line."""
        return {
            "measure": self.measure,
            "route": self.route,
            "new": self.new,
            "new_bad": self.new_bad,
            "old": self.old,
            "old_bad": self.old_bad,
            "chance": f"{self.chance:.1e}",
        }


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Describe what the answers show: the worst comparison, and how many there are."""

    worst: Comparison | None = None
    new_answers: int = 0
    new_targets: int = 0

    @property
    def is_bad(self) -> bool:
        """Return whether the new version is bad."""
        return (
            self.worst is not None
            and self.worst.chance < MAX_CHANCE
            and self.worst.new_bad >= MIN_BAD
        )

    @property
    def is_suspicious(self) -> bool:
        """Return whether the new version looks worse, though not beyond doubt."""
        return self.worst is not None and self.worst.chance < SUSPICIOUS_CHANCE


@dataclasses.dataclass(slots=True, eq=False)
class _Counts:
    answers: int = 0
    failures: int = 0
    timed: int = 0
    slow: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class _Group:
    """Collect the answers of one target on one route."""

    answers: int = 0
    failures: int = 0
    times: list[int] = dataclasses.field(default_factory=lambda: [0] * BUCKETS)

    def add(self, sample: Sample) -> None:
        self.answers += sample.answers
        self.failures += sample.failures
        for bucket, n in sample.times:
            self.times[bucket] += n

    def counts(self, slow_from: int) -> _Counts:
        """Return the counts, with the times from a bucket on as slow."""
        timed = sum(self.times)
        return _Counts(self.answers, self.failures, timed, sum(self.times[slow_from:]))


_ByTarget = dict[str, _Group]


def judge(samples: Iterable[Sample], target_count: int) -> Verdict:
    """Return the verdict on the answers of one period; `target_count` counts new targets."""
    sides: dict[str, tuple[_ByTarget, _ByTarget]] = {}
    for sample in samples:
        old, new = sides.setdefault(sample.route, ({}, {}))
        side = new if sample.is_new else old
        side.setdefault(sample.instance_id, _Group()).add(sample)
    total_old: dict[str, _Counts] = {}
    total_new: dict[str, _Counts] = {}
    comparisons = []
    for route, (old, new) in sides.items():
        slow_from = _slow_from(old.values())
        judged_old = {i: group.counts(slow_from) for i, group in old.items()}
        judged_new = {i: group.counts(slow_from) for i, group in new.items()}
        _add(total_old, judged_old)
        _add(total_new, judged_new)
        comparisons += _compare(route, judged_old, judged_new, target_count)
    if len(sides) > 1:
        comparisons += _compare(ALL_ROUTES, total_old, total_new, target_count)
    worst = min(comparisons, key=lambda c: c.chance, default=None)
    return Verdict(worst, sum(c.answers for c in total_new.values()), len(total_new))


def worst_of(verdicts: Sequence[Verdict]) -> Verdict:
    """Return the verdict with the strongest evidence, with the counts of the first one."""
    worst = min(
        (v.worst for v in verdicts if v.worst is not None),
        key=lambda c: c.chance,
        default=None,
    )
    return dataclasses.replace(verdicts[0], worst=worst)


def _slow_from(old: Iterable[_Group]) -> int:
    """Return the first bucket of slow answers, beyond all if the usual time is unknown."""
    times = [sum(column) for column in zip(*(group.times for group in old), strict=True)]
    timed = sum(times)
    if timed < MIN_OLD_ANSWERS:
        return BUCKETS
    seen = 0
    for bucket, n in enumerate(times):
        seen += n
        if 2 * seen >= timed:
            return min(BUCKETS, bucket + SLOW_BUCKETS)
    return BUCKETS


def _add(total: dict[str, _Counts], judged: Mapping[str, _Counts]) -> None:
    for instance_id, counts in judged.items():
        target = total.setdefault(instance_id, _Counts())
        target.answers += counts.answers
        target.failures += counts.failures
        target.timed += counts.timed
        target.slow += counts.slow


def _compare(
    route: str, old: Mapping[str, _Counts], new: Mapping[str, _Counts], target_count: int
) -> list[Comparison]:
    failures = _compare_rates(
        "failures",
        route,
        [(c.answers, c.failures) for c in old.values()],
        [(c.answers, c.failures) for c in new.values()],
        target_count,
    )
    slow = _compare_rates(
        "slow",
        route,
        [(c.timed, c.slow) for c in old.values()],
        [(c.timed, c.slow) for c in new.values()],
        target_count,
    )
    return [failures, slow]


def _compare_rates(
    measure: str,
    route: str,
    old: Sequence[tuple[int, int]],
    new: Sequence[tuple[int, int]],
    target_count: int,
) -> Comparison:
    n_old, k_old = sum(n for n, _ in old), sum(k for _, k in old)
    rate = _usual_rate(measure, n_old, k_old)
    n_new, k_new = sum(n for n, _ in new), sum(k for _, k in new)
    if target_count > 1:
        k_new -= _excess_of_worst(new, rate)
    chance = 1.0
    if k_new >= MIN_SUSPICIOUS and not (measure == "slow" and n_old < MIN_OLD_ANSWERS):
        chance = binomial_tail(k_new, n_new, rate)
    return Comparison(measure, route, n_new, k_new, n_old, k_old, chance)


def _excess_of_worst(new: Sequence[tuple[int, int]], rate: float) -> int:
    """Return how many more bad answers the worst target gave than at the rate of the next one."""
    ranked = sorted(new, key=lambda c: c[1] - rate * c[0])
    if not ranked:
        return 0
    n_worst, k_worst = ranked.pop()
    n_next, k_next = ranked.pop() if ranked else (0, 0)
    # A target that got few calls says little about the rate of others.
    next_rate = k_next / max(n_next, MIN_OLD_ANSWERS / 2)
    return max(0, k_worst - math.ceil(next_rate * n_worst))


def _usual_rate(measure: str, n: int, k: int) -> float:
    """Return a rate of bad answers that the other versions hardly exceed."""
    if n < MIN_OLD_ANSWERS:
        return UNKNOWN_FAILURE_RATE
    rate = (k + 1.0) / (n + 2.0)
    rate += RATE_ERRORS * math.sqrt(rate * (1.0 - rate) / n)
    if measure == "slow":
        return min(MAX_USUAL_RATE, max(MIN_SLOW_RATE, SLOW_RATE_MARGIN * rate))
    return min(MAX_USUAL_RATE, max(MIN_FAILURE_RATE, rate))


def binomial_tail(k: int, n: int, p: float) -> float:
    """Return the probability of at least k of n when each has probability p."""
    if k <= 0:
        return 1.0
    log_term = (
        math.lgamma(n + 1)
        - math.lgamma(k + 1)
        - math.lgamma(n - k + 1)
        + k * math.log(p)
        + (n - k) * math.log1p(-p)
    )
    term = math.exp(log_term)
    total = 0.0
    for i in range(k, n + 1):
        total += term
        if term < total * 1e-9:
            break
        term *= (n - i) / (i + 1) * p / (1.0 - p)
    return min(1.0, total)
