"""HTTP API of the platform: readiness and heartbeats on app nodes, operators on control nodes."""

from __future__ import annotations

import functools
import os

from knapweedhitch import changes, logs
from knapweedhitch.changes import Change, DomainIn, DomainOut, Operation, PatchItems
from knapweedhitch.counters import Counters
from knapweedhitch.exceptions import (
    AnnouncementInvalid,
    ChangeError,
    ConsensusError,
    InvalidChange,
    NotFound,
    OrderRedirected,
    PeerError,
    RolloutInProgress,
)
from knapweedhitch.http_api import ApiServer
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.model import MAX_COUNT
from knapweedhitch.operator_http import OperatorRequest, OperatorResponse
from knapweedhitch.orders import SEEN_VERSION, Orders, Submit, parse_seen_version
from knapweedhitch.platform import heartbeats, items, rollouts
from knapweedhitch.platform.settings import BOOT_VARIABLE, Boot, parse_listener, read_boot

PREFIX = "knapweedhitch"
OK_REPLY = OperatorResponse(b"{}")
NOT_READY_REPLY = OperatorResponse(b"{}", 503)
BAD_REQUEST = 400
CONFLICT = 409
SERVICE_UNAVAILABLE = 503
READ_TIMEOUT_MS = 900.0
DEFAULT_CONNECTIONS = 64


@functools.cache
def _boot() -> Boot:
    return read_boot(os.environ[BOOT_VARIABLE])


def _error_reply(status: int, exc: Exception) -> OperatorResponse:
    logs.warning("api_refused", status=status, error=type(exc).__name__, detail=exc)
    return OperatorResponse(b"{}", status)


class Api:
    """Serve one listener of the platform API; subclasses handle its requests."""

    def __init__(self, kernel: Kernel, address: str | None, place: str) -> None:
        self._kernel = kernel
        self._counters: Counters = kernel.get("counters")
        listener = parse_listener(address, place)
        self._server = ApiServer(listener, kernel.cfg.operator, self._counters, self._respond)

    async def start(self) -> None:
        """Open the listener; raises OSError."""
        await self._server.start(self._kernel)
        if self._kernel.has("drain"):
            self._kernel.get("drain").add_server(self._server)

    async def stop(self) -> None:
        """Close the listener."""
        self._server.close()

    async def _respond(self, req: OperatorRequest) -> OperatorResponse:
        raise NotFound


@service("platform_readiness")
class Readiness(Api):
    """Report whether clients may send requests to this instance."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel, _boot().listen.ready, "listen.ready")

    async def _respond(self, req: OperatorRequest) -> OperatorResponse:
        if req.segments != (PREFIX, "readiness"):
            raise NotFound
        return OK_REPLY if self._kernel.get("router").is_ready else NOT_READY_REPLY


@service("platform_heartbeats")
class Heartbeats(Api):
    """Handle the heartbeats and the deregistration of the local target."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel, _boot().listen.control, "listen.control")

    async def start(self) -> None:
        """Open the listener; raises OSError."""
        self._announce = self._kernel.get("announce")
        self._admission = self._kernel.get("admission")
        self._config = self._kernel.get("config")
        await super().start()

    async def _respond(self, req: OperatorRequest) -> OperatorResponse:
        match req.method, *req.segments:
            case "POST", "knapweedhitch", "instances", instance_id, "heartbeat":
                return self._heartbeat(instance_id, req.body)
            case "POST", "knapweedhitch", "instances", instance_id, "deregister":
                return self._deregister(instance_id, req.body)
        raise NotFound

    def _heartbeat(self, instance_id: str, body: bytes) -> OperatorResponse:
        try:
            heartbeat = heartbeats.decode_heartbeat(body)
            backends = self._config.current.items.backends
            backend = backends.get(heartbeat.info.service)
            if backends and backend is None:
                raise AnnouncementInvalid(detail=f"unknown service {heartbeat.info.service[:80]!r}")
            connections = backend.max_connections if backend is not None else DEFAULT_CONNECTIONS
            record = heartbeat.record(
                instance_id,
                min(connections, MAX_COUNT),
                with_version=self._kernel.cfg.rollouts.enabled,
            )
            self._announce.record_heartbeat(record, heartbeat.status.seq, heartbeat.cold_ms)
        except AnnouncementInvalid as exc:
            self._counters.add("heartbeats_invalid")
            return _error_reply(BAD_REQUEST, exc)
        return OK_REPLY

    def _deregister(self, instance_id: str, body: bytes) -> OperatorResponse:
        try:
            deregistration = heartbeats.decode_deregistration(body)
            self._announce.deregister(instance_id, deregistration.born)
        except AnnouncementInvalid as exc:
            self._counters.add("heartbeats_invalid")
            return _error_reply(BAD_REQUEST, exc)
        return OK_REPLY


