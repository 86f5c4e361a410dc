"""Tests of the estimate of how long a caller has already waited."""

from __future__ import annotations

import random
import unittest

from knapweedhitch.callerwait import CallerWaits


class CallerWaitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.waits, self.rng = CallerWaits(), random.Random(1)

    def record_new(self) -> float:
        """Record a new request and return the estimated wait of its caller."""
        return self.waits.record_deadline("r", round(self.rng.uniform(2_550.0, 3_000.0)))

    def test_time_missing_from_the_usual_deadline_counts_as_waited(self) -> None:
        """Guards against treating the retry of a refused caller as a new request."""
        for _ in range(20):
            self.record_new()
        for _ in range(200):
            self.assertEqual(self.record_new(), 0.0)
            retry_ms = self.rng.uniform(700.0, 2_000.0)
            # In an overload, two of three requests are retries of refused callers.
            for wait_ms in (retry_ms, retry_ms + 400.0):
                waited_ms = self.waits.record_deadline("r", 2_775.0 - wait_ms)
                # The deadlines of new requests vary by 450 ms.
                self.assertAlmostEqual(waited_ms, wait_ms, delta=225.0)

    def test_callers_with_other_deadlines_are_new(self) -> None:
        """Guards against serving callers last because their deadlines are always short."""
        waits_ms = [
            self.waits.record_deadline("r", top_ms * self.rng.uniform(0.95, 1.0))
            for _ in range(200)
            for top_ms in (3_000.0, 1_500.0)
        ]
        self.assertEqual(set(waits_ms), {0.0})

    def test_requests_without_a_deadline_are_new(self) -> None:
        """Guards against estimates from requests whose callers gave no deadline."""
        waits_ms = [
            self.waits.record_deadline("r", d) for _ in range(50) for d in (float("inf"), 3_000.0)
        ]
        self.assertEqual(set(waits_ms), {0.0})

    def test_the_first_requests_of_a_route_are_new(self) -> None:
        """Guards against estimates from too few requests."""
        waits_ms = [self.waits.record_deadline("r", d) for d in (3_000.0, 3_000.0, 1_000.0)]
        self.assertEqual(waits_ms, [0.0] * 3)

    def test_a_changed_deadline_becomes_the_usual_one(self) -> None:
        """Guards against treating callers as late after they shorten their deadline."""
        for _ in range(100):
            self.record_new()
        waits_ms = [self.waits.record_deadline("r", 2_000.0) for _ in range(100)]
        self.assertEqual(set(waits_ms[30:]), {0.0})
