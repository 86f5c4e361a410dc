"""Handling of one request by the routes of the configuration."""

from __future__ import annotations

import json
import math
import random

import trio

from knapweedhitch import framing, logs
from knapweedhitch.attempt import Attempt
from knapweedhitch.boundedlog import BoundedLog
from knapweedhitch.callerwait import CallerWaits
from knapweedhitch.clock import MS_PER_S, now_ms
from knapweedhitch.customers import CustomerTable, Sender
from knapweedhitch.deadline import Deadline
from knapweedhitch.exceptions import (
    CallerGone,
    ConfigStale,
    ConfigUnknown,
    CustomerKeyMissing,
    CustomerKeyUnknown,
    DeadlineExceeded,
    InternalError,
    NodeDraining,
    NoSuchRoute,
    Outcome,
    Refusal,
)
from knapweedhitch.exchange import CallSpec
from knapweedhitch.framing import RequestHead
from knapweedhitch.http1 import ServerConnection, refusal_headers
from knapweedhitch.items import Items, RouteItem
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.model import ServiceConfig
from knapweedhitch.payload import NoBody, ReplayBody
from knapweedhitch.quotatokens import TokenLot
from knapweedhitch.responsetable import NOT_RUN_STATUSES
from knapweedhitch.routedispatch import POLICY, RelayCall, RouteDispatcher
from knapweedhitch.routetable import RouteTable, WeightedSplit
from knapweedhitch.trace import Trace

# A node that has just started learns the configuration within this time if control is in reach.
FIRST_CONFIG_WAIT_MS = 500.0
CONFIG_CHECK_MS = 10.0


