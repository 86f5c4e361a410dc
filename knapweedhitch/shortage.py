"""Decide which calls leave their place to others while an upstream has too little room.

An urgent call can hardly wait: it finds the slots taken by calls that could have waited longer and
is refused. So while urgent calls are refused, less urgent ones take free slots, but don't wait for
them, and calls of a customer over its share leave the last free slot to others.
"""

from __future__ import annotations

import enum
from typing import Protocol

from knapweedhitch.customershares import CustomerShares
from knapweedhitch.decayedsum import DecayedSum

# Two kinds of equal priority are equally urgent if their slacks differ by less.
SLACK_MARGIN_MS = 50.0
# A smaller share of refused calls is no shortage, and neither are fewer refusals in the window.
MIN_REFUSED_SHARE = 0.05
MIN_REFUSALS = 1.0
# Calls of a customer over its share yield up to this share of refusals, so that it does not starve:
# a refused call is tried at up to three further upstreams.
MAX_OVER_REFUSED_SHARE = 0.9
MAX_KINDS = 64
# One gate gets few calls of each customer, so their demand is compared over a longer time.
SHARE_WINDOWS = 2.0


class CallToPlace(Protocol):
    """Describe what the decision reads of a call; times are in milliseconds."""

    @property
    def priority(self) -> int: ...
    @property
    def arrived_ms(self) -> float: ...
    @property
    def objective_ms(self) -> float: ...
    @property
    def route(self) -> str: ...
    @property
    def customer(self) -> str: ...
    @property
    def is_call(self) -> bool: ...


class YieldReason(enum.Enum):
    """Tell why a call leaves its place to others."""

    LESS_URGENT = "less-urgent"
    OVER_SHARE = "over-share"


class _Refusals:
    """Track the share of calls that were refused."""

    def __init__(self, window_ms: float) -> None:
        self._arrivals = DecayedSum(window_ms)
        self._refusals = DecayedSum(window_ms)

    def record_arrival(self, now_ms: float) -> None:
        """Record a call."""
        self._arrivals.add(1.0, now_ms)

    def record_refusal(self, now_ms: float) -> None:
        """Record that a call was refused."""
        self._refusals.add(1.0, now_ms)

    def share(self, now_ms: float) -> float:
        """Return the share of refused calls."""
        return self._refusals.total(now_ms) / max(1.0, self._arrivals.total(now_ms))

    def is_shortage(self, now_ms: float) -> bool:
        """Return whether these calls find too little room."""
        is_more_than_chance = self._refusals.total(now_ms) >= MIN_REFUSALS
        return is_more_than_chance and self.share(now_ms) > MIN_REFUSED_SHARE


class _Kind(_Refusals):
    """Track the calls of one route and priority; slack is the time that they can wait.

    The priority is None for calls of customers, which may have priorities of their own.
    """

    def __init__(self, window_ms: float, priority: int | None) -> None:
        super().__init__(window_ms)
        self.priority = priority
        self._objective_ms = self._service_ms = 0.0

    def record_times(self, objective_ms: float, service_ms: float) -> None:
        """Record the time to the latency objective of a call, and its expected service time."""
        # Callers that retry have less left, which says nothing about the kind.
        self._objective_ms = max(self._objective_ms, objective_ms)
        self._service_ms = service_ms

    @property
    def _slack_ms(self) -> float:
        """Return how long a first call of this kind can wait."""
        return self._objective_ms - self._service_ms

    def is_more_urgent_than(self, other: _Kind) -> bool:
        """Return whether this kind has a higher priority or, at an equal one, can wait less."""
        if None in (self.priority, other.priority) or self.priority == other.priority:
            return self._slack_ms + SLACK_MARGIN_MS < other._slack_ms
        assert self.priority is not None and other.priority is not None
        return self.priority < other.priority


class Shortage:
    """Track who is refused at one upstream and tell which calls yield."""

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._kinds: dict[tuple[int | None, str], _Kind] = {}
        self._shares = CustomerShares(SHARE_WINDOWS * window_ms)
        self._within_share = _Refusals(window_ms)
        self._over_share = _Refusals(window_ms)

    def record_arrival(self, work: CallToPlace, service_ms: float, now_ms: float) -> None:
        """Record a call that could be timely, with its expected service time."""
        if work.customer:
            self._shares.record_arrival(work.customer, service_ms, now_ms)
            self._group_of(work, now_ms).record_arrival(now_ms)
        kind = self._kind_of(work)
        if kind is None:
            return
        kind.record_times(work.objective_ms - work.arrived_ms, service_ms)
        if not self.is_over_share(work, now_ms):
            # Nobody yields to what a customer asks for beyond its share.
            kind.record_arrival(now_ms)

    def record_refusal(self, work: CallToPlace, now_ms: float) -> None:
        """Record that a call was refused on arrival."""
        if work.customer:
            self._group_of(work, now_ms).record_refusal(now_ms)
        kind = self._kinds.get(_kind_key(work))
        if kind is not None and not self.is_over_share(work, now_ms):
            kind.record_refusal(now_ms)

    def is_over_share(self, work: CallToPlace, now_ms: float) -> bool:
        """Return whether the customer of a call asks for far more than usual."""
        return bool(work.customer) and self._shares.is_over(work.customer, now_ms)

    def yield_reason(self, work: CallToPlace, now_ms: float) -> YieldReason | None:
        """Return why a call leaves its place to others, None if it need not."""
        if work.is_call:
            # A refused call costs the whole run that made it.
            return None
        if self._yields_to_customers(work, now_ms):
            return YieldReason.OVER_SHARE
        if self._yields_to_urgent_kind(work, now_ms):
            return YieldReason.LESS_URGENT
        return None

    def _yields_to_customers(self, work: CallToPlace, now_ms: float) -> bool:
        if not self._within_share.is_shortage(now_ms) or not self.is_over_share(work, now_ms):
            return False
        return self._over_share.share(now_ms) < MAX_OVER_REFUSED_SHARE

    def _yields_to_urgent_kind(self, work: CallToPlace, now_ms: float) -> bool:
        own = self._kinds.get(_kind_key(work))
        if own is None:
            return False
        own_share = own.share(now_ms)
        # Yielding ends once both are refused equally often, so that no kind starves.
        return any(
            kind.share(now_ms) > own_share
            for kind in self._kinds.values()
            if kind.is_more_urgent_than(own) and kind.is_shortage(now_ms)
        )

    def _kind_of(self, work: CallToPlace) -> _Kind | None:
        key = _kind_key(work)
        kind = self._kinds.get(key)
        if kind is None and len(self._kinds) < MAX_KINDS:
            kind = self._kinds[key] = _Kind(self._window_ms, key[0])
        return kind

    def _group_of(self, work: CallToPlace, now_ms: float) -> _Refusals:
        return self._over_share if self.is_over_share(work, now_ms) else self._within_share


def _kind_key(work: CallToPlace) -> tuple[int | None, str]:
    # The priority of a customer orders its calls, but takes no place of other customers.
    return None if work.customer else work.priority, work.route
