"""Push the load of the local upstream to the nodes that use it."""

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
from knapweedhitch.timers import Subscription, Timers

# Smaller relative changes of slowdown, load or latency hardly affect a pick.
MIN_RELEVANT_CHANGE = 0.2
# A changed number of calls is reported to other failure domains once in so many intervals: nodes
# there prefer targets nearby, and bytes between domains are paid for.
REMOTE_INTERVALS = 4
MAX_SOURCES = 40_000
# TCP, IP and websocket headers of a report in a packet of its own.
PACKET_OVERHEAD_BYTES = 58
# A full bucket can be spent in addition to the refill. Together they stay within the budget over
# any window of BURST_WINDOW_S seconds.
BURST_S = 0.5
BURST_WINDOW_S = 5.0


@dataclasses.dataclass(eq=False, slots=True)
class _Subscriber:
    last_used_ms: float
    sent_ms: float = float("-inf")
    sample: LoadSample | None = None


def is_relevant(old: LoadSample | None, new: LoadSample) -> bool:
    """Return whether the new sample differs enough to affect a pick."""
    if old is None or is_urgent(old, new):
        return True
    before, after = old.in_flight + old.queued, new.in_flight + new.queued
    return abs(after - before) > MIN_RELEVANT_CHANGE * max(before, new.limit, 1)


def is_urgent(old: LoadSample, new: LoadSample) -> bool:
    """Return whether the new sample tells that calls are served slower or faster than before."""
    if abs(new.slowdown - old.slowdown) > MIN_RELEVANT_CHANGE * old.slowdown:
        return True
    if (old.warmth, old.draining, old.limit) != (new.warmth, new.draining, new.limit):
        return True
    return abs(new.wait_ms - old.wait_ms) > MIN_RELEVANT_CHANGE * max(
        old.wait_ms, new.latency_ms, 1.0
    )


@service("loadreports")
class LoadReports:
    """Push load reports within a byte budget and receive the reports of other nodes."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg.routing
        self._peers: Peers = kernel.get("peers")
        self._timers: Timers = kernel.get("timers")
        self._counters: Counters = kernel.get("counters")
        self._subscribers: OrderedDict[str, _Subscriber] = OrderedDict()
        self._sequence = 0
        self._last_sequences: OrderedDict[str, int] = OrderedDict()

    async def start(self) -> None:
        """Start to send and receive reports."""
        rate = self._cfg.measure_budget_bytes_per_s
        refill = rate * (1.0 - BURST_S / BURST_WINDOW_S)
        self._budget = TokenBucket(refill, BURST_S * rate, self._timers.now_ms)
        self._peers.handle(LoadReport, self._on_report)
        self._timer: Subscription | None = None

    async def stop(self) -> None:
        """Do nothing; the timers end with the node."""

    def record_interest(self, node_id: str, sample: LoadSample | None = None) -> None:
        """Record that a node uses the local upstream, and the sample that a response sends it."""
        now = self._timers.now_ms()
        entry = self._subscribers.get(node_id)
        if entry is None:
            if len(self._subscribers) >= self._kernel.cfg.peers.max_links:
                self._counters.add("load_reports_suppressed", "too-many-nodes")
                return
            entry = self._subscribers[node_id] = _Subscriber(now)
            self._start_timer()
        entry.last_used_ms = now
        if sample is not None:
            entry.sample = sample
            entry.sent_ms = now

    def _start_timer(self) -> None:
        if self._timer is None:
            interval_ms = self._cfg.report_interval_ms
            self._timer = self._timers.every(interval_ms, self._send_reports, align=True)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _send_reports(self) -> None:
        if not self._subscribers:
            # Nobody uses the local upstream; a node at rest should not wake up for it.
            self._stop_timer()
            return
        admission = self._kernel.get("admission")
        own = self._kernel.get("membership").own_member
        upstream = own.upstream
        if upstream is None:
            return
        sample: LoadSample = admission.load()
        now = self._timers.now_ms()
        # The upstream keeps its id when its node restarts, so each process counts from its start.
        # Reports are more than 1 ms apart, so that the count is below the start of the next one.
        self._sequence = max(self._sequence + 1, own.started_wall_ms)
        report = LoadReport(upstream.instance_id, self._sequence, sample)
        size_bytes = len(codec.encode(report)) + PACKET_OVERHEAD_BYTES
        for node_id, entry in list(self._subscribers.items()):
            if now - entry.last_used_ms > self._cfg.interest_ms:
                del self._subscribers[node_id]
            elif now - entry.sent_ms < 0.5 * self._cfg.report_interval_ms:
                continue
            elif not is_relevant(entry.sample, sample):
                self._counters.add("load_reports_suppressed", "no-change")
            elif self._may_wait(node_id, entry, sample, now):
                self._counters.add("load_reports_suppressed", "other-domain")
            elif not self._budget.take(size_bytes):
                self._counters.add("load_reports_suppressed", "budget")
            else:
                self._send(node_id, entry, report, size_bytes, now)

    def _may_wait(self, node_id: str, entry: _Subscriber, sample: LoadSample, now: float) -> bool:
        """Return whether a node of another domain gets the report later, with other changes."""
        if entry.sample is None or is_urgent(entry.sample, sample):
            return False
        if now - entry.sent_ms >= REMOTE_INTERVALS * self._cfg.report_interval_ms:
            return False
        member = self._kernel.get("membership").members().get(node_id)
        return member is not None and member.domain != self._kernel.cfg.node.domain

    def _send(
        self, node_id: str, entry: _Subscriber, report: LoadReport, size_bytes: int, now: float
    ) -> None:
        self._peers.send(node_id, report)
        entry.sent_ms = now
        entry.sample = report.load
        # The node with the oldest report comes first when the budget is short.
        self._subscribers.move_to_end(node_id)
        self._counters.add("load_reports_sent")
        self._counters.add("load_report_bytes", "", size_bytes)

    async def _on_report(self, node_id: str, msg: LoadReport) -> None:
        if msg.sequence <= self._last_sequences.get(msg.instance_id, 0):
            self._counters.add("load_reports_late")
            return
        self._last_sequences[msg.instance_id] = msg.sequence
        self._last_sequences.move_to_end(msg.instance_id)
        if len(self._last_sequences) > MAX_SOURCES:
            self._last_sequences.popitem(last=False)
        if self._kernel.has("picker"):
            self._kernel.get("picker").observe(msg.instance_id, msg.load)
