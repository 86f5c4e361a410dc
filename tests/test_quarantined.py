"""Tests of the answers that callers of quarantined requests get."""

from __future__ import annotations

import unittest

import knapweedhitch.suspectsharing  # noqa: F401  (the messages of the guard)
from knapweedhitch.crashguard import GuardKey
from knapweedhitch.exceptions import Outcome, RequestQuarantined, UpstreamFailed
from tests.test_relay import Handler, World, fail_with, run_on_mock_clock


class FakeGuard:
    """Quarantine requests after some checks."""

    def __init__(self, checks_before_verdict: int) -> None:
        self.checks_left = checks_before_verdict
        self.keys: list[GuardKey] = []

    def refusal_of(self, key: GuardKey) -> RequestQuarantined | None:
        self.keys.append(key)
        self.checks_left -= 1
        if self.checks_left >= 0:
            return None
        refusal = RequestQuarantined()
        refusal.retry_after_ms = 42_000.0
        return refusal


async def start_guarded(handlers: list[Handler], checks_before_verdict: int) -> World:
    """Return a started world whose guard quarantines after some checks."""
    world = World(handlers)
    world.guard = FakeGuard(checks_before_verdict)  # type: ignore[attr-defined]
    world.relay._kernel.add("crashguard", world.guard)  # type: ignore[attr-defined]
    await world.relay.start()
    return world


class QuarantinedTest(unittest.TestCase):
    @run_on_mock_clock
    async def test_a_quarantined_request_reaches_no_target(self) -> None:
        """Guards against a quarantined request that is sent, or an answer that invites a retry."""
        world = await start_guarded([], 0)
        data = await world.request("/safe/x?y=1")
        self.assertTrue(data.startswith(b"HTTP/1.1 503"))
        self.assertIn(b"retry-after: 42.00", data)
        self.assertIn(b'"reason": "request-quarantined", "outcome": "not-run"', data)
        self.assertEqual(world.specs, [])
        expected = GuardKey("s1", "safe", "GET", b"/safe/x?y=1", False)
        self.assertEqual([expected], world.guard.keys)  # type: ignore[attr-defined]

    @run_on_mock_clock
    async def test_a_verdict_ends_the_attempts_of_a_request_that_has_run(self) -> None:
        """Guards against a further attempt after the verdict, and a not-run that is not true."""
        world = await start_guarded([fail_with(UpstreamFailed(Outcome.UNKNOWN))], 1)
        data = await world.request("/safe/x")
        self.assertTrue(data.startswith(b"HTTP/1.1 502"))
        self.assertIn(b'"outcome": "unknown"', data)
        self.assertEqual(len(world.specs), 1)

    @run_on_mock_clock
    async def test_the_refusal_of_a_target_is_final(self) -> None:
        """Guards against a request that asks one target after another although one refused it."""
        world = await start_guarded([fail_with(RequestQuarantined())], 9)
        data = await world.request("/safe/x")
        self.assertTrue(data.startswith(b"HTTP/1.1 503"))
        self.assertIn(b"retry-after: 60.00", data)
        self.assertEqual(len(world.specs), 1)
