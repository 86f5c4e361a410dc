"""Admission of calls to the local upstream."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import trio

from knapweedhitch.crashguard import GuardedRun, Unguarded
from knapweedhitch.exceptions import (
    ConfigStale,
    DomainOut,
    NodeDraining,
    NoTarget,
    Refusal,
    RolloutLimited,
    UpstreamDraining,
)
from knapweedhitch.exchange import BodySource, CallSpec, ResponseSink
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.model import CallResult, Configuration, UpstreamRecord, UpstreamState
from knapweedhitch.pool import refused_result
from knapweedhitch.rolloutgate import AlwaysOpen

# Refusals of the gate itself, which are no evidence of the state of the upstream.
CHECK_REFUSALS = (
    ConfigStale,
    DomainOut,
    NodeDraining,
    NoTarget,
    RolloutLimited,
    UpstreamDraining,
)
# The result of a slot without a call, which is no evidence of the state of the upstream.
UNUSED_RESULT = CallResult(ok=True, service_ms=0.0, cancelled=True)


class _CheckedBody:
    """Repeat a check when the first part of a body has arrived, with which the head is sent."""

    def __init__(self, body: BodySource, check: Callable[[], object]) -> None:
        self._body = body
        self._check = check
        self._has_begun = False

    async def receive(self) -> bytes | None:
        """Return the next part, None at the end; raises Refusal or CallerGone."""
        part = await self._body.receive()
        if not self._has_begun:
            self._has_begun = True
            self._check()
        return part


@service("gate")
class Gate:
    """Run calls on the local upstream, with checks before and after the wait for a slot."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._node = kernel.cfg.node
        self.in_progress = 0
        self._separator = kernel.cfg.routing.call_id_separator
        self._runs: dict[str, CallSpec] = {}
        self._domain_out = False

    async def start(self) -> None:
        """Look up the services that the gate uses."""
        get = self._kernel.get
        self._config = get("config")
        self._announce = get("announce")
        self._admission = get("admission")
        self._pool = get("pool")
        self._counters = get("counters")
        self._guard = get("crashguard") if self._kernel.has("crashguard") else Unguarded(self._pool)
        self._rollouts = get("rolloutgate") if self._kernel.has("rolloutgate") else AlwaysOpen()
        self._config.subscribe(self._on_config)
        self._on_config(self._config.current)

    def _on_config(self, current: Configuration) -> None:
        out = current.is_domain_out(self._node.domain)
        if out != self._domain_out:
            self._domain_out = out
            self._admission.set_domain_out(out)

    async def stop(self) -> None:
        """Do nothing; calls end with their tasks."""

    def is_nested(self, request_id: str) -> bool:
        """Return whether the id of a request tells that a run of the local upstream made it."""
        return bool(self._separator) and self._separator in request_id

    def find_parent(self, request_id: str) -> CallSpec | None:
        """Return the run of the local upstream that made a request, told by the request's id."""
        if not self.is_nested(request_id):
            return None
        return self._runs.get(request_id.rpartition(self._separator)[0])

    async def execute(
        self, node_id: str, spec: CallSpec, body: BodySource, sink: ResponseSink
    ) -> CallResult:
        """Run the call; raises Refusal, NOT_RUN only if no byte reached the upstream."""
        record = self._check(spec)
        call = self._rollouts.begin(record)
        self.in_progress += 1
        try:
            run: GuardedRun = await self._guard.admit(spec, body)
            try:
                result = await self._run_admitted(run, spec, sink)
            finally:
                self._guard.release(run)
            self._rollouts.record_result(call, spec, result)
            return result
        except Refusal as exc:
            self._rollouts.record_refusal(call, spec, exc)
            raise
        finally:
            self.in_progress -= 1
            self._rollouts.end(call)

    async def _run_admitted(
        self, run: GuardedRun, spec: CallSpec, sink: ResponseSink
    ) -> CallResult:
        queued_s = trio.current_time()
        slot: Any = await self._admission.admit(spec.deadline, spec)
        called_s = trio.current_time()
        self._counters.record("queue", (called_s - queued_s) * 1_000)
        result = UNUSED_RESULT
        self._runs[spec.request_id] = spec
        try:
            record = self._check(spec)
            body = run.body
            if spec.has_body:
                # The caller may send the head long before the body.
                body = _CheckedBody(body, lambda: self._check(spec))
            result = await self._guard.exchange(run, record, spec, body, sink, self._admission.load)
            return result
        except Refusal as exc:
            if not isinstance(exc, CHECK_REFUSALS):
                result = refused_result(exc, (trio.current_time() - called_s) * 1_000)
            raise
        except trio.Cancelled:
            # The elapsed time is a lower bound of the latency.
            elapsed_ms = (trio.current_time() - called_s) * 1_000
            result = CallResult(ok=True, service_ms=elapsed_ms, cancelled=True)
            raise
        finally:
            self._runs.pop(spec.request_id, None)
            self._admission.release(slot, result)

    def _check(self, spec: CallSpec) -> UpstreamRecord:
        """Return the upstream of the call; raises Refusal with the outcome NOT_RUN."""
        if not self._config.may_serve():
            raise ConfigStale
        current = self._config.current
        if current.is_domain_out(self._node.domain):
            raise DomainOut
        if self._node.id in current.draining_nodes or self._is_draining():
            raise NodeDraining
        record: UpstreamRecord | None = self._announce.current
        if record is None or record.service != spec.service:
            raise NoTarget(detail="no such upstream at this node")
        if record.instance_id != spec.instance_id:
            raise NoTarget(detail="the upstream was replaced")
        if record.state is not UpstreamState.SERVING:
            raise UpstreamDraining
        self._rollouts.check(record)
        return record

    def _is_draining(self) -> bool:
        return self._kernel.has("drain") and self._kernel.get("drain").refusing
