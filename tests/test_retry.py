"""Tests of retry and hedge decisions."""

from __future__ import annotations

import trio

from knapweedhitch.exceptions import Outcome
from knapweedhitch.retry import RetryPolicy
from tests.decision_fakes import TrioTestCase, kernel


class RetryTest(TrioTestCase):
    async def test_only_safe_retries_are_allowed(self) -> None:
        """Guards against repeating a call that is not idempotent and may have run."""
        policy = RetryPolicy(kernel())
        for _ in range(100):
            policy.record_call()
        cases = [
            (False, Outcome.UNKNOWN, 1_000.0, 2, False),
            (False, Outcome.NOT_RUN, 1_000.0, 2, True),
            (True, Outcome.UNKNOWN, 1_000.0, 2, True),
            (True, Outcome.UNKNOWN, 1_000.0, 0, False),
            (True, Outcome.UNKNOWN, 5.0, 2, False),
        ]
        for idempotent, outcome, remaining, left, allowed in cases:
            with self.subTest(idempotent=idempotent, outcome=outcome, remaining=remaining):
                result = policy.may_retry("x", idempotent, outcome, remaining, left)
                self.assertEqual(result, allowed)

    async def test_retries_stay_within_their_budget(self) -> None:
        """Guards against retry storms: at most 10% of calls plus 3/s, even in an outage."""
        node_kernel = kernel()
        policy = RetryPolicy(node_kernel)
        allowed = 0
        for _ in range(1_000):
            policy.record_call()
            allowed += policy.may_retry("x", True, Outcome.UNKNOWN, 1_000.0, 2)
            await trio.sleep(0.01)
        self.assertLessEqual(allowed, 1_000 * 0.1 + 10 * 3 + 3)
        self.assertGreaterEqual(allowed, 100)
        counters = node_kernel.get("counters")
        self.assertEqual(counters.get("retries", "x"), allowed)
        self.assertEqual(counters.get("retries_refused", "budget"), 1_000 - allowed)

    async def test_hedges_stay_within_their_budget(self) -> None:
        """Guards against hedges that double the load of a slow service."""
        policy = RetryPolicy(kernel())
        hedges = 0
        for _ in range(1_000):
            policy.record_call()
            hedges += policy.may_hedge()
        self.assertLessEqual(hedges, 50)
