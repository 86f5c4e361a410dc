"""Run roll-outs at the leader of the control group.

Nodes beside targets report to the leader, which grants calls to canaries and proposes each step to
the log. A new leader goes on from the step in the log and counts all reserved calls as granted.
"""

from __future__ import annotations

import dataclasses

from knapweedhitch import changes, logs
from knapweedhitch.changes import AdvanceRollout, Change, FinishRollout, Operation
from knapweedhitch.exceptions import ChangeError, ConsensusError, PeerError
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.messages import RolloutGrant, RolloutReport
from knapweedhitch.model import Configuration, Target
from knapweedhitch.pick import serving_targets
from knapweedhitch.rollout import Phase, Rollout, Step
from knapweedhitch.rolloutevidence import Evidence, GrantLedger, Source
from knapweedhitch.rolloutplan import End, Situation, TargetReport, next_step
from knapweedhitch.supervisor import OnFault

DECISION_INTERVAL_MS = 250.0
OPERATOR = "rollouts"


@dataclasses.dataclass(frozen=True, slots=True)
class _Received:
    """Describe the last report of one target and the time at which it came."""

    report: RolloutReport
    at_ms: float


class _Tracker:
    """Track what the leader knows of one running roll-out."""

    def __init__(self, rollout: Rollout, now_ms: float) -> None:
        self.evidence = Evidence()
        self.ledger = GrantLedger(rollout.step.granted)
        self.reports: dict[str, _Received] = {}
        self._arrivals: dict[Source, int] = {}
        # Processes after which another one has reported the same instance.
        self._ended: set[Source] = set()
        self.step_ms = now_ms
        # When traffic began to move, as far as this leader knows.
        self.moved_ms = None if rollout.step.phase is Phase.CANARY else now_ms
        self.is_proposing = False

    def record(self, rollout: Rollout, msg: RolloutReport, now_ms: float) -> int:
        """Record a report and return the calls to grant."""
        source = (msg.instance_id, msg.process_id)
        if not self._is_newest(msg, source):
            return 0
        self.reports[msg.instance_id] = _Received(msg, now_ms)
        is_new = rollout.is_new(msg.version)
        self.evidence.record(source, msg.answers, now_ms, is_new=is_new)
        before = self._arrivals.get(source, 0)
        self.evidence.record_arrivals(max(0, msg.arrivals - before))
        self._arrivals[source] = max(before, msg.arrivals)
        if not is_new:
            return 0
        is_canary = msg.instance_id in rollout.step.canaries
        return self.ledger.grant(
            source,
            msg.sequence,
            spent=msg.spent,
            held=msg.held,
            wanted=msg.wanted if is_canary and rollout.step.phase is Phase.CANARY else 0,
            reserved=rollout.step.granted,
        )

    def _is_newest(self, msg: RolloutReport, source: Source) -> bool:
        """Return whether no later report of this process or a later one has come."""
        last = self.reports.get(msg.instance_id)
        if last is None:
            return True
        if last.report.process_id == msg.process_id:
            return msg.sequence > last.report.sequence
        self._ended.add((msg.instance_id, last.report.process_id))
        return source not in self._ended


