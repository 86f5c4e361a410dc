"""Admission in front of the own upstream by urgency and by the time that callers have left."""

from __future__ import annotations

import dataclasses
import itertools
import math
from collections.abc import Callable, Mapping

import trio

from knapweedhitch import framing
from knapweedhitch.admission import Slot, closed_refusal
from knapweedhitch.deadline import Deadline
from knapweedhitch.exceptions import (
    DeadlineExceeded,
    DomainOut,
    NodeDraining,
    NoRoom,
    NoTarget,
    Refusal,
    UpstreamDraining,
    UpstreamSlow,
)
from knapweedhitch.exchange import CallSpec
from knapweedhitch.items import BackendItem, Items
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.model import CallResult, LoadSample, UpstreamRecord, UpstreamState, Warmth
from knapweedhitch.upstreamload import parse_load
from knapweedhitch.workqueue import MAX_LOAD_AGE_MS, Work, WorkQueue

MS_PER_S = 1_000.0
# A slowdown that lasts a few hundred milliseconds may have begun since; asking costs about one.
REFRESH_AGE_MS = 20.0
# An upstream that has told nothing for this long is not asked once for every call.
FORGET_LOAD_MS = 2_000.0
# Calls in flight at the moment of a turn to cold still count at the upstream.
COLD_SHARE = 0.8


@dataclasses.dataclass(eq=False, slots=True)
class _Waiter:
    work: Work
    event: trio.Event = dataclasses.field(default_factory=trio.Event)
    slot: Slot | None = None
    refusal: Refusal | None = None


