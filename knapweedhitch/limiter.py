"""A concurrency limit that adapts to the gradient of service times."""

from __future__ import annotations

import math

from knapweedhitch.model import CallResult
from knapweedhitch.settings import AdmissionSettings

SHORT_WEIGHT = 0.1
LONG_WEIGHT = 0.01
SMOOTHING = 0.2
MIN_GRADIENT = 0.5
# Applied after a shed or timed-out call, which indicates overload directly.
OVERLOAD_FACTOR = 0.9


class GradientLimit:
    """Adapt a concurrency limit between 1 and the slots; rising service times reduce it."""

    def __init__(self, cfg: AdmissionSettings) -> None:
        self._cfg = cfg
        self.short_ms: float | None = None
        self._long_ms = 0.0
        self._calls = 0
        self._slots = 1
        self._limit = 1.0

    @property
    def limit(self) -> int:
        """Return the number of calls that may run concurrently."""
        return max(1, min(self._slots, int(self._limit)))

    def reset(self, slots: int) -> None:
        """Reset the limit to the number of slots and discard all service times."""
        self._slots = max(1, slots)
        self._limit = float(self._slots)
        self.short_ms = None
        self._calls = 0

    def on_result(self, result: CallResult, in_flight: int) -> None:
        """Update the limit from a call; in_flight includes it."""
        if not result.ok:
            if result.shed or result.timed_out:
                self._limit = max(1.0, self._limit * OVERLOAD_FACTOR)
            return
        self._update_means(result.service_ms)
        # Without this check an unused limit would grow without any evidence of capacity.
        if in_flight * 2 < self._limit or self.short_ms is None:
            return
        ratio = self._cfg.latency_tolerance * self._long_ms / max(self.short_ms, 1e-6)
        gradient = max(MIN_GRADIENT, min(1.0, ratio))
        target = self._limit * gradient + math.sqrt(self._limit)
        self._limit += SMOOTHING * (target - self._limit)
        self._limit = max(1.0, min(float(self._slots), self._limit))

    def _update_means(self, service_ms: float) -> None:
        self._calls += 1
        if self.short_ms is None:
            self.short_ms = service_ms
            self._long_ms = service_ms
            return
        self.short_ms += SHORT_WEIGHT * (service_ms - self.short_ms)
        # The plain mean of the first calls keeps one outlier from becoming the baseline.
        weight = max(LONG_WEIGHT, 1.0 / self._calls)
        self._long_ms += weight * (service_ms - self._long_ms)
