"""The tokens of quotas that one node holds for requests, and the choice of the holder to ask."""

from __future__ import annotations

import dataclasses
import math
import random
from collections import OrderedDict, deque
from collections.abc import Collection, Mapping

from knapweedhitch.clock import MS_PER_S
from knapweedhitch.decayedsum import DecayedSum
from knapweedhitch.settings import QuotaSettings

# Requests within this time tell how many to expect next.
DEMAND_WINDOW_MS = 500.0
# A customer without a request for this long is forgotten.
IDLE_MS = 10 * DEMAND_WINDOW_MS
# Share of a token's life; tokens are requested in advance for the requests expected in it.
EXPECTED_LIFE_SHARE = 0.5
MAX_TOKENS_PER_REQUEST = 1_000
# What is known of a part that has tokens may be wrong after this time.
PART_STATE_MS = 1_000.0
# Bounds the exponent of the backoff.
MAX_SILENCES = 30


@dataclasses.dataclass(frozen=True, slots=True)
class TokenLot:
    """Identify tokens of one grant, for their return to its holder."""

    customer: str
    holder: str
    process: int
    granted_ms: float
    expires_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class PartState:
    """Describe a part of a quota, as its holder has told it."""

    # When the part has a token again, and when a refused caller may retry.
    next_token_ms: float
    retry_ms: float
    recorded_ms: float

    def is_known(self, now: float) -> bool:
        """Return whether this still tells anything about the part."""
        return self.next_token_ms > now or now - self.recorded_ms <= PART_STATE_MS


class CustomerTokens:
    """Track tokens, demand and the known state of each part for one customer."""

    def __init__(self, customer: str, now: float) -> None:
        self.customer = customer
        # Requests that wait for a token.
        self.waiting = 0
        self._lots: deque[tuple[TokenLot, int]] = deque()
        self._demand = DecayedSum(DEMAND_WINDOW_MS)
        self._last_request_ms = now
        self._parts: dict[str, PartState] = {}
        # Refusals that the holder of a part has not been told of yet.
        self._refused: dict[str, int] = {}

    def record_demand(self, now: float) -> None:
        """Count one request."""
        self._demand.add(1.0, now)
        self._last_request_ms = now

    def rate_per_s(self, now: float) -> float:
        """Return the recent rate of requests."""
        return self._demand.total(now) / DEMAND_WINDOW_MS * MS_PER_S

    def is_idle(self, now: float) -> bool:
        """Return whether nothing depends on this object any more."""
        self._drop_expired(now)
        return not self.waiting and not self._lots and now - self._last_request_ms > IDLE_MS

    # Tokens

    def take(self, now: float) -> TokenLot | None:
        """Take a token that has not expired, None if there is none."""
        self._drop_expired(now)
        if not self._lots:
            return None
        lot, count = self._lots.popleft()
        if count > 1:
            self._lots.appendleft((lot, count - 1))
        return lot

    def add(self, lot: TokenLot, count: int) -> None:
        """Add tokens; those that expire first are taken first."""
        if count > 0:
            self._lots.append((lot, count))
            self._lots = deque(sorted(self._lots, key=lambda held: held[0].expires_ms))

    def available(self, now: float) -> int:
        """Return the number of tokens that have not expired."""
        self._drop_expired(now)
        return sum(count for _, count in self._lots)

    def _drop_expired(self, now: float) -> None:
        while self._lots and self._lots[0][0].expires_ms <= now:
            self._lots.popleft()

    def wanted(self, now: float) -> int:
        """Return the number of tokens that waiting requests lack."""
        return min(MAX_TOKENS_PER_REQUEST, max(0, self.waiting - self.available(now)))

    def expected(self, now: float, life_ms: float) -> int:
        """Return the number of further requests that will use tokens before they expire."""
        expected = self.rate_per_s(now) * EXPECTED_LIFE_SHARE * life_ms / MS_PER_S
        return min(MAX_TOKENS_PER_REQUEST, int(expected))

    def is_useful(self, lot: TokenLot, now: float) -> bool:
        """Return whether a returned token will be used here before it expires."""
        left_ms = lot.expires_ms - now
        if left_ms <= 0.0:
            return False
        return self.waiting > 0 or self.rate_per_s(now) * left_ms / MS_PER_S >= 1.0

    # Parts

    def record_part(self, holder: str, state: PartState) -> None:
        """Record what the holder of a part has told about it."""
        self._parts[holder] = state

    def is_empty(self, holder: str, now: float) -> bool:
        """Return whether a part is known to have no token yet."""
        state = self._parts.get(holder)
        return state is not None and state.next_token_ms > now

    def known_parts(self, now: float) -> dict[str, PartState]:
        """Return what is known about the parts by holder."""
        return {holder: state for holder, state in self._parts.items() if state.is_known(now)}

    def record_refused(self, now: float) -> None:
        """Count a refusal, which the holders are told with the next requests."""
        for holder in self.known_parts(now):
            self._refused[holder] = self._refused.get(holder, 0) + 1

    def take_refused(self, holder: str) -> int:
        """Return and reset the number of refusals that a holder has not been told of."""
        return min(MAX_TOKENS_PER_REQUEST, self._refused.pop(holder, 0))


