"""The part of a roll-out that the node beside a target enforces and reports.

All calls of a target pass its node, so no other node has to know of an order in time. A canary
takes a call only against a grant, and grants lapse without contact with the leader.
"""

from __future__ import annotations

import dataclasses
import math
import random
from typing import Any

from knapweedhitch import logs
from knapweedhitch.answertally import AnswerTally
from knapweedhitch.exceptions import (
    NoLeader,
    Outcome,
    PeerError,
    PeerProtocolError,
    Refusal,
    RolloutLimited,
    UpstreamShed,
)
from knapweedhitch.exchange import CallSpec
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.messages import RolloutGrant, RolloutReport
from knapweedhitch.model import CallResult, Configuration, UpstreamRecord, Warmth
from knapweedhitch.rollout import Phase, Rollout
from knapweedhitch.supervisor import OnFault

# A canary holds grants for the calls of about this many report intervals.
WANTED_INTERVALS = 2.0
MIN_WANTED = 4
MAX_WANTED = 50
PROCESS_ID_BITS = 62
# An instance that does not lead names the one that does.
MAX_REDIRECTS = 1


@dataclasses.dataclass(slots=True, eq=False)
class _Order:
    """Track the order of a roll-out at the target beside this node, with its grants."""

    version: int
    instance_id: str
    tally: AnswerTally = dataclasses.field(default_factory=AnswerTally)
    arrivals: int = 0
    spent: int = 0
    held: int = 0
    # Calls offered since the last report, of which some had no grant.
    offered: int = 0
    sequence: int = 0
    lease_end_ms: float = -math.inf


@dataclasses.dataclass(slots=True, eq=False)
class GatedCall:
    """Track one call in the gate."""

    order: _Order | None
    uses_grant: bool = False
    slowdown: float = 1.0


class AlwaysOpen:
    """Let all calls pass, for nodes without roll-outs."""

    def check(self, record: UpstreamRecord) -> None:
        """Do nothing."""

    def begin(self, record: UpstreamRecord) -> GatedCall:
        """Return a call that may pass."""
        return GatedCall(None)

    def record_result(self, call: GatedCall, spec: CallSpec, result: CallResult) -> None:
        """Do nothing."""

    def record_refusal(self, call: GatedCall, spec: CallSpec, refusal: Refusal) -> None:
        """Do nothing."""

    def end(self, call: GatedCall) -> None:
        """Do nothing."""


