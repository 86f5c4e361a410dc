"""Deadlines that are propagated with a call."""

from __future__ import annotations

import dataclasses

import trio


@dataclasses.dataclass(frozen=True, slots=True)
class Deadline:
    """Represent the time on the trio clock after which a call is abandoned."""

    at_s: float

    @classmethod
    def after_ms(cls, remaining_ms: float) -> Deadline:
        """Return a deadline that many milliseconds from now."""
        return cls(trio.current_time() + remaining_ms / 1_000.0)

    @classmethod
    def since(cls, started_s: float, limit_ms: float) -> Deadline:
        """Return a deadline that many milliseconds after a time on the trio clock."""
        return cls(started_s + limit_ms / 1_000.0)

    def remaining_ms(self) -> float:
        """Return the remaining time, zero after the deadline."""
        return max(0.0, (self.at_s - trio.current_time()) * 1_000.0)

    def expired(self) -> bool:
        """Return whether the deadline has passed."""
        return trio.current_time() >= self.at_s

    def reduced(self, margin_ms: float) -> Deadline:
        """Return a deadline that is earlier by a margin."""
        return Deadline(self.at_s - margin_ms / 1_000.0)