@service("relay")
class Relay:
    """Respond to parsed requests from an upstream of their route, or with a refusal."""

    def __init__(self, kernel: Kernel, rng: random.Random | None = None) -> None:
        self._kernel = kernel
        self._cfg = kernel.cfg
        self._names = framing.header_names(kernel.cfg.headers)
        self._split = WeightedSplit(rng or random.Random())
        self._caller_waits = CallerWaits()
        self._items = Items()
        self._table = RouteTable(self._items)
        self._customers = CustomerTable(self._items)
        self.active: dict[Trace[RelayCall], None] = {}

    @property
    def in_progress(self) -> int:
        """Return the number of requests without a complete response."""
        return len(self.active)

    @property
    def is_ready(self) -> bool:
        """Return whether callers may send requests to this node."""
        drain = self._kernel.get("drain") if self._kernel.has("drain") else None
        stopping = drain is not None and drain.active
        return not stopping and not self._config.current.items.is_empty

    async def start(self) -> None:
        """Look up the services that the relay uses."""
        self._started_ms = now_ms()
        get = self._kernel.get
        self._config = get("config")
        self._counters = get("counters")
        self._gate = get("gate")
        self._dispatcher = RouteDispatcher(self._kernel)
        self._log = BoundedLog(self._cfg.log, self._counters, get("timers").now_ms)

    async def stop(self) -> None:
        """Do nothing; requests end with their connections."""

    def may_run_concurrently(self, head: RequestHead) -> bool:
        """Return whether a request may run while earlier ones on its connection are in progress."""
        items = self._config.current.items
        if items.is_empty:
            return False
        try:
            return self._match_route(items, head).idempotent
        except NoSuchRoute:
            return False

    async def handle(self, conn: ServerConnection, head: RequestHead) -> None:
        """Handle one request and write its response or refusal."""
        trace = Trace[RelayCall](
            framing.get_request_id(head, self._names.request_id), conn.received_s, head.method
        )
        conn.request_id = trace.request_id
        self.active[trace] = None
        try:
            await self._serve(trace, conn, head)
        except Refusal as exc:
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
            outcome = Outcome.UNKNOWN if trace.call is not None else Outcome.NOT_RUN
            await self._refuse(trace, conn, InternalError(outcome, type(exc).__name__))
        except trio.Cancelled:
            trace.reason = "connection-ended"
            raise
        finally:
            del self.active[trace]
            self._finish(trace, conn)

    async def refuse_unparsed(self, conn: ServerConnection, refusal: Refusal) -> None:
        """Refuse a request that was not parsed and close its connection."""
        trace = Trace[RelayCall](framing.new_request_id(), trio.current_time())
        conn.close_after = True
        await self._refuse(trace, conn, refusal)
        self._finish(trace, conn)

    # Serving
    async def _serve(
        self, trace: Trace[RelayCall], conn: ServerConnection, head: RequestHead
    ) -> None:
        if self._config.current.items.is_empty:
            await self._wait_for_first_config()
        call = trace.call = self._prepare(trace, conn, head)
        token = await self._take_token(call)
        try:
            attempt = await self._run_until_caller_leaves(call)
        except (Refusal, CallerGone) as exc:
            if token is not None and _has_not_run(call, exc):
                self._kernel.get("quotas").give_back(token)
            raise
        trace.status = attempt.status
        await attempt.deliver()

    async def _wait_for_first_config(self) -> None:
        """Wait until the first configuration is known or FIRST_CONFIG_WAIT_MS after the start."""
        while self._config.current.items.is_empty:
            if now_ms() - self._started_ms >= FIRST_CONFIG_WAIT_MS:
                return
            await trio.sleep(CONFIG_CHECK_MS / MS_PER_S)

    def _prepare(
        self, trace: Trace[RelayCall], conn: ServerConnection, head: RequestHead
    ) -> RelayCall:
        """Return the call of a request; raises Refusal with the outcome NOT_RUN."""
        drain = self._kernel.get("drain") if self._kernel.has("drain") else None
        parent = self._gate.find_parent(trace.request_id)
        if drain is not None and drain.active:
            conn.close_after = True
            # The stop waits for the runs of the local upstream, which need the calls they make.
            if drain.refusing and parent is None:
                raise NodeDraining
        current = self._config.current
        if current.items.is_empty:
            raise ConfigUnknown
        route = self._match_route(current.items, head)
        sender = self._identify_sender(trace, head, route, parent)
        if current.items.limits is not None:
            conn.limit_body(head, current.items.limits.max_body_bytes)
        header_ms = framing.parse_int_header(head, self._names.deadline)
        deadline_ms = math.inf if header_ms is None else float(header_ms)
        timeout_ms = min(route.timeout_ms, deadline_ms)
        deadline = Deadline.since(trace.started_s, timeout_ms)
        if deadline.expired():
            raise DeadlineExceeded
        max_replay_bytes = self._cfg.callers.max_replay_bytes
        return RelayCall(
            conn=conn,
            head=head,
            route=route,
            svc=ServiceConfig(self._split.choose(route), (), policy=POLICY),
            request_id=trace.request_id,
            deadline=deadline if drain is None else drain.bound(deadline),
            body=ReplayBody(conn, max_replay_bytes) if head.has_body else NoBody(),
            config_version=current.version,
            started_s=trace.started_s,
            deadline_ms=deadline_ms,
            is_repeat=parent is not None and parent.is_repeat,
            is_nested=sender.is_nested,
            customer=sender.customer_name,
            priority=sender.priority(route),
            waited_ms=self._caller_waits.record_deadline(route.name, deadline_ms),
        )

    async def _take_token(self, call: RelayCall) -> TokenLot | None:
        """Return a token of the customer's quota, None if there is no quota; raises Refusal."""
        customer = self._config.current.items.customers.get(call.customer)
        # Calls that a run makes belong to the request that it runs, which has a token.
        if customer is None or customer.rate_per_s <= 0.0 or call.is_nested:
            return None
        objective_ms = call.route.target_latency_ms or call.route.timeout_ms
        wait_ms = min(objective_ms, max(0.0, call.deadline.remaining_ms()))
        token: TokenLot | None = await self._kernel.get("quotas").take(customer, wait_ms)
        return token

    def _match_route(self, items: Items, head: RequestHead) -> RouteItem:
        if items is not self._items:
            self._items, self._table = items, RouteTable(items)
            self._customers = CustomerTable(items)
            self._split.prune(items.routes)
        route = self._table.match(head.host, head.target)
        if route is None:
            raise NoSuchRoute(detail=head.host[:200])
        return route

    def _identify_sender(
        self,
        trace: Trace[RelayCall],
        head: RequestHead,
        route: RouteItem,
        run: CallSpec | None,
    ) -> Sender:
        """Return the sender of a request; raises Refusal."""
        if not self._names.credential:
            return Sender(run=run)
        key = head.control.get(self._names.credential, b"")
        is_nested = self._gate.is_nested(trace.request_id)
        try:
            sender = self._customers.identify(key, route, run, is_nested=is_nested)
        except (CustomerKeyMissing, CustomerKeyUnknown) as exc:
            if not self._config.is_fresh():
                # A newer configuration may have the key.
                raise ConfigStale from None
            self._log.event(
                "customer_key_refused",
                id=trace.request_id,
                reason=exc.reason,
                route=route.name,
                config=self._config.current.version,
            )
            raise
        if self._customers.requires_keys:
            self._counters.add("requests_by_sender", sender.kind)
        return sender

    async def _run_until_caller_leaves(self, call: RelayCall) -> Attempt:
        """Return the attempt that got a response; cancels the call if the caller closes."""
        attempt: Attempt | None = None
        failure: Exception | None = None

        async def cancel_when_gone() -> None:
            await call.conn.wait_caller_gone()
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(cancel_when_gone)
            try:
                attempt = await self._dispatcher.run(call)
            except Exception as exc:
                # The nursery would wrap an exception in a group.
                failure = exc
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        if attempt is None:
            raise CallerGone("closed before the response")
        return attempt

    async def _refuse(
        self, trace: Trace[RelayCall], conn: ServerConnection, refusal: Refusal
    ) -> None:
        trace.status, trace.reason = _status_of(refusal), refusal.reason
        trace.outcome = refusal.outcome.value
        self._counters.add("refused", refusal.reason)
        if conn.response_started:
            # The status is sent already, so only closing the connection can signal the failure.
            self._counters.add("answers_cut", refusal.reason)
            conn.failure = conn.failure or refusal.reason
            return
        fields = {"reason": refusal.reason, "outcome": refusal.outcome.value}
        body = json.dumps({**fields, "request_id": trace.request_id}).encode("utf-8")
        headers = refusal_headers(refusal, trace.request_id, body, self._names)
        if trace.status in NOT_RUN_STATUSES:
            headers = (*headers, (b"retry-after", b"%.2f" % (refusal.retry_after_ms / 1_000)))
        try:
            await conn.send_response(trace.status, headers, [body])
        except CallerGone:
            self._counters.add("caller_gone")

    def _finish(self, trace: Trace[RelayCall], conn: ServerConnection) -> None:
        total_ms = (trio.current_time() - trace.started_s) * 1_000
        self._counters.record("total", total_ms)
        call = trace.call
        fields = trace.fields(conn)
        if call is not None:
            fields |= {
                "route": call.route.name,
                "route_version": call.route.version,
                "service": call.svc.name,
                "config": call.config_version,
                "instances": ",".join(call.instances),
                "causes": ",".join(call.causes),
                "sent": call.sent,
                "priority": call.priority,
                "deadline_ms": f"{call.deadline_ms:.0f}",
                "waited_ms": f"{call.waited_ms:.0f}",
            }
            if call.customer:
                fields["customer"] = call.customer
            if call.result is not None:
                self._counters.record("added", max(0.0, total_ms - call.result.service_ms))
                fields["service_ms"] = f"{call.result.service_ms:.1f}"
        fields["total_ms"] = f"{total_ms:.1f}"
        self._log.event("request", **fields)


def _has_not_run(call: RelayCall, failure: Refusal | CallerGone) -> bool:
    """Return whether no upstream has run a call or will run it."""
    if isinstance(failure, Refusal):
        return failure.outcome is Outcome.NOT_RUN
    return not call.may_have_run and not call.in_progress


def _status_of(refusal: Refusal) -> int:
    """Return a status that is in NOT_RUN_STATUSES only if the request is known not to have run."""
    if refusal.outcome is Outcome.NOT_RUN:
        return refusal.status if refusal.status < 500 else 503
    return 502 if refusal.status in NOT_RUN_STATUSES else refusal.status