@service("rollouts")
class RolloutControl:
    """Receive reports of targets and propose the steps of running roll-outs."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg.rollouts
        self._trackers: dict[int, _Tracker] = {}
        # When this process first saw each order, adjusted by the wall clock if that was late.
        self._started_ms: dict[int, float] = {}

    async def start(self) -> None:
        """Follow the configuration and handle reports."""
        get = self._kernel.get
        self._config = get("config")
        self._control = get("control")
        self._membership = get("membership")
        self._counters = get("counters")
        self._timers = get("timers")
        if self._cfg.enabled:
            get("peers").handle(RolloutReport, self._on_report)
            self._config.subscribe(self._on_config)
            self._on_config(self._config.current)
            self._timers.every(DECISION_INTERVAL_MS, self._tick, align=True)

    async def stop(self) -> None:
        """Do nothing; the timers end with the node."""

    @property
    def _is_leader(self) -> bool:
        replica = self._control.replica
        return bool(replica is not None and replica.is_leader)

    def _on_config(self, current: Configuration) -> None:
        running = {r.version: r for r in current.rollouts.values() if r.is_running}
        for version in self._started_ms.keys() - running.keys():
            del self._started_ms[version]
            self._trackers.pop(version, None)
        now, wall = self._timers.now_ms(), self._timers.wall_ms()
        for version, rollout in running.items():
            if version not in self._started_ms:
                # The wall clock may have jumped, so it can only tell of a time within the duration.
                elapsed = min(max(0, wall - rollout.started_wall_ms), rollout.duration_ms)
                self._started_ms[version] = now - elapsed

    async def _on_report(self, node_id: str, msg: RolloutReport) -> RolloutGrant:
        if not self._is_leader:
            return RolloutGrant(False, self._control.leader_id or "", 0)
        rollout = self._config.current.rollouts.get(msg.service)
        if rollout is None or rollout.version != msg.order_version or not rollout.is_running:
            return RolloutGrant(False, "", 0)
        tracker = self._tracker_of(rollout)
        calls = tracker.record(rollout, msg, self._timers.now_ms())
        return RolloutGrant(True, "", calls)

    def _tracker_of(self, rollout: Rollout) -> _Tracker:
        tracker = self._trackers.get(rollout.version)
        if tracker is None:
            tracker = _Tracker(rollout, self._timers.now_ms())
            self._trackers[rollout.version] = tracker
        return tracker

    def _tick(self) -> None:
        if not self._started_ms:
            return
        if not self._is_leader:
            self._trackers.clear()
            return
        for rollout in self._config.current.rollouts.values():
            if rollout.is_running and not self._tracker_of(rollout).is_proposing:
                self._decide(rollout, self._tracker_of(rollout))

    def _decide(self, rollout: Rollout, tracker: _Tracker) -> None:
        situation = self._situation(rollout, tracker)
        due = next_step(situation, self._cfg)
        if due is None:
            return
        op: Operation
        if isinstance(due, End):
            op = FinishRollout(rollout.service, rollout.version, due.completed, due.reason)
        else:
            op = AdvanceRollout(rollout.service, rollout.version, due)
        tracker.is_proposing = True
        self._kernel.start_task(OnFault.END, self._propose, op, tracker, situation)

    async def _propose(self, op: Operation, tracker: _Tracker, situation: Situation) -> None:
        change = Change(changes.new_change_id(), None, OPERATOR, op)
        step = situation.rollout.step
        try:
            version = await self._control.submit(change)
        except (ChangeError, ConsensusError, PeerError) as exc:
            self._counters.add("rollout_step_failed", type(exc).__name__)
            return
        finally:
            tracker.is_proposing = False
        if isinstance(op, AdvanceRollout):
            moved = (op.step.phase, op.step.share) != (step.phase, step.share)
            if moved and op.step.phase is not Phase.CANARY:
                tracker.step_ms = self._timers.now_ms()
                tracker.moved_ms = tracker.moved_ms or tracker.step_ms
            self._counters.add("rollout_steps", op.step.phase.value)
            self._log("rollout_step", version, situation, op.step)
        elif isinstance(op, FinishRollout):
            end = "completed" if op.completed else "rolled-back"
            self._counters.add("rollouts_ended", end)
            self._log("rollout_end", version, situation, step, state=end, reason=op.reason)

    @staticmethod
    def _log(event: str, version: int, situation: Situation, step: Step, **fields: object) -> None:
        rollout, worst = situation.rollout, situation.verdict.worst
        logs.event(
            event,
            service=rollout.service,
            target_version=rollout.target_version,
            version=version,
            phase=step.phase.value,
            share=round(step.share, 3),
            granted=step.granted,
            issued=situation.issued,
            canaries=len(step.canaries),
            arrivals=situation.arrivals,
            answers=situation.verdict.new_answers,
            elapsed_ms=round(situation.elapsed_ms),
            **fields,
            **(worst.fields() if worst is not None else {}),
        )

    def _situation(self, rollout: Rollout, tracker: _Tracker) -> Situation:
        now = self._timers.now_ms()
        current = self._config.current
        targets = self._membership.targets(rollout.service)
        serving = frozenset(t.node_id for t in serving_targets(targets, current))
        reports = tuple(
            _describe(
                target,
                rollout,
                tracker.reports.get(target.upstream.instance_id),
                now,
                is_serving=target.node_id in serving,
            )
            for target in targets
        )
        new_count = sum(1 for report in reports if report.is_new and report.is_serving)
        return Situation(
            rollout,
            now - self._started_ms[rollout.version],
            now - tracker.step_ms,
            reports,
            tracker.evidence.verdict(now, new_count, tracker.moved_ms),
            tracker.evidence.arrivals,
            tracker.ledger.issued,
            self._count_lost_nodes(rollout),
        )

    def _count_lost_nodes(self, rollout: Rollout) -> int:
        """Return the number of dead nodes whose old targets may still run calls."""
        upstreams = (member.upstream for member in self._membership.table.dead_members())
        return sum(
            1
            for upstream in upstreams
            if upstream is not None
            and upstream.service == rollout.service
            and not rollout.is_new(upstream.version)
        )


def _describe(
    target: Target,
    rollout: Rollout,
    received: _Received | None,
    now_ms: float,
    *,
    is_serving: bool,
) -> TargetReport:
    is_new = rollout.is_new(target.upstream.version)
    if received is None:
        return TargetReport(target.upstream.instance_id, is_new, is_serving)
    report = received.report
    return TargetReport(
        report.instance_id,
        is_new,
        is_serving,
        report.slots,
        report.is_warm,
        report.is_closed,
        report.in_progress,
        now_ms - received.at_ms,
    )
