"""Find the customers that ask for far more of an upstream than usual.

A share counts work in milliseconds of service time, so a customer with few long calls and one with
many short ones are compared by what they cost.
"""

from __future__ import annotations

import dataclasses
import math

from knapweedhitch.decayedsum import DecayedSum

# A customer is over its share if its demand has grown by this factor more than that of the others.
OVER_FACTOR = 2.0
# One gate gets few calls of a customer, so smaller differences are chance.
MIN_EXCESS_CALLS = 2.0
# Length of the window of the usual demand, in windows of the recent demand.
USUAL_WINDOWS = 30.0
UPDATE_INTERVAL_MS = 200.0
# EWMA weight of the newest call in the mean work of a call.
MEAN_WEIGHT = 0.05
# Beyond this number, the customer whose demand is least is forgotten.
MAX_CUSTOMERS = 256


@dataclasses.dataclass(slots=True)
class _Demand:
    """Track the work that one customer asks for."""

    recent: DecayedSum
    usual: DecayedSum


@dataclasses.dataclass(frozen=True, slots=True)
class _Growth:
    """Compare the recent work of a customer with what it usually asks for in the same time."""

    customer: str
    recent_ms: float
    usual_ms: float


class CustomerShares:
    """Track the demand of each customer and which ones are over their share."""

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._usual_window_ms = window_ms * USUAL_WINDOWS
        self._demands: dict[str, _Demand] = {}
        self._over: frozenset[str] = frozenset()
        self._updated_ms = -math.inf
        self._since_ms: float | None = None
        # Mean work of a call.
        self._call_ms = 0.0

    def record_arrival(self, customer: str, work_ms: float, now_ms: float) -> None:
        """Record a call and the service time that it is expected to need."""
        if self._since_ms is None:
            self._since_ms, self._call_ms = now_ms, work_ms
        self._call_ms += MEAN_WEIGHT * (work_ms - self._call_ms)
        demand = self._demands.get(customer) or self._add(customer, now_ms)
        demand.recent.add(work_ms, now_ms)
        if customer not in self._over:
            # A customer does not raise its usual demand while it is over its share.
            demand.usual.add(work_ms, now_ms)

    def is_over(self, customer: str, now_ms: float) -> bool:
        """Return whether a customer asks for far more than usual, compared with the others."""
        if now_ms - self._updated_ms >= UPDATE_INTERVAL_MS:
            self._updated_ms = now_ms
            self._over = self._find_over(now_ms)
        return customer in self._over

    def _add(self, customer: str, now_ms: float) -> _Demand:
        if len(self._demands) >= MAX_CUSTOMERS:
            least = min(self._demands, key=lambda c: self._demands[c].usual.total(now_ms))
            del self._demands[least]
        demand = _Demand(DecayedSum(self._window_ms), DecayedSum(self._usual_window_ms))
        self._demands[customer] = demand
        return demand

    def _find_over(self, now_ms: float) -> frozenset[str]:
        """Return the customers over their share, the one that has grown most first."""
        growths = sorted(self._growths(now_ms), key=lambda g: -g.recent_ms / g.usual_ms)
        recent_ms = sum(growth.recent_ms for growth in growths)
        usual_ms = sum(growth.usual_ms for growth in growths)
        over: list[str] = []
        for growth in growths:
            recent_ms -= growth.recent_ms
            usual_ms -= growth.usual_ms
            if usual_ms <= 0:
                break
            fair_ms = growth.usual_ms * recent_ms / usual_ms
            excess_ms = growth.recent_ms - OVER_FACTOR * fair_ms
            if growth.recent_ms * usual_ms <= OVER_FACTOR * growth.usual_ms * recent_ms:
                break
            if excess_ms > MIN_EXCESS_CALLS * self._call_ms:
                over.append(growth.customer)
            else:
                recent_ms += growth.recent_ms
                usual_ms += growth.usual_ms
        return frozenset(over)

    def _growths(self, now_ms: float) -> list[_Growth]:
        if self._since_ms is None:
            return []
        # Before the usual window is full, the demand since the start counts as usual.
        age_ms = max(now_ms - self._since_ms, self._window_ms)
        usual_ms = self._usual_window_ms
        scale = self._scale(self._window_ms, age_ms) / self._scale(usual_ms, age_ms)
        usual = {c: d.usual.total(now_ms) * scale for c, d in self._demands.items()}
        # A customer that is new here may ask for as much as the mean one.
        least_ms = max(1e-9, sum(usual.values()) / max(1, len(usual)))
        return [
            _Growth(c, d.recent.total(now_ms), max(usual[c], least_ms))
            for c, d in self._demands.items()
        ]

    @staticmethod
    def _scale(window_ms: float, age_ms: float) -> float:
        """Return the sum that a rate of one per millisecond has reached after `age_ms`."""
        return window_ms * (1.0 - math.exp(-age_ms / window_ms))
