"""Exchange of the evidence about requests that crash their upstreams between nodes."""

from __future__ import annotations

import random
from collections.abc import Callable

from msgspec import structs

from knapweedhitch.boundedlog import BoundedLog
from knapweedhitch.budget import TokenBucket
from knapweedhitch.codec import Message
from knapweedhitch.exceptions import PeerError
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.messages import (
    Ack,
    Evidence,
    EvidenceQuery,
    RequestCleared,
    UpstreamEnded,
)
from knapweedhitch.model import UpstreamEnd
from knapweedhitch.supervisor import OnFault
from knapweedhitch.suspects import HeldEnd, RequestVerdict, SuspectTable

COMPARE_TIMEOUT_MS = 400.0
# A node that has just started asks for evidence although it holds none.
ASK_AFTER_START_MS = 10_000.0
# A node that restarts may meet such a request at once, and others may have no link to it yet.
EARLY_ASKS_MS = (50.0, 150.0, 300.0)
# With a fanout of 24, three steps reach 13,800 nodes.
MAX_HOPS = 4


@service("suspects")
class SuspectSharing:
    """Hold the evidence that this node knows, log it, and pass it on to others.

    Control instances hold it as well, so that it outlasts the restart of all entry nodes.
    """

    def __init__(self, kernel: Kernel, rng: random.Random | None = None) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg.suspects
        self._rng = rng or random.Random()
        self._counters = kernel.get("counters")
        self._timers = kernel.get("timers")
        self.table = SuspectTable(self._cfg, self._timers.now_ms)
        self._peers = kernel.get("peers")
        self._membership = kernel.get("membership")
        self._log = BoundedLog(kernel.cfg.log, self._counters, self._timers.now_ms)
        self._is_comparing = False
        rate = float(self._cfg.max_messages_per_s)
        self._budget = TokenBucket(rate, rate, self._timers.now_ms)

    async def start(self) -> None:
        """Register the handlers and compare evidence from time to time."""
        self._started_ms = self._timers.now_ms()
        self._peers.handle(UpstreamEnded, self._on_end)
        self._peers.handle(RequestCleared, self._on_cleared)
        self._peers.handle(EvidenceQuery, self._on_query)
        self._timers.every(self._cfg.compare_interval_ms, self._on_tick, jitter=0.1, align=True)
        for delay_ms in EARLY_ASKS_MS:
            self._timers.after(delay_ms, self._on_tick)

    async def stop(self) -> None:
        """Do nothing; the timers end with the node."""

    def publish_end(self, end: UpstreamEnd) -> None:
        """Record the end of the local upstream and tell other nodes."""
        self._counters.add("upstream_ends")
        self._log.warning(
            "upstream_ended",
            service=end.service,
            instance=end.instance_id,
            incarnation=end.incarnation,
            requests=",".join(request.hex() for request in end.requests),
            unidentified=end.unidentified,
        )
        if self._add_end(end, 0.0):
            self._spread(UpstreamEnded(end, 0.0, MAX_HOPS), "")

    def publish_cleared(self, request: bytes, cause: str) -> None:
        """Record that a request is not guilty and tell other nodes."""
        self._counters.add("suspects_cleared", cause)
        self._log.event("suspect_cleared", request=request.hex(), cause=cause)
        mark = self.table.next_mark(request, self._timers.wall_ms())
        msg = RequestCleared(request, mark, 0.0, MAX_HOPS)
        if self._add_cleared(msg):
            self._spread(msg, "")

    # Evidence of other nodes

    async def _on_end(self, node_id: str, msg: UpstreamEnded) -> Ack:
        if self._add_end(msg.end, msg.age_ms):
            self._pass_on(msg, node_id)
        return Ack()

    async def _on_cleared(self, node_id: str, msg: RequestCleared) -> Ack:
        if self._add_cleared(msg):
            self._pass_on(msg, node_id)
        return Ack()

    def _pass_on(self, msg: UpstreamEnded | RequestCleared, sender: str) -> None:
        if msg.hops_left > 0:
            hops_left = min(msg.hops_left, MAX_HOPS) - 1
            self._spread(structs.replace(msg, hops_left=hops_left), sender)

    def _add_end(self, end: UpstreamEnd, age_ms: float) -> bool:
        # The order of requests and the number of them come from another process.
        kept = end.requests[: self._cfg.max_requests_per_end]
        if len(kept) < len(end.requests):
            unidentified = end.unidentified + len(end.requests) - len(kept)
            end = UpstreamEnd(end.service, end.instance_id, end.incarnation, kept, unidentified)
        ended_ms = self._timers.now_ms() - max(0.0, age_ms)
        return self._change(lambda: self.table.add_end(end, ended_ms))

    def _add_cleared(self, msg: RequestCleared) -> bool:
        cleared_ms = self._timers.now_ms() - max(0.0, msg.age_ms)
        return self._change(lambda: self.table.clear(msg.request, msg.mark, cleared_ms))

    def _change(self, change: Callable[[], bool]) -> bool:
        """Change the evidence, log the verdicts that follow, and return whether it was new."""
        before = {verdict.request: verdict for verdict in self.table.verdicts()}
        if not change():
            return False
        after = {verdict.request: verdict for verdict in self.table.verdicts()}
        for request, verdict in after.items():
            if request not in before:
                self._log_verdict(verdict)
        for request in before.keys() - after.keys():
            self._counters.add("verdicts_dropped")
            self._log.event("verdict_dropped", request=request.hex())
        return True

    def _log_verdict(self, verdict: RequestVerdict) -> None:
        now = self._timers.now_ms()
        self._counters.add("requests_quarantined", verdict.evidence)
        ends = (f"{h.end.instance_id}:{now - h.ended_ms:.0f}" for h in verdict.ends)
        self._log.warning(
            "request_quarantined",
            request=verdict.request.hex(),
            service=verdict.service,
            evidence=verdict.evidence,
            ended_ms_ago=",".join(ends),
            refused_ms=round(verdict.until_ms - now),
        )

    def _spread(self, msg: Message, sender: str) -> None:
        for node_id in self._choose_peers(self._cfg.fanout):
            if node_id != sender:
                self._send(node_id, msg)

    def _send(self, node_id: str, msg: Message) -> None:
        if self._budget.take():
            self._counters.add("evidence_sent", type(msg).__name__)
            self._peers.send(node_id, msg)
        else:
            self._counters.add("evidence_dropped", type(msg).__name__)

    def _choose_peers(self, limit: int) -> list[str]:
        """Return other nodes, those with a link first, as a new link costs heartbeats."""
        members = self._membership.members()
        linked = [n for n in self._peers.linked_peers() if n in members]
        self._rng.shuffle(linked)
        if len(linked) >= limit:
            return linked[:limit]
        known = set(linked)
        others = [n for n in members if n not in known and n != self._kernel.cfg.node.id]
        count = min(limit - len(linked), len(others))
        return linked + self._rng.sample(others, count)

    # Comparison, for messages that were lost and for nodes that have just started

    def _on_tick(self) -> None:
        self.table.expire()
        ends, cleared = self.table.evidence()
        is_new = self._timers.now_ms() - self._started_ms < ASK_AFTER_START_MS
        if self._is_comparing or not (ends or cleared or is_new):
            return
        peers = self._choose_peers(self._cfg.fanout)
        if peers:
            self._is_comparing = True
            self._kernel.start_task(OnFault.END, self._compare, self._rng.choice(peers))

    async def _compare(self, node_id: str) -> None:
        try:
            query = EvidenceQuery(self.table.digest())
            reply = await self._peers.call(node_id, query, COMPARE_TIMEOUT_MS)
            if isinstance(reply, Evidence) and not reply.is_same:
                self._send_missing(node_id, reply)
                self._merge(reply)
        except PeerError as exc:
            self._counters.add("evidence_comparisons_failed", type(exc).__name__)
        finally:
            self._is_comparing = False

    def _merge(self, evidence: Evidence) -> None:
        for cleared in evidence.cleared[: self._cfg.max_cleared_held]:
            self._add_cleared(cleared)
        for msg in evidence.ends[: self._cfg.max_ends_held]:
            self._add_end(msg.end, msg.age_ms)

    def _send_missing(self, node_id: str, evidence: Evidence) -> None:
        their_ends = {msg.end.upstream for msg in evidence.ends}
        their_marks = {msg.request: msg.mark for msg in evidence.cleared}
        own = self._own_evidence()
        for cleared in own.cleared:
            if cleared.mark > their_marks.get(cleared.request, -1):
                self._send(node_id, cleared)
        for msg in own.ends:
            if msg.end.upstream not in their_ends:
                self._send(node_id, msg)

    async def _on_query(self, node_id: str, msg: EvidenceQuery) -> Evidence:
        if msg.digest == self.table.digest():
            return Evidence(True, (), ())
        return self._own_evidence()

    def _own_evidence(self) -> Evidence:
        now = self._timers.now_ms()
        ends, cleared = self.table.evidence()
        return Evidence(
            False,
            tuple(_with_age(held, now) for held in ends),
            tuple(
                RequestCleared(request, held.mark, now - held.cleared_ms, 0)
                for request, held in cleared
            ),
        )


def _with_age(held: HeldEnd, now: float) -> UpstreamEnded:
    return UpstreamEnded(held.end, now - held.ended_ms, 0)
