"""The choice of a target for one attempt, by a named policy over the fit targets."""

from __future__ import annotations

import collections
import dataclasses
import random
from collections.abc import Callable, Sequence
from typing import Any, Protocol, TypeVar

from knapweedhitch.ejection import Ejector
from knapweedhitch.exceptions import DuplicateRegistration
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.loadtable import LoadTable, LoadView
from knapweedhitch.model import (
    CallResult,
    Configuration,
    LoadSample,
    ServiceConfig,
    Target,
    UpstreamState,
    Warmth,
)
from knapweedhitch.settings import RoutingSettings
from knapweedhitch.subset import choose_subset

DEFAULT_POLICY = "least-used"
# The number of recent service times that the hedge delay is taken from, and how many it needs.
HEDGE_WINDOW = 256
HEDGE_MIN_CALLS = 32
HEDGE_REFRESH_CALLS = 16
# An older report of draining may be outdated; membership and configuration decide by then.
DRAINING_REPORT_MS = 2_000.0
# A target is slow from this many times the typical mean time on.
SLOW_TOLERANCE = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Considered:
    """Hold one target that a pick looked at; the note tells why it was left out, if it was."""

    instance_id: str
    score: float
    note: str


@dataclasses.dataclass(frozen=True, slots=True)
class PickResult:
    """Hold the picked target, or None, and all targets that were considered."""

    target: Target | None
    considered: tuple[Considered, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Hold one fit target with its load estimate."""

    target: Target
    load: LoadView
    local: bool
    leased: bool
    own_node: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PickContext:
    """Hold what a policy may use besides the candidates."""

    service: str
    cfg: RoutingSettings
    rng: random.Random
    # The median of the mean times of all targets of the service, in milliseconds.
    typical_ms: float = 1.0
    # The size of the request body, as far as it is known before it is read.
    body_bytes: int = 0


class Policy(Protocol):
    """Choose among candidates; `score` is lower for a better one."""

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


@policy("random")
class RandomPolicy:
    """Choose each candidate with the same probability."""

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
        """Return the candidate after the last one, in the order of instance ids."""
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
        """Return the best candidate; equal ones are chosen at random."""
        return min(candidates, key=lambda c: (self.score(c, ctx), ctx.rng.random()))


@policy("p2c-ewma")
class TwoChoicesPolicy:
    """Choose the better of two random candidates by calls in flight times peak latency."""

    def score(self, candidate: Candidate, ctx: PickContext) -> float:
        """Return the cost in call-milliseconds; another failure domain costs more."""
        load = candidate.load
        cost = (load.in_flight + 1.0) * max(load.latency_ms, 1.0)
        return cost if candidate.local else cost * ctx.cfg.locality_spill_ratio

    def pick(self, candidates: Sequence[Candidate], ctx: PickContext) -> Candidate:
        """Return the better of two."""
        if len(candidates) <= 2:
            return min(candidates, key=lambda c: self.score(c, ctx))
        return min(ctx.rng.sample(candidates, 2), key=lambda c: self.score(c, ctx))


@policy("least-used")
class LeastUsedPolicy:
    """Choose the candidate with the smallest used share of its limit; slow ones come last."""

    def score(self, candidate: Candidate, ctx: PickContext) -> float:
        """Return the used share, plus how many times over the tolerated latency it is."""
        load = candidate.load
        used = (load.in_flight + 1.0) / _limit(candidate)
        # Differences below the tolerance are mostly chance; following them makes the load uneven.
        slow = load.mean_ms / max(1.0, ctx.typical_ms) - SLOW_TOLERANCE
        return used + max(0.0, slow)

    def pick(self, candidates: Sequence[Candidate], ctx: PickContext) -> Candidate:
        """Return the best candidate; equal ones are chosen at random."""
        # One call fills a cold target at limit 1, so its share is the largest while a warm target
        # has a free slot. It gets calls in proportion to its limit instead, or it stays cold.
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


@dataclasses.dataclass(slots=True)
class _ServiceState:
    """Hold what the picker learnt of one service."""

    max_ejected_ratio: float
    peers: tuple[str, ...] = ()
    times_ms: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=HEDGE_WINDOW)
    )
    new_times: int = 0
    hedge_ms: float | None = None


@service("picker")
class Picker:
    """Pick targets and learn from the calls that are made to them."""

    def __init__(self, kernel: Kernel, rng: random.Random | None = None) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg.routing
        self._cold_limit = kernel.cfg.admission.cold_start_limit
        self._counters = kernel.get("counters")
        self._rng = rng or random.Random()
        now_ms = kernel.get("timers").now_ms
        self._table = LoadTable(self._cfg, now_ms)
        self._ejector = Ejector(self._cfg, now_ms)
        self._policies = {name: make() for name, make in _policies.items()}
        self._services: dict[str, _ServiceState] = {}
        self._service_of: dict[str, str] = {}
        self._out: set[str] = set()

    async def start(self) -> None:
        """Do nothing; the picker learns from its callers."""

    async def stop(self) -> None:
        """Do nothing; the picker holds no task."""

    def pick(
        self,
        svc: ServiceConfig,
        targets: tuple[Target, ...],
        excluded: frozenset[str],
        own_domain: str,
        own_node: str,
        body_bytes: int = 0,
    ) -> PickResult:
        """Return the target for one attempt, or None when no target is fit."""
        config = self._kernel.get("config")
        if not config.may_serve():
            # A stale configuration may name a domain as in service that operators took out.
            stale = (Considered(t.upstream.instance_id, 0.0, "config-stale") for t in targets)
            return PickResult(None, tuple(stale))
        targets = tuple(choose_subset(own_node, targets, self._cfg.max_candidates))
        self._remember(svc, targets, config.current)
        views = self._table.views(t.upstream.instance_id for t in targets)
        # Lists in the order of the targets need no hashing; a pick among 5 takes
        # 27 instead of 34 us.
        notes = [self._note(t, views, excluded, config.current) for t in targets]
        typical_ms = _median([v.mean_ms for v in views.values()]) if views else 1.0
        ctx = PickContext(svc.name, self._cfg, self._rng, typical_ms, body_bytes)
        rule = self._policies.get(svc.policy) or self._policies[DEFAULT_POLICY]
        leases = self._kernel.get("slotlease") if self._kernel.has("slotlease") else None
        every = [_candidate(t, views, own_domain, own_node, leases) for t in targets]
        candidates = [c for c, note in zip(every, notes, strict=True) if not note]
        if not candidates:
            candidates = self._last_resort(svc, every, notes)
        chosen = rule.pick(candidates, ctx).target if candidates else None
        considered = tuple(
            Considered(
                c.target.upstream.instance_id,
                rule.score(c, ctx),
                note or ("leased" if c.leased else ""),
            )
            for c, note in zip(every, notes, strict=True)
        )
        return PickResult(chosen, considered)

    def record_start(self, instance_id: str) -> None:
        """Count an attempt on the target."""
        self._table.record_start(instance_id)
        self._ejector.record_start(instance_id)

    def record_finish(self, instance_id: str, result: CallResult) -> None:
        """Count the end of an attempt and learn from its result."""
        self._table.record_finish(instance_id, result)
        name = self._service_of.get(instance_id)
        state = self._services.get(name) if name is not None else None
        if state is None:
            return
        ejected = self._ejector.record_finish(
            instance_id,
            result,
            state.peers,
            state.max_ejected_ratio,
            loaded=self._table.is_loaded(instance_id),
        )
        if ejected:
            self._counters.add("ejections", name or "")
        if result.ok and not result.cancelled:
            state.times_ms.append(result.service_ms)
            state.new_times += 1

    def observe(self, instance_id: str, sample: LoadSample) -> None:
        """Take a load report of the target."""
        self._table.observe(instance_id, sample)

    def hedge_delay_ms(self, service: str) -> float | None:
        """Return the delay before a hedge in milliseconds, or None before enough calls."""
        state = self._services.get(service)
        if state is None or len(state.times_ms) < HEDGE_MIN_CALLS:
            return None
        if state.hedge_ms is None or state.new_times >= HEDGE_REFRESH_CALLS:
            ordered = sorted(state.times_ms)
            rank = int(len(ordered) * self._cfg.hedge_percentile / 100.0)
            state.hedge_ms = ordered[min(rank, len(ordered) - 1)]
            state.new_times = 0
        return max(float(self._cfg.hedge_min_ms), state.hedge_ms)

    def forget(self, instance_id: str) -> None:
        """Drop everything about a target that is gone."""
        self._table.forget(instance_id)
        self._ejector.forget(instance_id)
        self._service_of.pop(instance_id, None)
        self._out.discard(instance_id)

    def _remember(
        self, svc: ServiceConfig, targets: tuple[Target, ...], config: Configuration
    ) -> None:
        state = self._services.get(svc.name)
        if state is None:
            state = self._services[svc.name] = _ServiceState(svc.max_ejected_ratio)
        state.max_ejected_ratio = svc.max_ejected_ratio
        peers = tuple(t.upstream.instance_id for t in targets)
        for gone in set(state.peers).difference(peers):
            # Instances are replaced every day; without this the maps would grow for ever.
            self._service_of.pop(gone, None)
            self._out.discard(gone)
            self._ejector.forget(gone)
        state.peers = peers
        for target in targets:
            instance_id = target.upstream.instance_id
            self._service_of[instance_id] = svc.name
            self._table.set_incarnation(instance_id, target.upstream.incarnation)
            if config.is_domain_out(target.domain):
                self._out.add(instance_id)
            elif instance_id in self._out:
                # Reports from before the domain left say nothing about its cold targets.
                self._out.discard(instance_id)
                self._table.reset_estimates(instance_id)

    def _note(
        self,
        target: Target,
        views: dict[str, LoadView],
        excluded: frozenset[str],
        config: Configuration,
    ) -> str:
        instance_id = target.upstream.instance_id
        load = views[instance_id]
        if config.is_domain_out(target.domain):
            return "domain-out"
        if target.upstream.state is UpstreamState.LEAVING or target.draining:
            return "draining"
        if target.node_id in config.draining_nodes:
            return "draining"
        if load.draining and load.age_ms < DRAINING_REPORT_MS:
            return "draining"
        if instance_id in excluded:
            return "excluded"
        if load.warmth is Warmth.COLD and load.in_flight >= (load.limit or self._cold_limit):
            return "cold-full"
        if self._ejector.is_ejected(instance_id):
            return "ejected"
        if load.limit is None and load.own >= self._cold_limit:
            return "unknown-full"
        return "suspect" if target.suspect else ""

    def _last_resort(
        self, svc: ServiceConfig, every: list[Candidate], notes: list[str]
    ) -> list[Candidate]:
        # The view of a limit here is stale; the gate enforces it exactly and queues for a short
        # time, so trying a target that looks full is safe.
        for note in ("unknown-full", "cold-full", "suspect", "ejected"):
            found = [c for c, n in zip(every, notes, strict=True) if n == note]
            if found:
                if note == "ejected":
                    self._counters.add("pick_panic", svc.name)
                return found
        return []


def serving_targets(targets: Sequence[Target], current: Configuration) -> tuple[Target, ...]:
    """Return the targets that have not announced to leave and that operators have not taken out."""
    return tuple(
        target
        for target in targets
        if not target.draining
        and target.upstream.state is UpstreamState.SERVING
        and not current.is_domain_out(target.domain)
        and target.node_id not in current.draining_nodes
    )


def _candidate(
    target: Target, views: dict[str, LoadView], own_domain: str, own_node: str, leases: Any
) -> Candidate:
    instance_id = target.upstream.instance_id
    own = target.node_id == own_node
    leased = own or (leases is not None and leases.usable_count(instance_id) > 0)
    return Candidate(target, views[instance_id], target.domain == own_domain, leased, own)


def _median(values: list[float]) -> float:
    # `statistics.median` checks and copies more than a few values need.
    values.sort()
    half = len(values) // 2
    return values[half] if len(values) % 2 else (values[half - 1] + values[half]) / 2
