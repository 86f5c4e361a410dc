"""Tests of admission by priority: immediate refusals, queueing and the end of a wait."""

from __future__ import annotations

import functools
import itertools
import math
import unittest
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import trio
from msgspec import structs
from trio.testing import MockClock

from knapweedhitch.clock import now_ms
from knapweedhitch.coldtime import MAX_COLD_MS
from knapweedhitch.counters import Counters
from knapweedhitch.deadline import Deadline
from knapweedhitch.exceptions import (
    DeadlineExceeded,
    DomainOut,
    NodeDraining,
    NoRoom,
    NoTarget,
    Outcome,
    Refusal,
    UpstreamBreaks,
    UpstreamDraining,
    UpstreamSlow,
)
from knapweedhitch.exchange import CallSpec
from knapweedhitch.items import Items
from knapweedhitch.kernel import Kernel
from knapweedhitch.model import Address, CallResult, UpstreamRecord, UpstreamState
from knapweedhitch.queueadmission import QueueAdmission
from knapweedhitch.settings import (
    AdmissionSettings,
    ControlMember,
    ControlSettings,
    HeaderSettings,
    NodeSettings,
    SecretSettings,
    Settings,
)
from knapweedhitch.timers import Timers
from tests.test_items import backend

RECORD = UpstreamRecord("s1", Address("10.0.0.1", 80), 2, 100, "i1", 1)
LEAVING = UpstreamRecord("s1", Address("10.0.0.1", 80), 2, 100, "i1", 1, UpstreamState.LEAVING)
SUCCESS = CallResult(ok=True, service_ms=100.0)


def spec(deadline_ms: float = 1_000.0, objective_ms: float = 400.0, **fields: Any) -> CallSpec:
    deadline = Deadline.after_ms(deadline_ms)
    return CallSpec(
        "r", "s1", "i1", "GET", b"/", (), False, deadline, 0, 0, 1,
        target_latency_ms=objective_ms, **fields,
    )  # fmt: skip


def with_admission(fn: Callable[[Any, QueueAdmission], Awaitable[None]]) -> Callable[[Any], None]:
    @functools.wraps(fn)
    def run(self: Any) -> None:
        async def main() -> None:
            cfg = Settings(
                node=NodeSettings(id="n1", domain="d1"),
                secrets=SecretSettings("", ""),
                control=ControlSettings(members=(ControlMember("c1", "127.0.0.1", 1),)),
                headers=HeaderSettings(load="x-load", cold="x-cold"),
                admission=AdmissionSettings(
                    slow_moment_ms=300, break_hold_ms=250, count_unknown_calls=True
                ),
            )
            kernel = Kernel(cfg)
            kernel.add("counters", Counters())
            timers = Timers(kernel)
            kernel.add("timers", timers)
            kernel.add("pool", SimpleNamespace(subscribe_reports=lambda fn: None))
            items = Items(backends={"s1": backend()})
            kernel.add("config", SimpleNamespace(current=SimpleNamespace(items=items)))
            admission = QueueAdmission(kernel)
            async with trio.open_nursery() as nursery:
                kernel._nursery = nursery
                await timers.start()
                await admission.start()
                admission.set_upstream(RECORD)
                admission.record_probe(RECORD, {}, now_ms())
                await fn(self, admission)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))

    return run


async def admit(admission: QueueAdmission, call_spec: CallSpec) -> Any:
    return await admission.admit(call_spec.deadline, call_spec)


