"""Track the starts of calls at one upstream against a rate limit."""

from __future__ import annotations

import collections
import math

from knapweedhitch.clock import MS_PER_S

# An upstream that takes no requests at all gets one call in this time, which tells whether the
# limit still holds.
MAX_GAP_MS = 10_000.0
MIN_LIMIT_PER_S = MS_PER_S / MAX_GAP_MS
MAX_STARTS = 10_000


class StartTimes:
    """Track recent starts of calls and tell when another one keeps a rate."""

    def __init__(self) -> None:
        self._starts_ms: collections.deque[float] = collections.deque(maxlen=MAX_STARTS)

    def record(self, now_ms: float) -> None:
        """Record a started call."""
        self._starts_ms.append(now_ms)
        while self._starts_ms[0] <= now_ms - MAX_GAP_MS:
            self._starts_ms.popleft()

    def count_since(self, start_ms: float) -> int:
        """Return the number of starts after a point in time."""
        return sum(1 for at_ms in self._starts_ms if at_ms > start_ms)

    def wait_ms(self, now_ms: float, count: int, window_ms: float) -> float:
        """Return the time until another start keeps at most `count` starts in any window."""
        count = min(count, MAX_STARTS)
        if len(self._starts_ms) < count:
            return 0.0
        return max(0.0, self._starts_ms[-count] + window_ms - now_ms)


def rate_window(per_s: float) -> tuple[int, float]:
    """Return the whole number of starts and the window in milliseconds that make up a rate.

    The window is about a second, or the time of one start if that is longer.
    """
    per_s = max(MIN_LIMIT_PER_S, per_s)
    count = max(1, math.floor(per_s))
    return count, count / per_s * MS_PER_S
