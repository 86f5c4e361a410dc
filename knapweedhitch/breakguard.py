"""Decide whether calls may be sent to an upstream that breaks its connections.

A reset after a request was written does not tell whether it ran, so a call that must not run twice
is lost with it. A health check may pass meanwhile, and other nodes learn of each break only by a
call of their own, so the node beside the upstream holds the calls back for all of them.
"""

from __future__ import annotations

import math

from knapweedhitch.model import CallResult

# Breaks in a row after which no call is sent for a time. A single one may be chance.
BREAKS_BEFORE_HOLD = 3
MAX_DOUBLINGS = 3


class BreakGuard:
    """Hold calls back after broken ones, then send one at a time until one succeeds."""

    def __init__(self, hold_ms: float) -> None:
        self._hold_ms = hold_ms
        self._breaks = 0
        self._is_trying = False
        self._held_since_ms = -math.inf
        self._held_until_ms = -math.inf

    def reset(self) -> None:
        """Forget the breaks of an earlier start of the upstream."""
        self._breaks = 0
        self._is_trying = False
        self._held_since_ms = self._held_until_ms = -math.inf

    @property
    def is_holding(self) -> bool:
        """Return whether calls are held back, or one at a time is tried."""
        return self._breaks >= BREAKS_BEFORE_HOLD

    def wait_ms(self, now_ms: float, *, may_repeat: bool) -> float:
        """Return how long a call must not be sent, zero if it may be."""
        if not self._breaks:
            return 0.0
        left_ms = max(0.0, self._held_until_ms - now_ms)
        if not self.is_holding:
            return 0.0 if may_repeat else left_ms
        if not may_repeat:
            # A call that may run twice is tried first.
            left_ms = max(0.0, self._held_until_ms + self._current_hold_ms() - now_ms)
        return max(left_ms, self._hold_ms if self._is_trying else 0.0)

    def record_start(self) -> None:
        """Record that a call is sent."""
        self._is_trying = self.is_holding

    def record_end(self, result: CallResult, now_ms: float) -> bool:
        """Record the end of a call; return whether it begins or extends a hold."""
        if result.ok and not result.cancelled:
            self.reset()
            return False
        if now_ms - result.service_ms < self._held_since_ms:
            # It was sent before the hold, for which other breaks are the reason.
            return False
        self._is_trying = False
        if not result.broken:
            return False
        if not result.was_reused or not self._breaks:
            # An upstream may forget its idle connections, so these count as one break together.
            self._breaks += 1
        self._held_until_ms = now_ms + self._current_hold_ms()
        if self.is_holding:
            self._held_since_ms = now_ms
        return self.is_holding

    def _current_hold_ms(self) -> float:
        doublings = min(MAX_DOUBLINGS, max(0, self._breaks - BREAKS_BEFORE_HOLD))
        return float(self._hold_ms * (1 << doublings))