class AdmissionTest(unittest.TestCase):
    async def assert_refused(self, admission: QueueAdmission, call_spec: CallSpec) -> Refusal:
        with self.assertRaises(Refusal) as caught:
            await admit(admission, call_spec)
        return caught.exception

    @with_admission
    async def test_waiting_call_gets_the_released_slot(self, a: QueueAdmission) -> None:
        """Guards against a released slot that stays unused while calls wait."""
        slots = [await admit(a, spec()) for _ in range(2)]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(admit, a, spec())
            await trio.sleep(0.05)
            self.assertEqual(a.load().queued, 1)
            a.release(slots[0], SUCCESS)
        self.assertEqual((a.in_flight, a.load().queued), (2, 0))

    @with_admission
    async def test_refusal_is_immediate_and_carries_a_retry_delay(self, a: QueueAdmission) -> None:
        """Guards against callers that retry at once, or that are refused only after a long wait."""
        for _ in range(2):
            await admit(a, spec())
        a.queue.mean_ms = 500.0
        began_s = trio.current_time()
        refusal = await self.assert_refused(a, spec())
        self.assertIsInstance(refusal, NoRoom)
        self.assertEqual(trio.current_time(), began_s)
        self.assertGreater(refusal.retry_after_ms, 100.0)

    @with_admission
    async def test_calls_are_held_back_from_an_upstream_that_breaks(
        self, a: QueueAdmission
    ) -> None:
        """Guards against unsafe calls that are lost one after the other at an upstream that resets
        each of them while its health check is good.
        """
        broken = CallResult(ok=False, service_ms=0.0, broken=True)
        for _ in range(3):
            a.release(await admit(a, spec()), broken)
        refusal = await self.assert_refused(a, spec())
        self.assertIsInstance(refusal, UpstreamBreaks)
        self.assertEqual(refusal.outcome, Outcome.NOT_RUN)
        self.assertEqual(refusal.retry_after_ms, 250.0)
        self.assertGreaterEqual(a.load().wait_ms, 250.0)
        await trio.sleep(0.25)
        a.release(await admit(a, spec()), SUCCESS)
        await admit(a, spec())

    @with_admission
    async def test_slots_of_unknown_calls_are_not_used(self, a: QueueAdmission) -> None:
        """Guards against a call that is sent without room, which a full upstream resets."""
        a.record_probe(RECORD, {b"x-load": b"2,0,2"}, now_ms())
        refusal = await self.assert_refused(a, spec(objective_ms=1.0, deadline_ms=20.0))
        self.assertIsInstance(refusal, NoRoom)
        a.record_probe(RECORD, {b"x-load": b"0,0,2"}, now_ms())
        await admit(a, spec())
        # What an earlier start reported says nothing of this one.
        a.record_probe(RECORD, {b"x-load": b"3,0,2"}, now_ms())
        restarted = structs.replace(RECORD, instance_id="i2")
        a.set_upstream(restarted)
        a.record_probe(restarted, {}, now_ms())
        await admit(a, spec())

    @with_admission
    async def test_cancelled_wait_leaks_no_slot(self, a: QueueAdmission) -> None:
        """Guards against leaked slots when callers cancel while they wait."""
        slots = [await admit(a, spec()) for _ in range(2)]
        with trio.move_on_after(0.05):
            await admit(a, spec())
        for slot in slots:
            a.release(slot, SUCCESS)
        self.assertEqual((a.in_flight, a.queue.running, a.load().queued), (0, 0, 0))

    @with_admission
    async def test_leaving_draining_and_domain_out_refuse_calls(self, a: QueueAdmission) -> None:
        """Guards against calls to a leaving upstream, and on a draining node or a domain out."""
        a.set_upstream(LEAVING)
        self.assertIsInstance(await self.assert_refused(a, spec()), UpstreamDraining)
        a.set_upstream(None)
        self.assertIsInstance(await self.assert_refused(a, spec()), NoTarget)
        a.set_upstream(RECORD)
        a.set_domain_out(True)
        self.assertIsInstance(await self.assert_refused(a, spec()), DomainOut)
        a.set_domain_out(False)
        a.set_draining(True)
        self.assertIsInstance(await self.assert_refused(a, spec()), NodeDraining)

    @with_admission
    async def test_queued_calls_are_refused_when_the_upstream_announces_leaving(
        self, a: QueueAdmission
    ) -> None:
        """Guards against queued calls that start after the upstream announced that it leaves."""
        for _ in range(2):
            await admit(a, spec())
        refusals: list[Refusal] = []

        async def wait() -> None:
            refusals.append(await self.assert_refused(a, spec()))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait)
            await trio.sleep(0.05)
            a.set_upstream(LEAVING)
        self.assertIsInstance(refusals[0], UpstreamDraining)

    @with_admission
    async def test_domain_that_returns_counts_as_cold(self, a: QueueAdmission) -> None:
        """Guards against full load on upstreams that restarted while their domain was out."""
        a.set_domain_out(True)
        a.set_domain_out(False)
        started_count = 0
        with trio.move_on_after(0.9):
            while True:
                try:
                    a.release(await admit(a, spec()), SUCCESS)
                    started_count += 1
                except NoRoom:
                    await trio.sleep(0.01)
        # The cold limit of the backend is 16 calls per second.
        self.assertLessEqual(started_count, 16)

    @with_admission
    async def test_upstream_of_a_returned_domain_is_asked_whether_it_is_cold(
        self, a: QueueAdmission
    ) -> None:
        """Guards against full load on an upstream that turned cold while its domain was out: a
        heartbeat that it sent before that arrived late and ended the assumed cold time.
        """

        def answer_probe() -> None:
            assert not a.has_report, "an unused upstream with a report is not probed"
            self.respond(a, 3_000.0)

        a._kernel.add("loadprobe", SimpleNamespace(request_probe=answer_probe))
        self.respond(a, 0.0)
        a.set_domain_out(True)
        a.set_domain_out(False)
        a.record_heartbeat(RECORD, 0.0)
        self.assertAlmostEqual(self.cold_ms(a), 3_000.0, delta=1.0)

    @with_admission
    async def test_upstream_that_takes_nothing_while_cold_is_used_when_warm(
        self, a: QueueAdmission
    ) -> None:
        """Guards against a process that ends when a domain returns whose upstreams take nothing
        while they are cold, and against callers that wait for them or return too early.
        """
        for cold_per_s in (0.0, 1e-300):
            a._kernel.get("config").current.items = Items(
                backends={"s1": structs.replace(backend(), cold_calls_per_s=cold_per_s)}
            )
            a.set_domain_out(True)
            a.set_domain_out(False)
            self.assertGreater(a.load().wait_ms, 0.0 if cold_per_s else 2_999.0)
            if cold_per_s == 0.0:
                refusal = await self.assert_refused(a, spec())
                self.assertAlmostEqual(refusal.retry_after_ms, 3_000.0, delta=1.0)
            await trio.sleep(3.0)
            a.release(await admit(a, spec()), SUCCESS)

    @with_admission
    async def test_any_cold_time_and_rate_leave_the_node_working(self, a: QueueAdmission) -> None:
        """Guards against numbers in a configuration or heartbeat that end the process."""
        extremes = (0.0, -1.0, 1e-300, 1e300, math.inf)
        for cold_start_ms, cold_per_s in itertools.product(extremes, extremes):
            item = structs.replace(
                backend(), cold_start_ms=cold_start_ms, cold_calls_per_s=cold_per_s
            )
            a._kernel.get("config").current.items = Items(backends={"s1": item})
            with self.subTest(cold_start_ms=cold_start_ms, cold_per_s=cold_per_s):
                a.set_domain_out(True)
                a.set_domain_out(False)
                self.assertTrue(math.isfinite(a.load().wait_ms))
                try:
                    a.release(await admit(a, spec()), SUCCESS)
                except NoRoom as refusal:
                    self.assertLessEqual(refusal.retry_after_ms, MAX_COLD_MS)
                self.respond(a, 0.0)

    def respond(self, a: QueueAdmission, cold_ms: float, requested_ms: float | None = None) -> None:
        """Pass on a health response that names a cold time to a request sent now or before."""
        headers = {b"x-cold": b"%d" % cold_ms}
        a.record_probe(RECORD, headers, now_ms() if requested_ms is None else requested_ms)

    def cold_ms(self, a: QueueAdmission) -> float:
        """Return the time until the upstream counts as warm."""
        return max(0.0, a.cold.until_ms - now_ms())

    @with_admission
    async def test_late_heartbeat_does_not_end_a_cold_time(self, a: QueueAdmission) -> None:
        """Guards against full load on a cold upstream: a heartbeat that it sent while it was warm
        arrived after its health response said that it had turned cold.
        """
        self.respond(a, 4_000.0)
        await trio.sleep(0.1)
        a.record_heartbeat(RECORD, 0.0)
        self.assertTrue(a.queue.is_cold(now_ms()))
        self.assertAlmostEqual(self.cold_ms(a), 3_900.0, delta=1.0)
        # A health response to a later request ends it, as do the heartbeats of a new start.
        self.respond(a, 0.0)
        self.assertFalse(a.queue.is_cold(now_ms()))
        self.respond(a, 4_000.0)
        a.record_heartbeat(structs.replace(RECORD, incarnation=2), 0.0)
        self.assertFalse(a.queue.is_cold(now_ms()))

    @with_admission
    async def test_late_health_response_does_not_end_a_cold_time(self, a: QueueAdmission) -> None:
        """Guards against full load on a cold upstream: it answered a health request while it was
        warm, and a heartbeat, a failed connection or the return of its domain came before the
        response.
        """
        turns_cold: tuple[Callable[[], None], ...] = (
            lambda: a.record_heartbeat(RECORD, 3_000.0),
            lambda: a.release(slot, CallResult(False, 1.0, connect_failed=True)),
            lambda: a.set_domain_out(False),
        )
        for number, turn_cold in enumerate(turns_cold):
            with self.subTest(number):
                slot = await admit(a, spec())
                a.set_domain_out(True)
                requested_ms = now_ms()
                await trio.sleep(0.05)
                turn_cold()
                self.respond(a, 0.0, requested_ms)
                self.assertAlmostEqual(self.cold_ms(a), 3_000.0, delta=1.0)
                a.set_domain_out(False)
                self.respond(a, 0.0)
                self.assertEqual(self.cold_ms(a), 0.0)

    @with_admission
    async def test_newer_heartbeat_ends_the_cold_time_of_an_earlier_one(
        self, a: QueueAdmission
    ) -> None:
        """Guards against a warm upstream that is held at its cold rate, and against one whose
        longer cold time is cut short by a failed connection.
        """
        a.record_heartbeat(RECORD, 5_000.0)
        await trio.sleep(1.0)
        a.record_heartbeat(RECORD, 0.0)
        self.assertEqual(self.cold_ms(a), 0.0)
        a.set_domain_out(True)
        a.set_domain_out(False)
        a.record_heartbeat(RECORD, 0.0)
        self.assertEqual(self.cold_ms(a), 0.0)
        self.respond(a, 10_000.0)
        a.release(await admit(a, spec()), CallResult(False, 1.0, connect_failed=True))
        self.assertAlmostEqual(self.cold_ms(a), 10_000.0, delta=1.0)

    @with_admission
    async def test_slow_upstream_declines_if_another_is_better(self, a: QueueAdmission) -> None:
        """Guards against a call that is four times slower, as the load report arrived too late."""
        a.record_probe(RECORD, {b"x-load": b"0,0,2,400"}, now_ms())
        self.assertIsInstance(await self.assert_refused(a, spec(decline_above=2.0)), UpstreamSlow)
        await admit(a, spec())
        await trio.sleep(1.0)
        await admit(a, spec(decline_above=2.0))

    @with_admission
    async def test_load_is_probed_before_a_call_starts(self, a: QueueAdmission) -> None:
        """Guards against a call on a machine that turned slow after the last load report."""

        async def refresh() -> None:
            await trio.sleep(0.001)
            a.record_probe(RECORD, {b"x-load": b"0,0,2,400"}, now_ms())

        a._kernel.add("loadprobe", SimpleNamespace(refresh=refresh))
        a.record_probe(RECORD, {b"x-load": b"0,0,2,100"}, now_ms())
        await trio.sleep(0.03)
        self.assertIsInstance(await self.assert_refused(a, spec(decline_above=2.0)), UpstreamSlow)

    @with_admission
    async def test_load_is_not_probed_for_every_call(self, a: QueueAdmission) -> None:
        """Guards against a probe for every call if the load is unknown or was just reported."""
        probed_at_s = []

        async def refresh() -> None:
            probed_at_s.append(trio.current_time())

        a._kernel.add("loadprobe", SimpleNamespace(refresh=refresh))
        await admit(a, spec(decline_above=2.0))
        a.record_probe(RECORD, {b"x-load": b"0,0,2,100"}, now_ms())
        await admit(a, spec(decline_above=2.0))
        self.assertEqual(probed_at_s, [])

    @with_admission
    async def test_long_calls_wait_for_the_end_of_a_slow_period(self, a: QueueAdmission) -> None:
        """Guards against long calls at a quarter of the speed, and short ones delayed with them."""
        a.queue._mean_ms_by_route.update(long=200.0, short=10.0)
        a.record_probe(RECORD, {b"x-load": b"0,0,2,400"}, now_ms())
        admitted_at_s: dict[str, float] = {}

        async def run_call(route: str) -> None:
            await admit(a, spec(objective_ms=900.0, route=route))
            admitted_at_s[route] = trio.current_time()

        began_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_call, "long")
            await trio.sleep(0.01)
            nursery.start_soon(run_call, "short")
            await trio.sleep(0.1)
            self.assertEqual(list(admitted_at_s), ["short"])
            a.record_probe(RECORD, {b"x-load": b"0,0,2,100"}, now_ms())
        self.assertLess(admitted_at_s["short"] - began_s, 0.02)
        self.assertLess(admitted_at_s["long"] - began_s, 0.12)

    @with_admission
    async def test_time_spent_on_the_load_probe_counts_against_the_deadline(
        self, a: QueueAdmission
    ) -> None:
        """Guards against starting a call whose deadline expired during the load probe."""
        a._kernel.add("loadprobe", SimpleNamespace(refresh=functools.partial(trio.sleep, 0.01)))
        a.record_probe(RECORD, {b"x-load": b"0,0,2,100"}, now_ms())
        await trio.sleep(0.03)
        self.assertIsInstance(
            await self.assert_refused(a, spec(deadline_ms=12.0)), DeadlineExceeded
        )
