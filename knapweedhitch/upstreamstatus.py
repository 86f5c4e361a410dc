"""What one start of the local upstream has told of itself, whatever message it came in."""

from __future__ import annotations

import dataclasses
import math

import trio

from knapweedhitch.clock import MS_PER_S
from knapweedhitch.coldtime import ColdTime
from knapweedhitch.deadline import Deadline
from knapweedhitch.model import UNKNOWN_INCARNATION, UpstreamRecord, UpstreamState
from knapweedhitch.settings import UpstreamSettings
from knapweedhitch.timers import Timers
from knapweedhitch.upstreamload import UpstreamReport


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamStart:
    """Identify one start of an upstream by its newest record and when this node learnt of it.

    A health response names the instance, but not its incarnation. The first heartbeat tells it, and
    is of the same start unless it names a time after the one at which the response came.
    """

    record: UpstreamRecord
    since_ms: float
    since_wall_ms: int

    def includes(self, record: UpstreamRecord) -> bool:
        """Return whether a record is of this start."""
        if not self.record.is_same_start(record.instance_id, record.incarnation):
            return False
        is_known = self.record.incarnation != UNKNOWN_INCARNATION
        return is_known or record.incarnation <= self.since_wall_ms

    def sent(self, report: UpstreamReport) -> bool:
        """Return whether a response to a request of this node is of this start."""
        is_same_instance = report.instance_id == self.record.instance_id
        return is_same_instance and report.requested_ms >= self.since_ms

    def answered_probe(self, record: UpstreamRecord, requested_ms: float) -> bool:
        """Return whether the response to a probe of a record is of this start."""
        # The response by which this node learnt of the start answers an earlier request.
        is_later = requested_ms >= self.since_ms and self.includes(record)
        return record == self.record or is_later


def next_start(
    start: UpstreamStart | None, record: UpstreamRecord, timers: Timers
) -> UpstreamStart:
    """Return the start that a record is of, which is the current one or begins now."""
    if start is not None and start.includes(record):
        return dataclasses.replace(start, record=record)
    return UpstreamStart(record, timers.now_ms(), timers.wall_ms())


class UpstreamStatus:
    """Track what the current start of the upstream has told, and nothing of those before it.

    Until it has responded for the first time, it may name a limit, be cold or leave without this
    node knowing it. A probe is sent at once, so calls wait for its response, and then, if there was
    none, for that to a first call.
    """

    def __init__(self, cfg: UpstreamSettings, timers: Timers) -> None:
        self._cfg = cfg
        self._timers = timers
        self.start: UpstreamStart | None = None
        self.has_responded = False
        # Requests per second, None if it names no limit.
        self.limit_per_s: float | None = None
        self.cold = ColdTime()
        self._leaving = False
        # When the limit changed, and when it was named last.
        self._limit_set_ms = self._limit_named_ms = -math.inf
        self._changed = trio.Event()

    @property
    def record(self) -> UpstreamRecord | None:
        """Return the announced record, or None if there is none."""
        return self.start.record if self.start is not None else None

    @property
    def leaving(self) -> bool:
        """Return whether an announcement or a response has told that the upstream leaves."""
        record = self.record
        return record is not None and (self._leaving or record.state is UpstreamState.LEAVING)

    @property
    def age_ms(self) -> float:
        """Return the time since this node learnt of the start."""
        return self._timers.now_ms() - self.start.since_ms if self.start is not None else math.inf

    @property
    def probe_wait_ms(self) -> float:
        """Return how much longer the first response may come from the probe sent at the start."""
        if self.start is None or self.has_responded or not self._cfg.probe_interval_ms:
            return 0.0
        return max(0.0, self._cfg.probe_timeout_ms - self.age_ms)

    async def wait_for_probe(self, deadline: Deadline) -> None:
        """Wait for the response to the probe sent at the start, if nothing has come before."""
        while (wait_ms := self.probe_wait_ms) > 0 and not deadline.expired():
            with trio.move_on_after(min(wait_ms, deadline.remaining_ms()) / MS_PER_S):
                await self._changed.wait()

    def set_record(self, record: UpstreamRecord | None) -> bool:
        """Set the announced record; return whether it is of another start."""
        self._notify()
        if record is None:
            self.start = None
            return False
        before = self.start
        self.start = next_start(before, record, self._timers)
        if before is not None and before.includes(record):
            return False
        self.has_responded = self._leaving = False
        self.limit_per_s = None
        self._limit_set_ms = self._limit_named_ms = -math.inf
        self.cold.start_incarnation()
        return True

    def record_report(self, report: UpstreamReport) -> None:
        """Record what a response of this start tells."""
        self._notify()
        self.has_responded = True
        # An upstream that leaves never serves again before its next start.
        self._leaving = self._leaving or report.leaving
        if "limit" not in report.malformed:
            self._update_limit(report, self._timers.now_ms())

    def _update_limit(self, report: UpstreamReport, now_ms: float) -> None:
        """Adopt the limit in a response; without one, the last limit has ended."""
        before = self.limit_per_s
        if report.limit_per_s is not None:
            self._limit_named_ms = now_ms
            is_higher = before is not None and report.limit_per_s > before
            if is_higher and report.requested_ms < self._limit_set_ms:
                # This response may be older than the one that named the lower limit.
                return
        elif report.requested_ms < self._limit_named_ms:
            # This response may be older than the one that named the limit.
            return
        if report.limit_per_s != before:
            self.limit_per_s, self._limit_set_ms = report.limit_per_s, now_ms

    def _notify(self) -> None:
        """Wake the waiting calls, which run after the change is complete."""
        self._changed.set()
        self._changed = trio.Event()
