"""Track the known load of every target, with the age of each report."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable, Iterable

from knapweedhitch.model import CallResult, LoadSample, Warmth
from knapweedhitch.settings import RoutingSettings


@dataclasses.dataclass(frozen=True, slots=True)
class LoadView:
    """Describe the estimated load of one target.

    `own` is the exact number of calls of this node. `others` estimates the calls of other nodes.
    With the age of the report it decays to the same share of the limit as at the other targets.
    """

    own: int
    others: float
    latency_ms: float
    mean_ms: float
    limit: int | None
    warmth: Warmth | None
    draining: bool
    age_ms: float
    slowdown: float = 1.0
    wait_ms: float = 0.0

    @property
    def in_flight(self) -> float:
        """Return the estimated number of calls in flight at the target."""
        return self.own + self.others


@dataclasses.dataclass(slots=True)
class _Entry:
    own: int = 0
    incarnation: int | None = None
    sample: LoadSample | None = None
    sample_at_ms: float = -math.inf
    others: float = 0.0
    latency_ms: float | None = None
    latency_at_ms: float = -math.inf
    mean_ms: float | None = None
    starts_ms: list[float] = dataclasses.field(default_factory=list)
    last_used_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Means:
    others: float
    # Calls of other nodes relative to the limit of their target.
    share: float
    latency_ms: float
    mean_ms: float


def _mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0


# EWMA weight of the newest call; covers about the last ten calls.
MEAN_WEIGHT = 0.2
# Reports are outdated on arrival, so a target counts as loaded above this share of its limit.
LOADED_LIMIT_SHARE = 0.5
# A call in flight for longer than this multiple of the mean indicates a slow target.
OVERDUE_FACTOR = 3.0
# Assumed slowdown without a fresh report; above 1, as some shared machines are always busy.
DEFAULT_SLOWDOWN = 1.3


class LoadTable:
    """Track calls of this node, load reports and latencies of a bounded number of instances."""

    def __init__(self, cfg: RoutingSettings, now_ms: Callable[[], float]) -> None:
        self._cfg = cfg
        self._now_ms = now_ms
        self._entries: dict[str, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def record_start(self, instance_id: str) -> None:
        """Record the start of a call to the target."""
        entry = self._get_or_create(instance_id)
        entry.own += 1
        entry.starts_ms.append(self._now_ms())

    def record_finish(self, instance_id: str, result: CallResult) -> None:
        """Record the end of a call and update the latency estimates."""
        entry = self._entries.get(instance_id)
        if entry is None:
            return
        entry.own = max(0, entry.own - 1)
        if entry.starts_ms:
            began_ms = self._now_ms() - result.service_ms
            entry.starts_ms.remove(min(entry.starts_ms, key=lambda at: abs(at - began_ms)))
        if result.cancelled and result.ok:
            # A cancelled call, such as the loser of a hedge, has no meaningful latency.
            return
        if result.shed:
            # A shed call has no service time, and the load sample sent with it reports the load.
            # Counting it as latency would move all calls to the other targets.
            return
        latency_ms = result.service_ms
        if not result.ok:
            # Fast failures must not make the target look fast.
            latency_ms = max(latency_ms, self._cfg.failure_penalty_ms)
        self._update_latency(entry, latency_ms)

    def observe(self, instance_id: str, sample: LoadSample) -> None:
        """Record a load report; calls of this node are subtracted from its count."""
        entry = self._get_or_create(instance_id)
        entry.sample = sample
        entry.sample_at_ms = self._now_ms()
        entry.others = max(0.0, float(sample.in_flight + sample.queued - entry.own))

    def set_incarnation(self, instance_id: str, incarnation: int) -> None:
        """Set the incarnation of the target; a new one resets the estimates."""
        entry = self._get_or_create(instance_id)
        if entry.incarnation is not None and entry.incarnation != incarnation:
            self.reset_estimates(instance_id)
        entry.incarnation = incarnation

    def reset_estimates(self, instance_id: str) -> None:
        """Discard reports and latencies of the target, but keep the count of its running calls."""
        entry = self._get_or_create(instance_id)
        entry.sample = None
        entry.sample_at_ms = -math.inf
        entry.others = 0.0
        entry.latency_ms = None
        entry.mean_ms = None

    def is_loaded(self, instance_id: str) -> bool:
        """Return whether the target may be near its limit; true if its load is unknown."""
        entry = self._entries.get(instance_id)
        if entry is None or entry.sample is None:
            return True
        return entry.own + entry.others >= entry.sample.limit * LOADED_LIMIT_SHARE

    def forget(self, instance_id: str) -> None:
        """Remove all state of the target."""
        self._entries.pop(instance_id, None)

    def views(self, instance_ids: Iterable[str]) -> dict[str, LoadView]:
        """Return the load estimates of targets of one service; old ones decay to the average."""
        now = self._now_ms()
        ids = tuple(instance_ids)
        entries = {i: self._entries.get(i) for i in ids}
        sampled = [e for e in entries.values() if e is not None and e.sample is not None]
        mean_others = _mean([e.others for e in sampled])
        mean_share = mean_others / max(1.0, _mean([e.sample.limit for e in sampled if e.sample]))
        measured = [e for e in entries.values() if e is not None and e.latency_ms is not None]
        mean = _Means(
            mean_others,
            mean_share,
            _mean([self._decayed_latency_ms(e, now) for e in measured]),
            _mean([e.mean_ms for e in measured if e.mean_ms is not None]),
        )
        return {i: self._make_view(e, now, mean) for i, e in entries.items()}

    def _make_view(self, entry: _Entry | None, now: float, mean: _Means) -> LoadView:
        if entry is None:
            entry = _Entry()
        latency_ms = (
            mean.latency_ms if entry.latency_ms is None else self._decayed_latency_ms(entry, now)
        )
        mean_ms = self._mean_ms(entry, now, mean.mean_ms)
        sample = entry.sample
        if sample is None:
            return LoadView(
                entry.own,
                mean.others,
                latency_ms,
                mean_ms,
                None,
                None,
                False,
                math.inf,
                DEFAULT_SLOWDOWN,
            )
        age_ms = now - entry.sample_at_ms
        weight = 0.5 ** (age_ms / self._cfg.sample_half_life_ms)
        return LoadView(
            entry.own,
            entry.others * weight + mean.share * max(1, sample.limit) * (1.0 - weight),
            latency_ms,
            mean_ms,
            sample.limit,
            sample.warmth,
            sample.draining,
            age_ms,
            sample.slowdown * weight + DEFAULT_SLOWDOWN * (1.0 - weight),
            sample.wait_ms * weight,
        )

    def _mean_ms(self, entry: _Entry, now: float, peer_mean_ms: float) -> float:
        if entry.mean_ms is None:
            mean_ms = peer_mean_ms
        elif entry.own:
            mean_ms = entry.mean_ms
        else:
            # The mean of an idle target decays to the average, so that one call tries it again.
            # While that call runs, the old value applies and keeps further calls away.
            idle_ms = max(0.0, now - entry.latency_at_ms)
            weight = 0.5 ** (idle_ms / self._cfg.latency_decay_ms)
            mean_ms = entry.mean_ms * weight + peer_mean_ms * (1.0 - weight)
        if entry.starts_ms:
            overdue_ms = now - min(entry.starts_ms)
            if overdue_ms > OVERDUE_FACTOR * mean_ms:
                return overdue_ms
        return mean_ms

    def _update_latency(self, entry: _Entry, latency_ms: float) -> None:
        now = self._now_ms()
        old = entry.latency_ms
        if old is None or latency_ms >= old:
            entry.latency_ms = latency_ms
        else:
            weight = math.exp(-(now - entry.latency_at_ms) / self._cfg.latency_decay_ms)
            entry.latency_ms = old * weight + latency_ms * (1.0 - weight)
        entry.latency_at_ms = now
        if entry.mean_ms is None:
            entry.mean_ms = latency_ms
        else:
            entry.mean_ms += MEAN_WEIGHT * (latency_ms - entry.mean_ms)

    def _decayed_latency_ms(self, entry: _Entry, now: float) -> float:
        # Without new calls the latency decays exponentially, so that the target is tried again.
        idle_ms = max(0.0, now - entry.latency_at_ms)
        return (entry.latency_ms or 0.0) * math.exp(-idle_ms / self._cfg.latency_decay_ms)

    def _get_or_create(self, instance_id: str) -> _Entry:
        entry = self._entries.get(instance_id)
        if entry is None:
            if len(self._entries) >= self._cfg.max_tracked_targets:
                self._evict()
            entry = self._entries[instance_id] = _Entry()
        entry.last_used_ms = self._now_ms()
        return entry

    def _evict(self) -> None:
        idle = [i for i, e in self._entries.items() if e.own == 0] or list(self._entries)
        del self._entries[min(idle, key=lambda i: self._entries[i].last_used_ms)]
