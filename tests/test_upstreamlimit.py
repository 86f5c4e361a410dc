"""Tests of an upstream that names the rate of requests that it takes from all nodes together."""

from __future__ import annotations

import functools
import random
import unittest
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import trio
from msgspec import structs
from trio.testing import MockClock

from knapweedhitch.counters import Counters
from knapweedhitch.deadline import Deadline
from knapweedhitch.exceptions import Outcome, Refusal, UpstreamSlow
from knapweedhitch.exchange import CallSpec
from knapweedhitch.framing import header_names
from knapweedhitch.items import Items
from knapweedhitch.kernel import Kernel
from knapweedhitch.model import UNKNOWN_INCARNATION, Address, CallResult, UpstreamRecord
from knapweedhitch.pacing import TOLERANCE_MS
from knapweedhitch.queueadmission import QueueAdmission
from knapweedhitch.settings import (
    ControlMember,
    ControlSettings,
    HeaderSettings,
    NodeSettings,
    SecretSettings,
    Settings,
)
from knapweedhitch.timers import Timers
from knapweedhitch.upstreamload import UpstreamReport, parse_report
from tests.test_items import backend

RECORD = UpstreamRecord("s1", Address("10.0.0.1", 80), 6, 100, "i1", 1)
HEADERS = HeaderSettings(limit="x-limit", leaving="x-leaving")
NAMES = header_names(HEADERS)
SERVICE_MS = 160.0
# The stated bound: in any window, so many times the limit and so many requests beyond it, from
# CONTACT_S after the limit was first named.
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
CONTACT_S = 3.0


class LimitedUpstream:
    """Run calls of many entry nodes through the admission of one upstream."""

    def __init__(self, kernel: Kernel) -> None:
        self.admission = QueueAdmission(kernel)
        self.counters: Counters = kernel.get("counters")
        self.limit_per_s: float | None = None
        self.instance_id = RECORD.instance_id
        self.starts_s: list[float] = []
        self.refusals: list[Refusal] = []
        self.pass_report: Callable[[UpstreamReport], None] = lambda report: None
        self._rng = random.Random(22)

    async def call(self, objective_ms: float = 500.0, **fields: Any) -> None:
        """Run one call and report the limit in its response."""
        deadline = Deadline.after_ms(3_000.0)
        spec = CallSpec(
            "r", "s1", "i1", "GET", b"/", (), False, deadline, 0, 0, 1,
            target_latency_ms=objective_ms, **fields,
        )  # fmt: skip
        try:
            slot = await self.admission.admit(deadline, spec)
        except Refusal as exc:
            self.refusals.append(exc)
            return
        started_s = trio.current_time()
        self.starts_s.append(started_s)
        await trio.sleep(SERVICE_MS / 1_000)
        self.respond(started_s)
        self.admission.release(slot, CallResult(ok=True, service_ms=SERVICE_MS))

    def respond(self, requested_s: float) -> None:
        """Report what the upstream says in a response to a request."""
        report = UpstreamReport(self.instance_id, requested_s * 1_000, None, self.limit_per_s)
        self.pass_report(report)

    async def run_traffic(self, per_s: float, for_s: float) -> None:
        """Start calls at random times with a mean rate."""
        end_s = trio.current_time() + for_s
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end_s:
                nursery.start_soon(self.call)
                await trio.sleep(self._rng.expovariate(per_s))

    def most_in_window(self, from_s: float) -> int:
        """Return the most starts in a window that begins at or after a point in time."""
        starts_s = [at_s for at_s in self.starts_s if at_s >= from_s]
        return max(
            (sum(1 for other in starts_s if 0 <= other - at_s < WINDOW_S) for at_s in starts_s),
            default=0,
        )


