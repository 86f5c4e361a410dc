"""Pace the starts of calls at an upstream that names how many requests it takes."""

from __future__ import annotations

import math

from knapweedhitch.clock import MS_PER_S

# How long before its turn a call may start. Without it the turns that no call took would be lost,
# and after a longer burst the next turn would come too late for most callers.
TOLERANCE_MS = 250.0
# An upstream that takes no requests gets one in this time, which tells whether the limit still
# holds.
MAX_INTERVAL_MS = 10_000.0


class StartPacer:
    """Spread starts evenly at a rate, with a small burst after a pause.

    In any time the starts stay within the rate over that time and TOLERANCE_MS, and one more.
    """

    def __init__(self) -> None:
        self._interval_ms = 0.0
        # When the starts so far would have ended at the exact rate.
        self._paced_until_ms = -math.inf

    def set_rate(
        self, per_s: float | None, now_ms: float, unknown_before_ms: float = -math.inf
    ) -> None:
        """Set the starts per second, None for no limit.

        Until `unknown_before_ms`, starts may have been made at that rate that were not recorded.
        """
        if per_s is None:
            self._interval_ms = 0.0
            self._paced_until_ms = min(self._paced_until_ms, now_ms)
            return
        was_unlimited = not self._interval_ms
        self._interval_ms = min(MAX_INTERVAL_MS, MS_PER_S / per_s if per_s else math.inf)
        if was_unlimited:
            unknown_until_ms = unknown_before_ms + TOLERANCE_MS
            self._paced_until_ms = max(self._paced_until_ms, unknown_until_ms) + self._interval_ms
        # Starts at a lower rate must not delay those at a higher one.
        latest_ms = now_ms + self._interval_ms + TOLERANCE_MS
        self._paced_until_ms = min(self._paced_until_ms, latest_ms)

    def record_start(self, now_ms: float) -> None:
        """Record a start."""
        self._paced_until_ms = max(now_ms, self._paced_until_ms) + self._interval_ms

    def wait_ms(self, now_ms: float, ahead: int = 0) -> float:
        """Return the time until the rate allows a start behind `ahead` other ones."""
        if not self._interval_ms:
            return 0.0
        turn_ms = max(now_ms, self._paced_until_ms) + ahead * self._interval_ms
        return max(0.0, turn_ms - TOLERANCE_MS - now_ms)
