"""Handling of one request by the service of its host."""

from __future__ import annotations

import json
from collections.abc import Awaitable
from typing import Any, Protocol, runtime_checkable

import trio

from knapweedhitch import explain, framing, logs
from knapweedhitch.attempt import Attempt
from knapweedhitch.boundedlog import BoundedLog
from knapweedhitch.deadline import Deadline
from knapweedhitch.dispatch import Call, Dispatcher
from knapweedhitch.exceptions import (
    CallerGone,
    ChainTooDeep,
    ConfigStale,
    DeadlineExceeded,
    InternalError,
    KeyRequired,
    KnapweedhitchError,
    NodeDraining,
    NoSuchService,
    NotFound,
    Outcome,
    Refusal,
)
from knapweedhitch.exchange import Headers
from knapweedhitch.framing import RequestHead
from knapweedhitch.http1 import ServerConnection, refusal_headers
from knapweedhitch.idempotency import generate_uuid7
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.model import IDEMPOTENT_METHODS, SAFE_METHODS, Configuration, ServiceConfig
from knapweedhitch.payload import (
    BufferedBody,
    NoBody,
    ReplayBody,
    Reservation,
    Spool,
    request_digest,
)
from knapweedhitch.trace import Trace

LOCAL_PREFIX = b"/.knapweedhitch/"
REPLAYED = (b"knapweedhitch-replayed", b"1")


@runtime_checkable
class RecordedResponse(Protocol):
    """Describe the recorded response of an earlier request with the same key."""

    status: int
    headers: Headers
    body: bytes


