"""The concurrency limit that follows the gradient of service times."""

from __future__ import annotations

import math

from knapweedhitch.model import CallResult
from knapweedhitch.settings import AdmissionSettings

SHORT_WEIGHT = 0.1
LONG_WEIGHT = 0.01
SMOOTHING = 0.2
LOWEST_GRADIENT = 0.5
# A shed or timed-out call is a direct sign of overload.
BACKOFF = 0.9


class GradientLimit:
    """Hold a limit between 1 and the slots that shrinks when service times rise."""

    def __init__(self, cfg: AdmissionSettings) -> None:
        self._cfg = cfg
        self.short_ms: float | None = None
        self._long_ms = 0.0
        self._calls = 0
        self._slots = 1
        self._limit = 1.0

    @property
    def limit(self) -> int:
        """Return the number of calls that may run at the same time."""
        return max(1, min(self._slots, int(self._limit)))

    def reset(self, slots: int) -> None:
        """Forget all service times and start at the number of slots."""
        self._slots = max(1, slots)
        self._limit = float(self._slots)
        self.short_ms = None
        self._calls = 0

    def on_result(self, result: CallResult, in_flight: int) -> None:
        """Learn from one call; in_flight counts it."""
        if not result.ok:
            if result.shed or result.timed_out:
                self._limit = max(1.0, self._limit * BACKOFF)
            return
        self._learn(result.service_ms)
        # A limit that is not used tells nothing; without this check it would grow without cause.
        if in_flight * 2 < self._limit or self.short_ms is None:
            return
        ratio = self._cfg.latency_tolerance * self._long_ms / max(self.short_ms, 1e-6)
        gradient = max(LOWEST_GRADIENT, min(1.0, ratio))
        goal = self._limit * gradient + math.sqrt(self._limit)
        self._limit += SMOOTHING * (goal - self._limit)
        self._limit = max(1.0, min(float(self._slots), self._limit))

    def _learn(self, service_ms: float) -> None:
        self._calls += 1
        if self.short_ms is None:
            self.short_ms = service_ms
            self._long_ms = service_ms
            return
        self.short_ms += SHORT_WEIGHT * (service_ms - self.short_ms)
        # The plain mean of the first calls keeps one unusual first call from being the baseline.
        weight = max(LONG_WEIGHT, 1.0 / self._calls)
        self._long_ms += weight * (service_ms - self._long_ms)
