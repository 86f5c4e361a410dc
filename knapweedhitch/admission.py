"""Admission control for the local upstream: concurrency limit, queue, connections and leases."""

from __future__ import annotations

import collections
import dataclasses
import itertools
from collections.abc import Callable

import trio

from knapweedhitch.clock import MS_PER_S
from knapweedhitch.coldstart import ColdCause, Ramp
from knapweedhitch.deadline import Deadline
from knapweedhitch.exceptions import (
    ColdLimit,
    ConnectionLimit,
    DeadlineExceeded,
    DomainOut,
    NodeDraining,
    NoTarget,
    QueueDelay,
    QueueFull,
    Refusal,
    UpstreamDraining,
)
from knapweedhitch.exchange import CallSpec
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.limiter import GradientLimit
from knapweedhitch.model import CallResult, LoadSample, UpstreamRecord, UpstreamState, Warmth
from knapweedhitch.slotlease import LeaseLedger
from knapweedhitch.slots import Slot, closed_refusal


@dataclasses.dataclass(eq=False, slots=True)
class _Waiter:
    queued_at_ms: float
    deadline: Deadline
    event: trio.Event = dataclasses.field(default_factory=trio.Event)
    slot: Slot | None = None
    refusal: Refusal | None = None


@service("admission")
class Admission:
    """Admit calls to the local upstream, queue them for a bounded time, and grant slot leases."""

    def __init__(self, kernel: Kernel) -> None:
        self._cfg = kernel.cfg.admission
        self._timers = kernel.get("timers")
        self._counters = kernel.get("counters")
        self._record: UpstreamRecord | None = None
        self._draining = False
        self._domain_out = False
        # Increases with each cold start; results of calls of earlier generations are ignored.
        self._generation = 0
        self._ids = itertools.count(1)
        self._running_ids: set[int] = set()
        self._queue: collections.deque[_Waiter] = collections.deque()
        self._nonempty_since_ms: float | None = None
        self._ramp = Ramp(self._cfg)
        self._gradient = GradientLimit(self._cfg)
        self._ledger = LeaseLedger(self._cfg, self._timers.now_ms)
        self._on_revoke: list[Callable[[tuple[str, ...]], None]] = []

    async def start(self) -> None:
        """Schedule the expiry of leases that were neither used nor returned."""
        self._timers.every(self._cfg.lease_lifetime_ms, self.expire_leases)

    async def stop(self) -> None:
        """Refuse the queued calls with outcome not-run."""
        self._refuse_queue(lambda: NodeDraining())

    @property
    def limit(self) -> int:
        """Return the current limit on the sum of running calls and leases."""
        suspect = self._ramp.suspect_limit
        return self._reported_limit if suspect is None else min(suspect, self._reported_limit)

    @property
    def _reported_limit(self) -> int:
        """Return the limit that is reported to other nodes, without the suspect limit.

        A suspect upstream needs another successful call to recover, and no node would pick it if
        the reduced limit were reported.
        """
        if self._record is None:
            return 0
        cap = min(self._record.slots, self._record.connections)
        cold = self._ramp.warmth is Warmth.COLD
        return max(1, min(cap, self._ramp.limit if cold else self._gradient.limit))

    @property
    def in_flight(self) -> int:
        """Return the number of calls that hold a slot."""
        return len(self._running_ids)

    @property
    def leased(self) -> int:
        """Return the number of leases held by peers, with or without a call in flight."""
        return len(self._ledger)

    async def admit(self, deadline: Deadline, spec: CallSpec | None = None) -> Slot:
        """Return a slot after a bounded wait; raises Refusal, always with outcome not-run."""
        await trio.lowlevel.checkpoint_if_cancelled()
        self._refuse_if_closed()
        if deadline.expired():
            raise self._count_refusal(DeadlineExceeded())
        if not self._queue and self._has_room():
            return self._start_call(0.0)
        self._refuse_if_queue_full()
        waiter = _Waiter(self._timers.now_ms(), deadline)
        if not self._queue:
            self._nonempty_since_ms = waiter.queued_at_ms
        self._queue.append(waiter)
        try:
            return await self._wait(waiter)
        finally:
            self._remove_waiter(waiter)

    def release(self, slot: Slot, result: CallResult) -> None:
        """Release a slot with the result of its call; further releases are only counted."""
        if slot.slot_id not in self._running_ids:
            self._counters.add("admission_double_release")
            return
        in_flight = len(self._running_ids) + len(self._ledger)
        self._running_ids.discard(slot.slot_id)
        if slot.generation == self._generation:
            self._record_result(result, in_flight)
        self._dispatch()

    def load(self) -> LoadSample:
        """Return a load sample of the local upstream."""
        leaving = self._record is None or self._record.state is UpstreamState.LEAVING
        return LoadSample(
            in_flight=len(self._running_ids) + self._ledger.in_use,
            queued=len(self._queue),
            limit=self._reported_limit,
            latency_ms=self._gradient.short_ms or 0.0,
            warmth=self._ramp.warmth,
            draining=self._draining or self._domain_out or leaving,
        )

    def set_upstream(self, record: UpstreamRecord | None) -> None:
        """Set the announced upstream; a new instance, incarnation or slot count starts cold."""
        old, self._record = self._record, record
        if record is None:
            self._refuse_queue(lambda: NoTarget(detail="no upstream is announced"))
            self._revoke()
            return
        if (
            old is None
            or not old.is_same_start(record.instance_id, record.incarnation)
            or old.slots != record.slots
        ):
            self._restart_cold(ColdCause.NEW_INCARNATION)
        if record.state is UpstreamState.LEAVING:
            self._refuse_queue(lambda: UpstreamDraining())
            self._revoke()
        self._dispatch()

    def set_draining(self, draining: bool) -> None:
        """Set whether the node drains; it then refuses new calls but serves the queued ones."""
        self._draining = draining
        if draining:
            self._revoke()

    def set_domain_out(self, out: bool) -> None:
        """Refuse all calls while the failure domain is out; its return is a cold start."""
        returned = self._domain_out and not out
        self._domain_out = out
        if out:
            self._refuse_queue(lambda: DomainOut())
            self._revoke()
        elif returned:
            self._restart_cold(ColdCause.DOMAIN_RETURNED)

    def on_revoke(self, fn: Callable[[tuple[str, ...]], None]) -> None:
        """Register a callback that receives the peers whose unused leases must be revoked."""
        self._on_revoke.append(fn)

    def grant_leases(self, peer_id: str, wanted: int) -> tuple[int, ...]:
        """Grant up to `wanted` leases to a peer; none if the upstream is cold or busy."""
        self.expire_leases()
        if self._record is None or self._is_closed() or self._queue:
            return ()
        if self._ramp.warmth is Warmth.COLD or not self._has_connections_for(peer_id):
            return ()
        # Keep one slot free, so that a forwarded call does not wait behind unused leases.
        free = self.limit - len(self._running_ids) - len(self._ledger) - 1
        allowed = self._cfg.max_leases_per_peer - self._ledger.held_by(peer_id)
        n = max(0, min(wanted, allowed, free))
        self._counters.add("leases_granted", n=n)
        return self._ledger.grant(peer_id, n, self._generation)

    def record_lease_use(self, lease_id: int) -> None:
        """Record that a call runs under the lease, which then outlives its short lifetime."""
        if not self._ledger.mark_used(lease_id):
            self._counters.add("leases_unknown", "used")

    def record_lease_return(self, lease_id: int, used: bool, result: CallResult | None) -> None:
        """Remove a returned lease and record the result of the call that used it."""
        in_flight = len(self._running_ids) + len(self._ledger)
        entry = self._ledger.remove(lease_id)
        if entry is None:
            self._counters.add("leases_unknown", "returned")
        elif used and result is not None and entry.generation == self._generation:
            self._record_result(result, in_flight)
        self._dispatch()

    def renew_lease(self, peer_id: str, lease_id: int, result: CallResult) -> bool:
        """Record the result of a call under a lease; return whether the peer may reuse the lease.

        A lease that is not renewed still counts until it is returned or expires, because a call
        may be in flight under it.
        """
        entry = self._ledger.get(lease_id)
        if entry is None or entry.peer_id != peer_id:
            self._counters.add("leases_unknown", "renewed")
            return False
        if entry.generation == self._generation:
            self._record_result(result, len(self._running_ids) + len(self._ledger))
            self._dispatch()
        # These conditions match a return followed by a new grant.
        if entry.used or entry.generation != self._generation or self._queue or self._is_closed():
            return False
        if self._record is None or self._ramp.warmth is Warmth.COLD or not self._has_room():
            return False
        if not self._has_connections_for(peer_id):
            return False
        self._ledger.renew(lease_id)
        return True

    def expire_leases(self) -> None:
        """Remove expired leases and admit queued calls into their slots."""
        expired_count = self._ledger.expire()
        if expired_count:
            self._counters.add("leases_expired", n=expired_count)
            self._dispatch()

    def _has_connections_for(self, peer_id: str) -> bool:
        # Each peer may keep up to max_leases_per_peer idle connections to the upstream.
        assert self._record is not None
        peers = len(self._ledger.peers() | {peer_id})
        wanted = self._record.slots + peers * self._cfg.max_leases_per_peer
        return wanted <= max(self._record.connections, self._record.slots)

    def _is_closed(self) -> bool:
        leaving = self._record is not None and self._record.state is UpstreamState.LEAVING
        return self._draining or self._domain_out or leaving

    def _refuse_if_closed(self) -> None:
        refusal = closed_refusal(self._record, draining=self._draining, domain_out=self._domain_out)
        if refusal is not None:
            raise self._count_refusal(refusal)

    def _refuse_if_queue_full(self) -> None:
        assert self._record is not None
        queued = len(self._queue)
        if self._ramp.warmth is Warmth.COLD and queued >= self.limit:
            raise self._count_refusal(ColdLimit())
        if queued >= self._cfg.max_queue:
            if self._record.connections < self._record.slots:
                raise self._count_refusal(ConnectionLimit())
            raise self._count_refusal(QueueFull())

    def _has_room(self) -> bool:
        return len(self._running_ids) + len(self._ledger) < self.limit

    def _start_call(self, queued_ms: float) -> Slot:
        slot = Slot(next(self._ids), self._generation, queued_ms)
        self._running_ids.add(slot.slot_id)
        self._counters.record("queue_ms", queued_ms)
        return slot

    async def _wait(self, waiter: _Waiter) -> Slot:
        # The limit outside overload bounds every wait; `_dispatch` applies the stricter limit
        # during overload.
        wait_until_s = (waiter.queued_at_ms + self._max_wait_ms(False)) / MS_PER_S
        with trio.move_on_at(min(waiter.deadline.at_s, wait_until_s)):
            await waiter.event.wait()
        # Cancellation that coincides with the grant would leak the slot without this checkpoint.
        await trio.lowlevel.checkpoint_if_cancelled()
        if waiter.slot is not None:
            slot, waiter.slot = waiter.slot, None
            return slot
        if waiter.refusal is None:
            expired = waiter.deadline.expired()
            waiter.refusal = DeadlineExceeded() if expired else QueueDelay()
        raise self._count_refusal(waiter.refusal)

    def _remove_waiter(self, waiter: _Waiter) -> None:
        if waiter in self._queue:
            self._queue.remove(waiter)
            self._reset_if_empty()
        if waiter.slot is not None:
            # The slot was granted in the same scheduler tick in which the wait was cancelled.
            self._running_ids.discard(waiter.slot.slot_id)
            waiter.slot = None
            self._dispatch()

    def _max_wait_ms(self, overloaded: bool) -> float:
        mean_ms = self._gradient.short_ms or 0.0
        if overloaded:
            limit_ms = self._cfg.overload_service_times * mean_ms
            return max(float(self._cfg.queue_target_ms), limit_ms)
        return max(float(self._cfg.queue_interval_ms), mean_ms)

    def _is_overloaded(self) -> bool:
        since = self._nonempty_since_ms
        return since is not None and self._timers.now_ms() - since > self._cfg.queue_interval_ms

    def _dispatch(self) -> None:
        while self._queue and self._has_room():
            overloaded = self._is_overloaded()
            waiter = self._queue.popleft()
            waited_ms = self._timers.now_ms() - waiter.queued_at_ms
            if waiter.deadline.expired():
                waiter.refusal = DeadlineExceeded()
            elif waited_ms > self._max_wait_ms(overloaded):
                waiter.refusal = QueueDelay()
            else:
                waiter.slot = self._start_call(waited_ms)
            waiter.event.set()
        self._reset_if_empty()

    def _reset_if_empty(self) -> None:
        if not self._queue:
            self._nonempty_since_ms = None

    def _refuse_queue(self, make: Callable[[], Refusal]) -> None:
        while self._queue:
            waiter = self._queue.popleft()
            waiter.refusal = make()
            waiter.event.set()
        self._reset_if_empty()

    def _record_result(self, result: CallResult, in_flight: int) -> None:
        if result.cancelled and result.ok:
            return
        if self._ramp.warmth is Warmth.WARM:
            self._gradient.on_result(result, in_flight)
        cause = self._ramp.on_result(
            result,
            at_limit=in_flight >= self.limit,
            in_flight=in_flight,
            began_ms=self._timers.now_ms() - result.service_ms,
        )
        if cause is not None:
            # Results of calls that began before the fallback must not advance the new ramp.
            self._generation += 1
            self._counters.add("cold_starts", cause.value)
            self._gradient.reset(self._record.slots if self._record else 1)
            self._revoke()

    def _restart_cold(self, cause: ColdCause) -> None:
        self._generation += 1
        slots = self._record.slots if self._record is not None else 1
        self._ramp.reset(cause, slots)
        self._gradient.reset(slots)
        self._counters.add("cold_starts", cause.value)
        self._revoke()

    def _revoke(self) -> None:
        peers = self._ledger.peers_with_unused()
        if peers:
            for fn in self._on_revoke:
                fn(peers)

    def _count_refusal(self, refusal: Refusal) -> Refusal:
        self._counters.add("admission_refused", refusal.reason)
        return refusal
