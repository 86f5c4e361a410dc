"""The operator listener: status, configuration and changes as JSON, metrics and readiness."""

from __future__ import annotations

import dataclasses
import functools
import hmac
import ipaddress
import re
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import trio

from knapweedhitch import changes_json, faults, logs, metrics, operator_views, plain
from knapweedhitch.exceptions import (
    BadRequest,
    ChangeConflict,
    ChangeInvalid,
    ChangeUnconfirmed,
    InternalError,
    InvalidChange,
    MethodNotAllowed,
    NoLeader,
    NoSuchResource,
    NotLeader,
    OrderAbandoned,
    OrderNotRun,
    OrderRedirected,
    Outcome,
    ProposalUnknown,
    Refusal,
    TooManyConnections,
    Unauthorized,
    VersionConflict,
)
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.model import Address
from knapweedhitch.operator_http import (
    OperatorConnection,
    OperatorRequest,
    OperatorResponse,
    refusal_response,
    wait_responses_sent,
)
from knapweedhitch.orders import SEEN_VERSION, Orders, parse_seen_version
from knapweedhitch.proposals import Proposer
from knapweedhitch.settings import load_secret
from knapweedhitch.supervisor import OnFault

RouteHandler = Callable[["OperatorApi", OperatorRequest, str], Awaitable[OperatorResponse]]

_routes: dict[tuple[str, tuple[str, ...]], RouteHandler] = {}

# Served without a token, so that a process supervisor can probe it; reveals readiness only.
PUBLIC_PATHS = frozenset({("ready",)})
ANY_SEGMENT = "*"
REQUEST_DIGEST = re.compile("[0-9a-f]{32}")
COMMAND_FIELDS = frozenset({"change_id", "operator", "allow_last", "allow_unknown"})


def route(method: str, path: str) -> Callable[[RouteHandler], RouteHandler]:
    """Register the handler of a method and path; `*` matches one segment."""

    def register(handler: RouteHandler) -> RouteHandler:
        _routes[method, tuple(path[1:].split("/"))] = handler
        return handler

    return register


def _json_response(value: Any, status: int = 200) -> OperatorResponse:
    return OperatorResponse(plain.dump(value), status)


async def _page_response(page: Mapping[str, Any]) -> OperatorResponse:
    return OperatorResponse(await plain.dump_page(page))


