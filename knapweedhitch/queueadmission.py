"""Admission control for the local upstream by priority and remaining deadline."""

from __future__ import annotations

import dataclasses
import itertools
import math
from collections.abc import Callable, Mapping

import trio

from knapweedhitch import framing, logs
from knapweedhitch.boundedlog import BoundedLog
from knapweedhitch.budget import TokenBucket
from knapweedhitch.clock import MS_PER_S
from knapweedhitch.codec import round_to_half
from knapweedhitch.coldtime import ColdTime
from knapweedhitch.deadline import Deadline
from knapweedhitch.exceptions import (
    DeadlineExceeded,
    DomainOut,
    NodeDraining,
    NoRoom,
    NoTarget,
    Refusal,
    UpstreamBreaks,
    UpstreamDraining,
    UpstreamSlow,
)
from knapweedhitch.exchange import CallSpec
from knapweedhitch.items import BackendItem, Items
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.model import CallResult, LoadSample, UpstreamRecord, Warmth
from knapweedhitch.slots import Slot, closed_refusal
from knapweedhitch.timers import EarliestTimer
from knapweedhitch.upstreamhold import UpstreamHold
from knapweedhitch.upstreamload import UpstreamReport, parse_report
from knapweedhitch.upstreamstatus import UpstreamStatus
from knapweedhitch.workqueue import MAX_LOAD_AGE_MS, Work, WorkQueue

# A slow period of a few hundred ms may have begun since the last report; a probe takes about 1 ms.
REFRESH_AGE_MS = 20.0
# An upstream without a report for this long is not probed for each call.
MAX_REFRESH_MS = 2_000.0
# EWMA weight of the newest gap between calls, and the longest gap that counts.
GAP_WEIGHT = 0.2
MAX_GAP_MS = 500.0
LIMIT_LOG_LINES_PER_S = 1.0
LIMIT_LOG_BURST = 5.0


@dataclasses.dataclass(eq=False, slots=True)
class _Waiter:
    work: Work
    event: trio.Event = dataclasses.field(default_factory=trio.Event)
    slot: Slot | None = None
    refusal: Refusal | None = None


