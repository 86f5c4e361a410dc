"""Estimate how long the caller of a request has already waited.

The latency objective of a caller that retries after a refusal counts from its first request, so in
an overload its retries take slots from requests that can still be on time. New requests of a route
have about the same deadline, while a retry carries the remaining time.
"""

from __future__ import annotations

import bisect
import collections

MAX_RECENT = 64
MIN_REQUESTS = 16
# New requests have at least this share of the longest deadline of their route.
MIN_NEW_SHARE = 0.85
# Quantile that counts as the longest deadline, so that a single outlier has no effect.
LONGEST_QUANTILE = 0.95
# Requests with a shorter deadline are new as well if this share of recent requests is similar.
SIMILAR_SHARE = 0.4
MAX_ROUTES = 4_096


class _Deadlines:
    """Track the deadlines of the recent requests of one route."""

    def __init__(self) -> None:
        self._recent: collections.deque[float] = collections.deque()
        self._sorted: list[float] = []

    def add(self, deadline_ms: float) -> None:
        """Add a deadline and remove the oldest one beyond the window."""
        self._recent.append(deadline_ms)
        bisect.insort(self._sorted, deadline_ms)
        if len(self._recent) > MAX_RECENT:
            del self._sorted[bisect.bisect_left(self._sorted, self._recent.popleft())]

    def waited_ms(self, deadline_ms: float) -> float:
        """Return by how much a deadline is shorter than that of a new request."""
        n = len(self._sorted)
        longest_ms = self._sorted[min(n - 1, int(LONGEST_QUANTILE * n))]
        if n < MIN_REQUESTS or deadline_ms >= MIN_NEW_SHARE * longest_ms:
            return 0.0
        first = bisect.bisect_left(self._sorted, MIN_NEW_SHARE * deadline_ms)
        end = bisect.bisect_right(self._sorted, deadline_ms / MIN_NEW_SHARE)
        if end - first >= SIMILAR_SHARE * n:
            return 0.0
        return (1.0 + MIN_NEW_SHARE) / 2.0 * longest_ms - deadline_ms


class CallerWaits:
    """Estimate from the recent deadlines of each route how long its callers have waited."""

    def __init__(self) -> None:
        self._routes: dict[str, _Deadlines] = {}

    def record_deadline(self, route: str, deadline_ms: float) -> float:
        """Record the deadline of a request; return how many ms its caller has already waited."""
        if deadline_ms == float("inf"):
            return 0.0
        if route not in self._routes and len(self._routes) >= MAX_ROUTES:
            return 0.0
        deadlines = self._routes.setdefault(route, _Deadlines())
        deadlines.add(deadline_ms)
        return deadlines.waited_ms(deadline_ms)
