"""Tests of what a node knows of its upstream after a restart, and of a new start of it."""

from __future__ import annotations

import functools
import math
import unittest
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import trio
from msgspec import structs
from trio.testing import MockClock

from knapweedhitch.announce import Announce
from knapweedhitch.counters import Counters
from knapweedhitch.deadline import Deadline
from knapweedhitch.exceptions import Refusal
from knapweedhitch.exchange import CallSpec
from knapweedhitch.items import Items
from knapweedhitch.kernel import Kernel
from knapweedhitch.model import UNKNOWN_INCARNATION, Address, CallResult, UpstreamRecord
from knapweedhitch.queueadmission import QueueAdmission
from knapweedhitch.settings import (
    ControlMember,
    ControlSettings,
    HeaderSettings,
    Listener,
    ListenSettings,
    NodeSettings,
    SecretSettings,
    Settings,
    UpstreamSettings,
)
from knapweedhitch.timers import Timers
from knapweedhitch.upstreamload import UpstreamReport
from tests.test_items import backend

BORN_MS = 1_000
RECORD = UpstreamRecord("s1", Address("10.0.0.1", 80), 6, 100, "i1", BORN_MS)
PROBED = structs.replace(RECORD, incarnation=UNKNOWN_INCARNATION)
SERVICE_MS = 160.0
PROBE_MS = 2.0
PROBE_TIMEOUT_MS = 200
# Of the platform's rule on limits, in a window that begins after a limit was first named.
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5


class Upstream:
    """Represent an upstream that outlives the node beside it."""

    def __init__(self) -> None:
        self.limit_per_s: float | None = None
        self.leaving = False
        self.probe_ms = PROBE_MS
        self.starts_s: list[float] = []
        self.refusals: list[Refusal] = []

    def report(self, requested_ms: float) -> UpstreamReport:
        return UpstreamReport("i1", requested_ms, None, self.limit_per_s, self.leaving)


class Node:
    """Run the announcement and the admission of one process beside the upstream."""

    def __init__(
        self, upstream: Upstream, nursery: trio.Nursery, probe_interval_ms: int = 80
    ) -> None:
        self._upstream = upstream
        cfg = Settings(
            node=NodeSettings(id="n1", domain="d1"),
            secrets=SecretSettings("", ""),
            control=ControlSettings(members=(ControlMember("c1", "127.0.0.1", 1),)),
            headers=HeaderSettings(limit="x-limit", cold="x-cold", load="x-load"),
            listen=ListenSettings(announce=Listener(enabled=False)),
            upstream=UpstreamSettings(
                probe_interval_ms=probe_interval_ms, probe_timeout_ms=PROBE_TIMEOUT_MS
            ),
        )
        self.kernel = kernel = Kernel(cfg)
        kernel._nursery = nursery
        self.counters = Counters()
        self.timers = Timers(kernel)
        self._subscribers: list[Callable[[UpstreamReport], None]] = []
        items = Items(backends={"s1": backend()})
        for name, instance in (
            ("counters", self.counters),
            ("timers", self.timers),
            ("pool", SimpleNamespace(subscribe_reports=self._subscribers.append)),
            (
                "config",
                SimpleNamespace(current=SimpleNamespace(items=items), subscribe=lambda fn: None),
            ),
            ("membership", SimpleNamespace(announce_local=lambda record: None)),
            (
                "loadprobe",
                SimpleNamespace(request_probe=self.probe, refresh=trio.lowlevel.checkpoint),
            ),
        ):
            kernel.add(name, instance)
        self.admission = QueueAdmission(kernel)
        kernel.add("admission", self.admission)
        self.announce = Announce(kernel)

    async def start(self) -> None:
        await self.timers.start()
        await self.admission.start()
        await self.announce.start()

    def find_upstream(self) -> None:
        """Let the upstream come into use by a health check."""
        self.announce.accept_probe_result(PROBED)
        self._answer(PROBED, now_ms() - PROBE_MS)

    def respond(self, requested_ms: float) -> None:
        """Pass on the response of the upstream to a request sent at some time."""
        for fn in self._subscribers:
            fn(self._upstream.report(requested_ms))

    def probe(self) -> None:
        """Send a health check, which the upstream answers unless it fails."""
        record, requested_ms = self.announce.current, now_ms()
        if record is not None and self._upstream.probe_ms < math.inf:
            self.timers.after(self._upstream.probe_ms, lambda: self._answer(record, requested_ms))

    def _answer(self, record: UpstreamRecord, requested_ms: float) -> None:
        limit = self._upstream.limit_per_s
        headers = {} if limit is None else {b"x-limit": b"%g" % limit}
        self.admission.record_probe(record, headers, requested_ms)

    async def call(self) -> None:
        """Run one call, which may wait for its turn."""
        deadline = Deadline.after_ms(3_000.0)
        spec = CallSpec(
            "r", "s1", "i1", "GET", b"/", (), False, deadline, 0, 0, 1, target_latency_ms=2_500.0
        )
        try:
            slot = await self.admission.admit(deadline, spec)
        except Refusal as exc:
            self._upstream.refusals.append(exc)
            return
        requested_ms = now_ms()
        self._upstream.starts_s.append(trio.current_time())
        await trio.sleep(SERVICE_MS / 1_000)
        self.respond(requested_ms)
        self.admission.release(slot, CallResult(ok=True, service_ms=SERVICE_MS))