@service("queue_admission")
class QueueAdmission:
    """Admit calls to the local upstream, up to the concurrency that it handles well."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg.admission
        self._call_separator = kernel.cfg.routing.call_id_separator
        self._timers = kernel.get("timers")
        self._counters = kernel.get("counters")
        self._draining = self._domain_out = False
        self._ids = itertools.count(1)
        self._routes_by_slot: dict[int, str] = {}
        self._waiters: dict[int, _Waiter] = {}
        self._timer = EarliestTimer(self._timers, self._on_timer)
        self._names = framing.header_names(kernel.cfg.headers)
        self._load_reported_ms = self._last_request_ms = -math.inf
        # Mean time between calls, which tells how often other nodes need the load.
        self.call_gap_ms = MAX_GAP_MS
        self.queue = WorkQueue(self._cfg)
        self.status = UpstreamStatus(kernel.cfg.upstream, self._timers)
        # Whether the upstream has responded since it was announced or its domain returned.
        self.has_report = False
        self._starts_before_report = 0
        self._began_ms = -math.inf
        self._limit_log_budget = TokenBucket(
            LIMIT_LOG_LINES_PER_S, LIMIT_LOG_BURST, self._timers.now_ms
        )
        self._log = BoundedLog(kernel.cfg.log, self._counters, self._timers.now_ms)
        self._hold = UpstreamHold(self._cfg, self._counters, self._log, self._timers.now_ms)

    async def start(self) -> None:
        """Subscribe to what the upstream reports in its responses."""
        self._began_ms = self._timers.now_ms()
        self._kernel.get("pool").subscribe_reports(self._on_report)

    async def stop(self) -> None:
        """Refuse the queued calls with outcome not-run."""
        self._refuse_queue(NodeDraining)

    @property
    def in_flight(self) -> int:
        """Return the number of calls that hold a slot."""
        return len(self._routes_by_slot)

    async def admit(self, deadline: Deadline, spec: CallSpec) -> Slot:
        """Return a slot after a bounded wait; raises Refusal, always with outcome not-run."""
        await trio.lowlevel.checkpoint_if_cancelled()
        self._refuse_if_closed()
        self._record_request()
        await self.status.wait_for_probe(deadline)
        await self._refresh_load()
        self._refuse_if_closed()
        now = self._timers.now_ms()
        self._refuse_if_held(spec)
        work = self._make_work(deadline, spec, now)
        if work.deadline_ms <= now + self._cfg.min_service_ms:
            raise self._count_refusal(DeadlineExceeded())
        if self._expected_delay(work, now) > spec.decline_above:
            raise self._count_refusal(UpstreamSlow())
        self.queue.record_arrival(work, now)
        if self.queue.may_start(work, now):
            return self._start_call(0.0, work)
        if not self.queue.may_wait(work, now):
            self._record_yield(work, now)
            self.queue.record_refusal(work, now)
            raise self._count_refusal(self._no_room(work, now))
        return await self._wait(work)

    def _make_work(self, deadline: Deadline, spec: CallSpec, now: float) -> Work:
        deadline_ms = deadline.at_s * MS_PER_S
        return Work(
            spec.priority,
            now,
            deadline_ms,
            min(deadline_ms, now + spec.target_latency_ms),
            spec.route,
            spec.customer,
            is_call=bool(self._call_separator) and self._call_separator in spec.request_id,
        )

    def _expected_delay(self, work: Work, now: float) -> float:
        """Return the expected time of a call relative to its usual service time."""
        is_known = self.load_age_ms < MAX_LOAD_AGE_MS
        slowdown = self.queue.expected_slowdown(work, now) if is_known else 1.0
        return slowdown + self.queue.expected_delay(work, now)

    def _record_yield(self, work: Work, now: float) -> None:
        """Count and log a refusal that leaves a slot to other calls."""
        reason = self.queue.yield_reason(work, now)
        if reason is None:
            return
        self._counters.add("admission_yielded", reason.value)
        self._log.event(
            "admission-yielded",
            reason=reason.value,
            route=work.route,
            priority=work.priority,
            customer=work.customer,
            running=self.queue.running,
            limit=self.queue.limit,
        )

    def _record_request(self) -> None:
        now = self._timers.now_ms()
        if self._last_request_ms > -math.inf:
            gap_ms = min(now - self._last_request_ms, MAX_GAP_MS)
            self.call_gap_ms += GAP_WEIGHT * (gap_ms - self.call_gap_ms)
        self._last_request_ms = now

    async def _refresh_load(self) -> None:
        """Probe the upstream if its last load report is neither fresh nor long outdated."""
        if REFRESH_AGE_MS <= self.load_age_ms < MAX_REFRESH_MS and self._kernel.has("loadprobe"):
            await self._kernel.get("loadprobe").refresh()

    def _no_room(self, work: Work, now: float) -> Refusal:
        refusal = NoRoom()
        refusal.retry_after_ms = self.queue.retry_after_ms(now, work)
        return refusal

    async def _wait(self, work: Work) -> Slot:
        waiter = self._waiters[id(work)] = _Waiter(work)
        self.queue.enqueue(work)
        # All other queued calls may be paused for a slow period that this call need not wait for.
        self._dispatch()
        try:
            with trio.move_on_at((work.deadline_ms - self._cfg.min_service_ms) / MS_PER_S):
                await waiter.event.wait()
            await trio.lowlevel.checkpoint_if_cancelled()
            if waiter.slot is not None:
                slot, waiter.slot = waiter.slot, None
                return slot
            raise self._count_refusal(waiter.refusal or DeadlineExceeded())
        finally:
            self._remove_waiter(waiter)

    def _remove_waiter(self, waiter: _Waiter) -> None:
        self._waiters.pop(id(waiter.work), None)
        self.queue.drop(waiter.work)
        if waiter.slot is not None:
            # The slot was granted in the same scheduler tick in which the wait was cancelled.
            self._end_call(waiter.slot, None)
            self._dispatch()

    def _start_call(self, queued_ms: float, work: Work) -> Slot:
        slot = Slot(next(self._ids), 0, queued_ms)
        self._routes_by_slot[slot.slot_id] = work.route
        now = self._timers.now_ms()
        if self.queue.start_wait_ms(now) > 0:
            self._counters.add("starts_over_limit")
        if not self.status.has_responded:
            self._starts_before_report += 1
            self._counters.add("starts_before_report")
        self.queue.start(now, work.priority)
        self._hold.record_start()
        self._counters.record("queue_ms", queued_ms)
        return slot

    def _end_call(self, slot: Slot, service_ms: float | None) -> None:
        self.queue.finish(service_ms, self._routes_by_slot.pop(slot.slot_id))

    def release(self, slot: Slot, result: CallResult) -> None:
        """Release a slot with the result of its call; further releases are only counted."""
        if slot.slot_id not in self._routes_by_slot:
            self._counters.add("admission_double_release")
            return
        is_measured = result.ok and not result.cancelled
        self._end_call(slot, result.service_ms if is_measured else None)
        if result.connect_failed:
            self._assume_cold()
        record = self.status.record
        if record is not None and self._hold.record_end(result, record.instance_id):
            self._refuse_queue(UpstreamBreaks)
        self._dispatch()

    @property
    def load_age_ms(self) -> float:
        """Return the age of the last load report of the upstream."""
        return self._timers.now_ms() - self._load_reported_ms

    @property
    def idle_ms(self) -> float:
        """Return the time since the last call requested a slot."""
        return self._timers.now_ms() - self._last_request_ms

    def _on_report(self, report: UpstreamReport) -> None:
        """Record the report of a response, unless the upstream has been replaced since."""
        start = self.status.start
        if start is not None and start.sent(report):
            self._record_report(report, "response")

    def _record_report(self, report: UpstreamReport, source: str) -> None:
        if not self.status.has_responded:
            self._log_first_report(report, source)
        self.has_report = True
        for name in report.malformed:
            self._counters.add("reports_unreadable", name)
        limit_before, now = self.status.limit_per_s, self._timers.now_ms()
        self.status.record_report(report)
        if self.status.limit_per_s != limit_before:
            self._apply_limit(limit_before, source)
        if report.load is not None:
            self._load_reported_ms = now
            self.queue.set_slowdown(report.load.slowdown, now)
            if self._cfg.count_unknown_calls and report.load.slots:
                # A call is counted here until its slot is released, which is after its response was
                # reported, so unknown calls are counted too low rather than too high.
                reported = report.load.running + report.load.waiting
                unknown = max(0, reported - self.queue.running)
                self.queue.set_slots_left(max(0, report.load.slots - unknown), now)
        self._apply_status()

    def _log_first_report(self, report: UpstreamReport, source: str) -> None:
        logs.event(
            "upstream-first-report",
            instance=report.instance_id,
            source=source,
            after_ms=round(self.status.age_ms, 1),
            started=self._starts_before_report,
        )

    def _apply_limit(self, before: float | None, source: str) -> None:
        start, now = self.status.start, self._timers.now_ms()
        assert start is not None
        limit_per_s = self.status.limit_per_s
        # An earlier process of this node may have started calls until this one began.
        self.queue.set_rate_limit(limit_per_s, now, unknown_before_ms=self._began_ms)
        self._counters.add("upstream_limit_changes", source)
        if self._limit_log_budget.take():
            logs.event(
                "upstream-limit",
                instance=start.record.instance_id,
                source=source,
                per_s=limit_per_s,
                before=before,
                started_per_s=round(self.queue.starts_per_s(now)),
            )

    def record_probe(
        self, record: UpstreamRecord, headers: Mapping[bytes, bytes], requested_ms: float
    ) -> None:
        """Record what a probe response reports, unless the upstream has been replaced since."""
        start = self.status.start
        if start is None or not start.answered_probe(record, requested_ms):
            return
        cold = headers.get(self._names.cold)
        if cold is not None and cold.isdigit():
            self.cold.record_response(float(cold), requested_ms, self._timers.now_ms())
        report = parse_report(headers.items(), self._names, record.instance_id, requested_ms)
        self._record_report(report, "probe")

    def load(self) -> LoadSample:
        """Return a load sample of the local upstream."""
        now = self._timers.now_ms()
        cold = self.queue.is_cold(now)
        return LoadSample(
            in_flight=self.queue.running,
            queued=len(self.queue.waiting),
            limit=self.queue.limit,
            latency_ms=round_to_half(self.queue.mean_ms),
            warmth=Warmth.COLD if cold else Warmth.WARM,
            draining=self._draining or self._domain_out or self.status.leaving,
            slowdown=round_to_half(self.queue.slowdown),
            wait_ms=round_to_half(max(self.queue.expected_wait_ms(now), self._hold.left_ms)),
        )

    def set_upstream(self, record: UpstreamRecord | None) -> None:
        """Set the announced upstream, or None if there is none."""
        self._set_record(record)
        self._apply_status()

    def record_heartbeat(self, record: UpstreamRecord, cold_ms: float) -> None:
        """Set the upstream and the time until it is warm, zero if it is, from one heartbeat."""
        self._set_record(record)
        self.cold.record_heartbeat(cold_ms, self._timers.now_ms())
        self._apply_status()

    def _set_record(self, record: UpstreamRecord | None) -> None:
        if self.status.set_record(record):
            self.queue.set_rate_limit(None, self._timers.now_ms())
            self._starts_before_report = 0
            self._hold.reset()
            self.queue.forget_slots_left()
            self._request_probe()

    def _apply_status(self) -> None:
        """Apply all that the upstream has told before any call starts."""
        record = self.status.record
        if record is None:
            self._refuse_queue(NoTarget)
            return
        share = max(1, int(record.slots * self._cfg.slots_share))
        # The response to a first call tells what the upstream allows.
        self.queue.limit = min(share, record.connections) if self.status.has_responded else 1
        now = self._timers.now_ms()
        if self.cold.until_ms > now or self.queue.is_cold(now):
            self.queue.set_cold(self.cold.until_ms, self._cold_per_s())
        if self.status.leaving:
            self._refuse_queue(UpstreamDraining)
        self._dispatch()

    @property
    def cold(self) -> ColdTime:
        """Return the cold time of the upstream."""
        return self.status.cold

    def _request_probe(self) -> None:
        """Request a probe of the upstream, also if it is not in use or has just responded."""
        self.has_report, self._load_reported_ms = False, -math.inf
        if self._kernel.has("loadprobe"):
            self._kernel.get("loadprobe").request_probe()

    def _assume_cold(self) -> None:
        """Assume that the upstream has just started."""
        if self.status.record is not None:
            self.cold.assume(self._cold_start_ms(), self._timers.now_ms())
            self._apply_status()

    def _cold_per_s(self) -> float:
        backend = self._backend()
        return backend.cold_calls_per_s if backend is not None else math.inf

    def _cold_start_ms(self) -> float:
        backend = self._backend()
        return backend.cold_start_ms if backend is not None else 0.0

    def _backend(self) -> BackendItem | None:
        items: Items = self._kernel.get("config").current.items
        record = self.status.record
        return items.backends.get(record.service) if record is not None else None

    def set_draining(self, draining: bool) -> None:
        """Set whether the node drains; it then refuses new calls but serves the queued ones."""
        self._draining = draining

    def set_domain_out(self, out: bool) -> None:
        """Refuse all calls while the failure domain is out; the upstream may be cold afterwards."""
        returned = self._domain_out and not out
        self._domain_out = out
        if out:
            self._refuse_queue(DomainOut)
        elif returned:
            self._assume_cold()
            # A late heartbeat may end the assumption, but not what a response tells.
            self._request_probe()

    def _refuse_if_held(self, spec: CallSpec) -> None:
        try:
            self._hold.check(spec)
        except UpstreamBreaks as refusal:
            raise self._count_refusal(refusal) from None

    def _refuse_if_closed(self) -> None:
        refusal = closed_refusal(
            self.status.record, draining=self._draining, domain_out=self._domain_out
        )
        if refusal is None and self.status.leaving:
            refusal = UpstreamDraining()
        if refusal is not None:
            raise self._count_refusal(refusal)

    def _refuse_queue(self, make_refusal: Callable[[], Refusal]) -> None:
        for waiter in list(self._waiters.values()):
            if waiter.slot is None:
                waiter.refusal = make_refusal()
                waiter.event.set()
            self.queue.drop(waiter.work)

    def _dispatch(self) -> None:
        now = self._timers.now_ms()
        for overdue in self.queue.drop_overdue(now):
            self._waiters[id(overdue)].refusal = self._no_room(overdue, now)
            self._waiters[id(overdue)].event.set()
        while not self.status.probe_wait_ms and (work := self.queue.next(now)) is not None:
            waiter = self._waiters[id(work)]
            waiter.slot = self._start_call(now - work.arrived_ms, work)
            waiter.event.set()
        self._set_timer()

    def _set_timer(self) -> None:
        """Schedule a dispatch for the next start on a cold upstream or the end of a slow period."""
        now = self._timers.now_ms()
        wait_ms = max(self.queue.start_wait_ms(now), self.status.probe_wait_ms)
        is_paused = any(self.queue.pause_ms(work, now) for work in self.queue.waiting)
        if is_paused or self.queue.awaits_report(now):
            wait_ms = max(wait_ms, REFRESH_AGE_MS)
        if self.queue.waiting and wait_ms > 0:
            self._timer.set(wait_ms)

    def _on_timer(self) -> None:
        if self._kernel.has("loadprobe"):
            # The probe response triggers another dispatch.
            self._kernel.get("loadprobe").request_probe()
        self._dispatch()

    def _count_refusal(self, refusal: Refusal) -> Refusal:
        self._counters.add("admission_refused", refusal.reason)
        return refusal
