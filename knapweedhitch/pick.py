"""Choose a target for one attempt by a named policy among the eligible targets."""

from __future__ import annotations

import collections
import dataclasses
import random
from collections.abc import Sequence
from typing import Any

from knapweedhitch.ejection import Ejector
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
from knapweedhitch.policies import Candidate, PickContext, create_policies
from knapweedhitch.subset import choose_subset

DEFAULT_POLICY = "least-used"
# Number of recent service times behind the hedge delay, and the minimum before a delay is known.
HEDGE_WINDOW = 256
HEDGE_MIN_CALLS = 32
HEDGE_REFRESH_CALLS = 16
# An older report of draining may be outdated; membership and configuration apply by then.
MAX_DRAINING_REPORT_AGE_MS = 2_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Considered:
    """Describe one target of a pick; the note gives the reason if it was excluded."""

    instance_id: str
    score: float
    note: str


@dataclasses.dataclass(frozen=True, slots=True)
class PickResult:
    """Describe a pick: the chosen target, or None, and all considered targets."""

    target: Target | None
    considered: tuple[Considered, ...]


@dataclasses.dataclass(slots=True)
class _ServiceState:
    """Track the targets and recent service times of one service."""

    max_ejected_ratio: float
    instance_ids: tuple[str, ...] = ()
    times_ms: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=HEDGE_WINDOW)
    )
    new_times: int = 0
    hedge_ms: float | None = None


