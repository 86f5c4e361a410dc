"""One request by the routes of the configuration, from its head to its answer."""

from __future__ import annotations

import dataclasses
import json
import math
import os
import random
import re
import traceback

import trio

import knapweedhitch.expectedtime  # noqa: F401  (registers the policy)
from knapweedhitch import framing, logs
from knapweedhitch.attempt import Attempt
from knapweedhitch.budget import TokenBucket
from knapweedhitch.deadline import Deadline
from knapweedhitch.exceptions import (
    BadRequest,
    CallerGone,
    ConfigUnknown,
    DeadlineExceeded,
    InternalError,
    NodeDraining,
    NoSuchRoute,
    NoTarget,
    Outcome,
    Refusal,
    UpstreamShed,
    UpstreamSlow,
)
from knapweedhitch.exchange import CallSpec
from knapweedhitch.framing import RequestHead
from knapweedhitch.http1 import ServerConnection, refusal_headers
from knapweedhitch.items import Items, RouteItem
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.model import CallResult, ServiceConfig, Target, UpstreamState
from knapweedhitch.payload import NoBody, Replayable, ReplayBody
from knapweedhitch.pick import PickResult
from knapweedhitch.pool import refused_result
from knapweedhitch.routetable import RouteTable, WeightedSplit

REQUEST_ID = re.compile(rb"[!-~]{1,128}\Z")
NUMBER = re.compile(rb"[0-9]{1,9}\Z")
# Refusals without work cost a message each, so a call does not ask every target of a service.
MAX_PLACES = 4
# Statuses by which an upstream tells that it failed, so that another one may do better.
FAILURE_STATUSES = frozenset({500, 502, 503})
# Statuses that tell a caller that its request was not run and never will be.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
POLICY = "expected-time"
# In typical service times; below this the way to another target costs more than it gains.
DECLINE_MARGIN = 0.5
# Less time than this for another attempt is not worth its arrival at a second upstream.
MIN_ATTEMPT_MS = 20.0


@dataclasses.dataclass(slots=True, eq=False)
class RelayCall:
    """Hold the state of one call through all of its attempts."""

    conn: ServerConnection
    head: RequestHead
    route: RouteItem
    svc: ServiceConfig
    request_id: str
    deadline: Deadline
    body: Replayable
    config_version: int
    started_s: float
    # Attempts that may have reached an upstream, and all attempts with those refused before it.
    sent: int = 0
    places: int = 0
    result: CallResult | None = None
    instances: list[str] = dataclasses.field(default_factory=list)
    causes: list[str] = dataclasses.field(default_factory=list)
    maybe_ran: bool = False
    decline_above: float = math.inf
    declined: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True, eq=False)
class Trace:
    """Hold what is logged of one request."""

    request_id: str
    started_s: float
    method: str = ""
    status: int = 0
    reason: str = ""
    outcome: str = ""
    call: RelayCall | None = None


