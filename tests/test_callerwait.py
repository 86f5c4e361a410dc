"""Tests of the estimate of how long a caller has waited already."""

from __future__ import annotations

import random
import unittest

from knapweedhitch.callerwait import CallerWaits


class CallerWaitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.waits, self.rng = CallerWaits(), random.Random(1)

    def new(self) -> float:
        """Return what the estimate says of a new request."""
        return self.waits.record_deadline("r", round(self.rng.uniform(2_550.0, 3_000.0)))

    def test_what_is_missing_from_the_usual_deadline_was_waited(self) -> None:
        """Guards against a request of a caller who came back and is taken for a new one."""
        for _ in range(20):
            self.new()
        for _ in range(200):
            self.assertEqual(self.new(), 0.0)
            back_ms = self.rng.uniform(700.0, 2_000.0)
            # In an overload two of three requests come from callers who were refused before.
            for wait_ms in (back_ms, back_ms + 400.0):
                waited_ms = self.waits.record_deadline("r", 2_775.0 - wait_ms)
                # New requests differ by 450 ms among themselves.
                self.assertAlmostEqual(waited_ms, wait_ms, delta=225.0)

    def test_callers_with_other_deadlines_are_new(self) -> None:
        """Guards against callers whose usual deadline is short and who are served last for it."""
        waited = [
            self.waits.record_deadline("r", top_ms * self.rng.uniform(0.95, 1.0))
            for _ in range(200)
            for top_ms in (3_000.0, 1_500.0)
        ]
        self.assertEqual(set(waited), {0.0})

    def test_requests_without_a_deadline_are_new(self) -> None:
        """Guards against an estimate from deadlines that callers did not give."""
        waited = [
            self.waits.record_deadline("r", d) for _ in range(50) for d in (float("inf"), 3_000.0)
        ]
        self.assertEqual(set(waited), {0.0})

    def test_the_first_requests_of_a_route_are_new(self) -> None:
        """Guards against a guess from a handful of requests."""
        waited = [self.waits.record_deadline("r", d) for d in (3_000.0, 3_000.0, 1_000.0)]
        self.assertEqual(waited, [0.0] * 3)

    def test_a_changed_deadline_becomes_the_usual_one(self) -> None:
        """Guards against callers that are taken for late after their deadline was shortened."""
        for _ in range(100):
            self.new()
        waited = [self.waits.record_deadline("r", 2_000.0) for _ in range(100)]
        self.assertEqual(set(waited[30:]), {0.0})
