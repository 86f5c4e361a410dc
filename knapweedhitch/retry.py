"""Limit retries and hedges with token buckets."""

from __future__ import annotations

from knapweedhitch.budget import TokenBucket
from knapweedhitch.exceptions import Outcome
from knapweedhitch.kernel import Kernel, service


@service("retry")
class RetryPolicy:
    """Allow retries and hedges in proportion to the calls of this node."""

    def __init__(self, kernel: Kernel) -> None:
        self._cfg = kernel.cfg.routing
        self._counters = kernel.get("counters")
        now_ms = kernel.get("timers").now_ms
        cfg = self._cfg
        self._retries = TokenBucket(cfg.retry_floor_per_s, cfg.retry_burst, now_ms, full=False)
        self._hedges = TokenBucket(0.0, cfg.hedge_burst, now_ms, full=False)
        # Start with one second of the retry floor, because the first calls may fail too.
        self._retries.deposit(cfg.retry_floor_per_s)

    async def start(self) -> None:
        """Do nothing; decisions need no task."""

    async def stop(self) -> None:
        """Do nothing; decisions need no task."""

    def record_call(self) -> None:
        """Deposit the retry and hedge tokens that one call earns."""
        self._retries.deposit(self._cfg.retry_ratio)
        self._hedges.deposit(self._cfg.hedge_ratio)

    def may_retry(
        self,
        reason: str,
        idempotent: bool,
        outcome: Outcome,
        remaining_ms: float,
        retries_left: int,
    ) -> bool:
        """Return whether a failed call may be retried; takes a token if so."""
        cause = self._refusal_cause(idempotent, outcome, remaining_ms, retries_left)
        if cause is None and not self._retries.take():
            cause = "budget"
        if cause is not None:
            self._counters.add("retries_refused", cause)
            return False
        self._counters.add("retries", reason)
        return True

    def may_hedge(self) -> bool:
        """Return whether a slow idempotent call may be hedged; takes a token if so."""
        allowed = self._hedges.take()
        self._counters.add("hedges" if allowed else "hedges_refused")
        return allowed

    def _refusal_cause(
        self, idempotent: bool, outcome: Outcome, remaining_ms: float, retries_left: int
    ) -> str | None:
        if not idempotent and outcome is not Outcome.NOT_RUN:
            return "may-have-run"
        if retries_left <= 0:
            return "allowance"
        if remaining_ms <= self._cfg.attempt_margin_ms:
            return "deadline"
        return None
