"""Count starts in a sliding window."""

from __future__ import annotations

import collections
import math


class RateWindow:
    """Count the started calls in a sliding window."""

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._starts_ms: collections.deque[float] = collections.deque()

    def record_start(self, now_ms: float) -> None:
        """Record a started call."""
        self._starts_ms.append(now_ms)
        self._trim(now_ms)

    def per_ms(self, now_ms: float) -> float:
        """Return the starts per millisecond, counting at least one start in the window."""
        self._trim(now_ms)
        return max(1, len(self._starts_ms)) / self._window_ms

    def wait_ms(self, now_ms: float, allowed: float) -> float:
        """Return the time until another start fits in the allowed starts per window."""
        self._trim(now_ms)
        if allowed == math.inf:
            return 0.0
        allowed = max(1, math.ceil(allowed))
        if len(self._starts_ms) < allowed:
            return 0.0
        return self._starts_ms[-allowed] + self._window_ms - now_ms

    def _trim(self, now_ms: float) -> None:
        while self._starts_ms and self._starts_ms[0] <= now_ms - self._window_ms:
            self._starts_ms.popleft()
