"""A sum in which earlier values count less with time."""

from __future__ import annotations

import math


class DecayedSum:
    """Sum values with exponential decay, in constant memory."""

    __slots__ = ("_at_ms", "_sum", "_window_ms")

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._sum = 0.0
        self._at_ms = 0.0

    def add(self, value: float, now_ms: float) -> None:
        """Add a value."""
        self._sum = self.total(now_ms) + value
        self._at_ms = now_ms

    def total(self, now_ms: float) -> float:
        """Return the sum; a value counts by 1/e after the window."""
        return self._sum * math.exp(min(0.0, self._at_ms - now_ms) / self._window_ms)
