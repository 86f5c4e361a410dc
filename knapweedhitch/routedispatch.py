"""Attempts of one call: target choice, retries and deadline under its route."""

from __future__ import annotations

import dataclasses
import functools
import math
import random
from collections.abc import Callable

import trio
from msgspec import structs

import knapweedhitch.expectedtime  # noqa: F401  (registers the policy)
from knapweedhitch import framing, rolloutrouting
from knapweedhitch.attempt import Attempt
from knapweedhitch.crashguard import GuardKey, Unguarded
from knapweedhitch.deadline import Deadline
from knapweedhitch.exceptions import (
    DeadlineExceeded,
    NodeDraining,
    NoTarget,
    Outcome,
    PeerFailed,
    Refusal,
    RequestQuarantined,
    RetryBudgetExhausted,
    RolloutLimited,
    UpstreamShed,
    UpstreamSlow,
)
from knapweedhitch.exchange import CallSpec, Headers
from knapweedhitch.framing import RequestHead
from knapweedhitch.hedge import Hedge
from knapweedhitch.http1 import ServerConnection
from knapweedhitch.items import RouteItem
from knapweedhitch.kernel import Kernel
from knapweedhitch.model import CallResult, ServiceConfig, Target
from knapweedhitch.payload import Replayable
from knapweedhitch.pick import PickResult, serving_targets
from knapweedhitch.pool import cancelled_result, refused_result
from knapweedhitch.responsesizes import ResponseSizes
from knapweedhitch.rollout import Rollout
from knapweedhitch.transfer import extend_for_transfer
from knapweedhitch.upstreamload import LEAVING_VALUE

POLICY = "expected-time"
# Each refused attempt costs a message, so a call does not try every target of a service.
MAX_TARGETS_PER_CALL = 4
# Statuses of an upstream failure after which another upstream may succeed.
FAILURE_STATUSES = frozenset({500, 502, 503})
# After this many slow targets have declined a call, the next one must take it.
MAX_DECLINES = 2
# In typical service times; a smaller gain does not pay for the hop to another target.
DECLINE_MARGIN = 0.5
# With less time left, another attempt would only load a second upstream.
MIN_ATTEMPT_MS = 20.0


@dataclasses.dataclass(slots=True, eq=False)
class RelayCall:
    """Track the state of one call across its attempts."""

    conn: ServerConnection
    head: RequestHead
    route: RouteItem
    svc: ServiceConfig
    request_id: str
    deadline: Deadline
    body: Replayable
    config_version: int
    started_s: float
    # Cancelled at the end of a planned stop.
    scope: trio.CancelScope = dataclasses.field(default_factory=trio.CancelScope)
    # The caller's deadline at the start, and how long the caller has waited in earlier requests.
    deadline_ms: float = 0.0
    waited_ms: float = 0.0
    # Whether a run of the local upstream makes this call that is itself a repetition.
    is_repeat: bool = False
    # The customer that sent the request, or that of the run which makes this call; empty if it is
    # not known or the request is anonymous.
    customer: str = ""
    # Whether a run of the local upstream makes this call.
    is_nested: bool = False
    # The priority of the customer, or that of the route.
    priority: int = 0
    # `sent` counts attempts that may have reached an upstream; `targets_tried` counts all attempts.
    sent: int = 0
    targets_tried: int = 0
    in_progress: int = 0
    result: CallResult | None = None
    instances: list[str] = dataclasses.field(default_factory=list)
    causes: list[str] = dataclasses.field(default_factory=list)
    may_have_run: bool = False
    decline_above: float = math.inf
    declined: frozenset[str] = frozenset()
    # Versions whose targets refused the call at this point of a roll-out.
    closed_versions: frozenset[str] = frozenset()
    # Starts another attempt beside the one in progress, whose node or upstream is silent.
    on_silence: Callable[[], None] | None = None