class HolderChooser:
    """Choose which holder of a part is asked next: a near one that replies and has tokens."""

    def __init__(self, domain: str, rng: random.Random) -> None:
        self._domain = domain
        self._rng = rng
        self._domains: Mapping[str, str] = {}
        self._avoided_until_ms: dict[str, float] = {}
        self._silences: dict[str, int] = {}

    @property
    def holders(self) -> Collection[str]:
        """Return the possible holders."""
        return self._domains.keys()

    def set_holders(self, domains: Mapping[str, str]) -> None:
        """Replace the possible holders, with the failure domain of each."""
        self._domains = domains
        for node_id in self._avoided_until_ms.keys() - domains.keys():
            self.record_reply(node_id)

    def avoid(self, holder: str, until_ms: float) -> None:
        """Ask other holders until a time, because this one holds no part."""
        self._avoided_until_ms[holder] = until_ms

    def record_silence(self, holder: str, now: float, cfg: QuotaSettings) -> None:
        """Ask other holders for a while, the longer the more often this one has not replied."""
        if self._avoided_until_ms.get(holder, -math.inf) > now:
            return
        silences = self._silences.get(holder, 0)
        backoff_ms = min(cfg.max_silent_backoff_ms, cfg.silent_backoff_ms * 2.0**silences)
        self._avoided_until_ms[holder] = now + backoff_ms
        self._silences[holder] = min(silences + 1, MAX_SILENCES)

    def record_reply(self, holder: str) -> None:
        """Ask a holder again, because it has replied."""
        self._avoided_until_ms.pop(holder, None)
        self._silences.pop(holder, None)

    def has_replying(self, now: float) -> bool:
        """Return whether any holder is neither silent nor without a part."""
        return any(self._avoided_until_ms.get(h, -math.inf) <= now for h in self._domains)

    def choose(self, tokens: CustomerTokens, asked: Collection[str], now: float) -> str | None:
        """Return the holder to ask for tokens of a customer, None if none is known to have one.

        Silent holders are asked again only if all are silent.
        """
        may_have_tokens = [
            holder
            for holder in self._domains
            if holder not in asked and not tokens.is_empty(holder, now)
        ]
        found = [h for h in may_have_tokens if self._avoided_until_ms.get(h, -math.inf) <= now]
        if not found and not self.has_replying(now):
            found = may_have_tokens
        near = [holder for holder in found if self._domains[holder] == self._domain]
        candidates = near or found
        return self._rng.choice(candidates) if candidates else None


class TokenStore:
    """Hold the tokens of the customers that use this node, the least recently used one first."""

    def __init__(self, max_customers: int) -> None:
        self._max_customers = max_customers
        self._customers: OrderedDict[str, CustomerTokens] = OrderedDict()

    def __len__(self) -> int:
        return len(self._customers)

    def get(self, customer: str, now: float) -> CustomerTokens:
        """Return the tokens of a customer; forgets the least recently used one beyond the limit."""
        tokens = self._customers.get(customer)
        if tokens is None:
            tokens = self._customers[customer] = CustomerTokens(customer, now)
        self._customers.move_to_end(customer)
        while len(self._customers) > self._max_customers:
            self._customers.popitem(last=False)
        return tokens

    def find(self, customer: str) -> CustomerTokens | None:
        """Return the tokens of a customer, None if it has not used this node lately."""
        return self._customers.get(customer)

    def drop_idle(self, now: float) -> None:
        """Forget the customers that have sent nothing for a while."""
        for name in [n for n, tokens in self._customers.items() if tokens.is_idle(now)]:
            del self._customers[name]
