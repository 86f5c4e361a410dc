"""Check the promises of the pages against what clients and targets saw."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Iterable

from tests.soak.cluster import GRACE_S, Cluster
from tests.soak.ledger import Ending, Event, Ledger, Request, RunState
from tests.soak.operators import Operator

CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
DRAIN_S = 2.0
EVACUATION_S = 5.0
LOSS_SLACK_S = 0.2
# A target may be at work in the last sixth of the grace period on a request sent this soon.
LATE_SENT_S = 3.0
LATE_WORK_S = GRACE_S * 5 / 6
# Delays between a target, the soak and its clients.
SLACK_S = 0.1
# A slow reader notices a reset late.
BESIDE_S = 0.3
# Requests that ended this long ago are judged.
SETTLE_S = 2.0
NOT_RUN_STATUSES = (408, 421, 429, 503)

Check = Callable[["Judge", Request], None]
CHECKS: dict[str, Check] = {}


def check(rule: str) -> Callable[[Check], Check]:
    """Register a check of each request under the name of its rule."""

    def register(fn: Check) -> Check:
        CHECKS[rule] = fn
        return fn

    return register


class Judge:
    """Apply all checks to the requests that have ended."""

    def __init__(self, cluster: Cluster, ledger: Ledger, operator: Operator) -> None:
        self.cluster = cluster
        self.ledger = ledger
        self.operator = operator
        self._judged: set[str] = set()

    def judge(self, until_s: float) -> None:
        """Check the requests that ended before a moment."""
        for request in list(self.ledger.requests.values()):
            if request.id in self._judged or (request.ended_s or math.inf) > until_s:
                continue
            self._judged.add(request.id)
            for fn in CHECKS.values():
                fn(self, request)

    def judge_finished(self) -> None:
        """Check the requests that ended some time ago, while the soak goes on."""
        self.judge(time.monotonic() - SETTLE_S)

    def events(self, kinds: Iterable[str], subject: str) -> list[Event]:
        """Return the events of these kinds on one subject."""
        return [e for e in self.ledger.events if e.kind in kinds and e.subject == subject]

    def is_disrupted(self, ip: str, from_s: float, to_s: float) -> bool:
        """Return whether an unplanned fault touched a machine in a time, or shortly before it."""
        return any(
            not event.is_planned
            and event.subject == ip
            and event.at_s <= to_s
            and max(event.at_s, event.until_s) + CONTACT_S >= from_s
            for event in self.ledger.events
        )

    def is_in_touch(self, ip: str, from_s: float, to_s: float) -> bool:
        """Return whether a machine and the control instances were undisturbed."""
        machines = (ip, *self.cluster.cores)
        if any(self.is_disrupted(m, from_s, to_s) for m in machines):
            return False
        # A start is no planned stop of this machine alone: it holds no configuration at first.
        stops = ("SIGTERM", "started")
        return not any(
            event.at_s <= to_s and event.at_s + CONTACT_S >= from_s
            for m in machines
            for event in self.events(stops, m)
        )


def is_upstream_break(judge: Judge, request: Request) -> bool:
    """Return whether a response that had begun broke off at its target or the machine beside it."""
    if request.behind:
        return is_upstream_break(judge, judge.ledger.requests[request.behind])
    if not request.received_bytes:
        # The node can still answer with a failure.
        return False
    run, ended_s = request.runs[-1], request.ended_s
    if run.state is RunState.BROKEN or judge.is_disrupted(run.ip, run.started_s, ended_s):
        return True
    ends = judge.events(("target-ended",), run.target)
    return any(run.started_s <= event.at_s <= ended_s + SLACK_S for event in ends)


def is_late(judge: Judge, request: Request) -> bool:
    """Return whether the target or a slow reader needed the last sixth of the grace period."""
    first = judge.ledger.requests.get(request.behind, request)
    for stop in judge.events(("SIGTERM",), request.entry):
        from_s = stop.at_s + LATE_WORK_S
        is_at_work = any(r.ended_s >= from_s or not r.ended_s for r in request.runs)
        is_read = first.received_bytes > 0
        is_sent_in_time = request.sent_s <= stop.at_s + LATE_SENT_S
        if is_sent_in_time and request.ended_s >= from_s and (is_at_work or is_read):
            return True
    return False


@check("LOST")
def check_lost(judge: Judge, request: Request) -> None:
    """Report a request that ended without a whole response before its own deadline."""
    if not request.ending.is_cut or request.ended_s >= request.expires_s - SLACK_S:
        return
    if judge.is_disrupted(request.entry, request.sent_s, request.ended_s):
        return
    if is_upstream_break(judge, request) or is_late(judge, request):
        return
    if not request.runs:
        is_stopping = any(
            stop.at_s <= request.ended_s <= stop.at_s + GRACE_S + 1.0
            for stop in judge.events(("SIGTERM", "SIGHUP"), request.entry)
        )
        # A client that runs late sends to a process that has ended, and notices that late.
        waited_s = request.ended_s - request.sent_s
        waited_s -= judge.ledger.lag_in(request.sent_s, request.ended_s)
        # The node can't have read a request that could not be sent.
        is_unsent = request.error.startswith("send")
        if not is_stopping or request.ahead or is_unsent or waited_s <= LOSS_SLACK_S:
            return
    text = judge.ledger.describe(request)
    for other in judge.ledger.requests.values():
        # Requests that were answered before don't tell the cause.
        is_beside = other.connection == request.connection and other.ending.is_cut
        if is_beside and other is not request and abs(other.expires_s - request.ended_s) < BESIDE_S:
            text += f"; the deadline of {other.id} (ahead={other.ahead}) passed at that moment"
            text += " while it was sent" if other.received_bytes else ""
    judge.ledger.report("LOST", request.ended_s, text)


@check("TWICE")
def check_twice(judge: Judge, request: Request) -> None:
    """Report a request that may run once and ran more often."""
    if not request.may_repeat and len(request.runs) > 1:
        judge.ledger.report("TWICE", request.ended_s, judge.ledger.describe(request))


@check("REFUSED")
def check_refused(judge: Judge, request: Request) -> None:
    """Report a request that ran although a status promised that it had not."""
    if not request.may_repeat and request.status in NOT_RUN_STATUSES and request.runs:
        judge.ledger.report("REFUSED", request.ended_s, judge.ledger.describe(request))


@check("MIXED")
def check_mixed(judge: Judge, request: Request) -> None:
    """Report a response that is not the whole response of the target to this request."""
    is_target_fault = any(run.state is RunState.BROKEN for run in request.runs)
    if request.problem and not (request.ending is Ending.GARBLED and is_target_fault):
        judge.ledger.report("MIXED", request.ended_s, judge.ledger.describe(request))


@check("DRAIN")
def check_drain(judge: Judge, request: Request) -> None:
    """Report a run at a target later than `drainS` after its departure was acknowledged."""
    for run in request.runs:
        for ack in judge.events(("drain-acked",), run.target):
            late_s = run.arrived_s - ack.at_s - DRAIN_S
            if late_s > 0.0 and judge.is_in_touch(request.entry, request.sent_s, run.arrived_s):
                text = f"{late_s:.3f} s too late at {run.target}: {judge.ledger.describe(request)}"
                judge.ledger.report("DRAIN", run.arrived_s, text)


@check("EVAC")
def check_evacuation(judge: Judge, request: Request) -> None:
    """Report a run in a zone later than `evacuationS` after its evacuation."""
    for run in request.runs:
        zone = judge.cluster.zone_of(run.ip)
        for evacuated, acknowledged_s, finished_s in judge.operator.evacuations:
            is_late = acknowledged_s + EVACUATION_S < run.arrived_s < finished_s
            if evacuated != zone or not is_late:
                continue
            if judge.is_in_touch(request.entry, request.sent_s, run.arrived_s):
                text = f"{zone} was evacuated: {judge.ledger.describe(request)}"
                judge.ledger.report("EVAC", run.arrived_s, text)


@check("CONFIG")
def check_configuration(judge: Judge, request: Request) -> None:
    """Report a request that was handled as only an older version of its route allows."""
    versions = [v for v in judge.operator.versions if f"{v.route}.example" == request.host]
    in_force = [v for v in versions if 0.0 < v.acknowledged_s < request.sent_s - CONFIG_APPLY_S]
    newest = max((v.version for v in in_force), default=0)
    if not newest:
        return
    allowed = {v.service for v in versions if v.version >= newest}
    for run in request.runs:
        if run.service in allowed:
            continue
        if judge.is_in_touch(request.entry, request.sent_s, run.started_s):
            text = f"{run.service} is not in {allowed}: {judge.ledger.describe(request)}"
            judge.ledger.report("CONFIG", run.started_s, text)


def check_read_back(operator: Operator, ledger: Ledger, config: dict[str, object] | None) -> None:
    """Report acknowledged items that a read after the final fault doesn't show."""
    now_s = time.monotonic()
    if config is None:
        ledger.report("CONFIG", now_s, "no configuration could be read back")
        return
    routes = {item["name"]: item for item in config.get("routes", [])}  # type: ignore[attr-defined]
    for name in {v.route for v in operator.versions}:
        versions = [v for v in operator.versions if v.route == name]
        acked = max((v.version for v in versions if v.acknowledged_s), default=0)
        allowed = [v.item for v in versions if v.version >= acked]
        if routes.get(name) not in allowed:
            text = f"route {name} is {routes.get(name)}, acknowledged was version {acked}"
            ledger.report("CONFIG", now_s, text)