class RouteDispatcher:
    """Run calls on targets of the service that their route selects."""

    def __init__(self, kernel: Kernel, rng: random.Random | None = None) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg
        self._rng = rng or random.Random()
        self._names = framing.header_names(kernel.cfg.headers)
        get = kernel.get
        self._config = get("config")
        self._membership = get("membership")
        self._picker = get("picker")
        self._retry = get("retry")
        self._announce = get("announce")
        self._admission = get("admission")
        self._gate = get("gate")
        self._forward = get("forward")
        self._guard = get("crashguard") if kernel.has("crashguard") else Unguarded(None)
        self._response_sizes = ResponseSizes()

    async def run(self, call: RelayCall) -> Attempt:
        """Return the attempt with a complete or committed response; raises Refusal, CallerGone."""
        call.scope.deadline = call.deadline.at_s
        with call.scope:
            return await self._run_attempts(call)
        # A second attempt ends in a task of its own, after this one has been cancelled.
        may_have_run = call.may_have_run or call.in_progress > 0
        outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
        if call.deadline.expired():
            raise DeadlineExceeded(outcome)
        raise NodeDraining(outcome, "at the end of a planned stop")

    async def _run_attempts(self, call: RelayCall) -> Attempt:
        """Try targets one after another until one responds; raises Refusal."""
        self._retry.record_call(call.svc.name, is_repeat=call.is_repeat)
        if call.is_repeat and not self._retry.may_call_again(call.svc.name):
            raise RetryBudgetExhausted
        failure: Refusal | None = None
        failed_attempt: Attempt | None = None
        cause = "first"
        while True:
            if (quarantined := self._guard.refusal_of(self._guard_key(call))) is not None:
                failure, failed_attempt = quarantined, None
                break
            target = self._pick(call, cause)
            if target is None:
                break
            attempt: Attempt | None = None
            try:
                attempt, call.result = await self._try(call, target)
                if call.result.status not in FAILURE_STATUSES:
                    return attempt
                failed_attempt, cause = attempt, "server-error"
            except Refusal as exc:
                failure, cause = exc, exc.reason
                # A node tells of an end right before it reports the call that failed with it.
                await trio.lowlevel.checkpoint()
            if not self._may_try_again(call, failure if attempt is None else None, cause):
                break
        # The error response of an upstream says more than the refusal of a later target.
        if failed_attempt is not None and not call.conn.response_started:
            return failed_attempt
        failure = failure or NoTarget()
        if call.may_have_run:
            failure.outcome = Outcome.UNKNOWN
        raise failure

    def _may_try_again(self, call: RelayCall, failure: Refusal | None, cause: str) -> bool:
        """Return whether to try another target; `failure` is None after an error response."""
        if call.conn.response_started or call.targets_tried >= MAX_TARGETS_PER_CALL:
            return False
        if isinstance(failure, RequestQuarantined):
            return False
        remaining_ms = call.deadline.remaining_ms()
        if remaining_ms < MIN_ATTEMPT_MS or not call.body.rewind():
            return False
        outcome = Outcome.UNKNOWN if failure is None else failure.outcome
        if outcome is Outcome.NOT_RUN and not isinstance(failure, UpstreamShed):
            # No upstream has received the call, so this is not a repetition.
            return True
        if failure is None and not self._latency_left_ms(call):
            # The response would be late even if the second upstream succeeded.
            return False
        attempts_left = call.route.max_attempts - call.sent - call.in_progress
        return bool(
            self._retry.may_retry(
                call.svc.name, cause, call.route.idempotent, outcome, remaining_ms, attempts_left
            )
        )

    def _pick(self, call: RelayCall, cause: str) -> Target | None:
        current = self._config.current
        serving = serving_targets(self._membership.targets(call.svc.name), current)
        svc, targets = self._with_rollout(call, serving, current.rollouts.get(call.svc.name))
        node = self._cfg.node
        # A declining target reports its load, so its score tells whether it is still the best one.
        excluded = frozenset(call.instances) - call.declined
        request_bytes = call.head.content_length or 0
        body_bytes = request_bytes + self._response_sizes.mean_bytes(call.route.name)
        picked = self._picker.pick(svc, targets, excluded, node.domain, node.id, body_bytes)
        target: Target | None = picked.target
        if target is not None and target.upstream.instance_id in excluded:
            return None
        if target is not None:
            call.instances.append(target.upstream.instance_id)
            call.causes.append(cause)
            # Once a target had no room or failed, no further target may decline the call.
            may_decline = call.targets_tried == len(call.declined) < MAX_DECLINES
            call.decline_above = _decline_above(picked) if may_decline else math.inf
        return target

    def _with_rollout(
        self, call: RelayCall, serving: tuple[Target, ...], rollout: Rollout | None
    ) -> tuple[ServiceConfig, tuple[Target, ...]]:
        """Return the targets that a call may use at this point of a roll-out, and their service."""
        svc, targets = call.svc, serving
        if rollout is not None:
            is_first = not call.instances
            on_new = rolloutrouting.offers_new(rollout, self._rng.random(), is_first=is_first)
            targets = rolloutrouting.usable_targets(serving, rollout, on_new=on_new)
            if on_new and rollout.is_running:
                # The picker forgets targets that are not among those of its last pick.
                svc = structs.replace(svc, name=f"{svc.name} {rollout.target_version}")
        if call.closed_versions:
            # The nodes of targets may know a later step than this node.
            targets = rolloutrouting.open_targets(targets, serving, call.closed_versions)
        return svc, targets

    async def _try(self, call: RelayCall, target: Target) -> tuple[Attempt, CallResult]:
        attempt = self._create_attempt(call, target)
        if not call.route.idempotent or call.head.has_body:
            return attempt, await self._run_attempt(call, attempt)

        async def execute(chosen: Attempt) -> CallResult:
            run = self._run_attempt if chosen is attempt else self._run_second
            return await run(call, chosen)

        hedge = Hedge(self._kernel, execute, functools.partial(self._create_second, call))
        call.on_silence = hedge.start_second
        return await hedge.run(attempt)

    def _create_attempt(self, call: RelayCall, target: Target) -> Attempt:
        added = ((self._names.request_id, call.request_id.encode("ascii")),)
        attempt = Attempt(call.conn, target, added, call.svc.hold_back_bytes, None)
        attempt.deadline = call.deadline
        attempt.on_head = functools.partial(self._on_head, call, attempt)
        return attempt

    def _create_second(self, call: RelayCall) -> Attempt | None:
        """Return an attempt beside a silent one, None if there may be none."""
        target = self._pick_second(call, PeerFailed(Outcome.UNKNOWN))
        return None if target is None else self._create_attempt(call, target)

    async def _run_second(self, call: RelayCall, attempt: Attempt) -> CallResult:
        """Run an attempt beside a silent one on the first target that takes it."""
        while True:
            try:
                return await self._run_attempt(call, attempt)
            except Refusal as exc:
                is_silent = isinstance(exc, PeerFailed) and not attempt.status
                # After other failures, the attempt may hold a part of a response.
                if exc.outcome is not Outcome.NOT_RUN and not is_silent:
                    raise
                target = self._pick_second(call, exc)
                if target is None:
                    raise
                attempt.target = target

    def _pick_second(self, call: RelayCall, failure: Refusal) -> Target | None:
        target = self._pick(call, failure.reason)
        if target is None or self._may_try_again(call, failure, failure.reason):
            return target
        call.instances.pop()
        call.causes.pop()
        return None

    async def _run_attempt(self, call: RelayCall, attempt: Attempt) -> CallResult:
        target, instance_id = attempt.target, attempt.target.upstream.instance_id
        started_s = trio.current_time()
        self._picker.record_start(instance_id)
        call.targets_tried += 1
        call.in_progress += 1
        result: CallResult | None = None
        try:
            result = await self._execute(call, target, attempt)
            call.sent += 1
            call.may_have_run = True
            self._response_sizes.record(call.route.name, attempt.size_bytes)
            return result
        except Refusal as exc:
            if isinstance(exc, UpstreamSlow):
                call.declined |= {instance_id}
                if target.node_id == self._cfg.node.id:
                    self._picker.observe(instance_id, self._admission.load())
            if isinstance(exc, RolloutLimited):
                call.closed_versions |= {target.upstream.version}
            if exc.outcome is Outcome.UNKNOWN or isinstance(exc, UpstreamShed):
                call.sent += 1
            call.may_have_run = call.may_have_run or exc.outcome is Outcome.UNKNOWN
            result = refused_result(exc, (trio.current_time() - started_s) * 1_000)
            attempt.discard()
            raise
        finally:
            call.in_progress -= 1
            if result is None:
                attempt.discard()
                call.may_have_run = True
                elapsed_ms = (trio.current_time() - started_s) * 1_000
                result = cancelled_result(call.deadline, elapsed_ms)
            # The sample was taken while this call ran, so it is recorded before the call's end.
            if attempt.load is not None:
                self._picker.observe(instance_id, attempt.load)
            self._picker.record_finish(instance_id, result)

    def _on_head(self, call: RelayCall, attempt: Attempt, headers: Headers) -> None:
        extend_for_transfer(call.scope, call.deadline, self._cfg.routing)
        # The node beside the target sees this too, but it may restart before others learn of it.
        if (self._names.leaving, LEAVING_VALUE) in headers:
            self._membership.record_departure(attempt.target)

    async def _execute(self, call: RelayCall, target: Target, attempt: Attempt) -> CallResult:
        path = self._gate if target.node_id == self._cfg.node.id else self._forward
        retries_left = max(0, call.route.max_attempts - call.sent - call.in_progress)
        # A second attempt is given up at a silent node if a third one may replace it.
        is_replaceable = call.in_progress > 1 and retries_left > 0
        spec = CallSpec(
            request_id=call.request_id,
            service=call.svc.name,
            instance_id=target.upstream.instance_id,
            method=call.head.method,
            target=call.head.target,
            headers=call.head.headers,
            has_body=call.head.has_body,
            deadline=call.deadline.reduced(self._cfg.routing.attempt_margin_ms),
            retries_left=retries_left,
            depth=0,
            config_version=call.config_version,
            idempotent=call.route.idempotent,
            caller_service=self._caller_service(),
            priority=call.priority,
            customer=call.customer,
            is_nested=call.is_nested,
            target_latency_ms=max(0.0, self._latency_left_ms(call) - call.waited_ms),
            route=call.route.name,
            decline_above=call.decline_above,
            is_repeat=call.sent > 0 or call.in_progress > 1 or call.is_repeat,
            on_silence=None if is_replaceable else call.on_silence,
        )
        result: CallResult = await path.execute(target.node_id, spec, call.body, attempt)
        return result

    @staticmethod
    def _latency_left_ms(call: RelayCall) -> float:
        elapsed_ms = (trio.current_time() - call.started_s) * 1_000
        # A route without a target latency uses its timeout.
        objective_ms = call.route.target_latency_ms or call.route.timeout_ms
        return max(0.0, objective_ms - elapsed_ms)

    @staticmethod
    def _guard_key(call: RelayCall) -> GuardKey:
        head = call.head
        return GuardKey(call.svc.name, call.route.name, head.method, head.target, head.has_body)

    def _caller_service(self) -> str:
        configured: str = self._cfg.node.service
        if configured:
            return configured
        current = self._announce.current
        return current.service if current is not None else ""


def _decline_above(picked: PickResult) -> float:
    """Return the slowdown above which the second best target is expected to respond sooner."""
    target = picked.target
    if target is None:
        return math.inf
    others = [
        other.score
        for other in picked.considered
        if not other.note and other.instance_id != target.upstream.instance_id
    ]
    return min(others, default=math.inf) + DECLINE_MARGIN
