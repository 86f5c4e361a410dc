"""Attempts of one call: target choice, path, retries and hedging."""

from __future__ import annotations

import dataclasses
import functools
import math
from collections.abc import Callable
from typing import Any

import trio

from knapweedhitch import explain, framing
from knapweedhitch.attempt import Attempt
from knapweedhitch.crashguard import GuardKey, Unguarded
from knapweedhitch.deadline import Deadline
from knapweedhitch.exceptions import (
    ColdLimit,
    ConfigStale,
    ConnectionLimit,
    DeadlineExceeded,
    DomainOut,
    NodeDraining,
    NoLease,
    NoTarget,
    Outcome,
    PeerFailed,
    QueueDelay,
    QueueFull,
    Refusal,
    SuspectWaits,
    UnprovenRefusal,
    UpstreamDraining,
    UpstreamFailed,
    UpstreamTimedOut,
)
from knapweedhitch.exchange import CallSpec, Headers
from knapweedhitch.framing import RequestHead
from knapweedhitch.hedge import Hedge
from knapweedhitch.http1 import ServerConnection
from knapweedhitch.kernel import Kernel
from knapweedhitch.model import CallResult, ServiceConfig, Target
from knapweedhitch.payload import Replayable
from knapweedhitch.pick import serving_targets
from knapweedhitch.pool import cancelled_result, refused_result
from knapweedhitch.transfer import extend_for_transfer

# Refusals of a single target; another target, or the same one later, may accept the call.
RETRYABLE_REFUSALS = (
    ColdLimit,
    ConfigStale,
    ConnectionLimit,
    DomainOut,
    NodeDraining,
    NoTarget,
    PeerFailed,
    QueueDelay,
    QueueFull,
    SuspectWaits,
    UnprovenRefusal,
    UpstreamDraining,
    UpstreamFailed,
)
# Failures of a connection: the same target is tried again if there is no other one.
CONNECTION_REFUSALS = (PeerFailed, UpstreamFailed)
RETRY_STATUSES = frozenset({500, 502, 503, 504})
HEDGE_METHODS = frozenset({"GET", "HEAD"})


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """Track the state of one call across its attempts."""

    conn: ServerConnection
    head: RequestHead
    svc: ServiceConfig
    request_id: str
    deadline: Deadline
    retries_left: int
    depth: int
    config_version: int
    idempotent: bool
    keyed: bool
    wants_explanation: bool
    body: Replayable
    # Cancelled at the end of a planned stop.
    scope: trio.CancelScope = dataclasses.field(default_factory=trio.CancelScope)
    attempts: int = 0
    in_progress: int = 0
    may_have_run: bool = False
    path: str = ""
    result: CallResult | None = None
    # Starts another attempt beside the one in progress, whose node or upstream is silent.
    on_silence: Callable[[], None] | None = None
    choices: list[explain.Choice] = dataclasses.field(default_factory=list)


