"""Load reports: push the own load to the nodes that use the own upstream."""

from __future__ import annotations

import dataclasses
from collections import OrderedDict

from knapweedhitch import codec
from knapweedhitch.budget import TokenBucket
from knapweedhitch.counters import Counters
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.messages import LoadReport
from knapweedhitch.model import LoadSample
from knapweedhitch.peers import Peers
from knapweedhitch.timers import Timers

# A change of in flight, queue or latency below this share does not change a pick by much.
RELEVANT_SHARE = 0.2
MAX_SOURCES = 40_000
# TCP, IP and websocket headers of a report that travels alone.
PACKET_OVERHEAD_BYTES = 58
# A full bucket is spent on top of the refill; both together stay within the budget over any
# window of BURST_WINDOW_S seconds.
BURST_S = 0.5
BURST_WINDOW_S = 5.0


@dataclasses.dataclass(eq=False, slots=True)
class _Interest:
    used_ms: float
    sent_ms: float = float("-inf")
    sample: LoadSample | None = None


def is_relevant(old: LoadSample | None, new: LoadSample) -> bool:
    """Tell whether a pick would be much different with the new sample."""
    if old is None:
        return True
    if abs(new.slowdown - old.slowdown) > RELEVANT_SHARE * old.slowdown:
        return True
    if (old.warmth, old.draining, old.limit) != (new.warmth, new.draining, new.limit):
        return True
    before, after = old.in_flight + old.queued, new.in_flight + new.queued
    if abs(after - before) > RELEVANT_SHARE * max(before, new.limit, 1):
        return True
    return abs(new.latency_ms - old.latency_ms) > RELEVANT_SHARE * max(old.latency_ms, 1.0)


@service("loadreports")
class LoadReports:
    """Push the own load under a byte budget and take the reports of others."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg.routing
        self._peers: Peers = kernel.get("peers")
        self._timers: Timers = kernel.get("timers")
        self._counters: Counters = kernel.get("counters")
        self._interested: OrderedDict[str, _Interest] = OrderedDict()
        self._sequence = 0
        self._newest: OrderedDict[str, int] = OrderedDict()

    async def start(self) -> None:
        """Send and take reports."""
        rate = self._cfg.measure_budget_bytes_per_s
        refill = rate * (1.0 - BURST_S / BURST_WINDOW_S)
        self._budget = TokenBucket(refill, BURST_S * rate, self._timers.now_ms)
        self._peers.handle(LoadReport, self._on_report)
        self._timers.every(self._cfg.report_interval_ms, self._report, jitter=0.1)

    async def stop(self) -> None:
        """Do nothing; the timers end with the node."""

    def record_interest(self, node_id: str, sample: LoadSample | None = None) -> None:
        """Note that a node uses the own upstream, and the sample that an answer carries to it."""
        now = self._timers.now_ms()
        entry = self._interested.get(node_id)
        if entry is None:
            if len(self._interested) >= self._kernel.cfg.peers.max_links:
                self._counters.add("load_reports_suppressed", "too-many-nodes")
                return
            entry = self._interested[node_id] = _Interest(now)
        entry.used_ms = now
        if sample is not None:
            entry.sample = sample
            entry.sent_ms = now

    def _report(self) -> None:
        admission = self._kernel.get("admission")
        upstream = self._kernel.get("membership").own_member.upstream
        if upstream is None or not self._interested:
            return
        sample: LoadSample = admission.load()
        now = self._timers.now_ms()
        self._sequence += 1
        report = LoadReport(upstream.instance_id, self._sequence, sample)
        size = len(codec.encode(report)) + PACKET_OVERHEAD_BYTES
        for node_id, entry in list(self._interested.items()):
            if now - entry.used_ms > self._cfg.interest_ms:
                del self._interested[node_id]
            elif now - entry.sent_ms < 0.5 * self._cfg.report_interval_ms:
                continue
            elif not is_relevant(entry.sample, sample):
                self._counters.add("load_reports_suppressed", "no-change")
            elif not self._budget.take(size):
                self._counters.add("load_reports_suppressed", "budget")
            else:
                self._send(node_id, entry, report, size, now)

    def _send(
        self, node_id: str, entry: _Interest, report: LoadReport, size: int, now: float
    ) -> None:
        self._peers.send(node_id, report)
        entry.sent_ms = now
        entry.sample = report.load
        # The node that has waited longest comes first when the budget is short.
        self._interested.move_to_end(node_id)
        self._counters.add("load_reports_sent")
        self._counters.add("load_report_bytes", "", size)

    async def _on_report(self, node_id: str, msg: LoadReport) -> None:
        # A restarted node counts from one again, with another instance id.
        if msg.sequence <= self._newest.get(msg.instance_id, 0):
            self._counters.add("load_reports_late")
            return
        self._newest[msg.instance_id] = msg.sequence
        self._newest.move_to_end(msg.instance_id)
        if len(self._newest) > MAX_SOURCES:
            self._newest.popitem(last=False)
        if self._kernel.has("picker"):
            self._kernel.get("picker").observe(msg.instance_id, msg.load)
