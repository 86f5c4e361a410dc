"""Tests of the guard against upstreams that break their connections."""

from __future__ import annotations

import random
import unittest

from knapweedhitch.breakguard import BreakGuard
from knapweedhitch.model import CallResult

HOLD_MS = 500.0
SERVICE_MS = 20.0


def broken(started_ms: float, now_ms: float, *, was_reused: bool = False) -> CallResult:
    return CallResult(False, now_ms - started_ms, broken=True, was_reused=was_reused)


def lost_calls(until_ms: float, idempotent_share: float, seed: int) -> tuple[int, int]:
    """Return how many unsafe and all calls an upstream breaks that breaks each one for a time."""
    rng = random.Random(seed)
    guard = BreakGuard(HOLD_MS)
    now_ms, unsafe, lost = 0.0, 0, 0
    while now_ms < until_ms:
        now_ms += rng.expovariate(1 / 30.0)
        may_repeat = rng.random() < idempotent_share
        if guard.wait_ms(now_ms, may_repeat=may_repeat) > 0:
            continue
        guard.record_start()
        now_ms += SERVICE_MS
        guard.record_end(broken(now_ms - SERVICE_MS, now_ms), now_ms)
        lost += 1
        unsafe += not may_repeat
    return unsafe, lost


class BreakGuardTest(unittest.TestCase):
    def test_upstream_that_breaks_each_call_gets_few(self) -> None:
        """Guards against an upstream with good health checks that breaks a call of each node after
        the other: of some 160 calls in 8 s one in twenty is enough to know.
        """
        for seed in (1, 2, 3):
            unsafe, lost = lost_calls(8_000.0, 0.7, seed)
            self.assertLessEqual(lost, 8)
            self.assertLessEqual(unsafe, 2)

    def test_calls_return_after_a_success(self) -> None:
        """Guards against an upstream that stays out of use after it has recovered."""
        guard = BreakGuard(HOLD_MS)
        for now_ms in (5.0, 10.0, 20.0):
            guard.record_start()
            guard.record_end(broken(now_ms, now_ms), now_ms)
        self.assertEqual(guard.wait_ms(20.0, may_repeat=True), HOLD_MS)
        self.assertEqual(guard.wait_ms(520.0, may_repeat=True), 0.0)
        guard.record_start()
        # One call at a time is tried.
        self.assertGreater(guard.wait_ms(530.0, may_repeat=True), 0.0)
        guard.record_end(CallResult(True, 20.0, 200), 540.0)
        for may_repeat in (True, False):
            self.assertEqual(guard.wait_ms(540.0, may_repeat=may_repeat), 0.0)

    def test_one_break_holds_only_calls_that_must_not_run_twice(self) -> None:
        """Guards against an upstream that gets no calls for one answer that was lost."""
        guard = BreakGuard(HOLD_MS)
        guard.record_start()
        guard.record_end(broken(0.0, 10.0), 10.0)
        self.assertEqual(guard.wait_ms(10.0, may_repeat=True), 0.0)
        self.assertGreater(guard.wait_ms(10.0, may_repeat=False), 0.0)
        self.assertEqual(guard.wait_ms(510.0, may_repeat=False), 0.0)

    def test_calls_sent_before_the_hold_do_not_extend_it(self) -> None:
        """Guards against a long hold for one event that breaks many calls at once."""
        guard = BreakGuard(HOLD_MS)
        for _ in range(10):
            guard.record_start()
        for _ in range(10):
            guard.record_end(broken(0.0, 10.0), 10.0)
        self.assertEqual(guard.wait_ms(10.0, may_repeat=True), HOLD_MS)

    def test_idle_connections_that_were_forgotten_count_once(self) -> None:
        """Guards against a hold of a sound upstream that has only closed its idle connections."""
        guard = BreakGuard(HOLD_MS)
        for _ in range(5):
            guard.record_start()
            guard.record_end(broken(0.0, 10.0, was_reused=True), 10.0)
        self.assertFalse(guard.is_holding)

    def test_other_failures_hold_nothing(self) -> None:
        """Guards against holding calls for timeouts and error responses, which have other rules."""
        guard = BreakGuard(HOLD_MS)
        for _ in range(5):
            guard.record_start()
            guard.record_end(CallResult(False, 10.0, 500), 10.0)
        self.assertEqual(guard.wait_ms(10.0, may_repeat=False), 0.0)


if __name__ == "__main__":
    unittest.main()