@service("platform_operators")
class Operators(Api):
    """Handle the configuration and evacuation calls of operators."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel, _boot().listen.control, "listen.control")

    async def start(self) -> None:
        """Open the listener; raises OSError."""
        self._control = self._kernel.get("control")
        self._config = self._kernel.get("config")
        self._orders = Orders(self._control.submit, self._config, self._counters)
        await super().start()

    async def _respond(self, req: OperatorRequest) -> OperatorResponse:
        match req.method, *req.segments:
            case "POST", "knapweedhitch", "config", "patch":
                return await self._patch(req.body)
            case "GET", "knapweedhitch", "config", "get":
                return await self._get_config()
            case "POST", "knapweedhitch", "evacuations", zone, "start":
                return await self._submit_order(DomainOut(zone, allow_last=True), req)
            case "POST", "knapweedhitch", "evacuations", zone, "finish":
                return await self._submit_order(DomainIn(zone), req)
        if self._kernel.cfg.rollouts.enabled:
            match req.method, *req.segments:
                case "POST", "knapweedhitch", "rollouts", "start":
                    return await self._start_rollout(req)
                case "GET", "knapweedhitch", "rollouts", name, "get":
                    return await self._get_rollout(name)
        raise NotFound

    async def _start_rollout(self, req: OperatorRequest) -> OperatorResponse:
        try:
            op = rollouts.decode_order(req.body)
        except InvalidChange as exc:
            return _error_reply(BAD_REQUEST, exc)
        return await self._submit_order(op, req)

    async def _get_rollout(self, name: str) -> OperatorResponse:
        if not await self._config.wait_for_proof(READ_TIMEOUT_MS):
            logs.warning("read_without_proof", version=self._config.current.version)
            return OperatorResponse(b"{}", SERVICE_UNAVAILABLE)
        rollout = self._config.current.rollouts.get(name)
        if rollout is None:
            raise NotFound
        return OperatorResponse(rollouts.encode_state(rollout))

    async def _patch(self, body: bytes) -> OperatorResponse:
        try:
            patch = items.decode_patch(body)
        except InvalidChange as exc:
            return _error_reply(BAD_REQUEST, exc)
        return await self._accept(PatchItems(patch), self._control.submit)

    async def _submit_order(self, op: Operation, req: OperatorRequest) -> OperatorResponse:
        seen_version = parse_seen_version(req.query)

        async def submit(change: Change) -> int:
            return await self._orders.submit(change, req.caller, seen_version)

        try:
            return await self._accept(op, submit)
        except OrderRedirected as exc:
            path = req.path_with(**{SEEN_VERSION: exc.version})
            location = f"http://{_boot().listen.control}{path}"
            return OperatorResponse(b"{}", exc.status, location=location)

    async def _accept(self, op: Operation, submit: Submit) -> OperatorResponse:
        change = Change(changes.new_change_id(), None, "operator", op)
        try:
            version = await submit(change)
        except RolloutInProgress as exc:
            return _error_reply(CONFLICT, exc)
        except ChangeError as exc:
            return _error_reply(BAD_REQUEST, exc)
        except (ConsensusError, PeerError) as exc:
            return _error_reply(SERVICE_UNAVAILABLE, exc)
        logs.event(
            "change_accepted",
            change=change.change_id,
            kind=op.kind,
            subject=op.subject,
            version=version,
        )
        return OK_REPLY

    async def _get_config(self) -> OperatorResponse:
        if not await self._config.wait_for_proof(READ_TIMEOUT_MS):
            logs.warning("read_without_proof", version=self._config.current.version)
            return OperatorResponse(b"{}", SERVICE_UNAVAILABLE)
        return OperatorResponse(items.encode_items(self._config.current.items))