def with_upstream(fn: Callable[[Any, LimitedUpstream], Awaitable[None]]) -> Callable[[Any], None]:
    """Run a test on a mock clock with the admission of one upstream."""

    @functools.wraps(fn)
    def run(self: Any) -> None:
        async def main() -> None:
            kernel = Kernel(
                Settings(
                    node=NodeSettings(id="n1", domain="d1"),
                    secrets=SecretSettings("", ""),
                    control=ControlSettings(members=(ControlMember("c1", "127.0.0.1", 1),)),
                    headers=HEADERS,
                )
            )
            kernel.add("counters", Counters())
            timers = Timers(kernel)
            kernel.add("timers", timers)
            pool = SimpleNamespace()
            pool.subscribe_reports = lambda callback: setattr(pool, "pass_report", callback)
            kernel.add("pool", pool)
            items = Items(backends={"s1": backend()})
            kernel.add("config", SimpleNamespace(current=SimpleNamespace(items=items)))
            upstream = LimitedUpstream(kernel)
            async with trio.open_nursery() as nursery:
                kernel._nursery = nursery
                await timers.start()
                await upstream.admission.start()
                upstream.pass_report = pool.pass_report
                upstream.admission.set_upstream(RECORD)
                # It has responded, and calls before it was announced no longer count.
                upstream.respond(trio.current_time())
                await trio.sleep(CONTACT_S)
                await fn(self, upstream)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))

    return run