class Dispatcher:
    """Run calls on targets that the picker chooses."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._node = kernel.cfg.node
        self._routing = kernel.cfg.routing
        self._config = kernel.get("config")
        self._membership = kernel.get("membership")
        self._picker = kernel.get("picker")
        self._retry = kernel.get("retry")
        self._counters = kernel.get("counters")
        self._gate = kernel.get("gate")
        self._forward = kernel.get("forward")
        self._direct: Any = kernel.get("direct") if kernel.has("direct") else None
        self._guard = kernel.get("crashguard") if kernel.has("crashguard") else Unguarded(None)

    async def run(self, call: Call) -> Attempt:
        """Return the attempt with a complete or committed response; raises Refusal, CallerGone."""
        self._retry.record_call(call.svc.name)
        call.scope.deadline = call.deadline.at_s
        with call.scope:
            return await self._run_attempts(call)
        # A hedge ends in a task of its own, after this one has been cancelled.
        may_have_run = call.may_have_run or call.in_progress > 0
        outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
        if call.deadline.expired():
            raise DeadlineExceeded(outcome)
        raise NodeDraining(outcome, "at the end of a planned stop")

    async def _run_attempts(self, call: Call) -> Attempt:
        excluded: frozenset[str] = frozenset()
        target = self._pick(call, excluded, "first")
        if target is None:
            raise NoTarget
        while True:
            failure: Refusal | None = self._guard.refusal_of(self._guard_key(call))
            try:
                if failure is None:
                    attempt, call.result = await self._try(call, target)
                    if call.result.status not in RETRY_STATUSES or not call.idempotent:
                        return attempt
            except Refusal as exc:
                failure = exc
                # A node tells of an end right before it reports the call that failed with it.
                await trio.lowlevel.checkpoint()
            excluded |= {choice.picked for choice in call.choices}
            next_target = self._next_target(call, failure, excluded)
            if next_target is not None:
                target = next_target
            elif failure is None:
                return attempt
            else:
                if call.may_have_run:
                    failure.outcome = Outcome.UNKNOWN
                raise failure

    def _next_target(
        self, call: Call, failure: Refusal | None, excluded: frozenset[str]
    ) -> Target | None:
        """Return the target of the next attempt, None if the call must not be retried."""
        if call.conn.response_started or call.retries_left <= 0:
            return None
        if failure is not None and not isinstance(failure, RETRYABLE_REFUSALS):
            return None
        outcome = failure.outcome if failure is not None else Outcome.UNKNOWN
        may_send_again = call.idempotent or outcome is Outcome.NOT_RUN
        remaining_ms = call.deadline.remaining_ms() - self._routing.attempt_margin_ms
        if not may_send_again or remaining_ms <= 0 or not call.body.rewind():
            return None
        reason = failure.reason if failure is not None else "server-error"
        target = self._pick(call, excluded, reason)
        if target is None and isinstance(failure, CONNECTION_REFUSALS):
            target = self._pick(call, frozenset(), reason)
        if target is None:
            return None
        if not self._retry.may_retry(
            call.svc.name, reason, call.idempotent, outcome, remaining_ms, call.retries_left
        ):
            call.choices.pop()
            return None
        call.retries_left -= 1
        self._counters.add("retries", reason)
        return target

    def _pick(self, call: Call, excluded: frozenset[str], cause: str) -> Target | None:
        current = self._config.current
        targets = serving_targets(self._membership.targets(call.svc.name), current)
        picked = self._picker.pick(call.svc, targets, excluded, self._node.domain, self._node.id)
        target: Target | None = picked.target
        if target is not None:
            path = "gate" if target.node_id == self._node.id else "remote"
            call.choices.append(
                explain.Choice(cause, target.upstream.instance_id, path, picked.considered)
            )
        return target

    # One attempt

    async def _try(self, call: Call, target: Target) -> tuple[Attempt, CallResult]:
        attempt = self._create_attempt(call, target)
        if not call.idempotent or call.head.has_body:
            return attempt, await self._execute(call, attempt)
        is_silent = False

        def create_second() -> Attempt | None:
            if is_silent:
                return self._create_replacement(call)
            return self._create_hedge(call, target)

        def on_silence() -> None:
            nonlocal is_silent
            is_silent = True
            hedge.start_second()

        async def execute(chosen: Attempt) -> CallResult:
            run = self._run_replacement if is_silent and chosen is not attempt else self._execute
            return await run(call, chosen)

        hedge = Hedge(self._kernel, execute, create_second)
        call.on_silence = on_silence
        return await hedge.run(attempt, self._hedge_delay_ms(call))

    def _hedge_delay_ms(self, call: Call) -> float:
        if not call.svc.hedge or call.head.method not in HEDGE_METHODS:
            return math.inf
        delay_ms: float | None = self._picker.hedge_delay_ms(call.svc.name)
        return math.inf if delay_ms is None else max(delay_ms, self._routing.hedge_min_ms)

    def _create_replacement(self, call: Call) -> Attempt | None:
        """Return an attempt beside a silent one, None if the call must not be sent again."""
        excluded = frozenset(choice.picked for choice in call.choices)
        target = self._next_target(call, UpstreamTimedOut(Outcome.UNKNOWN), excluded)
        return None if target is None else self._create_attempt(call, target)

    def _create_hedge(self, call: Call, first: Target) -> Attempt | None:
        """Return an attempt on another target, None without one or without hedging budget."""
        excluded = {choice.picked for choice in call.choices} | {first.upstream.instance_id}
        target = self._pick(call, frozenset(excluded), "hedge")
        if target is None:
            return None
        if not self._retry.may_hedge():
            call.choices.pop()
            return None
        self._counters.add("hedges", "started")
        return self._create_attempt(call, target)

    async def _run_replacement(self, call: Call, attempt: Attempt) -> CallResult:
        """Run an attempt beside a silent one on the first target that takes it."""
        while True:
            try:
                return await self._execute(call, attempt)
            except Refusal as exc:
                is_silent = isinstance(exc, PeerFailed) and not attempt.status
                if exc.outcome is not Outcome.NOT_RUN and not is_silent:
                    raise
                excluded = frozenset(choice.picked for choice in call.choices)
                target = self._next_target(call, exc, excluded)
                if target is None:
                    raise
                attempt.target = target

    def _create_attempt(self, call: Call, target: Target) -> Attempt:
        added: Headers = ((framing.REQUEST_ID, call.request_id.encode("ascii")),)
        if call.wants_explanation:
            added = (*added, (framing.EXPLAIN, explain.render(call.choices)))
        svc = call.svc
        max_recorded_bytes = svc.max_recorded_answer_bytes if call.keyed else None
        attempt = Attempt(call.conn, target, added, svc.hold_back_bytes, max_recorded_bytes)
        attempt.deadline = call.deadline
        attempt.on_head = functools.partial(self._on_head, call)
        return attempt

    def _on_head(self, call: Call, headers: Headers) -> None:
        extend_for_transfer(call.scope, call.deadline, self._routing)

    async def _execute(self, call: Call, attempt: Attempt) -> CallResult:
        instance_id = attempt.target.upstream.instance_id
        self._picker.record_start(instance_id)
        started_s = trio.current_time()
        result: CallResult | None = None
        call.attempts += 1
        call.in_progress += 1
        try:
            result = await self._execute_on_path(call, attempt)
            # The upstream has run the call, even if a retry replaces this response.
            call.may_have_run = True
            return result
        except Refusal as exc:
            call.may_have_run = call.may_have_run or exc.outcome is Outcome.UNKNOWN
            result = refused_result(exc, (trio.current_time() - started_s) * 1_000)
            attempt.discard()
            raise
        finally:
            call.in_progress -= 1
            if result is None:
                attempt.discard()
                call.may_have_run = True
                result = cancelled_result(call.deadline, (trio.current_time() - started_s) * 1_000)
            # The sample was taken while this call ran, so it is recorded before the call's end.
            if attempt.load is not None:
                self._picker.observe(instance_id, attempt.load)
            self._picker.record_finish(instance_id, result)

    async def _execute_on_path(self, call: Call, attempt: Attempt) -> CallResult:
        node_id = attempt.target.node_id
        spec = self._build_spec(call, attempt.target)
        result: CallResult
        if node_id == self._node.id:
            self._record_path(call, "gate")
            result = await self._gate.execute(node_id, spec, call.body, attempt)
            return result
        # The node of the target observes what is in progress there, but not calls under leases.
        if self._direct is not None and not self._guard.is_watching(spec.service):
            try:
                result = await self._direct.execute(node_id, spec, call.body, attempt)
                self._record_path(call, "direct")
                return result
            except NoLease:
                pass
        self._record_path(call, "forward")
        result = await self._forward.execute(node_id, spec, call.body, attempt)
        return result

    @staticmethod
    def _guard_key(call: Call) -> GuardKey:
        head = call.head
        return GuardKey(call.svc.name, "", head.method, head.target, head.has_body)

    def _record_path(self, call: Call, path: str) -> None:
        call.path = path
        self._counters.add("calls", path)

    def _build_spec(self, call: Call, target: Target) -> CallSpec:
        return CallSpec(
            request_id=call.request_id,
            service=call.svc.name,
            instance_id=target.upstream.instance_id,
            method=call.head.method,
            target=call.head.target,
            headers=call.head.headers,
            has_body=call.head.has_body,
            deadline=call.deadline.reduced(self._routing.attempt_margin_ms),
            retries_left=call.retries_left,
            depth=call.depth,
            config_version=call.config_version,
            # A second attempt is given up at a silent node if a third one may replace it.
            on_silence=None if call.in_progress > 1 else call.on_silence,
        )
