"""Deadlines that travel with a call."""

from __future__ import annotations

import dataclasses

import trio


@dataclasses.dataclass(frozen=True, slots=True)
class Deadline:
    """Hold the moment on the trio clock at which a call is given up."""

    at_s: float

    @classmethod
    def after_ms(cls, remaining_ms: float) -> Deadline:
        """Return the deadline that is the given milliseconds from now."""
        return cls(trio.current_time() + remaining_ms / 1_000.0)

    def remaining_ms(self) -> float:
        """Return the milliseconds left, zero when it has passed."""
        return max(0.0, (self.at_s - trio.current_time()) * 1_000.0)

    def expired(self) -> bool:
        """Tell whether the deadline has passed."""
        return trio.current_time() >= self.at_s

    def reduced(self, margin_ms: float) -> Deadline:
        """Return a deadline that is earlier by the margin in milliseconds."""
        return Deadline(self.at_s - margin_ms / 1_000.0)