class LimitTest(unittest.TestCase):
    @with_upstream
    async def test_upstream_gets_no_more_than_the_limit_it_named(self, u: LimitedUpstream) -> None:
        """Guards against an upstream in need that gets far more requests than it says it takes."""
        for limit_per_s in (4.4, 0.4, 12.0):
            await u.run_traffic(per_s=25.0, for_s=2.0)
            u.limit_per_s, named_s = limit_per_s, trio.current_time()
            await u.run_traffic(per_s=25.0, for_s=20.0)
            with self.subTest(limit_per_s):
                allowed = LIMIT_FACTOR * limit_per_s * WINDOW_S + LIMIT_SLACK
                self.assertLessEqual(u.most_in_window(named_s + CONTACT_S), allowed)

    @with_upstream
    async def test_whole_limit_is_used(self, u: LimitedUpstream) -> None:
        """Guards against refusals while the upstream still takes requests."""
        u.limit_per_s = 8.0
        u.respond(trio.current_time())
        await u.run_traffic(per_s=25.0, for_s=10.0)
        self.assertGreaterEqual(len(u.starts_s), 0.9 * 8.0 * 10.0)
        self.assertLessEqual(len(u.starts_s), 8.0 * 10.0 + 8.0)

    @with_upstream
    async def test_calls_above_the_limit_are_refused_at_once(self, u: LimitedUpstream) -> None:
        """Guards against callers that wait for a start that comes after their deadline, and against
        a Retry-After that brings them back before it.
        """
        u.limit_per_s = 0.5
        u.respond(trio.current_time())
        await u.call()
        refused_s = trio.current_time()
        await u.call()
        self.assertEqual(trio.current_time(), refused_s)
        self.assertEqual([refusal.outcome for refusal in u.refusals], [Outcome.NOT_RUN])
        early_ms = SERVICE_MS + TOLERANCE_MS
        self.assertAlmostEqual(u.refusals[0].retry_after_ms, 2_000.0 - early_ms, delta=10.0)

    @with_upstream
    async def test_limit_ends_when_a_later_response_names_none(self, u: LimitedUpstream) -> None:
        """Guards against a limit that outlives the need of the upstream, and against one that is
        lifted by a response older than the one that named it.
        """
        asked_before_s = trio.current_time()
        await trio.sleep(0.1)
        u.limit_per_s = 1.0
        u.respond(trio.current_time())
        u.limit_per_s = None
        u.respond(asked_before_s)
        u.limit_per_s = 1.0
        await u.run_traffic(per_s=25.0, for_s=1.0)
        self.assertLessEqual(len(u.starts_s), 2)
        u.limit_per_s = None
        u.respond(trio.current_time())
        await u.run_traffic(per_s=25.0, for_s=1.0)
        self.assertGreater(len(u.starts_s), 15)
        self.assertEqual(u.counters.get("starts_over_limit"), 0)

    @with_upstream
    async def test_late_response_does_not_raise_the_limit(self, u: LimitedUpstream) -> None:
        """Guards against an upstream in need that gets calls at a limit which it has lowered since,
        because a response with the earlier one arrives late.
        """
        asked_before_s = trio.current_time()
        await trio.sleep(0.1)
        for limit_per_s, requested_s in ((1.0, trio.current_time()), (50.0, asked_before_s)):
            u.limit_per_s = limit_per_s
            u.respond(requested_s)
        u.limit_per_s = 1.0
        await u.run_traffic(per_s=25.0, for_s=1.0)
        self.assertLessEqual(len(u.starts_s), 2)
        # A response to a later request raises it, however many responses named the lower limit.
        u.limit_per_s = 50.0
        u.respond(trio.current_time())
        await u.run_traffic(per_s=25.0, for_s=1.0)
        self.assertGreater(len(u.starts_s), 15)

    @with_upstream
    async def test_new_incarnation_has_no_limit(self, u: LimitedUpstream) -> None:
        """Guards against a restarted upstream that keeps the limit of the one before it, also if a
        response of that one arrives late.
        """
        u.limit_per_s = 1.0
        before_s = trio.current_time()
        u.respond(before_s)
        await trio.sleep(0.1)
        u.admission.set_upstream(structs.replace(RECORD, incarnation=2))
        u.respond(before_s)
        u.limit_per_s = None
        await u.run_traffic(per_s=25.0, for_s=1.0)
        self.assertGreater(len(u.starts_s), 15)

    @with_upstream
    async def test_limit_outlasts_the_first_heartbeat(self, u: LimitedUpstream) -> None:
        """Guards against a restarted node that drops the limit which a probe told it, when a
        heartbeat names the incarnation of the same upstream, and starts all queued calls at once.
        """
        u.admission.set_upstream(None)
        u.admission.set_upstream(structs.replace(RECORD, incarnation=UNKNOWN_INCARNATION))
        u.limit_per_s = 1.0
        u.respond(trio.current_time())
        await u.call()
        u.admission.set_upstream(RECORD)
        await u.run_traffic(per_s=25.0, for_s=1.0)
        self.assertLessEqual(len(u.starts_s), 2)

    @with_upstream
    async def test_limit_of_zero_still_gets_a_trial(self, u: LimitedUpstream) -> None:
        """Guards against an upstream that is never used again after it has named a limit of 0."""
        u.limit_per_s = 0.0
        u.respond(trio.current_time())
        await u.run_traffic(per_s=5.0, for_s=30.0)
        self.assertIn(len(u.starts_s), (2, 3, 4))

    @with_upstream
    async def test_malformed_limit_changes_nothing(self, u: LimitedUpstream) -> None:
        """Guards against a limit that is lifted by a value that cannot be read."""
        u.limit_per_s = 1.0
        u.respond(trio.current_time())
        for value in (b"", b"x", b"-1", b"nan", b"inf", b"1e9", b"1,5"):
            headers = [(b"x-limit", value)]
            now_ms = trio.current_time() * 1_000
            u.pass_report(parse_report(headers, NAMES, RECORD.instance_id, now_ms))
        await u.run_traffic(per_s=25.0, for_s=1.0)
        self.assertLessEqual(len(u.starts_s), 2)
        self.assertEqual(u.counters.get("reports_unreadable", "limit"), 7)

    @with_upstream
    async def test_call_declined_for_its_wait_goes_elsewhere(self, u: LimitedUpstream) -> None:
        """Guards against calls that wait at a limited upstream while another one is free."""
        u.limit_per_s = 2.0
        u.respond(trio.current_time())
        await u.call()
        await u.call()
        await u.call(decline_above=2.0, objective_ms=3_000.0)
        self.assertIsInstance(u.refusals[0], UpstreamSlow)
        await u.call(objective_ms=3_000.0)
        self.assertEqual((len(u.starts_s), len(u.refusals)), (3, 1))
