"""Slot leases: the ledger of the granting node and the leases of the holding node."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import math
import random
from collections.abc import Callable

from knapweedhitch.kernel import Kernel, service
from knapweedhitch.settings import AdmissionSettings

# The granting node counts an unused lease for this many lifetimes, so that the notice of a call
# that began just before the holder's own, earlier expiry still arrives in time.
LEDGER_LIFETIMES = 2.0
# For the same reason, a holder starts no call in this last share of a lifetime.
NO_START_SHARE = 0.2
# Expiry of a lease that was revoked while a call runs under it.
REVOKED_MS = -math.inf
MAX_RECENT_DEMAND = 64


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseEntry:
    """Describe one lease granted by this node."""

    lease_id: int
    peer_id: str
    expires_ms: float
    generation: int
    used: bool = False


class LeaseLedger:
    """Track the leases that this node granted for its local upstream."""

    def __init__(
        self, cfg: AdmissionSettings, now_ms: Callable[[], float], rng: random.Random | None = None
    ) -> None:
        self._cfg = cfg
        self._now_ms = now_ms
        self._entries: dict[int, LeaseEntry] = {}
        # Ids start at random, so that a return to an earlier process matches no lease of this one.
        self._ids = itertools.count((rng or random.Random()).getrandbits(40) << 20)

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def in_use(self) -> int:
        """Return the number of leases with a call in flight."""
        return sum(1 for entry in self._entries.values() if entry.used)

    def held_by(self, peer_id: str) -> int:
        """Return the number of leases of one peer."""
        return sum(1 for entry in self._entries.values() if entry.peer_id == peer_id)

    def peers_with_unused(self) -> tuple[str, ...]:
        """Return the peers that hold leases without a call in flight."""
        return tuple(sorted({e.peer_id for e in self._entries.values() if not e.used}))

    def peers(self) -> frozenset[str]:
        """Return the peers that hold any lease."""
        return frozenset(entry.peer_id for entry in self._entries.values())

    def grant(self, peer_id: str, count: int, generation: int) -> tuple[int, ...]:
        """Grant leases to a peer for one generation of the upstream; return their ids."""
        expires_ms = self._now_ms() + LEDGER_LIFETIMES * self._cfg.lease_lifetime_ms
        granted = tuple(next(self._ids) for _ in range(count))
        for lease_id in granted:
            self._entries[lease_id] = LeaseEntry(lease_id, peer_id, expires_ms, generation)
        return granted

    def mark_used(self, lease_id: int) -> bool:
        """Record that a call runs under the lease; return False if the lease is unknown."""
        entry = self._entries.get(lease_id)
        if entry is None:
            return False
        expires_ms = self._now_ms() + self._cfg.max_lease_use_ms
        self._entries[lease_id] = dataclasses.replace(entry, expires_ms=expires_ms, used=True)
        return True

    def get(self, lease_id: int) -> LeaseEntry | None:
        """Return the entry of a lease, or None if it is unknown."""
        return self._entries.get(lease_id)

    def renew(self, lease_id: int) -> None:
        """Restart the lifetime of a known lease."""
        expires_ms = self._now_ms() + LEDGER_LIFETIMES * self._cfg.lease_lifetime_ms
        self._entries[lease_id] = dataclasses.replace(
            self._entries[lease_id], expires_ms=expires_ms
        )

    def remove(self, lease_id: int) -> LeaseEntry | None:
        """Remove a lease and return its entry, or None if it is unknown."""
        return self._entries.pop(lease_id, None)

    def expire(self) -> int:
        """Remove the expired leases and return their number."""
        now = self._now_ms()
        expired_ids = [i for i, entry in self._entries.items() if entry.expires_ms <= now]
        for lease_id in expired_ids:
            del self._entries[lease_id]
        return len(expired_ids)


@dataclasses.dataclass(frozen=True, slots=True)
class _Lease:
    lease_id: int
    expires_ms: float


@dataclasses.dataclass(slots=True)
class _TargetLeases:
    free: list[_Lease] = dataclasses.field(default_factory=list)
    acquired: dict[int, _Lease] = dataclasses.field(default_factory=dict)
    requested_ms: float | None = None
    next_request_ms: float = 0.0
    revoked_ms: float = -math.inf
    demand_ms: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_RECENT_DEMAND)
    )


@service("slotlease")
class SlotLeases:
    """Track the leases that other nodes granted to this one, by instance id of the target."""

    def __init__(self, kernel: Kernel) -> None:
        self._cfg = kernel.cfg.admission
        self._max_targets = kernel.cfg.routing.max_tracked_targets
        self._counters = kernel.get("counters")
        self._now_ms: Callable[[], float] = kernel.get("timers").now_ms
        self._targets: dict[str, _TargetLeases] = {}

    async def start(self) -> None:
        """Do nothing; expiry is checked at each use."""

    async def stop(self) -> None:
        """Do nothing; leases expire by themselves."""

    def usable_count(self, instance_id: str) -> int:
        """Return the number of free leases that a call can use now."""
        leases = self._targets.get(instance_id)
        if leases is None:
            return 0
        self._drop_expired(leases)
        return sum(1 for lease in leases.free if self._is_usable(lease))

    def acquire(self, instance_id: str) -> int | None:
        """Acquire a lease for one call, or return None; either way the demand is recorded."""
        leases = self._get_or_create(instance_id)
        if leases is None:
            return None
        leases.demand_ms.append(self._now_ms())
        self._drop_expired(leases)
        usable_leases = [lease for lease in leases.free if self._is_usable(lease)]
        if not usable_leases:
            self._counters.add("slot_leases", "missing")
            return None
        # Use the lease that expires first, so that fewer expire unused.
        lease = min(usable_leases, key=lambda item: item.expires_ms)
        leases.free.remove(lease)
        leases.acquired[lease.lease_id] = lease
        self._counters.add("slot_leases", "taken")
        return lease.lease_id

    def release(self, instance_id: str, lease_id: int, *, used: bool) -> bool:
        """Release an acquired lease; return False if it must be returned to its node."""
        leases = self._targets.get(instance_id)
        lease = leases.acquired.pop(lease_id, None) if leases is not None else None
        if leases is None or lease is None or used or not self._is_usable(lease):
            return False
        leases.free.append(lease)
        return True

    def retain(self, instance_id: str, lease_id: int) -> bool:
        """Make a used lease free for the next call; return False if it must be returned."""
        leases = self._targets.get(instance_id)
        lease = leases.acquired.get(lease_id) if leases is not None else None
        if leases is None or lease is None or not self._is_usable(lease):
            return False
        del leases.acquired[lease_id]
        leases.free.append(lease)
        self._counters.add("slot_leases", "kept")
        return True

    def record_renewal(
        self, instance_id: str, lease_id: int, lifetime_ms: float, sent_ms: float
    ) -> None:
        """Restart the lifetime of a lease, counted from the time the renewal was sent."""
        leases = self._targets.get(instance_id)
        if leases is None:
            return
        lease = _Lease(lease_id, sent_ms + lifetime_ms)
        leases.free = [lease if old.lease_id == lease_id else old for old in leases.free]
        old = leases.acquired.get(lease_id)
        if old is not None and old.expires_ms != REVOKED_MS:
            leases.acquired[lease_id] = lease

    def record_withdrawal(self, instance_id: str, lease_id: int) -> bool:
        """Remove a lease that was not renewed; return True if it must be returned now."""
        leases = self._targets.get(instance_id)
        if leases is None:
            return False
        if lease_id in leases.acquired:
            leases.acquired[lease_id] = _Lease(lease_id, REVOKED_MS)
            return False
        remaining = [lease for lease in leases.free if lease.lease_id != lease_id]
        removed = len(remaining) < len(leases.free)
        leases.free = remaining
        return removed

    def wanted_count(self, instance_id: str) -> int:
        """Return how many leases to request now: the recent demand less the leases held."""
        leases = self._targets.get(instance_id)
        now = self._now_ms()
        if leases is None or now < leases.next_request_ms:
            return 0
        if (
            leases.requested_ms is not None
            and now < leases.requested_ms + self._cfg.lease_lifetime_ms
        ):
            return 0
        self._drop_expired(leases)
        recent_demand = sum(1 for at in leases.demand_ms if now - at <= self._cfg.lease_lifetime_ms)
        goal = min(recent_demand, self._cfg.max_leases_per_peer)
        # The target counts acquired leases as well. It would refuse a request beyond its limit, and
        # after a refusal no request is sent for one lifetime.
        return max(
            0, goal - len(leases.acquired) - sum(1 for x in leases.free if self._is_usable(x))
        )

    def record_request(self, instance_id: str) -> float:
        """Record that a lease request is sent; return the time to pass to `record_grant`."""
        leases = self._get_or_create(instance_id)
        now = self._now_ms()
        if leases is not None:
            leases.requested_ms = now
        return now

    def record_grant(
        self, instance_id: str, lease_ids: tuple[int, ...], lifetime_ms: float, sent_ms: float
    ) -> tuple[int, ...]:
        """Add granted leases, whose lifetime counts from the time the request was sent.

        Return the ids of those that may have been revoked before they arrived.
        """
        leases = self._get_or_create(instance_id)
        if leases is None:
            return ()
        leases.requested_ms = None
        if sent_ms <= leases.revoked_ms:
            return lease_ids
        if not lease_ids:
            leases.next_request_ms = self._now_ms() + self._cfg.lease_lifetime_ms
        free_count = self._cfg.max_leases_per_peer - len(leases.free)
        expires_ms = sent_ms + lifetime_ms
        leases.free += [_Lease(i, expires_ms) for i in lease_ids[: max(0, free_count)]]
        self._drop_expired(leases)
        return ()

    def revoke(self, instance_id: str) -> tuple[int, ...]:
        """Remove the unused leases of the target and return their ids, which must be returned."""
        leases = self._targets.get(instance_id)
        if leases is None:
            return ()
        leases.revoked_ms = self._now_ms()
        removed = tuple(lease.lease_id for lease in leases.free)
        leases.free.clear()
        # A lease with a call in flight is returned after that call.
        for lease_id in leases.acquired:
            leases.acquired[lease_id] = _Lease(lease_id, REVOKED_MS)
        leases.next_request_ms = self._now_ms() + self._cfg.lease_lifetime_ms
        self._counters.add("slot_leases", "revoked", len(removed))
        return removed

    def forget(self, instance_id: str) -> None:
        """Remove all state of a target."""
        self._targets.pop(instance_id, None)

    def _is_usable(self, lease: _Lease) -> bool:
        return lease.expires_ms - self._now_ms() > NO_START_SHARE * self._cfg.lease_lifetime_ms

    def _drop_expired(self, leases: _TargetLeases) -> None:
        now = self._now_ms()
        unexpired = [lease for lease in leases.free if lease.expires_ms > now]
        if len(unexpired) < len(leases.free):
            self._counters.add("slot_leases", "expired", len(leases.free) - len(unexpired))
            leases.free = unexpired

    def _get_or_create(self, instance_id: str) -> _TargetLeases | None:
        leases = self._targets.get(instance_id)
        if leases is None:
            if len(self._targets) >= self._max_targets:
                return None
            leases = self._targets[instance_id] = _TargetLeases()
        return leases
