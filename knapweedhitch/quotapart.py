"""The parts of quotas that one voter holds, and the proof that it is a voter.

Each voter of the replicated log is on its own the authority of an equal part of each quota. No
part moves from one holder to another, so that the loss or the pause of a holder needs no failover.
"""

from __future__ import annotations

import dataclasses
import enum
import math
from collections.abc import Callable, Mapping

from knapweedhitch.budget import TokenBucket
from knapweedhitch.clock import MS_PER_S
from knapweedhitch.items import CustomerItem, Items

# Of the tokens left over, the share that one node may get for requests that it only expects.
EXPECTED_SHARE = 0.25
# Higher limits don't fit into messages, and no customer reaches them.
MAX_LIMIT = 1e12
# Longer waits for a token don't fit either.
MAX_WAIT_MS = 1e12


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaLimits:
    """Describe the quota of a customer over all nodes, as of a version of its item."""

    version: int
    rate_per_s: float
    burst: float

    @classmethod
    def of(cls, item: CustomerItem) -> QuotaLimits | None:
        """Return the limits of a customer, None if it has none."""
        if item.rate_per_s <= 0.0:
            return None
        rate, burst = min(item.rate_per_s, MAX_LIMIT), min(item.burst, MAX_LIMIT)
        return cls(item.version, rate, burst)


@dataclasses.dataclass(frozen=True, slots=True)
class Division:
    """Divide quotas into equal parts.

    A part holds up to one token more than its share of the burst, as only whole tokens can be
    granted. All parts together stay within the slack.
    """

    parts: int
    slack: float

    def divide(self, limits: QuotaLimits) -> tuple[float, float]:
        """Return the rate per second and the burst of one part."""
        extra = min(1.0, self.slack / self.parts)
        return limits.rate_per_s / self.parts, limits.burst / self.parts + extra


class QuotaPart:
    """Grant tokens of one customer from one part of its quota.

    The part begins empty: what an earlier holder granted within the last window is not known.
    """

    def __init__(
        self, limits: QuotaLimits, division: Division, now_ms: Callable[[], float]
    ) -> None:
        self._division = division
        self._now_ms = now_ms
        self.limits = limits
        rate, burst = division.divide(limits)
        self._bucket = TokenBucket(rate, burst, now_ms, full=False)
        # Tokens of the future that refused callers were told to come back for.
        self._promised = 0.0
        self._promised_ms = now_ms()

    @property
    def tokens(self) -> float:
        """Return the number of tokens that are left."""
        return self._bucket.tokens

    def set_limits(self, limits: QuotaLimits) -> None:
        """Change the limits; tokens beyond a lower burst are lost, a raise adds none."""
        self.limits = limits
        self._bucket.set_limits(*self._division.divide(limits))

    def clear(self) -> None:
        """Drop all tokens."""
        self._bucket.take(self._bucket.tokens)

    def grant(self, wanted: int, expected: int) -> int:
        """Take tokens for waiting requests, and for expected ones while many are left."""
        tokens = int(self._bucket.tokens)
        needed = min(wanted, tokens)
        granted = needed + min(expected, int((tokens - needed) * EXPECTED_SHARE))
        self._bucket.take(granted)
        return granted

    def deposit(self, count: int) -> None:
        """Take tokens back, up to the burst."""
        self._bucket.deposit(count)

    def record_refused(self, count: int) -> None:
        """Record refusals of which each caller was told a time to come back."""
        self._decay_promised()
        self._promised += count / self._division.parts

    def next_token_ms(self) -> float:
        """Return the time until the part has a token."""
        return self._wait_ms(1.0)

    def retry_after_ms(self, max_ms: float) -> float:
        """Return the time until a token is left over from those promised to others before."""
        self._decay_promised()
        rate = self._bucket.rate_per_s
        self._promised = min(self._promised, rate * max_ms / MS_PER_S)
        return min(max_ms, self._wait_ms(1.0 + self._promised))

    def _wait_ms(self, tokens: float) -> float:
        missing = max(0.0, tokens - self._bucket.tokens)
        rate = self._bucket.rate_per_s
        if missing * MS_PER_S >= MAX_WAIT_MS * rate:
            return MAX_WAIT_MS
        return missing / rate * MS_PER_S

    def _decay_promised(self) -> None:
        now = self._now_ms()
        refilled = self._bucket.rate_per_s * max(0.0, now - self._promised_ms) / MS_PER_S
        self._promised, self._promised_ms = max(0.0, self._promised - refilled), now


