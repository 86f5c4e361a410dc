"""Slot leases: the ledger of the granting node and the table of the node that uses them."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import math
import random
from collections.abc import Callable

from knapweedhitch.kernel import Kernel, service
from knapweedhitch.settings import AdmissionSettings

# The granting node keeps an unused lease this many lifetimes, so that the notice of a use that
# began just before the holder's own, earlier expiry still arrives in time.
LEDGER_LIFETIMES = 2.0
# A holder begins no call in the last share of a lifetime, for the same reason.
LAST_SHARE = 0.2
# The end of a lease that its node wants back while a call runs under it.
WITHDRAWN_MS = -math.inf
MAX_RECENT_TAKES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseEntry:
    """Hold one lease that this node granted, with its end in milliseconds."""

    lease_id: int
    peer_id: str
    expires_ms: float
    generation: int
    used: bool = False


class LeaseLedger:
    """Count the leases that this node granted for its own upstream."""

    def __init__(
        self, cfg: AdmissionSettings, now_ms: Callable[[], float], rng: random.Random | None = None
    ) -> None:
        self._cfg = cfg
        self._now_ms = now_ms
        self._entries: dict[int, LeaseEntry] = {}
        # A random start keeps a return that was meant for an earlier process from matching.
        self._ids = itertools.count((rng or random.Random()).getrandbits(40) << 20)

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def in_use(self) -> int:
        """Return the number of leases with a call under way."""
        return sum(1 for entry in self._entries.values() if entry.used)

    def held_by(self, peer_id: str) -> int:
        """Return the number of leases of one peer."""
        return sum(1 for entry in self._entries.values() if entry.peer_id == peer_id)

    def peers_with_unused(self) -> tuple[str, ...]:
        """Return the peers that hold leases without a call."""
        return tuple(sorted({e.peer_id for e in self._entries.values() if not e.used}))

    def peers(self) -> frozenset[str]:
        """Return the peers that hold any lease."""
        return frozenset(entry.peer_id for entry in self._entries.values())

    def grant(self, peer_id: str, n: int, generation: int) -> tuple[int, ...]:
        """Grant n leases to the peer for one generation of the upstream."""
        expires_ms = self._now_ms() + LEDGER_LIFETIMES * self._cfg.lease_lifetime_ms
        granted = tuple(next(self._ids) for _ in range(n))
        for lease_id in granted:
            self._entries[lease_id] = LeaseEntry(lease_id, peer_id, expires_ms, generation)
        return granted

    def mark_used(self, lease_id: int) -> bool:
        """Note that a call runs under the lease; return False if it is not known."""
        entry = self._entries.get(lease_id)
        if entry is None:
            return False
        expires_ms = self._now_ms() + self._cfg.max_lease_use_ms
        self._entries[lease_id] = dataclasses.replace(entry, expires_ms=expires_ms, used=True)
        return True

    def get(self, lease_id: int) -> LeaseEntry | None:
        """Return the entry of a lease, or None if it is not known."""
        return self._entries.get(lease_id)

    def renew(self, lease_id: int) -> None:
        """Start the lifetime of a known lease again."""
        expires_ms = self._now_ms() + LEDGER_LIFETIMES * self._cfg.lease_lifetime_ms
        self._entries[lease_id] = dataclasses.replace(
            self._entries[lease_id], expires_ms=expires_ms
        )

    def remove(self, lease_id: int) -> LeaseEntry | None:
        """End the lease and return its entry, or None if it is not known."""
        return self._entries.pop(lease_id, None)

    def expire(self) -> int:
        """End the leases whose time is over and return their number."""
        now = self._now_ms()
        over = [i for i, entry in self._entries.items() if entry.expires_ms <= now]
        for lease_id in over:
            del self._entries[lease_id]
        return len(over)


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    lease_id: int
    expires_ms: float


@dataclasses.dataclass(slots=True)
class _PerTarget:
    free: list[_Held] = dataclasses.field(default_factory=list)
    taken: dict[int, _Held] = dataclasses.field(default_factory=dict)
    asked_ms: float | None = None
    ask_again_ms: float = 0.0
    wants: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_RECENT_TAKES)
    )


@service("slotlease")
class SlotLeases:
    """Keep the leases that other nodes granted to this one, by instance id of the target."""

    def __init__(self, kernel: Kernel) -> None:
        self._cfg = kernel.cfg.admission
        self._max_targets = kernel.cfg.routing.max_tracked_targets
        self._counters = kernel.get("counters")
        self._now_ms: Callable[[], float] = kernel.get("timers").now_ms
        self._targets: dict[str, _PerTarget] = {}

    async def start(self) -> None:
        """Do nothing; expiry is checked at each use."""

    async def stop(self) -> None:
        """Do nothing; leases end by themselves."""

    def usable_count(self, instance_id: str) -> int:
        """Return the number of leases that a call could use now."""
        held = self._targets.get(instance_id)
        if held is None:
            return 0
        self._drop_expired(held)
        return sum(1 for lease in held.free if self._usable(lease))

    def acquire(self, instance_id: str) -> int | None:
        """Take a lease for one call, or return None; either way note that one was wanted."""
        held = self._target(instance_id)
        if held is None:
            return None
        held.wants.append(self._now_ms())
        self._drop_expired(held)
        usable = [lease for lease in held.free if self._usable(lease)]
        if not usable:
            self._counters.add("slot_leases", "missing")
            return None
        # The one that ends first is used first, so that fewer end unused.
        lease = min(usable, key=lambda item: item.expires_ms)
        held.free.remove(lease)
        held.taken[lease.lease_id] = lease
        self._counters.add("slot_leases", "taken")
        return lease.lease_id

    def release(self, instance_id: str, lease_id: int, *, used: bool) -> bool:
        """End the use of a lease; return False if it is to be sent back to its node."""
        held = self._targets.get(instance_id)
        lease = held.taken.pop(lease_id, None) if held is not None else None
        if held is None or lease is None or used or not self._usable(lease):
            return False
        held.free.append(lease)
        return True

    def retain(self, instance_id: str, lease_id: int) -> bool:
        """Keep a used lease for the next call; return False if it is to be sent back."""
        held = self._targets.get(instance_id)
        lease = held.taken.get(lease_id) if held is not None else None
        if held is None or lease is None or not self._usable(lease):
            return False
        del held.taken[lease_id]
        held.free.append(lease)
        self._counters.add("slot_leases", "kept")
        return True

    def record_renewal(
        self, instance_id: str, lease_id: int, lifetime_ms: float, sent_ms: float
    ) -> None:
        """Start the lifetime of a lease again, from the moment in which the renewal was sent."""
        held = self._targets.get(instance_id)
        if held is None:
            return
        lease = _Held(lease_id, sent_ms + lifetime_ms)
        held.free = [lease if old.lease_id == lease_id else old for old in held.free]
        old = held.taken.get(lease_id)
        if old is not None and old.expires_ms != WITHDRAWN_MS:
            held.taken[lease_id] = lease

    def record_withdrawal(self, instance_id: str, lease_id: int) -> bool:
        """Drop a lease that was not renewed; return True if it is to be sent back now."""
        held = self._targets.get(instance_id)
        if held is None:
            return False
        if lease_id in held.taken:
            held.taken[lease_id] = _Held(lease_id, WITHDRAWN_MS)
            return False
        kept = [lease for lease in held.free if lease.lease_id != lease_id]
        dropped = len(kept) < len(held.free)
        held.free = kept
        return dropped

    def wanted_count(self, instance_id: str) -> int:
        """Return how many leases to ask for now: what the last lifetime used, less what is held."""
        held = self._targets.get(instance_id)
        now = self._now_ms()
        if held is None or now < held.ask_again_ms:
            return 0
        if held.asked_ms is not None and now < held.asked_ms + self._cfg.lease_lifetime_ms:
            return 0
        self._drop_expired(held)
        recent = sum(1 for at in held.wants if now - at <= self._cfg.lease_lifetime_ms)
        goal = min(recent, self._cfg.max_leases_per_peer)
        # The target counts the taken ones as well; asking beyond its limit would be refused, and a
        # refusal ends all asking for one lifetime.
        return max(0, goal - len(held.taken) - sum(1 for x in held.free if self._usable(x)))

    def record_request(self, instance_id: str) -> float:
        """Note that a request for leases is sent; return the moment for `granted`."""
        held = self._target(instance_id)
        now = self._now_ms()
        if held is not None:
            held.asked_ms = now
        return now

    def record_grant(
        self, instance_id: str, lease_ids: tuple[int, ...], lifetime_ms: float, sent_ms: float
    ) -> None:
        """Take leases in; their lifetime counts from the moment the request was sent."""
        held = self._target(instance_id)
        if held is None:
            return
        held.asked_ms = None
        if not lease_ids:
            held.ask_again_ms = self._now_ms() + self._cfg.lease_lifetime_ms
        room = self._cfg.max_leases_per_peer - len(held.free)
        expires_ms = sent_ms + lifetime_ms
        held.free += [_Held(i, expires_ms) for i in lease_ids[: max(0, room)]]
        self._drop_expired(held)

    def revoke(self, instance_id: str) -> tuple[int, ...]:
        """Drop the unused leases of the target and return their ids, which are to be sent back."""
        held = self._targets.get(instance_id)
        if held is None:
            return ()
        dropped = tuple(lease.lease_id for lease in held.free)
        held.free.clear()
        # A lease with a call under way goes back after that call.
        for lease_id in held.taken:
            held.taken[lease_id] = _Held(lease_id, WITHDRAWN_MS)
        held.ask_again_ms = self._now_ms() + self._cfg.lease_lifetime_ms
        self._counters.add("slot_leases", "revoked", len(dropped))
        return dropped

    def forget(self, instance_id: str) -> None:
        """Drop everything about a target that is gone."""
        self._targets.pop(instance_id, None)

    def _usable(self, lease: _Held) -> bool:
        return lease.expires_ms - self._now_ms() > LAST_SHARE * self._cfg.lease_lifetime_ms

    def _drop_expired(self, held: _PerTarget) -> None:
        now = self._now_ms()
        live = [lease for lease in held.free if lease.expires_ms > now]
        if len(live) < len(held.free):
            self._counters.add("slot_leases", "expired", len(held.free) - len(live))
            held.free = live

    def _target(self, instance_id: str) -> _PerTarget | None:
        held = self._targets.get(instance_id)
        if held is None:
            if len(self._targets) >= self._max_targets:
                return None
            held = self._targets[instance_id] = _PerTarget()
        return held