@service("operator_api")
class OperatorApi:
    """Serve the operator listener."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.cfg = kernel.cfg.operator
        self.address = Address(kernel.cfg.listen.operator.host, kernel.cfg.listen.operator.port)
        self.phase = "starting"
        self.proposer = Proposer(kernel)
        self._token = b""
        self._connections: set[OperatorConnection] = set()
        self._scope = trio.CancelScope()

    async def start(self) -> None:
        """Bind the listener; raises SettingsError for the token file, OSError for the address."""
        self._token = load_secret(self.kernel.cfg.secrets.operator_token_file)
        listener = self.kernel.cfg.listen.operator
        listeners = await trio.open_tcp_listeners(listener.port, host=listener.host)
        self.address = Address(*listeners[0].socket.getsockname()[:2])
        if not ipaddress.ip_address(listener.host).is_loopback:
            # Tokens and responses cross the network unencrypted.
            logs.warning("operator_listener_open", address=self.address)
        self.kernel.start_task(OnFault.STOP, self._listen, listeners)
        if self.kernel.has("drain"):
            self.kernel.get("drain").add_server(self)

    async def finish(self, timeout_ms: float) -> None:
        """Wait for the responses to requests in progress; the listener stays open for status."""
        await wait_responses_sent(self._connections, timeout_ms)

    async def stop(self) -> None:
        """Close the listener and its connections."""
        self._scope.cancel()

    async def _listen(self, listeners: list[trio.SocketListener]) -> None:
        with self._scope:
            await trio.serve_listeners(self.serve_stream, listeners)

    async def serve_stream(self, stream: trio.abc.Stream) -> None:
        """Serve one connection; a failure in it never ends the process."""
        connection = OperatorConnection(stream, self.cfg, self.authorize, self.handle)
        if len(self._connections) >= self.cfg.max_connections:
            self._count("operator_refused", TooManyConnections.reason)
            await connection.refuse(TooManyConnections(detail="close other connections first"))
            return
        self._connections.add(connection)
        try:
            await connection.serve()
        except Exception as exc:
            faults.record(self.kernel.get("counters"), "connection-fault", exc, listener="operator")
        finally:
            self._connections.discard(connection)

    def authorize(self, request: OperatorRequest) -> None:
        """Compare the bearer token in constant time; raises Unauthorized."""
        if request.segments in PUBLIC_PATHS:
            return
        scheme, _, token = request.authorization.partition(b" ")
        same = hmac.compare_digest(token.strip(), self._token)
        if scheme.lower() != b"bearer" or not same:
            self._count("operator_refused", Unauthorized.reason)
            raise Unauthorized(detail="send Authorization: Bearer with the token of this node")

    async def handle(self, request: OperatorRequest) -> OperatorResponse:
        """Return the response to a request; every failure becomes a typed refusal."""
        try:
            handler, parameter = self._find_route(request)
            return await handler(self, request, parameter)
        except OrderRedirected as exc:
            location = request.path_with(**{SEEN_VERSION: exc.version})
            return dataclasses.replace(refusal_response(exc), location=location)
        except Exception as exc:
            return self._failure_response(exc)

    def _find_route(self, request: OperatorRequest) -> tuple[RouteHandler, str]:
        methods = []
        for (method, pattern), handler in _routes.items():
            parameter = _match(pattern, request.segments)
            if parameter is None:
                continue
            if method == request.method:
                return handler, parameter
            methods.append(method)
        if methods:
            raise MethodNotAllowed(detail=f"use {' or '.join(methods)}")
        raise NoSuchResource(detail="/" + "/".join(request.segments)[:100])

    def _failure_response(self, exc: Exception) -> OperatorResponse:
        refusal, fields = _refusal_of(exc)
        self._count("operator_refused", refusal.reason)
        if isinstance(refusal, InternalError):
            faults.record(self.kernel.get("counters"), "operator_request_failed", exc)
        return refusal_response(refusal, **fields)

    def _count(self, name: str, reason: str) -> None:
        self.kernel.get("counters").add(name, reason)

    @functools.cached_property
    def orders(self) -> Orders:
        """Return the submission of orders, whose services start after the construction."""
        get = self.kernel.get
        return Orders(self.proposer.submit, get("config"), get("counters"))

    async def submit(self, raw: dict[str, Any], request: OperatorRequest) -> OperatorResponse:
        """Submit the change in a JSON object and return the new version."""
        form = changes_json.parse_change(raw)
        change = changes_json.to_change(form)
        if change.base_version is None and not change.op.needs_base:
            seen_version = parse_seen_version(request.query)
            version = await self.orders.submit(change, request.caller, seen_version)
        else:
            version = await self.proposer.submit(change)
        logs.event(
            "change_accepted",
            change_id=form.change_id,
            kind=form.kind,
            subject=change.op.subject,
            operator=form.operator,
            version=version,
        )
        self._count("operator_changes", form.kind)
        return _json_response({"change_id": form.change_id, "version": version})


def _refusal_of(exc: Exception) -> tuple[Refusal, dict[str, object]]:
    if isinstance(exc, Refusal):
        return exc, {}
    if isinstance(exc, VersionConflict):
        fields: dict[str, object] = {
            "base_version": exc.base_version,
            "current_version": exc.current_version,
            "winner": exc.winner,
        }
        return ChangeConflict(detail=str(exc)), fields
    if isinstance(exc, InvalidChange):
        return ChangeInvalid(detail=str(exc)), {}
    if isinstance(exc, NotLeader):
        detail = "no leader among the control instances could be reached; nothing was changed"
        return NoLeader(detail=detail), {"leader_id": exc.leader_id}
    if isinstance(exc, OrderAbandoned):
        return OrderNotRun(detail=str(exc)), {}
    if isinstance(exc, ProposalUnknown):
        detail = "the change may be in force; send it again with the same change id"
        return ChangeUnconfirmed(Outcome.UNKNOWN, detail), {}
    return InternalError(Outcome.UNKNOWN, type(exc).__name__), {}


def _match(pattern: tuple[str, ...], segments: tuple[str, ...]) -> str | None:
    """Return the segment matched by `*`, empty without one, None if the path doesn't match."""
    if len(pattern) != len(segments):
        return None
    parameter = ""
    for expected, actual in zip(pattern, segments, strict=True):
        if expected == ANY_SEGMENT and actual:
            parameter = actual
        elif expected != actual:
            return None
    return parameter


@route("GET", "/ready")
async def _ready(api: OperatorApi, request: OperatorRequest, _: str) -> OperatorResponse:
    fresh = bool(api.kernel.get("config").is_fresh())
    ready = fresh and api.phase == "running"
    body = {"ready": ready, "phase": api.phase, "config_fresh": fresh}
    return _json_response(body, 200 if ready else 503)


@route("GET", "/metrics")
async def _metrics(api: OperatorApi, request: OperatorRequest, _: str) -> OperatorResponse:
    page = metrics.render(await api.kernel.get("counters").snapshot_in_steps())
    return OperatorResponse(
        page.encode("utf-8", errors="replace"), content_type=metrics.CONTENT_TYPE
    )


@route("GET", "/v1/status")
async def _status(api: OperatorApi, request: OperatorRequest, _: str) -> OperatorResponse:
    return await _page_response(operator_views.status(api.kernel, api.phase))


@route("GET", "/v1/config")
async def _config(api: OperatorApi, request: OperatorRequest, _: str) -> OperatorResponse:
    current = api.kernel.get("config").current
    return await _page_response(
        {name: getattr(current, name) for name in current.__struct_fields__}
    )


@route("GET", "/v1/config/history")
async def _history(api: OperatorApi, request: OperatorRequest, _: str) -> OperatorResponse:
    text = request.query.get("limit", str(api.cfg.max_history))
    # isdecimal alone also accepts digits of other scripts; int() is slow on long inputs.
    if not (text.isascii() and text.isdecimal() and len(text) <= 9 and int(text) > 0):
        raise BadRequest(detail="limit: use a whole number from 1")
    return await _page_response(
        operator_views.history(api.kernel, min(int(text), api.cfg.max_history))
    )


