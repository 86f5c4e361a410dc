"""Hold calls back from the local upstream while it breaks its connections."""

from __future__ import annotations

from collections.abc import Callable

from knapweedhitch import framing
from knapweedhitch.boundedlog import BoundedLog
from knapweedhitch.breakguard import BreakGuard
from knapweedhitch.counters import Counters
from knapweedhitch.exceptions import UpstreamBreaks
from knapweedhitch.exchange import CallSpec
from knapweedhitch.model import CallResult
from knapweedhitch.settings import AdmissionSettings


class UpstreamHold:
    """Refuse calls as the break guard decides; count and log each hold."""

    def __init__(
        self,
        cfg: AdmissionSettings,
        counters: Counters,
        log: BoundedLog,
        now_ms: Callable[[], float],
    ) -> None:
        self._cfg = cfg
        self._counters = counters
        self._log = log
        self._now_ms = now_ms
        self._guard = BreakGuard(cfg.break_hold_ms)

    @property
    def left_ms(self) -> float:
        """Return how long no call is sent, zero without a hold."""
        return self._guard.wait_ms(self._now_ms(), may_repeat=True)

    def reset(self) -> None:
        """Forget the breaks of an earlier start of the upstream."""
        self._guard.reset()

    def check(self, spec: CallSpec) -> None:
        """Raise UpstreamBreaks if a call must not be sent."""
        wait_ms = self._guard.wait_ms(self._now_ms(), may_repeat=framing.may_repeat(spec))
        if wait_ms > 0:
            refusal = UpstreamBreaks()
            refusal.retry_after_ms = wait_ms
            raise refusal

    def record_start(self) -> None:
        """Record that a call is sent."""
        self._guard.record_start()

    def record_end(self, result: CallResult, instance_id: str) -> bool:
        """Record the end of a call; return whether it begins or extends a hold."""
        if not self._cfg.break_hold_ms or not self._guard.record_end(result, self._now_ms()):
            return False
        self._counters.add("upstream_holds")
        self._log.event("upstream-hold", instance=instance_id, hold_ms=round(self.left_ms))
        return True