@service("queue_admission")
class QueueAdmission:
    """Admit calls to the own upstream, at most as many at once as it runs well."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg.admission
        self._timers = kernel.get("timers")
        self._counters = kernel.get("counters")
        self._record: UpstreamRecord | None = None
        self._draining = False
        self._domain_out = False
        self._ids = itertools.count(1)
        self._live: dict[int, str] = {}
        self._waiters: dict[int, _Waiter] = {}
        self._timer_is_set = False
        self._names = framing.header_names(kernel.cfg.headers)
        self._load_at_ms = self._asked_ms = -math.inf
        self.queue = WorkQueue(self._cfg)

    async def start(self) -> None:
        """Follow the load that the upstream tells in its answers."""
        self._kernel.get("pool").subscribe_load(self._note_load)

    async def stop(self) -> None:
        """Refuse what is still queued as not run."""
        self._refuse_queue(NodeDraining)

    @property
    def in_flight(self) -> int:
        """Return the number of calls that hold a slot."""
        return len(self._live)

    async def admit(self, deadline: Deadline, spec: CallSpec) -> Slot:
        """Return a slot, after a bounded wait; raises Refusal, always with outcome not-run."""
        await trio.lowlevel.checkpoint_if_cancelled()
        self._refuse_if_closed()
        self._asked_ms = self._timers.now_ms()
        await self._refresh_load()
        self._refuse_if_closed()
        now = self._timers.now_ms()
        work = _work(deadline, spec, now)
        if work.deadline_ms <= now + self._cfg.min_service_ms:
            raise self._counted(DeadlineExceeded())
        slowdown = self.queue.slowdown_of(work, now)
        if slowdown > spec.decline_above and self.load_age_ms < MAX_LOAD_AGE_MS:
            raise self._counted(UpstreamSlow())
        pause_ms = self.queue.pause_ms(work, now)
        if not self.queue.waiting and self.queue.has_room(now) and not pause_ms:
            return self._take(0.0, work)
        if not self.queue.may_wait(work, now):
            raise self._counted(self._no_room(work, now))
        return await self._wait(work)

    async def _refresh_load(self) -> None:
        """Ask the upstream for its load if it has told it, but not just now."""
        if REFRESH_AGE_MS <= self.load_age_ms < FORGET_LOAD_MS and self._kernel.has("loadprobe"):
            await self._kernel.get("loadprobe").refresh()

    def _no_room(self, work: Work, now: float) -> Refusal:
        refusal = NoRoom()
        refusal.retry_after_ms = max(1.0, self.queue.expected_wait_ms(now, work))
        return refusal

    async def _wait(self, work: Work) -> Slot:
        waiter = self._waiters[id(work)] = _Waiter(work)
        self.queue.enqueue(work)
        # Those that wait may all be waiting for the end of a slow moment, and this one not.
        self._dispatch()
        try:
            with trio.move_on_at((work.deadline_ms - self._cfg.min_service_ms) / MS_PER_S):
                await waiter.event.wait()
            await trio.lowlevel.checkpoint_if_cancelled()
            if waiter.slot is not None:
                slot, waiter.slot = waiter.slot, None
                return slot
            raise self._counted(waiter.refusal or DeadlineExceeded())
        finally:
            self._forget(waiter)

    def _forget(self, waiter: _Waiter) -> None:
        self._waiters.pop(id(waiter.work), None)
        self.queue.drop(waiter.work)
        if waiter.slot is not None:
            # The slot was granted in the same moment in which the wait was cancelled.
            self._give_back(waiter.slot, None)
            self._dispatch()

    def _take(self, queued_ms: float, work: Work) -> Slot:
        slot = Slot(next(self._ids), 0, queued_ms)
        self._live[slot.slot_id] = work.kind
        self.queue.start(self._timers.now_ms(), work.priority)
        self._counters.record("queue_ms", queued_ms)
        return slot

    def _give_back(self, slot: Slot, service_ms: float | None) -> None:
        self.queue.finish(service_ms, self._live.pop(slot.slot_id))

    def release(self, slot: Slot, result: CallResult) -> None:
        """Give a slot back with the result of its call; a second release is only counted."""
        if slot.slot_id not in self._live:
            self._counters.add("admission_double_release")
            return
        is_measured = result.ok and not result.cancelled
        self._give_back(slot, result.service_ms if is_measured else None)
        if result.connect_failed and self._record is not None:
            self.set_cold_time(self._cold_start_ms())
        self._dispatch()

    @property
    def load_age_ms(self) -> float:
        """Return the time since the upstream told its load."""
        return self._timers.now_ms() - self._load_at_ms

    @property
    def idle_ms(self) -> float:
        """Return the time since the last call asked for a slot."""
        return self._timers.now_ms() - self._asked_ms

    def _note_load(self, value: bytes) -> None:
        told = parse_load(value)
        if told is None:
            self._counters.add("load_unreadable")
            return
        self._load_at_ms = self._timers.now_ms()
        self.queue.set_slowdown(told.slowdown, self._load_at_ms)
        if self.queue.waiting:
            self._dispatch()

    def record_probe(self, record: UpstreamRecord, headers: Mapping[bytes, bytes]) -> None:
        """Take load and warmth from the answer of a probe, if the same upstream still serves."""
        if record != self._record:
            return
        self._note_load(headers.get(self._names.load, b""))
        cold = headers.get(self._names.cold)
        if cold is not None and cold.isdigit():
            self.set_cold_time(float(cold))

    def load(self) -> LoadSample:
        """Return the load of the upstream as this gate counts it."""
        now = self._timers.now_ms()
        cold = self.queue.is_cold(now)
        return LoadSample(
            in_flight=self.queue.running,
            queued=len(self.queue.waiting),
            limit=self.queue.limit,
            latency_ms=self.queue.mean_ms,
            warmth=Warmth.COLD if cold else Warmth.WARM,
            draining=self._draining or self._domain_out or self._is_leaving(),
            slowdown=round(self.queue.slowdown, 2),
            wait_ms=round(self.queue.expected_wait_ms(now), 1),
        )

    def set_upstream(self, record: UpstreamRecord | None) -> None:
        """Take the announcement of the upstream."""
        self._record = record
        if record is None:
            self._refuse_queue(NoTarget)
            return
        share = max(1, int(record.slots * self._cfg.slots_share))
        self.queue.limit = min(share, record.connections)
        if self._is_leaving():
            self._refuse_queue(UpstreamDraining)
        self._dispatch()

    def set_cold_time(self, cold_ms: float) -> None:
        """Take what the upstream says of the time until it is warm; zero is warm."""
        record = self._record
        if record is None or (cold_ms <= 0 and not self.queue.is_cold(self._timers.now_ms())):
            return
        per_s = self._cold_per_s() * COLD_SHARE
        self.queue.set_cold(self._timers.now_ms() + cold_ms, per_s)
        self._dispatch()

    def _cold_per_s(self) -> float:
        backend = self._backend()
        return backend.cold_calls_per_s if backend is not None else math.inf

    def _cold_start_ms(self) -> float:
        backend = self._backend()
        return backend.cold_start_ms if backend is not None else 0.0

    def _backend(self) -> BackendItem | None:
        items: Items = self._kernel.get("config").current.items
        return items.backends.get(self._record.service) if self._record is not None else None

    def set_draining(self, draining: bool) -> None:
        """Refuse new work while the node stops; what is queued is still served."""
        self._draining = draining

    def set_domain_out(self, out: bool) -> None:
        """Refuse all work while the domain is out; after it the upstream may be cold."""
        returned = self._domain_out and not out
        self._domain_out = out
        if out:
            self._refuse_queue(DomainOut)
        elif returned:
            self.set_cold_time(self._cold_start_ms())

    def _is_leaving(self) -> bool:
        return self._record is not None and self._record.state is UpstreamState.LEAVING

    def _refuse_if_closed(self) -> None:
        refusal = closed_refusal(self._record, draining=self._draining, domain_out=self._domain_out)
        if refusal is not None:
            raise self._counted(refusal)

    def _refuse_queue(self, make: Callable[[], Refusal]) -> None:
        for waiter in list(self._waiters.values()):
            if waiter.slot is None:
                waiter.refusal = make()
                waiter.event.set()
            self.queue.drop(waiter.work)

    def _dispatch(self) -> None:
        now = self._timers.now_ms()
        for late in self.queue.hopeless(now):
            self._waiters[id(late)].refusal = self._no_room(late, now)
            self._waiters[id(late)].event.set()
        while (work := self.queue.next(now)) is not None:
            waiter = self._waiters[id(work)]
            waiter.slot = self._take(now - work.arrived_ms, work)
            waiter.event.set()
        self._set_timer()

    def _set_timer(self) -> None:
        """Dispatch again when a cold upstream allows the next start or a slow moment may end."""
        now = self._timers.now_ms()
        wait_ms = self.queue.start_wait_ms(now)
        if any(self.queue.pause_ms(work, now) for work in self.queue.waiting):
            wait_ms = max(wait_ms, REFRESH_AGE_MS)
        if self.queue.waiting and wait_ms > 0 and not self._timer_is_set:
            self._timer_is_set = True
            self._timers.after(wait_ms, self._on_timer)

    def _on_timer(self) -> None:
        self._timer_is_set = False
        if self._kernel.has("loadprobe"):
            # The answer dispatches again.
            self._kernel.get("loadprobe").ask()
        self._dispatch()

    def _counted(self, refusal: Refusal) -> Refusal:
        self._counters.add("admission_refused", refusal.reason)
        return refusal


def _work(deadline: Deadline, spec: CallSpec, now_ms: float) -> Work:
    deadline_ms = deadline.at_s * MS_PER_S
    goal_ms = min(deadline_ms, now_ms + spec.target_latency_ms)
    return Work(spec.priority, now_ms, deadline_ms, goal_ms, spec.route)