@route("GET", "/v1/services")
async def _services(api: OperatorApi, request: OperatorRequest, _: str) -> OperatorResponse:
    return await _page_response(operator_views.services(api.kernel))


@route("GET", "/v1/upstreams")
async def _upstreams(api: OperatorApi, request: OperatorRequest, _: str) -> OperatorResponse:
    return await _page_response(operator_views.upstreams(api.kernel))


@route("GET", "/v1/members")
async def _members(api: OperatorApi, request: OperatorRequest, _: str) -> OperatorResponse:
    return await _page_response(operator_views.members(api.kernel))


@route("GET", "/v1/suspects")
async def _suspects(api: OperatorApi, request: OperatorRequest, _: str) -> OperatorResponse:
    if not request.query:
        return await _page_response(operator_views.suspects(api.kernel))
    missing = sorted({"service", "method", "target"} - set(request.query))
    if missing:
        raise BadRequest(detail=f"{missing[0]}: name service, method and target, or none of them")
    return await _page_response(
        operator_views.find_suspects(api.kernel, {"route": "", **request.query})
    )


@route("POST", "/v1/suspects/*/lift")
async def _lift(api: OperatorApi, request: OperatorRequest, digest: str) -> OperatorResponse:
    fields = _parse_command(request)
    if not REQUEST_DIGEST.fullmatch(digest):
        raise BadRequest(detail="use the digest of a request, 32 hexadecimal digits")
    if not api.kernel.get("crashguard").lift(bytes.fromhex(digest)):
        raise NoSuchResource(detail=f"no verdict or suspicion on {digest}")
    logs.event("suspect_lifted", request=digest, operator=fields.get("operator"))
    return _json_response({"request": digest, "lifted": True})


@route("GET", "/v1/explain/*")
async def _explain(api: OperatorApi, request: OperatorRequest, request_id: str) -> OperatorResponse:
    explanation = api.kernel.get("router").explanations.get(request_id)
    if explanation is None:
        raise NoSuchResource(
            detail="no explanation is kept for this request; send it with Knapweedhitch-Explain: 1"
        )
    return _json_response(explanation)


@route("POST", "/v1/changes")
async def _changes(api: OperatorApi, request: OperatorRequest, _: str) -> OperatorResponse:
    return await api.submit(plain.parse_object(request.body), request)


def _parse_command(request: OperatorRequest) -> dict[str, Any]:
    fields = plain.parse_object(request.body)
    unknown = sorted(set(fields) - COMMAND_FIELDS)
    if unknown:
        raise BadRequest(detail=f"unknown field {unknown[0][:60]!r}")
    for flag in ("allow_last", "allow_unknown"):
        if type(fields.get(flag, False)) is not bool:
            raise BadRequest(detail=f"{flag}: use true or false")
    return fields


def _change_fields(
    fields: dict[str, Any], op: dict[str, Any], base_version: int | None
) -> dict[str, Any]:
    return {
        "change_id": fields.get("change_id"),
        "operator": fields.get("operator"),
        "base_version": base_version,
        "op": op,
    }


@route("POST", "/v1/domains/*/out")
async def _domain_out(api: OperatorApi, request: OperatorRequest, domain: str) -> OperatorResponse:
    fields = _parse_command(request)
    if not fields.get("allow_unknown", False):
        operator_views.check_known_domain(api.kernel, domain)
    allow_last = fields.get("allow_last", False)
    if not allow_last:
        # Gives a more specific error only; the log checks the rule again, in the order of changes.
        operator_views.check_last_domain(api.kernel, domain)
    op = {"kind": "domain_out", "domain": domain, "allow_last": allow_last}
    return await api.submit(_change_fields(fields, op, None), request)


@route("POST", "/v1/domains/*/in")
async def _domain_in(api: OperatorApi, request: OperatorRequest, domain: str) -> OperatorResponse:
    fields = _parse_command(request)
    operator_views.check_known_domain(api.kernel, domain)
    op = {"kind": "domain_in", "domain": domain}
    return await api.submit(_change_fields(fields, op, None), request)


@route("POST", "/v1/nodes/*/drain")
async def _node_drain(api: OperatorApi, request: OperatorRequest, node_id: str) -> OperatorResponse:
    fields = _parse_command(request)
    if not fields.get("allow_unknown", False):
        operator_views.check_known_node(api.kernel, node_id)
    op = {"kind": "node_drain", "node_id": node_id}
    return await api.submit(_change_fields(fields, op, None), request)


@route("POST", "/v1/nodes/*/undrain")
async def _node_undrain(
    api: OperatorApi, request: OperatorRequest, node_id: str
) -> OperatorResponse:
    fields = _parse_command(request)
    operator_views.check_known_node(api.kernel, node_id)
    op = {"kind": "node_undrain", "node_id": node_id}
    return await api.submit(_change_fields(fields, op, None), request)
