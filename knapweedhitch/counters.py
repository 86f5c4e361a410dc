"""Counters by name and reason, gauges, and latency histograms."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

import trio
from hdrh.histogram import HdrHistogram

from knapweedhitch import output
from knapweedhitch.kernel import Kernel, service

# Histograms count microseconds, from 1 us to 1 hour, with 2 significant digits.
LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
# With 2 digits, each power of two from here on has 128 buckets; smaller values have one each.
EXACT_BITS = 8
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
# Reasons come from the program's own types, but a bug must not grow the map without bound.
MAX_COUNTERS = 4_096
OVERFLOW = ("counters_overflow", "")


@dataclasses.dataclass(frozen=True, slots=True)
class HistogramSummary:
    """Summarize one histogram: count, percentiles and maximum in milliseconds."""

    count: int
    percentiles_ms: Mapping[float, float]
    max_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class MetricsSnapshot:
    """Represent all counters, gauges and histograms at one moment."""

    counters: Mapping[tuple[str, str], int]
    gauges: Mapping[str, float]
    histograms: Mapping[str, HistogramSummary]


@service("counters")
class Counters:
    """Count events by name and reason, and record durations in milliseconds."""

    def __init__(self, kernel: Kernel | None = None) -> None:
        self._counters: dict[tuple[str, str], int] = {}
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, HdrHistogram] = {}
        # Counts by the lower bound of a bucket, merged into the histogram when a page is built: a
        # value costs 0.5 us here and 0.95 us in a histogram. A name has at most 3,200 buckets.
        self._pending: dict[str, dict[int, int]] = {}

    async def start(self) -> None:
        """Do nothing; counting needs no task."""

    async def stop(self) -> None:
        """Do nothing; the counters stay readable."""

    def add(self, name: str, reason: str = "", n: int = 1) -> None:
        """Add n to the counter of the name and reason."""
        key = (name, reason)
        if key not in self._counters and len(self._counters) >= MAX_COUNTERS:
            key = OVERFLOW
        self._counters[key] = self._counters.get(key, 0) + n

    def get(self, name: str, reason: str = "") -> int:
        """Return the value of one counter."""
        return self._counters.get((name, reason), 0)

    def gauge(self, name: str, value: float) -> None:
        """Set the current value of a gauge."""
        self._gauges[name] = value

    def record(self, histogram: str, value_ms: float) -> None:
        """Record a duration in milliseconds."""
        value = min(max(int(value_ms * 1_000), LOWEST_US), HIGHEST_US)
        shift = value.bit_length() - EXACT_BITS
        if shift > 0:
            value = value >> shift << shift
        pending = self._pending.get(histogram)
        if pending is None:
            pending = self._pending[histogram] = {}
        pending[value] = pending.get(value, 0) + 1

    def snapshot(self) -> MetricsSnapshot:
        """Return a copy of the current counters, gauges and histogram summaries."""
        histograms = {name: self._summary(name) for name in self._histogram_names()}
        return MetricsSnapshot(self._all_counters(), dict(self._gauges), histograms)

    async def snapshot_in_steps(self) -> MetricsSnapshot:
        """Return a snapshot with a checkpoint after each histogram; 20 at once block for 13 ms."""
        histograms = {}
        for name in self._histogram_names():
            histograms[name] = self._summary(name)
            await trio.lowlevel.checkpoint()
        return MetricsSnapshot(self._all_counters(), dict(self._gauges), histograms)

    def _all_counters(self) -> dict[tuple[str, str], int]:
        dropped = {("log_lines_dropped", reason): n for reason, n in output.dropped().items()}
        return self._counters | dropped

    def _histogram_names(self) -> list[str]:
        return list(self._histograms.keys() | self._pending.keys())

    def _summary(self, name: str) -> HistogramSummary:
        hist = self._histograms.get(name)
        if hist is None:
            hist = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self._histograms[name] = hist
        for value, count in self._pending.pop(name, {}).items():
            hist.record_value(value, count)
        return _summary(hist)


def _summary(hist: HdrHistogram) -> HistogramSummary:
    return HistogramSummary(
        count=hist.get_total_count(),
        percentiles_ms={p: hist.get_value_at_percentile(p) / 1_000 for p in PERCENTILES},
        max_ms=hist.get_max_value() / 1_000,
    )