World = tuple[Upstream, trio.Nursery]


def now_ms() -> float:
    """Return the time on the clock of the event loop."""
    return trio.current_time() * 1_000


def with_upstream(fn: Callable[..., Awaitable[None]]) -> Callable[[Any], None]:
    """Run a test on a mock clock with an upstream and a nursery for its nodes."""

    @functools.wraps(fn)
    def run(self: Any) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                await fn(self, Upstream(), nursery)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))

    return run


async def start_node(upstream: Upstream, nursery: trio.Nursery) -> Node:
    """Start a process beside the upstream, which knows nothing of it."""
    node = Node(upstream, nursery)
    await node.start()
    return node


class RestartedNodeTest(unittest.TestCase):
    @with_upstream
    async def test_limit_holds_while_the_node_is_killed_three_times(
        self, upstream: Upstream, nursery: trio.Nursery
    ) -> None:
        """Guards against a restarted node that starts calls before it knows the limit of its
        upstream: 12 requests in 4 s where the limit allowed 11.
        """
        upstream.limit_per_s = 1.0
        for first in (RECORD, PROBED):
            with self.subTest(first.incarnation):
                upstream.starts_s.clear()
                await self.run_processes(upstream, first, count=4, for_s=WINDOW_S / 4)
                allowed = LIMIT_FACTOR * upstream.limit_per_s * WINDOW_S + LIMIT_SLACK
                self.assertLessEqual(len(upstream.starts_s), allowed)

    async def run_processes(
        self, upstream: Upstream, first: UpstreamRecord, count: int, for_s: float
    ) -> None:
        """Run processes of one node, each of which is killed after a time with many calls."""
        for _ in range(count):
            async with trio.open_nursery() as process:
                node = await start_node(upstream, process)
                if first is PROBED:
                    node.find_upstream()
                else:
                    node.announce.record_heartbeat(first, 1, 0.0)
                for _ in range(10):
                    process.start_soon(node.call)
                await trio.sleep(for_s / 10)
                node.announce.record_heartbeat(RECORD, 2, 0.0)
                await trio.sleep(for_s * 9 / 10)
                process.cancel_scope.cancel()

    @with_upstream
    async def test_number_of_restarts_does_not_raise_the_limit(
        self, upstream: Upstream, nursery: trio.Nursery
    ) -> None:
        """Guards against a start beyond the limit in each process of a node that restarts often."""
        for limit_per_s in (0.0, 1.0, 4.4):
            with self.subTest(limit_per_s):
                upstream.limit_per_s = limit_per_s
                upstream.starts_s.clear()
                await self.run_processes(upstream, RECORD, count=16, for_s=WINDOW_S / 16)
                self.assertLessEqual(len(upstream.starts_s), limit_per_s * WINDOW_S + 1)

    @with_upstream
    async def test_start_of_a_node_keeps_the_limit(
        self, upstream: Upstream, nursery: trio.Nursery
    ) -> None:
        """Guards against a burst of calls between a heartbeat and the first health response."""
        upstream.limit_per_s = 1.0
        node = await start_node(upstream, nursery)
        node.announce.record_heartbeat(RECORD, 1, 0.0)
        for _ in range(10):
            nursery.start_soon(node.call)
        await trio.sleep(0.5)
        self.assertLessEqual(len(upstream.starts_s), 1)
        self.assertEqual(node.counters.get("starts_before_report"), 0)

    @with_upstream
    async def test_start_of_a_node_costs_one_response(
        self, upstream: Upstream, nursery: trio.Nursery
    ) -> None:
        """Guards against an upstream that is out of use for long after each restart of its node."""
        node = await start_node(upstream, nursery)
        node.announce.record_heartbeat(RECORD, 1, 0.0)
        began_s = trio.current_time()
        for _ in range(RECORD.slots):
            nursery.start_soon(node.call)
        await trio.sleep(0.1)
        waits_ms = [(at_s - began_s) * 1_000 for at_s in upstream.starts_s]
        self.assertEqual(len(waits_ms), RECORD.slots)
        self.assertLessEqual(max(waits_ms), PROBE_MS + 1.0)
        self.assertEqual(upstream.refusals, [])

    @with_upstream
    async def test_upstream_without_health_responses_gets_one_call_first(
        self, upstream: Upstream, nursery: trio.Nursery
    ) -> None:
        """Guards against calls above a limit that only responses to calls tell, and against an
        upstream that is never used because its health check does not respond.
        """
        upstream.probe_ms, upstream.limit_per_s = math.inf, 1.0
        node = await start_node(upstream, nursery)
        node.announce.record_heartbeat(RECORD, 1, 0.0)
        began_s = trio.current_time()
        for _ in range(10):
            nursery.start_soon(node.call)
        await trio.sleep(1.0)
        self.assertLessEqual(len(upstream.starts_s), 2)
        self.assertLessEqual((upstream.starts_s[0] - began_s) * 1_000, PROBE_TIMEOUT_MS + 1.0)

    @with_upstream
    async def test_response_sent_for_before_the_first_heartbeat_counts(
        self, upstream: Upstream, nursery: trio.Nursery
    ) -> None:
        """Guards against a limit that is lost because the first heartbeat arrives between a health
        check and its response.
        """
        node = await start_node(upstream, nursery)
        node.find_upstream()
        await trio.sleep(1.0)
        upstream.limit_per_s = 1.0
        node.probe()
        await trio.sleep(PROBE_MS / 2 / 1_000)
        node.announce.record_heartbeat(RECORD, 1, 0.0)
        await trio.sleep(PROBE_MS / 1_000)
        for _ in range(10):
            nursery.start_soon(node.call)
        await trio.sleep(0.5)
        self.assertEqual(len(upstream.starts_s), 1)


