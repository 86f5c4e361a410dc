"""Policies that choose one target among candidates, by name."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

from knapweedhitch.exceptions import DuplicateRegistration
from knapweedhitch.loadtable import LoadView
from knapweedhitch.model import Target, Warmth
from knapweedhitch.settings import RoutingSettings

# A target counts as slow above this multiple of the typical mean service time.
SLOW_TOLERANCE = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Describe one eligible target with its load estimate."""

    target: Target
    load: LoadView
    local: bool
    leased: bool
    own_node: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PickContext:
    """Provide the inputs of a policy other than the candidates."""

    service: str
    cfg: RoutingSettings
    rng: random.Random
    # Median of the mean service times of all targets of the service.
    typical_ms: float = 1.0
    # Size of the request body, as far as it is known before reading it, and of the usual response.
    body_bytes: float = 0.0

    def relative_service_time(self, candidate: Candidate) -> float:
        """Return the mean service time of a target relative to the typical one."""
        return candidate.load.mean_ms / max(1.0, self.typical_ms)


class Policy(Protocol):
    """Choose among candidates; a lower `score` is better."""

    def score(self, candidate: Candidate, ctx: PickContext) -> float: ...

    def pick(self, candidates: Sequence[Candidate], ctx: PickContext) -> Candidate: ...


P = TypeVar("P", bound=type)
_policies: dict[str, Callable[[], Policy]] = {}


def policy(name: str) -> Callable[[P], P]:
    """Register a policy class under a name; raises DuplicateRegistration."""

    def register(cls: P) -> P:
        if name in _policies:
            raise DuplicateRegistration(f"policy {name} is registered twice")
        _policies[name] = cls
        return cls

    return register


def policies() -> tuple[str, ...]:
    """Return the names of all policies."""
    return tuple(sorted(_policies))


def create_policies() -> dict[str, Policy]:
    """Return a new instance of each policy by its name."""
    return {name: factory() for name, factory in _policies.items()}


@policy("random")
class RandomPolicy:
    """Choose each candidate with equal probability."""

    def score(self, candidate: Candidate, ctx: PickContext) -> float:
        """Return the same score for all."""
        return 0.0

    def pick(self, candidates: Sequence[Candidate], ctx: PickContext) -> Candidate:
        """Return a random candidate."""
        return ctx.rng.choice(candidates)


@policy("round-robin")
class RoundRobinPolicy:
    """Choose the candidates of each service in turn."""

    def __init__(self) -> None:
        self._last: dict[str, str] = {}

    def score(self, candidate: Candidate, ctx: PickContext) -> float:
        """Return the same score for all."""
        return 0.0

    def pick(self, candidates: Sequence[Candidate], ctx: PickContext) -> Candidate:
        """Return the candidate that follows the previous one in the order of instance ids."""
        ordered = sorted(candidates, key=_instance_id)
        last = self._last.get(ctx.service, "")
        chosen = next((c for c in ordered if _instance_id(c) > last), ordered[0])
        self._last[ctx.service] = _instance_id(chosen)
        return chosen


@policy("least-in-flight")
class LeastInFlightPolicy:
    """Choose the candidate with the fewest calls in flight."""

    def score(self, candidate: Candidate, ctx: PickContext) -> float:
        """Return the estimated calls in flight."""
        return candidate.load.in_flight

    def pick(self, candidates: Sequence[Candidate], ctx: PickContext) -> Candidate:
        """Return the candidate with the lowest score; ties are broken at random."""
        return min(candidates, key=lambda c: (self.score(c, ctx), ctx.rng.random()))


@policy("p2c-ewma")
class TwoChoicesPolicy:
    """Choose the better of two random candidates by calls in flight times peak-EWMA latency."""

    def score(self, candidate: Candidate, ctx: PickContext) -> float:
        """Return the cost in call-milliseconds; other failure domains cost more."""
        load = candidate.load
        cost = (load.in_flight + 1.0) * max(load.latency_ms, 1.0)
        return cost if candidate.local else cost * ctx.cfg.locality_spill_ratio

    def pick(self, candidates: Sequence[Candidate], ctx: PickContext) -> Candidate:
        """Return the better of two random candidates."""
        if len(candidates) <= 2:
            return min(candidates, key=lambda c: self.score(c, ctx))
        return min(ctx.rng.sample(candidates, 2), key=lambda c: self.score(c, ctx))


@policy("least-used")
class LeastUsedPolicy:
    """Choose the candidate with the lowest utilisation of its limit; slow ones come last."""

    def score(self, candidate: Candidate, ctx: PickContext) -> float:
        """Return the utilisation plus the ratio by which latency exceeds the tolerance."""
        load = candidate.load
        utilisation = (load.in_flight + 1.0) / _limit(candidate)
        # Latency differences below the tolerance are mostly noise and would make the load uneven.
        excess_latency = ctx.relative_service_time(candidate) - SLOW_TOLERANCE
        return utilisation + max(0.0, excess_latency)

    def pick(self, candidates: Sequence[Candidate], ctx: PickContext) -> Candidate:
        """Return the candidate with the lowest score; ties are broken at random."""
        # A single call fills a cold target at limit 1, so it would lose to any warm target with a
        # free slot and stay cold. It gets calls in proportion to its limit instead.
        cold = [c for c in candidates if c.load.warmth is Warmth.COLD]
        if 0 < len(cold) < len(candidates):
            ratio = sum(map(_limit, cold)) / sum(map(_limit, candidates))
            if ctx.rng.random() < ratio:
                candidates = cold
        return min(candidates, key=lambda c: (self.score(c, ctx), ctx.rng.random()))


def _limit(candidate: Candidate) -> int:
    return max(1, candidate.load.limit or candidate.target.upstream.slots)


def _instance_id(candidate: Candidate) -> str:
    return candidate.target.upstream.instance_id