@service("relay")
class Relay:
    """Answer parsed requests by an upstream of their route, or by a refusal."""

    def __init__(self, kernel: Kernel, rng: random.Random | None = None) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg
        self._names = framing.header_names(kernel.cfg.headers)
        self._split = WeightedSplit(rng or random.Random())
        self._items = Items()
        self._table = RouteTable(self._items)
        self.active: dict[Trace, None] = {}

    @property
    def in_progress(self) -> int:
        """Return the number of requests that have no whole answer yet."""
        return len(self.active)

    @property
    def is_ready(self) -> bool:
        """Tell whether callers may send work here."""
        drain = self._kernel.get("drain") if self._kernel.has("drain") else None
        stopping = drain is not None and drain.active
        return not stopping and not self._config.current.items.is_empty

    async def start(self) -> None:
        """Find the services that the relay uses and follow the configuration."""
        get = self._kernel.get
        self._config = get("config")
        self._membership = get("membership")
        self._picker = get("picker")
        self._retry = get("retry")
        self._counters = get("counters")
        self._announce = get("announce")
        self._admission = get("admission")
        self._gate = get("gate")
        self._forward = get("forward")
        lines = self._cfg.log.max_lines_per_s
        self._log_budget = TokenBucket(lines, lines, get("timers").now_ms)

    async def stop(self) -> None:
        """Do nothing; requests end with their connections."""

    def may_run_ahead(self, head: RequestHead) -> bool:
        """Tell whether a request may run before earlier ones of its connection are answered."""
        items = self._config.current.items
        if items.is_empty:
            return False
        try:
            return self._route(items, head).idempotent
        except NoSuchRoute:
            return False

    async def handle(self, conn: ServerConnection, head: RequestHead) -> None:
        """Answer one request; the connection tells afterwards whether it can go on."""
        trace = Trace(self._request_id(head), trio.current_time(), head.method)
        self.active[trace] = None
        try:
            await self._serve(trace, conn, head)
        except Refusal as exc:
            await self._refuse(trace, conn, exc)
        except CallerGone:
            trace.reason = "caller-gone"
            self._counters.add("caller_gone")
        except Exception as exc:
            if self._log_budget.take():
                error = type(exc).__name__
                place = _place_of(exc)
                logs.warning(
                    "internal-error", id=trace.request_id, error=error, place=place, detail=exc
                )
            outcome = Outcome.UNKNOWN if trace.call is not None else Outcome.NOT_RUN
            await self._refuse(trace, conn, InternalError(outcome, type(exc).__name__))
        finally:
            del self.active[trace]
            self._finish(trace)

    async def refuse_unparsed(self, conn: ServerConnection, refusal: Refusal) -> None:
        """Answer a connection whose next request could not be read, and close it."""
        trace = Trace(os.urandom(12).hex(), trio.current_time())
        conn.close_after = True
        await self._refuse(trace, conn, refusal)
        self._finish(trace)

    # The request

    async def _serve(self, trace: Trace, conn: ServerConnection, head: RequestHead) -> None:
        call = trace.call = self._prepare(trace, conn, head)
        attempt = await self._while_caller_waits(call)
        trace.status = attempt.status
        await attempt.deliver()

    def _prepare(self, trace: Trace, conn: ServerConnection, head: RequestHead) -> RelayCall:
        """Return the call of a request; raises Refusal, all of them NOT_RUN."""
        drain = self._kernel.get("drain") if self._kernel.has("drain") else None
        if drain is not None and drain.active:
            conn.close_after = True
            if drain.refusing:
                raise NodeDraining
        current = self._config.current
        if current.items.is_empty:
            raise ConfigUnknown
        route = self._route(current.items, head)
        if current.items.limits is not None:
            conn.limit_body(head, current.items.limits.max_body_bytes)
        timeout_ms = min(route.timeout_ms, self._deadline_ms(head))
        if timeout_ms <= 0:
            raise DeadlineExceeded
        max_replay_bytes = self._cfg.callers.max_replay_bytes
        return RelayCall(
            conn=conn,
            head=head,
            route=route,
            svc=ServiceConfig(self._split.choose(route), (), policy=POLICY),
            request_id=trace.request_id,
            deadline=Deadline.after_ms(timeout_ms),
            body=ReplayBody(conn, max_replay_bytes) if head.has_body else NoBody(),
            config_version=current.version,
            started_s=trace.started_s,
        )

    def _route(self, items: Items, head: RequestHead) -> RouteItem:
        if items is not self._items:
            self._items, self._table = items, RouteTable(items)
            self._split.keep(items.routes)
        route = self._table.match(head.host, head.target)
        if route is None:
            raise NoSuchRoute(detail=head.host[:200])
        return route

    def _deadline_ms(self, head: RequestHead) -> float:
        value = head.control.get(self._names.deadline)
        if value is None:
            return float("inf")
        if not NUMBER.match(value):
            raise BadRequest(detail=f"{self._names.deadline.decode('ascii')}: use a whole number")
        return float(value)

    async def _while_caller_waits(self, call: RelayCall) -> Attempt:
        """Return the answered attempt; a caller that closes ends the call at its upstream."""
        attempt: Attempt | None = None
        failure: Exception | None = None

        async def watch() -> None:
            await call.conn.wait_gone()
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            try:
                attempt = await self._until_deadline(call)
            except Exception as exc:
                # An exception out of the nursery would arrive wrapped in a group.
                failure = exc
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        if attempt is None:
            raise CallerGone("closed before its answer")
        return attempt

    async def _until_deadline(self, call: RelayCall) -> Attempt:
        with trio.CancelScope(deadline=call.deadline.at_s):
            return await self._attempts(call)
        raise DeadlineExceeded(Outcome.UNKNOWN if call.maybe_ran else Outcome.NOT_RUN)

    async def _attempts(self, call: RelayCall) -> Attempt:
        """Try one target after the other until one has answered; raises Refusal."""
        self._retry.call_started()
        failure: Refusal | None = None
        answered: Attempt | None = None
        cause = "first"
        while True:
            target = self._pick(call, cause)
            if target is None:
                break
            attempt: Attempt | None = None
            try:
                attempt, call.result = await self._try(call, target)
                if call.result.status not in FAILURE_STATUSES:
                    return attempt
                answered, cause = attempt, "server-error"
            except Refusal as exc:
                failure, cause = exc, exc.reason
            if not self._may_try_again(call, failure if attempt is None else None, cause):
                break
        # The failure that an upstream has answered says more than the refusal of a later target.
        if answered is not None and not call.conn.answer_started:
            return answered
        failure = failure or NoTarget()
        if call.maybe_ran:
            failure.outcome = Outcome.UNKNOWN
        raise failure

    def _may_try_again(self, call: RelayCall, failure: Refusal | None, cause: str) -> bool:
        """Tell whether another target may get the call after a failure, None for a bad answer."""
        if call.conn.answer_started or call.places >= MAX_PLACES:
            return False
        remaining_ms = call.deadline.remaining_ms()
        if remaining_ms < MIN_ATTEMPT_MS or not call.body.rewind():
            return False
        outcome = Outcome.UNKNOWN if failure is None else failure.outcome
        if outcome is Outcome.NOT_RUN and not isinstance(failure, UpstreamShed):
            # No upstream has seen it, so nothing is repeated.
            return True
        if failure is None and not self._latency_left_ms(call):
            # The answer would be late even if the second upstream did not fail.
            return False
        left = call.route.max_attempts - call.sent
        return bool(
            self._retry.may_retry(cause, call.route.idempotent, outcome, remaining_ms, left)
        )

    def _pick(self, call: RelayCall, cause: str) -> Target | None:
        current = self._config.current
        targets = tuple(
            target
            for target in self._membership.targets(call.svc.name)
            if not target.draining
            and target.upstream.state is UpstreamState.SERVING
            and not current.is_domain_out(target.domain)
        )
        node = self._cfg.node
        # The load that came with a declined call tells whether its target is still the best one.
        excluded = frozenset(call.instances) - call.declined
        body_bytes = call.head.content_length or 0
        picked = self._picker.pick(call.svc, targets, excluded, node.domain, node.id, body_bytes)
        target: Target | None = picked.target
        if target is not None and target.upstream.instance_id in excluded:
            return None
        if target is not None:
            call.instances.append(target.upstream.instance_id)
            call.causes.append(cause)
            call.decline_above = _decline_above(picked, first=not call.places)
        return target

    # One attempt

    async def _try(self, call: RelayCall, target: Target) -> tuple[Attempt, CallResult]:
        instance_id = target.upstream.instance_id
        own = ((self._names.request_id, call.request_id.encode("ascii")),)
        attempt = Attempt(call.conn, target, own, call.svc.hold_back_bytes, None)
        started_s = trio.current_time()
        self._picker.started(instance_id)
        call.places += 1
        result: CallResult | None = None
        try:
            result = await self._execute(call, target, attempt)
            call.sent += 1
            call.maybe_ran = True
            return attempt, result
        except Refusal as exc:
            if isinstance(exc, UpstreamSlow):
                call.declined |= {instance_id}
                if target.node_id == self._cfg.node.id:
                    self._picker.observe(instance_id, self._admission.load())
            if exc.outcome is Outcome.UNKNOWN or isinstance(exc, UpstreamShed):
                call.sent += 1
            call.maybe_ran = call.maybe_ran or exc.outcome is Outcome.UNKNOWN
            result = refused_result(exc, (trio.current_time() - started_s) * 1_000)
            raise
        finally:
            if result is None:
                call.maybe_ran = True
                late = call.deadline.expired()
                elapsed_ms = (trio.current_time() - started_s) * 1_000
                result = CallResult(not late, elapsed_ms, timed_out=late, cancelled=True)
            # The sample was taken while this call ran, so it is observed before the call's end.
            if attempt.load is not None:
                self._picker.observe(instance_id, attempt.load)
            self._picker.finished(instance_id, result)

    async def _execute(self, call: RelayCall, target: Target, attempt: Attempt) -> CallResult:
        path = self._gate if target.node_id == self._cfg.node.id else self._forward
        spec = CallSpec(
            request_id=call.request_id,
            service=call.svc.name,
            instance_id=target.upstream.instance_id,
            method=call.head.method,
            target=call.head.target,
            headers=call.head.headers,
            has_body=call.head.has_body,
            deadline=call.deadline.reduced(self._cfg.routing.attempt_margin_ms),
            retries_left=max(0, call.route.max_attempts - call.sent - 1),
            depth=0,
            config_version=call.config_version,
            idempotent=call.route.idempotent,
            caller_service=self._caller_service(),
            priority=call.route.priority,
            target_latency_ms=self._latency_left_ms(call),
            route=call.route.name,
            decline_above=call.decline_above,
        )
        result: CallResult = await path.execute(target.node_id, spec, call.body, attempt)
        return result

    @staticmethod
    def _latency_left_ms(call: RelayCall) -> float:
        elapsed_ms = (trio.current_time() - call.started_s) * 1_000
        return max(0.0, call.route.target_latency_ms - elapsed_ms)

    def _caller_service(self) -> str:
        named: str = self._cfg.node.service
        if named:
            return named
        current = self._announce.current
        return current.service if current is not None else ""

    # Refusals and the log

    async def _refuse(self, trace: Trace, conn: ServerConnection, refusal: Refusal) -> None:
        trace.status, trace.reason = _status_of(refusal), refusal.reason
        trace.outcome = refusal.outcome.value
        self._counters.add("refused", refusal.reason)
        if conn.answer_started:
            # The answer is cut; closing the connection is all that can tell the caller.
            self._counters.add("answers_cut", refusal.reason)
            return
        fields = {"reason": refusal.reason, "outcome": refusal.outcome.value}
        body = json.dumps({**fields, "request_id": trace.request_id}).encode("utf-8")
        headers = refusal_headers(refusal, trace.request_id, body, self._names)
        if trace.status in NOT_RUN_STATUSES:
            headers = (*headers, (b"retry-after", b"%.2f" % self._retry_after_s(refusal)))
        try:
            await conn.send_whole(trace.status, headers, [body])
        except CallerGone:
            self._counters.add("caller_gone")

    def _retry_after_s(self, refusal: Refusal) -> float:
        return refusal.retry_after_ms / 1_000

    def _finish(self, trace: Trace) -> None:
        total_ms = (trio.current_time() - trace.started_s) * 1_000
        self._counters.record("total", total_ms)
        call = trace.call
        fields: dict[str, object] = {"id": trace.request_id, "status": trace.status}
        if trace.reason:
            fields |= {"reason": trace.reason, "outcome": trace.outcome}
        if call is not None:
            fields |= {
                "route": call.route.name,
                "route_version": call.route.version,
                "service": call.svc.name,
                "config": call.config_version,
                "instances": ",".join(call.instances),
                "causes": ",".join(call.causes),
                "sent": call.sent,
                "priority": call.route.priority,
            }
            if call.result is not None:
                self._counters.record("added", max(0.0, total_ms - call.result.service_ms))
                fields["service_ms"] = f"{call.result.service_ms:.1f}"
        fields["total_ms"] = f"{total_ms:.1f}"
        if self._log_budget.take():
            logs.event("request", **fields)
        else:
            self._counters.add("log_lines_dropped")

    def _request_id(self, head: RequestHead) -> str:
        given = head.control.get(self._names.request_id)
        if given is not None and REQUEST_ID.match(given):
            return given.decode("ascii")
        return os.urandom(12).hex()


def _decline_above(picked: PickResult, *, first: bool) -> float:
    """Return the slowdown from which on the second best target is expected to answer sooner.

    Only the first target may decline, so that a call does not wander while all of them are slow.
    """
    target = picked.target
    if not first or target is None:
        return math.inf
    others = [
        one.score
        for one in picked.considered
        if not one.note and one.instance_id != target.upstream.instance_id
    ]
    return min(others, default=math.inf) + DECLINE_MARGIN


def _status_of(refusal: Refusal) -> int:
    """Return a status that promises `not run` exactly when that is known."""
    if refusal.outcome is Outcome.NOT_RUN:
        return refusal.status if refusal.status < 500 else 503
    return 502 if refusal.status in NOT_RUN_STATUSES else refusal.status


def _place_of(exc: BaseException) -> str:
    """Return the file and line that raised an exception."""
    frames = traceback.extract_tb(exc.__traceback__)
    return f"{os.path.basename(frames[-1].filename)}:{frames[-1].lineno}" if frames else ""
