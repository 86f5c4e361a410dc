"""Estimates of the transit time of frames on a link, compared with the usual one."""

from __future__ import annotations

import math

# A stream is opened at most this long after the last clock message on its link.
CLOCK_INTERVAL_MS = 100.0
# The shortest transit in this time is the usual one. Clocks of two machines differ by less than
# 0.1% in speed, so that it is known to 60 ms.
WINDOW_MS = 30_000.0


class TransitTime:
    """Compare the clock of the sender with the time of arrival.

    The clocks are not synchronised, so only changes are seen: a link that turns slow, or a process
    that reads late. The excess is never more than the time that has passed since the sending.
    """

    def __init__(self) -> None:
        self._sent_ms = math.nan
        self._window_began_ms = -math.inf
        self._lowest_ms = self._lowest_before_ms = math.inf
        self._own_clock_ms = -math.inf

    def is_clock_due(self, now_ms: float) -> bool:
        """Return whether a clock message must precede the opening of a stream now."""
        is_due = now_ms - self._own_clock_ms >= CLOCK_INTERVAL_MS
        if is_due:
            self._own_clock_ms = now_ms
        return is_due

    def record(self, sent_ms: float, received_ms: float) -> None:
        """Record a clock message."""
        passed_ms = received_ms - self._window_began_ms
        if passed_ms >= WINDOW_MS:
            self._lowest_before_ms = self._lowest_ms if passed_ms < 2 * WINDOW_MS else math.inf
            self._lowest_ms, self._window_began_ms = math.inf, received_ms
        self._lowest_ms = min(self._lowest_ms, received_ms - sent_ms)
        self._sent_ms = sent_ms

    def excess_ms(self, received_ms: float) -> float:
        """Return by how much later than usual a stream is opened, 0 without a clock message."""
        usual_ms = min(self._lowest_ms, self._lowest_before_ms)
        excess_ms = received_ms - self._sent_ms - CLOCK_INTERVAL_MS - usual_ms
        return excess_ms if math.isfinite(excess_ms) and excess_ms > 0.0 else 0.0
