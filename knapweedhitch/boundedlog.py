"""Log events at a limited rate."""

from __future__ import annotations

from collections.abc import Callable

from knapweedhitch import logs
from knapweedhitch.budget import TokenBucket
from knapweedhitch.counters import Counters
from knapweedhitch.settings import LogSettings


class BoundedLog:
    """Log the events of one source up to `max_lines_per_s` and count the lines that are dropped."""

    def __init__(self, cfg: LogSettings, counters: Counters, now_ms: Callable[[], float]) -> None:
        self._counters = counters
        self._budget = TokenBucket(cfg.max_lines_per_s, cfg.max_lines_per_s, now_ms)

    def event(self, name: str, **fields: object) -> None:
        """Log an event at level INFO."""
        if self._may_log():
            logs.event(name, **fields)

    def warning(self, name: str, **fields: object) -> None:
        """Log an event at level WARNING."""
        if self._may_log():
            logs.warning(name, **fields)

    def _may_log(self) -> bool:
        if self._budget.take():
            return True
        self._counters.add("log_lines_dropped")
        return False