@service("router")
class Router:
    """Respond to parsed requests from an upstream or with a refusal."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg
        self.active: dict[Trace[Call], None] = {}
        self._indexed: Configuration | None = None
        self._hosts: dict[str, ServiceConfig] = {}
        self.explanations = explain.Explanations(
            self._cfg.callers.explain_sample_ratio, self._cfg.callers.max_explanations
        )
        self._spool = Spool(
            self._cfg.callers.max_keyed_body_bytes, self._cfg.callers.max_spooled_bytes
        )

    @property
    def in_progress(self) -> int:
        """Return the number of requests without a complete response."""
        return len(self.active)

    async def start(self) -> None:
        """Look up the services that the router uses."""
        get = self._kernel.get
        self._config = get("config")
        self._claims = get("claims")
        self._counters = get("counters")
        self._timers = get("timers")
        self._dispatcher = Dispatcher(self._kernel)
        self._log = BoundedLog(self._cfg.log, self._counters, self._timers.now_ms)

    async def stop(self) -> None:
        """Do nothing; requests end with their connections."""

    def may_run_concurrently(self, head: RequestHead) -> bool:
        """Return whether a request may run while earlier ones on its connection are in progress."""
        return head.method in SAFE_METHODS and not head.target.startswith(LOCAL_PREFIX)

    async def handle(self, conn: ServerConnection, head: RequestHead) -> None:
        """Handle one request and write its response or refusal."""
        trace = Trace[Call](
            framing.get_request_id(head, framing.REQUEST_ID), conn.received_s, head.method
        )
        conn.request_id = trace.request_id
        self.active[trace] = None
        try:
            if head.target.startswith(LOCAL_PREFIX):
                await self._serve_local(trace, conn, head)
            else:
                await self._serve(trace, conn, head)
        except Refusal as exc:
            if not trace.claim_requested and _has_key(head):
                # An earlier request with the same key may have run, even if this one did not.
                exc.outcome = Outcome.UNKNOWN
            await self._refuse(trace, conn, exc)
        except CallerGone:
            trace.reason = "caller-gone"
            self._counters.add("caller_gone")
        except Exception as exc:
            self._log.warning(
                "internal-error",
                id=trace.request_id,
                error=type(exc).__name__,
                place=logs.location_of(exc),
                detail=exc,
            )
            may_have_run = trace.call is not None or _has_key(head)
            refusal = InternalError(
                Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN, type(exc).__name__
            )
            await self._refuse(trace, conn, refusal)
        except trio.Cancelled:
            trace.reason = "connection-ended"
            raise
        finally:
            del self.active[trace]
            self._finish(trace, conn)

    async def refuse_unparsed(self, conn: ServerConnection, refusal: Refusal) -> None:
        """Refuse a request that was not parsed and close its connection."""
        trace = Trace[Call](framing.new_request_id(), trio.current_time())
        conn.close_after = True
        await self._refuse(trace, conn, refusal)
        self._finish(trace, conn)

    async def _refuse(self, trace: Trace[Call], conn: ServerConnection, refusal: Refusal) -> None:
        trace.status, trace.reason = refusal.status, refusal.reason
        trace.outcome = refusal.outcome.value
        self._counters.add("refused", refusal.reason)
        if conn.response_started:
            # The status is sent already, so only closing the connection can signal the failure.
            self._counters.add("answers_cut", refusal.reason)
            conn.failure = conn.failure or refusal.reason
            return
        body = json.dumps(
            {
                "reason": refusal.reason,
                "outcome": refusal.outcome.value,
                "request_id": trace.request_id,
                "detail": refusal.detail,
            }
        ).encode("utf-8")
        headers = refusal_headers(refusal, trace.request_id, body)
        if trace.call is not None and trace.call.wants_explanation and trace.call.choices:
            headers = (*headers, (framing.EXPLAIN, explain.render(trace.call.choices)))
        try:
            await conn.send_response(refusal.status, headers, [body])
        except CallerGone:
            self._counters.add("caller_gone")

    def _finish(self, trace: Trace[Call], conn: ServerConnection) -> None:
        total_ms = (trio.current_time() - trace.started_s) * 1_000
        self._counters.record("total", total_ms)
        call = trace.call
        fields = trace.fields(conn) | {"method": trace.method}
        if call is not None:
            fields |= {"service": call.svc.name, "attempts": call.attempts, "path": call.path}
            if call.choices:
                fields["instance"] = call.choices[-1].picked
            if call.result is not None:
                self._counters.record("added", max(0.0, total_ms - call.result.service_ms))
                fields["service_ms"] = f"{call.result.service_ms:.2f}"
            if call.wants_explanation or self.explanations.is_sampled():
                self.explanations.add(
                    explain.Explanation(trace.request_id, call.svc.name, tuple(call.choices))
                )
        fields["total_ms"] = f"{total_ms:.2f}"
        self._log.event("request", **fields)

    # Local paths of the node

    async def _serve_local(
        self, trace: Trace[Call], conn: ServerConnection, head: RequestHead
    ) -> None:
        if (head.method, head.target) == ("POST", LOCAL_PREFIX + b"key"):
            status, body = 200, generate_uuid7(self._timers.wall_ms()).encode("ascii")
        elif (head.method, head.target) == ("GET", LOCAL_PREFIX + b"ready"):
            status, body = (200, b"ready\n") if self._is_ready() else (503, b"not ready\n")
        else:
            raise NotFound
        trace.status = status
        headers = (
            (b"content-type", b"text/plain"),
            (b"content-length", b"%d" % len(body)),
            (framing.REQUEST_ID, trace.request_id.encode("ascii")),
        )
        await conn.send_response(status, headers, [body])

    def _is_ready(self) -> bool:
        out = self._config.current.is_domain_out(self._cfg.node.domain)
        drain = self._get_drain()
        return self._config.may_serve() and not out and not (drain and drain.active)

    def _get_drain(self) -> Any:
        return self._kernel.get("drain") if self._kernel.has("drain") else None

    # Calls

    async def _serve(self, trace: Trace[Call], conn: ServerConnection, head: RequestHead) -> None:
        call = trace.call = self._prepare(trace, conn, head)
        if call.keyed:
            await self._serve_keyed(trace, call)
            return
        attempt = await self._dispatcher.run(call)
        trace.status = attempt.status
        await attempt.deliver()

    def _prepare(self, trace: Trace[Call], conn: ServerConnection, head: RequestHead) -> Call:
        """Return the call of a request; raises Refusal with the outcome NOT_RUN."""
        drain = self._get_drain()
        if drain is not None and drain.active:
            conn.close_after = True
            if drain.refusing:
                raise NodeDraining
        current = self._config.current
        if not self._config.may_serve():
            raise ConfigStale
        svc = self._service_for_host(current, head.host)
        if svc is None:
            raise NoSuchService(detail=head.host[:200])
        conn.limit_body(head, svc.max_body_bytes)
        depth = _int_header(head, framing.DEPTH, 0)
        if depth > self._cfg.callers.max_depth:
            raise ChainTooDeep(detail=f"limit {self._cfg.callers.max_depth}")
        keyed = _has_key(head)
        if svc.require_key and head.method not in IDEMPOTENT_METHODS and not keyed:
            raise KeyRequired
        deadline_ms = _int_header(head, framing.DEADLINE, svc.default_deadline_ms)
        deadline = Deadline.since(trace.started_s, min(deadline_ms, svc.max_deadline_ms))
        if deadline.expired():
            raise DeadlineExceeded
        max_replay_bytes = self._cfg.callers.max_replay_bytes
        return Call(
            conn=conn,
            head=head,
            svc=svc,
            request_id=trace.request_id,
            deadline=deadline if drain is None else drain.bound(deadline),
            retries_left=min(svc.retries, _int_header(head, framing.RETRIES, svc.retries)),
            depth=depth + 1,
            config_version=current.version,
            idempotent=framing.is_idempotent(head.method, head.headers),
            keyed=keyed,
            wants_explanation=head.control.get(framing.EXPLAIN) == b"1",
            body=ReplayBody(conn, max_replay_bytes) if head.has_body else NoBody(),
        )

    def _service_for_host(self, current: Configuration, host: str) -> ServiceConfig | None:
        # A scan of all services for each call would cost more than the rest of the routing.
        if current is not self._indexed:
            self._indexed = current
            self._hosts = {name: svc for svc in current.services.values() for name in svc.hosts}
        name = host.lower()
        if not name.startswith("["):
            name = name.partition(":")[0]
        return self._hosts.get(name)

    async def _serve_keyed(self, trace: Trace[Call], call: Call) -> None:
        reserved = Reservation()
        try:
            with trio.move_on_at(call.deadline.at_s) as scope:
                parts = await self._spool.read(call.conn, call.head.content_length, reserved)
            if scope.cancelled_caught:
                raise DeadlineExceeded(Outcome.NOT_RUN, "while the body arrived")
            call.body = BufferedBody(parts)
            await self._claim_and_run(trace, call, parts)
        finally:
            self._spool.free(reserved)

    async def _claim_and_run(self, trace: Trace[Call], call: Call, parts: list[bytes]) -> None:
        head = call.head
        key = head.control[framing.KEY].decode("latin-1")
        digest = request_digest(call.svc.name, head.method, head.target, head.headers, parts)
        trace.claim_requested = True
        claim = await self._claims.claim(call.svc, key, digest, call.deadline)
        if isinstance(claim, RecordedResponse):
            self._counters.add("replayed")
            trace.status = claim.status
            added = (REPLAYED, (framing.REQUEST_ID, trace.request_id.encode("ascii")))
            await call.conn.send_response(claim.status, (*claim.headers, *added), [claim.body])
            return
        try:
            attempt = await self._dispatcher.run(call)
        except Refusal as exc:
            if exc.outcome is Outcome.NOT_RUN:
                await self._settle("release", self._claims.release(claim))
            raise
        except CallerGone:
            # A response that is too large to record was given up; the key has run.
            await self._settle("complete", self._claims.complete(claim, 0, (), None))
            raise
        trace.status = attempt.status
        await self._deliver_and_record(attempt, claim)

    async def _deliver_and_record(self, attempt: Attempt, claim: Any) -> None:
        try:
            await attempt.deliver()
        finally:
            body = attempt.recorded_body()
            await self._settle(
                "complete", self._claims.complete(claim, attempt.status, attempt.headers, body)
            )

    async def _settle(self, action: str, operation: Awaitable[None]) -> None:
        """Complete or release a claim even after a cancel; a failure leaves its outcome unknown."""
        try:
            with trio.move_on_after(2 * self._cfg.claims.call_timeout_ms / 1_000, shield=True):
                await operation
                return
            self._counters.add("claims_unsettled", action)
        except KnapweedhitchError as exc:
            self._counters.add("claims_unsettled", action)
            logs.warning("claim-unsettled", action=action, error=type(exc).__name__, detail=exc)


def _int_header(head: RequestHead, name: bytes, default: int) -> int:
    value = framing.parse_int_header(head, name)
    return default if value is None else value


def _has_key(head: RequestHead) -> bool:
    return framing.KEY in head.control and head.method not in SAFE_METHODS
