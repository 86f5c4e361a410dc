"""Tests of log lines and counters."""

from __future__ import annotations

import datetime
import io
import random
import tempfile
import unittest
from unittest import mock

import msgspec
from hdrh.histogram import HdrHistogram

from knapweedhitch import counters, logs, output
from knapweedhitch.settings import LogSettings
from tests import direct_log


class LogsTest(unittest.TestCase):
    def test_one_event_is_one_line(self) -> None:
        """Guards against log injection: a value that breaks the line or forges a second event."""
        stream = io.StringIO()
        handler = direct_log.install("INFO", stream)
        try:
            logs.event("request", path='/a b\nevent=forged "x" {0}', status=200)
        finally:
            handler.pop_application()
        lines = stream.getvalue().splitlines()
        self.assertEqual(len(lines), 1)
        self.assertIn(r'event=request path="/a b\nevent=forged \"x\" {0}" status=200', lines[0])

    def test_buffered_lines_have_the_format_of_direct_ones(self) -> None:
        """Guards against tools that can't read the lines of a daemon because their form differs."""
        stream, lines = io.StringIO(), []
        writer = mock.Mock(write=lines.append)
        handlers = [logs.BufferedHandler(writer, "WARNING"), direct_log.install("INFO", stream)]
        handlers[0].bubble = True
        handlers[0].push_application()
        try:
            logs.event("below")
            logs.warning("known", path="/a b")
            with mock.patch(
                "logbook.base._datetime_factory", lambda: datetime.datetime(2026, 1, 2)
            ):
                logs.warning("midnight")
        finally:
            for handler in handlers:
                handler.pop_application()
        self.assertEqual(lines, stream.getvalue().splitlines()[1:])
        self.assertEqual(lines[1][:33], "time=2026-01-02T00:00:00.000000 l")
        self.assertRegex(
            logs._render_dropped(3),
            r"^time=[0-9T:.-]{26} level=WARNING event=log_lines_dropped count=3$",
        )

    def test_bound_of_the_buffer_comes_from_the_settings(self) -> None:
        """Guards against a setting without effect, and a buffer that holds no line."""
        with tempfile.TemporaryFile("w") as file:
            handler = logs.setup_buffered(LogSettings(max_buffered_bytes=5_000), file)
            handler.pop_application()
            self.assertEqual(output.find_writer(file).max_bytes, 5_000)
        for value in (0, 4_095, 1 << 31, "1 MB"):
            with self.subTest(value=value), self.assertRaises(msgspec.ValidationError):
                msgspec.convert({"max_buffered_bytes": value}, LogSettings)


class CountersTest(unittest.TestCase):
    def test_number_of_counters_is_bounded(self) -> None:
        """Guards against memory that grows with the number of distinct reasons."""
        registry = counters.Counters()
        for i in range(counters.MAX_COUNTERS + 100):
            registry.add("refused", f"reason-{i}")
        self.assertLessEqual(len(registry.snapshot().counters), counters.MAX_COUNTERS + 1)
        self.assertEqual(registry.get(*counters.OVERFLOW), 100)

    def test_percentiles_are_in_milliseconds(self) -> None:
        """Guards against confusing milliseconds with the microseconds of the histogram."""
        registry = counters.Counters()
        for value_ms in (1.0, 2.0, 3.0, 100.0):
            registry.record("total", value_ms)
        summary = registry.snapshot().histograms["total"]
        self.assertEqual(summary.count, 4)
        self.assertAlmostEqual(summary.percentiles_ms[50.0], 2.0, delta=0.05)
        self.assertAlmostEqual(summary.max_ms, 100.0, delta=1.0)

    def test_batched_values_give_the_same_percentiles(self) -> None:
        """Guards against batching that moves values to another bucket or loses some."""
        registry = counters.Counters()
        reference = HdrHistogram(
            counters.LOWEST_US, counters.HIGHEST_US, counters.SIGNIFICANT_DIGITS
        )
        rng = random.Random(1)
        for i in range(20_000):
            value_us = int(2 ** rng.uniform(0, 31))
            registry.record("total", value_us / 1_000)
            # The same arithmetic as in `record`, as 0.003 ms is not exactly 3 us.
            reference.record_value(max(1, int(value_us / 1_000 * 1_000)))
            if i % 7_000 == 0:
                registry.snapshot()
        summary = registry.snapshot().histograms["total"]
        self.assertEqual(summary.count, 20_000)
        for percent, value_ms in summary.percentiles_ms.items():
            self.assertEqual(value_ms, reference.get_value_at_percentile(percent) / 1_000)
        self.assertEqual(summary.max_ms, reference.get_max_value() / 1_000)