class QuotaTable:
    """Hold the parts of all customers with a quota at one holder."""

    def __init__(self, division: Division, max_customers: int, now_ms: Callable[[], float]) -> None:
        self._division = division
        self._max_customers = max_customers
        self._now_ms = now_ms
        self._parts: dict[str, QuotaPart] = {}
        self._removed: Mapping[str, int] = {}
        self._unlimited: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._parts)

    def set_items(self, items: Items) -> None:
        """Follow the configuration; limits that a node told before are never replaced by older."""
        self._removed = items.removed_customers
        self._unlimited = {}
        for name, item in items.customers.items():
            limits = QuotaLimits.of(item)
            if limits is not None:
                self.get(name, limits)
                continue
            self._unlimited[name] = item.version
            part = self._parts.get(name)
            if part is not None and part.limits.version <= item.version:
                del self._parts[name]
        for name, version in self._removed.items():
            part = self._parts.get(name)
            if part is not None and part.limits.version <= version:
                del self._parts[name]

    def get(self, customer: str, limits: QuotaLimits) -> QuotaPart | None:
        """Return the part of a customer under the newer of the known and the given limits.

        Return None for a customer that was removed or beyond the number of customers.
        """
        part = self._parts.get(customer)
        if part is not None:
            if limits.version > part.limits.version:
                part.set_limits(limits)
            return part
        known = max(self._removed.get(customer, -1), self._unlimited.get(customer, -1))
        if limits.version <= known or len(self._parts) >= self._max_customers:
            return None
        part = self._parts[customer] = QuotaPart(limits, self._division, self._now_ms)
        return part

    def is_unlimited(self, customer: str, version: int) -> bool:
        """Return whether a customer has no quota as of the version that a node knows or later."""
        return self._unlimited.get(customer, -1) >= version

    def find(self, customer: str) -> QuotaPart | None:
        """Return the part of a customer, None if there is none."""
        return self._parts.get(customer)

    def clear(self) -> None:
        """Drop the tokens of all customers."""
        for part in self._parts.values():
            part.clear()


class LeaseState(enum.Enum):
    """List the states of a holder of quota parts."""

    GRANTING = "granting"
    # A voter whose predecessor may still grant tokens.
    WAITING = "waiting"
    UNPROVED = "unproved"


class VoterLease:
    """Tell whether this node may grant tokens as a voter of the replicated log.

    A voter that was replaced without knowing it stops when its lease has run out. The one that
    replaces it waits for that time first.
    """

    def __init__(self, lease_ms: float, members_index: int | None) -> None:
        """Start with the index of the members entry by which this node was a voter before."""
        self._lease_ms = lease_ms
        self._members_index = members_index
        self._proof_ms = -math.inf
        self._grants_from_ms = -math.inf

    def state(self, now: float) -> LeaseState:
        """Return whether this node may grant tokens."""
        if now - self._proof_ms > self._lease_ms:
            return LeaseState.UNPROVED
        return LeaseState.WAITING if now < self._grants_from_ms else LeaseState.GRANTING

    def record_voter(
        self, members_index: int, proof_ms: float, now: float, *, none_replaced: bool = False
    ) -> None:
        """Record the proof that this node was a voter, by a committed members entry.

        `none_replaced` tells that there have never been more voters than parts, so that this voter
        has no predecessor.
        """
        # In a shorter gap than a lease, no other holder of this part can have begun to grant.
        was_held = proof_ms - self._proof_ms <= self._lease_ms
        if not (was_held or none_replaced) and members_index != self._members_index:
            self._grants_from_ms = now + self._lease_ms
        self._members_index = members_index
        self._proof_ms = max(self._proof_ms, proof_ms)

    def record_no_voter(self) -> None:
        """Record that this node is no voter."""
        self._members_index = None
        self._proof_ms = -math.inf