class NewStartTest(unittest.TestCase):
    @with_upstream
    async def test_queued_calls_keep_the_cold_rate_of_a_new_start(
        self, upstream: Upstream, nursery: trio.Nursery
    ) -> None:
        """Guards against queued calls that start at once on an upstream whose first heartbeat says
        that it is cold, because the heartbeat lifts the limit of the start before it.
        """
        node = await start_node(upstream, nursery)
        item = structs.replace(backend(), cold_calls_per_s=1.0)
        node.kernel.get("config").current.items = Items(backends={"s1": item})
        upstream.limit_per_s = 2.0
        node.announce.record_heartbeat(RECORD, 1, 0.0)
        await trio.sleep(0.1)
        for _ in range(6):
            nursery.start_soon(node.call)
        await trio.sleep(0.2)
        self.assertGreater(node.admission.load().queued, 0)
        upstream.limit_per_s = None
        upstream.starts_s.clear()
        born_later = structs.replace(RECORD, incarnation=BORN_MS + 1)
        node.announce.record_heartbeat(born_later, 1, 5_000.0)
        await trio.sleep(0.9)
        self.assertLessEqual(len(upstream.starts_s), 1)

    @with_upstream
    async def test_new_start_that_takes_nothing_while_cold_gets_no_queued_call(
        self, upstream: Upstream, nursery: trio.Nursery
    ) -> None:
        """Guards against a call that starts between two parts of one heartbeat, at an upstream that
        is not probed.
        """
        node = Node(upstream, nursery, probe_interval_ms=0)
        await node.start()
        item = structs.replace(backend(), cold_calls_per_s=0.0)
        node.kernel.get("config").current.items = Items(backends={"s1": item})
        upstream.limit_per_s = 2.0
        node.announce.record_heartbeat(RECORD, 1, 0.0)
        node.respond(now_ms())
        for _ in range(3):
            nursery.start_soon(node.call)
        await trio.sleep(0.01)
        self.assertEqual((node.admission.in_flight, node.admission.load().queued), (0, 3))
        born_later = structs.replace(RECORD, incarnation=BORN_MS + 1)
        node.announce.record_heartbeat(born_later, 1, 5_000.0)
        await trio.sleep(0.5)
        self.assertEqual(upstream.starts_s, [])

    @with_upstream
    async def test_queued_calls_wait_for_the_response_of_a_new_start(
        self, upstream: Upstream, nursery: trio.Nursery
    ) -> None:
        """Guards against queued calls that start before a new start has named its limit."""
        node = await start_node(upstream, nursery)
        upstream.limit_per_s = 1.0
        node.announce.record_heartbeat(RECORD, 1, 0.0)
        await trio.sleep(0.1)
        for _ in range(6):
            nursery.start_soon(node.call)
        await trio.sleep(0.3)  # No call runs, and the next ones wait for their turn.
        self.assertGreater(node.admission.load().queued, 0)
        upstream.starts_s.clear()
        born_later = structs.replace(RECORD, incarnation=BORN_MS + 1)
        node.announce.record_heartbeat(born_later, 1, 0.0)
        await trio.sleep(PROBE_MS / 2 / 1_000)
        self.assertEqual(upstream.starts_s, [])

    @with_upstream
    async def test_queued_calls_follow_a_limit_that_is_raised(
        self, upstream: Upstream, nursery: trio.Nursery
    ) -> None:
        """Guards against queued calls that wait for the turn that the lower limit gave them."""
        node = await start_node(upstream, nursery)
        upstream.limit_per_s = 1.0
        node.announce.record_heartbeat(RECORD, 1, 0.0)
        await trio.sleep(0.1)
        for _ in range(6):
            nursery.start_soon(node.call)
        await trio.sleep(0.3)  # No call runs, and the next ones wait for their turn.
        self.assertGreaterEqual(node.admission.load().queued, 2)
        upstream.starts_s.clear()
        upstream.limit_per_s = 50.0
        node.probe()
        await trio.sleep(0.1)
        self.assertGreaterEqual(len(upstream.starts_s), 2)

    @with_upstream
    async def test_limit_of_a_probed_upstream_ends_with_its_start(
        self, upstream: Upstream, nursery: trio.Nursery
    ) -> None:
        """Guards against a new start that keeps the limit which a health check of the one before it
        told without naming its incarnation.
        """
        node = await start_node(upstream, nursery)
        upstream.limit_per_s = 1.0
        node.find_upstream()
        await trio.sleep(0.1)
        upstream.limit_per_s = None
        before_ms = now_ms()
        born_later = structs.replace(RECORD, incarnation=node.timers.wall_ms() + 1_000)
        node.announce.record_heartbeat(born_later, 1, 0.0)
        # A late response of the start before tells nothing of this one.
        upstream.limit_per_s, upstream.leaving = 1.0, True
        await trio.sleep(0.001)
        node.respond(before_ms - 1.0)
        upstream.limit_per_s, upstream.leaving = None, False
        for _ in range(RECORD.slots):
            nursery.start_soon(node.call)
        await trio.sleep(0.1)
        self.assertEqual(node.announce.current, born_later)
        self.assertEqual(len(upstream.starts_s), RECORD.slots)

    @with_upstream
    async def test_new_start_is_asked_also_if_the_one_before_has_just_responded(
        self, upstream: Upstream, nursery: trio.Nursery
    ) -> None:
        """Guards against a new start that is not probed, because the last load report is young."""
        node = await start_node(upstream, nursery)
        node.announce.record_heartbeat(RECORD, 1, 0.0)
        await trio.sleep(0.1)
        node.admission.record_probe(RECORD, {b"x-load": b"0,0,6"}, now_ms())
        self.assertEqual(node.admission.load_age_ms, 0.0)
        born_later = structs.replace(RECORD, incarnation=BORN_MS + 1)
        node.announce.record_heartbeat(born_later, 1, 0.0)
        self.assertEqual(node.admission.load_age_ms, math.inf)

    @with_upstream
    async def test_response_that_says_leaving_starts_no_queued_call(
        self, upstream: Upstream, nursery: trio.Nursery
    ) -> None:
        """Guards against queued calls that start because the response which says that the upstream
        leaves also lifts its limit.
        """
        node = await start_node(upstream, nursery)
        upstream.limit_per_s = 2.0
        node.announce.record_heartbeat(RECORD, 1, 0.0)
        await trio.sleep(0.1)
        for _ in range(6):
            nursery.start_soon(node.call)
        await trio.sleep(0.01)
        self.assertGreater(node.admission.load().queued, 0)
        started = len(upstream.starts_s)
        upstream.limit_per_s, upstream.leaving = None, True
        node.respond(now_ms())
        await trio.sleep(0.01)
        self.assertEqual(len(upstream.starts_s), started)
