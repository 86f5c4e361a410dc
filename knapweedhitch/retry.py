"""Limit retries and hedges with token buckets."""

from __future__ import annotations

from knapweedhitch.budget import TokenBucket
from knapweedhitch.clock import MS_PER_S
from knapweedhitch.exceptions import Outcome
from knapweedhitch.kernel import Kernel, service

MAX_SERVICES = 10_000
# Nodes that start together know few members at first and would each take too much of the slack.
SLACK_DELAY_MS = 5_000.0
COUNT_INTERVAL_MS = 1_000.0


@service("retry")
class RetryPolicy:
    """Allow retries and hedges in proportion to the calls of each service at this node.

    In any window a node spends at most its share of the slack plus the ratio of the calls that it
    took in that window. The sum over all nodes therefore keeps the budget of the service, however
    the calls are spread. A restarted node begins without tokens, so restarts add none.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg.routing
        self._counters = kernel.get("counters")
        self._now_ms = kernel.get("timers").now_ms
        self._started_ms = self._now_ms()
        self._budgets: dict[str, TokenBucket] = {}
        # Refill rate and burst of each budget; both are 0 until the slack is divided.
        self._limits = (self._cfg.retry_floor_per_s, float(self._cfg.retry_burst))
        if self._cfg.retry_slack:
            self._limits = (0.0, 0.0)
        self._counted_ms = -COUNT_INTERVAL_MS
        self._hedges = TokenBucket(0.0, self._cfg.hedge_burst, self._now_ms, full=False)

    async def start(self) -> None:
        """Do nothing; decisions need no task."""

    async def stop(self) -> None:
        """Do nothing; decisions need no task."""

    def record_call(self, service_name: str, *, is_repeat: bool = False) -> None:
        """Deposit the tokens that one call earns; calls of a repeated run earn no retries."""
        if not is_repeat:
            self._budget(service_name).deposit(self._cfg.retry_budget_share * self._cfg.retry_ratio)
        self._hedges.deposit(self._cfg.hedge_ratio)

    def may_retry(
        self,
        service_name: str,
        reason: str,
        idempotent: bool,
        outcome: Outcome,
        remaining_ms: float,
        retries_left: int,
    ) -> bool:
        """Return whether a failed call may be retried; takes a token if so."""
        cause = self._refusal_cause(idempotent, outcome, remaining_ms, retries_left)
        if cause is None and not self._budget(service_name).take():
            cause = "budget"
        if cause is not None:
            self._counters.add("retries_refused", cause)
            return False
        self._counters.add("retries", reason)
        return True

    def has_budget(self, service_name: str) -> bool:
        """Return whether the budget of the service allows a retry now."""
        return self._budget(service_name).tokens >= 1.0

    def may_call_again(self, service_name: str) -> bool:
        """Return whether a repeated run may make a call of its own; takes a token if so.

        The first run has already made this call, so it is a repetition at the called service.
        """
        allowed = self._budget(service_name).take()
        self._counters.add("repeated_calls" if allowed else "repeated_calls_refused")
        return allowed

    def may_hedge(self) -> bool:
        """Return whether a slow idempotent call may be hedged; takes a token if so."""
        allowed = self._hedges.take()
        self._counters.add("hedges" if allowed else "hedges_refused")
        return allowed

    def _budget(self, service_name: str) -> TokenBucket:
        if self._cfg.retry_slack and self._now_ms() - self._counted_ms >= COUNT_INTERVAL_MS:
            self._update_limits()
        budget = self._budgets.get(service_name)
        if budget is None:
            if len(self._budgets) >= MAX_SERVICES:
                del self._budgets[next(iter(self._budgets))]
            budget = TokenBucket(*self._limits, self._now_ms, full=False)
            self._budgets[service_name] = budget
            if not self._cfg.retry_slack:
                # Start with one second of the floor, because the first calls may fail too.
                budget.deposit(self._cfg.retry_floor_per_s)
        return budget

    def _update_limits(self) -> None:
        """Divide the slack of the cluster among its nodes."""
        self._counted_ms = now = self._now_ms()
        if now - self._started_ms < SLACK_DELAY_MS:
            return
        nodes = max(1, self._kernel.get("membership").count_entry_nodes())
        slack = self._cfg.retry_budget_share * self._cfg.retry_slack / nodes
        # One part may be spent at once, the rest over the window. A whole token needs a burst of 1.
        burst = min(slack, max(1.0, slack / 2))
        limits = ((slack - burst) / (self._cfg.retry_window_ms / MS_PER_S), burst)
        if limits != self._limits:
            self._limits = limits
            for budget in self._budgets.values():
                budget.set_limits(*limits)

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
