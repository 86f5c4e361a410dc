"""Admission in front of the node's own upstream: limit, queue, connection limit and leases."""

from __future__ import annotations

import collections
import dataclasses
import itertools
from collections.abc import Callable

import trio

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

MS_PER_S = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """Hold the right to one call at the upstream; times are in milliseconds."""

    slot_id: int
    generation: int
    queued_ms: float


@dataclasses.dataclass(eq=False, slots=True)
class _Waiter:
    since_ms: float
    deadline: Deadline
    event: trio.Event = dataclasses.field(default_factory=trio.Event)
    slot: Slot | None = None
    refusal: Refusal | None = None


def closed_refusal(
    record: UpstreamRecord | None, *, draining: bool, domain_out: bool
) -> Refusal | None:
    """Return why the own upstream takes no new work, None if it does."""
    if domain_out:
        return DomainOut()
    if draining:
        return NodeDraining()
    if record is None:
        return NoTarget(detail="no upstream is announced")
    return UpstreamDraining() if record.state is UpstreamState.LEAVING else None


@service("admission")
class Admission:
    """Admit calls to the own upstream, queue them for a bounded time, and grant slot leases."""

    def __init__(self, kernel: Kernel) -> None:
        self._cfg = kernel.cfg.admission
        self._timers = kernel.get("timers")
        self._counters = kernel.get("counters")
        self._record: UpstreamRecord | None = None
        self._draining = False
        self._domain_out = False
        self._generation = 0
        self._ids = itertools.count(1)
        self._live: set[int] = set()
        self._queue: collections.deque[_Waiter] = collections.deque()
        self._queued_since_ms: float | None = None
        self._ramp = Ramp(self._cfg)
        self._gradient = GradientLimit(self._cfg)
        self._ledger = LeaseLedger(self._cfg, self._timers.now_ms)
        self._on_revoke: list[Callable[[tuple[str, ...]], None]] = []

    async def start(self) -> None:
        """Start the expiry of leases that were neither used nor returned."""
        self._timers.every(self._cfg.lease_lifetime_ms, self.expire_leases)

    async def stop(self) -> None:
        """Refuse what is still queued as not run."""
        self._refuse_queue(lambda: NodeDraining())

    @property
    def limit(self) -> int:
        """Return how many calls and leases may exist together now."""
        suspect = self._ramp.suspect_limit
        return self._told_limit if suspect is None else min(suspect, self._told_limit)

    @property
    def _told_limit(self) -> int:
        """Return the limit that other nodes learn.

        An upstream under suspicion needs a further call to show that it is well, and no node would
        pick it with the smaller limit.
        """
        if self._record is None:
            return 0
        cap = min(self._record.slots, self._record.connections)
        cold = self._ramp.warmth is Warmth.COLD
        return max(1, min(cap, self._ramp.limit if cold else self._gradient.limit))

    @property
    def in_flight(self) -> int:
        """Return the number of calls that hold a slot."""
        return len(self._live)

    @property
    def leased(self) -> int:
        """Return the number of leases that peers hold, used or not."""
        return len(self._ledger)

    async def admit(self, deadline: Deadline, spec: CallSpec | None = None) -> Slot:
        """Return a slot, after a bounded wait; raises Refusal, always with outcome not-run."""
        await trio.lowlevel.checkpoint_if_cancelled()
        self._refuse_if_closed()
        if deadline.expired():
            raise self._counted(DeadlineExceeded())
        if not self._queue and self._has_room():
            return self._take(0.0)
        self._refuse_if_queue_full()
        waiter = _Waiter(self._timers.now_ms(), deadline)
        if not self._queue:
            self._queued_since_ms = waiter.since_ms
        self._queue.append(waiter)
        try:
            return await self._wait(waiter)
        finally:
            self._abandon(waiter)

    def release(self, slot: Slot, result: CallResult) -> None:
        """Give a slot back with the result of its call; a second release is only counted."""
        if slot.slot_id not in self._live:
            self._counters.add("admission_double_release")
            return
        in_flight = len(self._live) + len(self._ledger)
        self._live.discard(slot.slot_id)
        if slot.generation == self._generation:
            self._learn(result, in_flight)
        self._dispatch()

    def load(self) -> LoadSample:
        """Return the load of the upstream as this gate counts it."""
        leaving = self._record is None or self._record.state is UpstreamState.LEAVING
        return LoadSample(
            in_flight=len(self._live) + self._ledger.in_use,
            queued=len(self._queue),
            limit=self._told_limit,
            latency_ms=self._gradient.short_ms or 0.0,
            warmth=self._ramp.warmth,
            draining=self._draining or self._domain_out or leaving,
        )

    def set_upstream(self, record: UpstreamRecord | None) -> None:
        """Take the announcement of the upstream; a new incarnation or instance id is cold."""
        old, self._record = self._record, record
        if record is None:
            self._refuse_queue(lambda: NoTarget(detail="no upstream is announced"))
            self._revoke()
            return
        if (
            old is None
            or (old.instance_id, old.incarnation) != (record.instance_id, record.incarnation)
            or old.slots != record.slots
        ):
            self._turn_cold(ColdCause.NEW_INCARNATION)
        if record.state is UpstreamState.LEAVING:
            self._refuse_queue(lambda: UpstreamDraining())
            self._revoke()
        self._dispatch()

    def set_draining(self, draining: bool) -> None:
        """Refuse new work while the node stops; what is queued is still served."""
        self._draining = draining
        if draining:
            self._revoke()

    def set_domain_out(self, out: bool) -> None:
        """Refuse all work and empty the queue while the domain is out; a return is a cold start."""
        returned = self._domain_out and not out
        self._domain_out = out
        if out:
            self._refuse_queue(lambda: DomainOut())
            self._revoke()
        elif returned:
            self._turn_cold(ColdCause.DOMAIN_RETURNED)

    def on_revoke(self, fn: Callable[[tuple[str, ...]], None]) -> None:
        """Call fn with the peers whose unused leases are to be withdrawn by message."""
        self._on_revoke.append(fn)

    def grant_leases(self, peer_id: str, wanted: int) -> tuple[int, ...]:
        """Grant up to the wanted number of slot leases to a peer; none unless warm and free."""
        self.expire_leases()
        if self._record is None or self._closed() or self._queue:
            return ()
        if self._ramp.warmth is Warmth.COLD or not self._connections_allow(peer_id):
            return ()
        # One slot stays free, so that a forwarded call does not wait behind unused leases.
        free = self.limit - len(self._live) - len(self._ledger) - 1
        allowed = self._cfg.max_leases_per_peer - self._ledger.held_by(peer_id)
        n = max(0, min(wanted, allowed, free))
        self._counters.add("leases_granted", n=n)
        return self._ledger.grant(peer_id, n, self._generation)

    def record_lease_use(self, lease_id: int) -> None:
        """Note that a call runs under the lease, which ends its short lifetime."""
        if not self._ledger.mark_used(lease_id):
            self._counters.add("leases_unknown", "used")

    def record_lease_return(self, lease_id: int, used: bool, result: CallResult | None) -> None:
        """End a lease and learn from the call that used it."""
        in_flight = len(self._live) + len(self._ledger)
        entry = self._ledger.remove(lease_id)
        if entry is None:
            self._counters.add("leases_unknown", "returned")
        elif used and result is not None and entry.generation == self._generation:
            self._learn(result, in_flight)
        self._dispatch()

    def renew_lease(self, peer_id: str, lease_id: int, result: CallResult) -> bool:
        """Learn from a call under a lease; return whether its peer may go on using the lease.

        A lease that is not renewed counts until it is returned or expires, as it may be in use.
        """
        entry = self._ledger.get(lease_id)
        if entry is None or entry.peer_id != peer_id:
            self._counters.add("leases_unknown", "renewed")
            return False
        if entry.generation == self._generation:
            self._learn(result, len(self._live) + len(self._ledger))
            self._dispatch()
        # The same conditions as for a return that is followed by a new grant.
        if entry.used or entry.generation != self._generation or self._queue or self._closed():
            return False
        if self._record is None or self._ramp.warmth is Warmth.COLD or not self._has_room():
            return False
        if not self._connections_allow(peer_id):
            return False
        self._ledger.renew(lease_id)
        return True

    def expire_leases(self) -> None:
        """End the leases whose lifetime is over and admit what waits for their slots."""
        over = self._ledger.expire()
        if over:
            self._counters.add("leases_expired", n=over)
            self._dispatch()

    def _connections_allow(self, peer_id: str) -> bool:
        # Each peer may keep as many idle connections as it holds leases at most.
        assert self._record is not None
        peers = len(self._ledger.peers() | {peer_id})
        wanted = self._record.slots + peers * self._cfg.max_leases_per_peer
        return wanted <= max(self._record.connections, self._record.slots)

    def _closed(self) -> bool:
        leaving = self._record is not None and self._record.state is UpstreamState.LEAVING
        return self._draining or self._domain_out or leaving

    def _refuse_if_closed(self) -> None:
        refusal = closed_refusal(self._record, draining=self._draining, domain_out=self._domain_out)
        if refusal is not None:
            raise self._counted(refusal)

    def _refuse_if_queue_full(self) -> None:
        assert self._record is not None
        queued = len(self._queue)
        if self._ramp.warmth is Warmth.COLD and queued >= self.limit:
            raise self._counted(ColdLimit())
        if queued >= self._cfg.max_queue:
            if self._record.connections < self._record.slots:
                raise self._counted(ConnectionLimit())
            raise self._counted(QueueFull())

    def _has_room(self) -> bool:
        return len(self._live) + len(self._ledger) < self.limit

    def _take(self, queued_ms: float) -> Slot:
        slot = Slot(next(self._ids), self._generation, queued_ms)
        self._live.add(slot.slot_id)
        self._counters.record("queue_ms", queued_ms)
        return slot

    async def _wait(self, waiter: _Waiter) -> Slot:
        # Nothing waits longer than the allowance outside overload; inside it, `_dispatch` is
        # stricter.
        until_s = (waiter.since_ms + self._allowance_ms(False)) / MS_PER_S
        with trio.move_on_at(min(waiter.deadline.at_s, until_s)):
            await waiter.event.wait()
        # A caller that was cancelled in the moment of the grant would drop the slot unreleased.
        await trio.lowlevel.checkpoint_if_cancelled()
        if waiter.slot is not None:
            slot, waiter.slot = waiter.slot, None
            return slot
        if waiter.refusal is None:
            expired = waiter.deadline.expired()
            waiter.refusal = DeadlineExceeded() if expired else QueueDelay()
        raise self._counted(waiter.refusal)

    def _abandon(self, waiter: _Waiter) -> None:
        if waiter in self._queue:
            self._queue.remove(waiter)
            self._note_empty()
        if waiter.slot is not None:
            # The slot was granted in the same moment in which the wait was cancelled.
            self._live.discard(waiter.slot.slot_id)
            waiter.slot = None
            self._dispatch()

    def _allowance_ms(self, overloaded: bool) -> float:
        mean_ms = self._gradient.short_ms or 0.0
        if overloaded:
            allowed_ms = self._cfg.overload_service_times * mean_ms
            return max(float(self._cfg.queue_target_ms), allowed_ms)
        return max(float(self._cfg.queue_interval_ms), mean_ms)

    def _overloaded(self) -> bool:
        since = self._queued_since_ms
        return since is not None and self._timers.now_ms() - since > self._cfg.queue_interval_ms

    def _dispatch(self) -> None:
        while self._queue and self._has_room():
            overloaded = self._overloaded()
            waiter = self._queue.popleft()
            waited_ms = self._timers.now_ms() - waiter.since_ms
            if waiter.deadline.expired():
                waiter.refusal = DeadlineExceeded()
            elif waited_ms > self._allowance_ms(overloaded):
                waiter.refusal = QueueDelay()
            else:
                waiter.slot = self._take(waited_ms)
            waiter.event.set()
        self._note_empty()

    def _note_empty(self) -> None:
        if not self._queue:
            self._queued_since_ms = None

    def _refuse_queue(self, make: Callable[[], Refusal]) -> None:
        while self._queue:
            waiter = self._queue.popleft()
            waiter.refusal = make()
            waiter.event.set()
        self._note_empty()

    def _learn(self, result: CallResult, in_flight: int) -> None:
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
            # Work that began before the fall back proves nothing about the new ramp.
            self._generation += 1
            self._counters.add("cold_starts", cause.value)
            self._gradient.reset(self._record.slots if self._record else 1)
            self._revoke()

    def _turn_cold(self, cause: ColdCause) -> None:
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

    def _counted(self, refusal: Refusal) -> Refusal:
        self._counters.add("admission_refused", refusal.reason)
        return refusal
