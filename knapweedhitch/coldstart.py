"""Ramp up the concurrency of a cold upstream, and detect when a warm one has turned cold."""

from __future__ import annotations

import enum
import math

from knapweedhitch.model import CallResult, Warmth
from knapweedhitch.settings import AdmissionSettings

# EWMA weight of the newest service time in the latency baseline.
BASELINE_WEIGHT = 0.02
# The latency baseline is not used before this many calls.
MIN_BASELINE_CALLS = 20


class ColdCause(enum.Enum):
    """Enumerate the causes for which an upstream counts as cold."""

    STARTED = "started"
    NEW_INCARNATION = "new-incarnation"
    CONNECT_FAILED = "connect-failed"
    FAILURE_RUN = "failure-run"
    LATENCY_JUMP = "latency-jump"
    DOMAIN_RETURNED = "domain-returned"
    COLD_FAILURE = "cold-failure"


class Ramp:
    """Adapt the concurrency limit during a cold start; only timely successes increase it."""

    def __init__(self, cfg: AdmissionSettings) -> None:
        self._cfg = cfg
        self.warmth = Warmth.COLD
        self.cause = ColdCause.STARTED
        self.limit = cfg.cold_start_limit
        # A warm upstream that fails may have turned cold. Until a later call succeeds, its
        # concurrency is limited to the calls that were in flight beside the failed one.
        self.suspect_limit: int | None = None
        self._successes = 0
        self._failures = 0
        self._failing_since_ms = -math.inf
        self._slots = 1
        self._consecutive_slow = 0
        self._baseline_ms = 0.0
        self._calls = 0

    def reset(self, cause: ColdCause, slots: int | None = None) -> None:
        """Restart the ramp, with a new number of slots if given."""
        if slots is not None:
            self._slots = slots
        self.warmth = Warmth.COLD
        self.cause = cause
        self.limit = min(self._cfg.cold_start_limit, self._slots)
        self._successes = self._failures = self._consecutive_slow = self._calls = 0
        self.suspect_limit = None

    def on_result(
        self, result: CallResult, *, at_limit: bool, in_flight: int = 1, began_ms: float = math.inf
    ) -> ColdCause | None:
        """Record a call that began at began_ms; return the cause if the upstream turned cold."""
        cause = self._fallback_cause(result, began_ms)
        if cause is not None:
            self.reset(cause)
            return cause
        if result.ok:
            self._update_baseline(result.service_ms)
            if self.warmth is Warmth.COLD:
                self._increase_limit(at_limit)
            return None
        concurrent = max(1, in_flight - 1)
        self.suspect_limit = min(concurrent, self.suspect_limit or concurrent)
        return None

    def _fallback_cause(self, result: CallResult, began_ms: float) -> ColdCause | None:
        if result.ok:
            # A success only counts if its call began after the failures.
            if began_ms > self._failing_since_ms:
                self._failures = 0
                self.suspect_limit = None
            return ColdCause.LATENCY_JUMP if self._is_latency_jump(result.service_ms) else None
        if result.connect_failed:
            return ColdCause.CONNECT_FAILED
        if not self._failures:
            self._failing_since_ms = began_ms if began_ms < math.inf else -math.inf
        self._failures += 1
        if self.warmth is Warmth.COLD:
            return ColdCause.COLD_FAILURE
        return ColdCause.FAILURE_RUN if self._failures >= self._cfg.cold_failure_run else None

    def _is_latency_jump(self, service_ms: float) -> bool:
        if self.warmth is Warmth.COLD or self._calls < MIN_BASELINE_CALLS:
            return False
        # Single slow calls are common with heavy-tailed service times; a series is a latency jump.
        is_slow = service_ms > self._cfg.cold_latency_factor * self._baseline_ms
        self._consecutive_slow = self._consecutive_slow + 1 if is_slow else 0
        return self._consecutive_slow >= self._cfg.cold_failure_run

    def _update_baseline(self, service_ms: float) -> None:
        self._calls += 1
        # The plain mean of the first calls converges sooner than the EWMA.
        weight = max(BASELINE_WEIGHT, 1.0 / self._calls)
        self._baseline_ms += weight * (service_ms - self._baseline_ms)

    def _increase_limit(self, at_limit: bool) -> None:
        self._successes += 1
        if self._successes < math.ceil(self.limit * self._cfg.cold_success_factor):
            return
        # Successes below the limit are no evidence that the upstream can run more calls.
        if not at_limit and self._successes < self.limit * 4:
            return
        self._successes = 0
        self.limit += 1
        if self.limit >= self._slots:
            self.limit = self._slots
            self.warmth = Warmth.WARM
