"""How long a caller has waited already when its request arrives.

Answers the pattern of callers that come back after a refusal: their objective counts from their
first request, so in an overload they take the slots of requests that can still be timely. New
requests of a route carry about the same deadline; a caller that comes back gives what is left.
"""

from __future__ import annotations

import bisect
import collections

WINDOW = 64
MIN_REQUESTS = 16
# The deadlines of new requests lie between this share of the longest one and that one.
SPREAD = 0.85
# The longest deadline is taken at this rank, so that a single odd one does not count.
TOP_RANK = 0.95
# Callers with a shorter deadline are new as well if so many of the recent ones are like them.
LIKE_SHARE = 0.4
MAX_ROUTES = 4_096


class _Deadlines:
    """Hold the deadlines of the recent requests of one route."""

    def __init__(self) -> None:
        self._recent: collections.deque[float] = collections.deque()
        self._sorted: list[float] = []

    def add(self, deadline_ms: float) -> None:
        """Count a deadline and forget the oldest one."""
        self._recent.append(deadline_ms)
        bisect.insort(self._sorted, deadline_ms)
        if len(self._recent) > WINDOW:
            del self._sorted[bisect.bisect_left(self._sorted, self._recent.popleft())]

    def missing_ms(self, deadline_ms: float) -> float:
        """Return how much shorter a deadline is than those of new requests."""
        n = len(self._sorted)
        longest_ms = self._sorted[min(n - 1, int(TOP_RANK * n))]
        if n < MIN_REQUESTS or deadline_ms >= SPREAD * longest_ms:
            return 0.0
        low = bisect.bisect_left(self._sorted, SPREAD * deadline_ms)
        high = bisect.bisect_right(self._sorted, deadline_ms / SPREAD)
        if high - low >= LIKE_SHARE * n:
            return 0.0
        return (1.0 + SPREAD) / 2.0 * longest_ms - deadline_ms


class CallerWaits:
    """Estimate from the deadlines of each route how long its callers have waited."""

    def __init__(self) -> None:
        self._routes: dict[str, _Deadlines] = {}

    def record_deadline(self, route: str, deadline_ms: float) -> float:
        """Count a request with its deadline; return how long its caller has waited before."""
        if deadline_ms == float("inf"):
            return 0.0
        if route not in self._routes and len(self._routes) >= MAX_ROUTES:
            return 0.0
        deadlines = self._routes.setdefault(route, _Deadlines())
        deadlines.add(deadline_ms)
        return deadlines.missing_ms(deadline_ms)
