"""The metrics page in the Prometheus text exposition format."""

from __future__ import annotations

import math
import re
from collections.abc import Iterator

from knapweedhitch.counters import HistogramSummary, MetricsSnapshot

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "knapweedhitch_"

_INVALID_CHARS = re.compile(r"[^a-zA-Z0-9_]")


def _metric_name(raw: str, suffix: str = "") -> str:
    return PREFIX + _INVALID_CHARS.sub("_", raw) + suffix


def _escape_label(value: str) -> str:
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def _format_number(value: float) -> str:
    if math.isnan(value):
        return "NaN"
    if math.isinf(value):
        return "+Inf" if value > 0 else "-Inf"
    return repr(value)


def _counter_lines(snapshot: MetricsSnapshot) -> Iterator[str]:
    # Names that differ only in characters invalid in the format become one counter.
    families: dict[str, dict[str, int]] = {}
    for (name, reason), count in snapshot.counters.items():
        family = families.setdefault(_metric_name(name, "_total"), {})
        family[reason] = family.get(reason, 0) + count
    for name, family in sorted(families.items()):
        yield f"# TYPE {name} counter"
        for reason, count in sorted(family.items()):
            labels = f'{{reason="{_escape_label(reason)}"}}' if reason else ""
            yield f"{name}{labels} {count}"


def _gauge_lines(snapshot: MetricsSnapshot) -> Iterator[str]:
    # A gauge under the name of a counter would give the page two types for one name.
    counter_names = {_metric_name(name, "_total") for name, _ in snapshot.counters}
    gauges = {_metric_name(name): value for name, value in snapshot.gauges.items()}
    for name, value in sorted(gauges.items()):
        if name in counter_names:
            continue
        yield f"# TYPE {name} gauge"
        yield f"{name} {_format_number(value)}"


def _histogram_lines(name: str, summary: HistogramSummary) -> Iterator[str]:
    yield f"# TYPE {name} summary"
    for percentile, value_ms in sorted(summary.percentiles_ms.items()):
        yield f'{name}{{quantile="{percentile / 100:g}"}} {_format_number(value_ms)}'
    yield f"{name}_count {summary.count}"
    yield f"# TYPE {name}_max gauge"
    yield f"{name}_max {_format_number(summary.max_ms)}"


def render(snapshot: MetricsSnapshot) -> str:
    """Render counters by reason, gauges and histogram percentiles in milliseconds."""
    lines = [*_counter_lines(snapshot), *_gauge_lines(snapshot)]
    histograms = {
        _metric_name(name, "_ms"): summary for name, summary in snapshot.histograms.items()
    }
    for name, summary in sorted(histograms.items()):
        lines.extend(_histogram_lines(name, summary))
    return "".join(f"{line}\n" for line in lines)