@service("rolloutgate")
class RolloutGate:
    """Decide which calls the local target takes during a roll-out, and report its answers."""

    def __init__(self, kernel: Kernel, rng: random.Random | None = None) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg.rollouts
        self._rng = rng or random.Random()
        # The start time of a node may go back with its clock, or be that of an earlier process.
        self._process_id = self._rng.getrandbits(PROCESS_ID_BITS)
        self._order: _Order | None = None
        self._timer: Any = None
        self._last_record: UpstreamRecord | None = None
        self._is_reporting = False
        self._leader_id = ""
        self.in_progress = 0

    async def start(self) -> None:
        """Follow the configuration."""
        get = self._kernel.get
        self._config = get("config")
        self._announce = get("announce")
        self._admission = get("admission")
        self._membership = get("membership")
        self._counters = get("counters")
        self._timers = get("timers")
        self._peers = get("peers")
        if self._cfg.enabled:
            self._config.subscribe(self._on_config)
            self._on_config(self._config.current)

    async def stop(self) -> None:
        """Do nothing; the timers end with the node."""

    # Decisions on calls

    def check(self, record: UpstreamRecord) -> None:
        """Raise RolloutLimited if the target may take no call at this point of a roll-out."""
        rollout = self._config.current.rollouts.get(record.service)
        if rollout is None or not self._cfg.enabled:
            return
        cause = self._closed_cause(rollout, record)
        if cause:
            raise self._refusal(cause)

    def _closed_cause(self, rollout: Rollout, record: UpstreamRecord) -> str:
        phase = rollout.step.phase
        if phase is Phase.COMPLETED:
            return "replaced" if record.version in rollout.replaced else ""
        if not record.version:
            # A probe found the target after a restart of this node; its heartbeat tells more.
            return "version-unknown"
        if not rollout.is_new(record.version):
            if phase is Phase.DRAIN:
                return "draining"
            # A restarted node may know an earlier phase from its peers.
            has_proof = phase is Phase.ROLLED_BACK or self._config.age_ms() is not None
            return "" if has_proof else "phase-unproven"
        if phase is Phase.ROLLED_BACK:
            return "rolled-back"
        if phase is not Phase.DRAIN and not self._has_lease(rollout, record):
            return "no-lease"
        return ""

    def _has_lease(self, rollout: Rollout, record: UpstreamRecord) -> bool:
        order = self._current_order(rollout, record)
        return self._timers.now_ms() < order.lease_end_ms

    def begin(self, record: UpstreamRecord) -> GatedCall:
        """Return a checked call, using a grant if it needs one; raises RolloutLimited."""
        rollout = self._config.current.rollouts.get(record.service)
        if rollout is None or not rollout.is_running or not self._cfg.enabled:
            self.in_progress += 1
            return GatedCall(None)
        order = self._current_order(rollout, record)
        is_canary = rollout.is_new(record.version) and rollout.step.phase is Phase.CANARY
        order.offered += 1
        if is_canary:
            if order.held <= 0:
                raise self._refusal("no-grant")
            order.held -= 1
            order.spent += 1
        self.in_progress += 1
        return GatedCall(order, is_canary, self._admission.load().slowdown)

    def record_result(self, call: GatedCall, spec: CallSpec, result: CallResult) -> None:
        """Record an answer of the target."""
        if result.cancelled:
            return
        load = self._admission.load()
        is_cold = load.warmth is Warmth.COLD
        time_ms = result.service_ms / ((call.slowdown + load.slowdown) / 2.0)
        self._record(call, spec, failed=not result.ok, time_ms=None if is_cold else time_ms)

    def record_refusal(self, call: GatedCall, spec: CallSpec, refusal: Refusal) -> None:
        """Record a call without an answer, and return its grant if the target never got it."""
        order = call.order
        if refusal.outcome is not Outcome.NOT_RUN:
            self._record(call, spec, failed=True, time_ms=None)
        elif order is not None and call.uses_grant and not isinstance(refusal, UpstreamShed):
            order.spent -= 1
            order.held += 1

    def end(self, call: GatedCall) -> None:
        """Count the end of a call, whatever it was."""
        self.in_progress -= 1

    def _record(
        self, call: GatedCall, spec: CallSpec, *, failed: bool, time_ms: float | None
    ) -> None:
        if call.order is None:
            return
        # The bound on exposure counts calls, not attempts.
        call.order.arrivals += not spec.is_repeat
        call.order.tally.record(spec.route, failed=failed, time_ms=time_ms)

    def _refusal(self, cause: str) -> RolloutLimited:
        self._counters.add("rollout_refused", cause)
        return RolloutLimited(detail=cause)

    def _current_order(self, rollout: Rollout, record: UpstreamRecord) -> _Order:
        """Return the state of a roll-out at the target, empty for a new order or instance."""
        order = self._order
        key = (rollout.version, record.instance_id)
        if order is None or (order.version, order.instance_id) != key:
            order = self._order = _Order(*key)
        return order

    # Reports

    def _on_config(self, current: Configuration) -> None:
        is_running = any(rollout.is_running for rollout in current.rollouts.values())
        if is_running and self._timer is None:
            self._timer = self._timers.every(
                self._cfg.report_interval_ms, self._start_report, align=True
            )
        elif not is_running and self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if is_running:
            self._start_report()

    def _start_report(self) -> None:
        # A target that has deregistered may still be at work on calls.
        record = self._last_record = self._announce.current or self._last_record
        rollout = None
        if record is not None:
            rollout = self._config.current.rollouts.get(record.service)
        if rollout is None or not rollout.is_running or self._is_reporting:
            return
        assert record is not None
        if record.version:
            self._is_reporting = True
            self._kernel.start_task(OnFault.END, self._report, rollout, record)

    async def _report(self, rollout: Rollout, record: UpstreamRecord) -> None:
        order = self._current_order(rollout, record)
        order.sequence += 1
        msg = self._make_report(rollout, record, order)
        try:
            for _ in range(MAX_REDIRECTS + 1):
                sent_ms = self._timers.now_ms()
                target = self._leader_id or self._any_control_id()
                reply = await self._peers.call(target, msg, self._cfg.call_timeout_ms)
                if not isinstance(reply, RolloutGrant):
                    raise PeerProtocolError(f"{target} sent an unexpected reply")
                if reply.is_leader:
                    self._apply_grant(order, reply, sent_ms)
                    return
                self._leader_id = reply.leader_id
            self._counters.add("rollout_report_failed", NoLeader.__name__)
        except PeerError as exc:
            self._counters.add("rollout_report_failed", type(exc).__name__)
            self._leader_id = ""
        finally:
            self._is_reporting = False

    def _make_report(
        self, rollout: Rollout, record: UpstreamRecord, order: _Order
    ) -> RolloutReport:
        is_old = not rollout.is_new(record.version)
        is_closed = self._announce.current is None or (is_old and rollout.step.phase is Phase.DRAIN)
        if record.instance_id not in rollout.step.canaries:
            # The leader may grant these calls to the canaries whose turn it is.
            order.held = 0
        offered, order.offered = order.offered, 0
        wanted = min(MAX_WANTED, MIN_WANTED + math.ceil(WANTED_INTERVALS * offered))
        return RolloutReport(
            record.service,
            rollout.version,
            record.instance_id,
            self._process_id,
            order.sequence,
            record.version,
            record.slots,
            self._admission.load().warmth is Warmth.WARM,
            is_closed,
            self.in_progress,
            order.arrivals,
            order.spent,
            order.held,
            wanted,
            order.tally.snapshot(),
        )

    def _apply_grant(self, order: _Order, grant: RolloutGrant, sent_ms: float) -> None:
        if order.lease_end_ms == -math.inf:
            logs.event("rollout_reported", order=order.version, instance=order.instance_id)
        order.held += grant.calls
        # Counted from the time of sending, so that a late reply makes no lease longer.
        order.lease_end_ms = max(order.lease_end_ms, sent_ms + self._cfg.lease_ms)

    def _any_control_id(self) -> str:
        return str(self._rng.choice(list(self._membership.control_ids())))