@service("picker")
class Picker:
    """Pick targets and track the results of calls to them."""

    def __init__(self, kernel: Kernel, rng: random.Random | None = None) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg.routing
        self._cold_limit = kernel.cfg.admission.cold_start_limit
        self._counters = kernel.get("counters")
        self._rng = rng or random.Random()
        now_ms = kernel.get("timers").now_ms
        self._table = LoadTable(self._cfg, now_ms)
        self._ejector = Ejector(self._cfg, now_ms)
        self._policies = create_policies()
        self._services: dict[str, _ServiceState] = {}
        self._service_of: dict[str, str] = {}
        self._out_instances: set[str] = set()

    async def start(self) -> None:
        """Do nothing; callers report all results."""

    async def stop(self) -> None:
        """Do nothing; the picker runs no task."""

    def pick(
        self,
        svc: ServiceConfig,
        targets: tuple[Target, ...],
        excluded: frozenset[str],
        own_domain: str,
        own_node: str,
        body_bytes: float = 0.0,
    ) -> PickResult:
        """Return the target for one attempt, or None if no target is eligible."""
        config = self._kernel.get("config")
        if not config.may_serve():
            # A stale configuration may list a failure domain that operators have taken out.
            stale = (Considered(t.upstream.instance_id, 0.0, "config-stale") for t in targets)
            return PickResult(None, tuple(stale))
        targets = tuple(choose_subset(own_node, own_domain, targets, self._cfg.max_candidates))
        self._update_service(svc, targets, config.current)
        views = self._table.views(t.upstream.instance_id for t in targets)
        # Lists in target order avoid hashing, which takes a pick among 5 targets from 34 to 27 us.
        reasons = [self._exclusion_reason(t, views, excluded, config.current) for t in targets]
        typical_ms = _median([v.mean_ms for v in views.values()]) if views else 1.0
        ctx = PickContext(svc.name, self._cfg, self._rng, typical_ms, body_bytes)
        pick_policy = self._policies.get(svc.policy) or self._policies[DEFAULT_POLICY]
        leases = self._kernel.get("slotlease") if self._kernel.has("slotlease") else None
        all_candidates = [_candidate(t, views, own_domain, own_node, leases) for t in targets]
        candidates = [c for c, note in zip(all_candidates, reasons, strict=True) if not note]
        if not candidates:
            candidates = self._fallback_candidates(svc, all_candidates, reasons)
        chosen = pick_policy.pick(candidates, ctx).target if candidates else None
        considered = tuple(
            Considered(
                c.target.upstream.instance_id,
                pick_policy.score(c, ctx),
                note or ("leased" if c.leased else ""),
            )
            for c, note in zip(all_candidates, reasons, strict=True)
        )
        return PickResult(chosen, considered)

    def record_start(self, instance_id: str) -> None:
        """Record the start of an attempt on the target."""
        self._table.record_start(instance_id)
        self._ejector.record_start(instance_id)

    def record_finish(self, instance_id: str, result: CallResult) -> None:
        """Record the end of an attempt and its result."""
        self._table.record_finish(instance_id, result)
        name = self._service_of.get(instance_id)
        state = self._services.get(name) if name is not None else None
        if state is None:
            return
        ejected = self._ejector.record_finish(
            instance_id,
            result,
            state.instance_ids,
            state.max_ejected_ratio,
            loaded=self._table.is_loaded(instance_id),
        )
        if ejected:
            self._counters.add("ejections", name or "")
        if result.ok and not result.cancelled:
            state.times_ms.append(result.service_ms)
            state.new_times += 1

    def observe(self, instance_id: str, sample: LoadSample) -> None:
        """Record a load report of the target."""
        self._table.observe(instance_id, sample)

    def hedge_delay_ms(self, service: str) -> float | None:
        """Return the delay before a hedge, or None before enough calls have ended."""
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
        """Remove all state of a target."""
        self._table.forget(instance_id)
        self._ejector.forget(instance_id)
        self._service_of.pop(instance_id, None)
        self._out_instances.discard(instance_id)

    def _update_service(
        self, svc: ServiceConfig, targets: tuple[Target, ...], config: Configuration
    ) -> None:
        state = self._services.get(svc.name)
        if state is None:
            state = self._services[svc.name] = _ServiceState(svc.max_ejected_ratio)
        state.max_ejected_ratio = svc.max_ejected_ratio
        instance_ids = tuple(t.upstream.instance_id for t in targets)
        for removed_id in set(state.instance_ids).difference(instance_ids):
            # Instances are replaced every day, so the maps would otherwise grow without bound.
            self._service_of.pop(removed_id, None)
            self._out_instances.discard(removed_id)
            self._ejector.forget(removed_id)
        state.instance_ids = instance_ids
        for target in targets:
            instance_id = target.upstream.instance_id
            self._service_of[instance_id] = svc.name
            self._table.set_incarnation(instance_id, target.upstream.incarnation)
            if config.is_domain_out(target.domain):
                self._out_instances.add(instance_id)
            elif instance_id in self._out_instances:
                # Reports from before the domain went out do not describe its targets, now cold.
                self._out_instances.discard(instance_id)
                self._table.reset_estimates(instance_id)

    def _exclusion_reason(
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
        if load.draining and load.age_ms < MAX_DRAINING_REPORT_AGE_MS:
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

    def _fallback_candidates(
        self, svc: ServiceConfig, all_candidates: list[Candidate], reasons: list[str]
    ) -> list[Candidate]:
        # The limits known here are stale. Admission at the target enforces them exactly and queues
        # for a short time, so trying a target that appears full is safe.
        for note in ("unknown-full", "cold-full", "suspect", "ejected"):
            matching = [c for c, n in zip(all_candidates, reasons, strict=True) if n == note]
            if matching:
                if note == "ejected":
                    self._counters.add("pick_panic", svc.name)
                return matching
        return []


def serving_targets(targets: Sequence[Target], current: Configuration) -> tuple[Target, ...]:
    """Return the targets that are neither leaving, draining nor taken out by operators."""
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
    is_own_node = target.node_id == own_node
    leased = is_own_node or (leases is not None and leases.usable_count(instance_id) > 0)
    return Candidate(target, views[instance_id], target.domain == own_domain, leased, is_own_node)


def _median(values: list[float]) -> float:
    # `statistics.median` is slower for a few values, because it validates and copies them.
    values.sort()
    half = len(values) // 2
    return values[half] if len(values) % 2 else (values[half - 1] + values[half]) / 2
