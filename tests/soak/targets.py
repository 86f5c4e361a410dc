"""Targets of the platform as the pages describe them, each beside its node."""

from __future__ import annotations

import contextlib
import dataclasses
import json
import random
import time
from typing import Any

import h11
import trio

from tests.platform_world import send_http
from tests.soak.cluster import Cluster
from tests.soak.ledger import Ending, Event, Ledger, Request, Run, RunState
from tests.soak.targetconn import Received, TargetConnection, watch_close
from tests.soak.wire import ClientConnection, ConnectionEnded, render_head

HEARTBEAT_S = 1.5
SLOTS = 12
QUEUE = 12
IDLE_TIMEOUT_S = 8.0
# Time for which a target goes on serving after the acknowledgement that it drains.
DRAIN_S = 2.0


# They promise that the request was not run, which only Not-Executed states.
UNPROVEN_STATUSES = (408, 429, 503)


@dataclasses.dataclass(frozen=True)
class Behaviour:
    """Configure how a target responds; the ratios are of its requests."""

    work_ms: float = 60.0
    slow_ratio: float = 0.1
    slow_s: tuple[float, float] = (1.0, 8.0)
    response_bytes: tuple[int, int] = (100, 90_000)
    call_ratio: float = 0.2
    fail_ratio: float = 0.002
    # A failing target may answer with one of UNPROVEN_STATUSES, without Not-Executed.
    fails_unproven: bool = False
    close_ratio: float = 0.005
    cut_ratio: float = 0.0
    extra_ratio: float = 0.0
    # A connection that is idle for this long is closed; at times without a word to the caller.
    forget_ratio: float = 0.0
    # A full target gives no response in place of a refusal.
    hangs_when_full: bool = False
    # Faults of an unsound target, which show that the checks can fail.
    swaps_bodies: bool = False
    denies_runs: bool = False
    feigns_leaving: bool = False


def make_body(signature: str, size: int) -> bytes:
    """Return the body that belongs to a signature."""
    unit = f"{signature}|".encode()
    return (unit * (size // len(unit) + 1))[:size]


class Target:
    """Serve the requests of one service beside its node, and send heartbeats to the node."""

    def __init__(
        self,
        cluster: Cluster,
        ledger: Ledger,
        rng: random.Random,
        ip: str,
        instance_id: str,
        behaviour: Behaviour,
    ) -> None:
        self.ip = ip
        self.instance_id = instance_id
        self.service = cluster.service_of[ip]
        self.behaviour = behaviour
        self.state = "ready"
        # Set while the target is about to end.
        self.is_leaving = False
        self._cluster = cluster
        self._ledger = ledger
        self._rng = rng
        self._born = int(time.time() * 1_000)
        self._seq = 0
        self._running = 0
        self._waiting = 0
        self._limiter = trio.CapacityLimiter(SLOTS)
        self._scope = trio.CancelScope()

    async def run(self) -> None:
        """Serve until the target ends."""
        with self._scope:
            listeners = await trio.open_tcp_listeners(
                self._cluster.hidden_target_port, host=self.ip
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, self._serve, listeners)
                nursery.start_soon(self._beat)

    def end(self) -> None:
        """End the target at once, with all its connections."""
        self._ledger.add_event(
            Event(time.monotonic(), "target-ended", self.instance_id, time.monotonic())
        )
        self._scope.cancel()

    async def leave(self, *, drains: bool) -> None:
        """Leave as planned: drain and deregister, or deregister first; then end."""
        self.is_leaving = True
        if self.behaviour.feigns_leaving:
            acknowledged = True
        elif drains:
            self.state = "draining"
            acknowledged = await self._send_heartbeat()
        else:
            acknowledged = await self._deregister()
        if acknowledged:
            self._ledger.add_event(Event(time.monotonic(), "drain-acked", self.instance_id))
        await trio.sleep(DRAIN_S + self._rng.uniform(0.3, 3.0))
        if drains:
            await self._deregister()
        self.end()

    async def _beat(self) -> None:
        while True:
            if not self.is_leaving or self.state == "draining":
                await self._send_heartbeat()
            await trio.sleep(HEARTBEAT_S * self._rng.uniform(0.9, 1.1))

    async def _send_heartbeat(self) -> bool:
        self._seq += 1
        message = {
            "address": f"{self.ip}:{self._cluster.target_port}",
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self._cluster.zone_of(self.ip),
                "slots": SLOTS,
            },
            "status": {"state": self.state, "seq": self._seq, "coldRemainingS": 0},
            "born": self._born,
        }
        return await self._post("heartbeat", message)

    async def _deregister(self) -> bool:
        return await self._post("deregister", {"born": self._born})

    async def _post(self, action: str, message: dict[str, Any]) -> bool:
        path = f"/knapweedhitch/instances/{self.instance_id}/{action}"
        address = self._cluster.address(self.ip, "control")
        body = json.dumps(message).encode()
        headers = {"Content-Type": "application/json"}
        status, _ = await trio.to_thread.run_sync(
            lambda: send_http(address, "POST", path, body, headers, timeout_s=1.0)
        )
        return 200 <= status < 300

    async def _serve(self, stream: trio.SocketStream) -> None:
        conn = TargetConnection(stream)
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            try:
                while await self._serve_one(conn):
                    pass
            except h11.ProtocolError as exc:
                if conn.peer_closed:
                    return  # The caller gave up before the end of its body.
                text = f"{self.instance_id} got bytes that are no request: {exc}"
                self._ledger.report("UNASKED", time.monotonic(), text)
            finally:
                await trio.aclose_forcefully(stream)

    async def _serve_one(self, conn: TargetConnection) -> bool:
        idle_s = IDLE_TIMEOUT_S * self._rng.uniform(0.9, 1.1)
        with trio.move_on_after(idle_s) as scope:
            request = await conn.read_request()
        if scope.cancelled_caught:
            if self._rng.random() < self.behaviour.forget_ratio:
                await trio.sleep(IDLE_TIMEOUT_S)
            return False
        if request is None:
            return False
        load = ("Server-Load", f"{self._running},{self._waiting},{SLOTS},100")
        if request.path == "/health":
            healthy = self.state == "ready" and not self.is_leaving
            await conn.respond(
                200 if healthy else 503, [("Instance-Id", self.instance_id), load], b""
            )
            return conn.keep_alive()
        fields = request.headers
        request_id = fields.get("attempt-id", "")
        echo = [("Attempt-Id", request_id), load]
        if not request_id:
            await conn.respond(400, [load, ("Not-Executed", "1")], b"")
            return conn.keep_alive()
        if fields.get("expect-instance", self.instance_id) != self.instance_id:
            await conn.respond(421, [*echo, ("Not-Executed", "1")], b"")
            return conn.keep_alive()
        if self._waiting >= QUEUE:
            if self.behaviour.hangs_when_full:
                await trio.sleep_forever()
            await conn.respond(503, [*echo, ("Not-Executed", "1")], b"")
            return conn.keep_alive()
        return await self._run_request(conn, request, echo)

    async def _run_request(
        self, conn: TargetConnection, request: Received, echo: list[tuple[str, str]]
    ) -> bool:
        end_s = time.monotonic() + float(request.headers.get("deadline-ms", 10_000)) / 1_000
        self._waiting += 1
        try:
            with trio.move_on_after(max(0.0, end_s - time.monotonic())) as queued:
                await self._limiter.acquire_on_behalf_of(request)
        finally:
            self._waiting -= 1
        if queued.cancelled_caught:
            await conn.respond(503, [*echo, ("Not-Executed", "1")], b"")
            return conn.keep_alive()
        self._running += 1
        try:
            return await self._work(conn, request, echo, end_s)
        finally:
            self._running -= 1
            self._limiter.release_on_behalf_of(request)

    async def _work(
        self,
        conn: TargetConnection,
        request: Received,
        echo: list[tuple[str, str]],
        end_s: float,
    ) -> bool:
        run = Run(
            echo[0][1], self.instance_id, self.ip, self.service, request.arrived_s, time.monotonic()
        )
        self.check_request(request, run)
        self._ledger.start_run(run)
        status = 200
        # A target drops a request when its connection closes.
        with trio.CancelScope() as dropped:
            async with watch_close(conn, dropped):
                with trio.move_on_after(max(0.0, end_s - time.monotonic())) as expired:
                    status = await self._do_work(request, end_s)
        run.ended_s = time.monotonic()
        if dropped.cancelled_caught:
            run.state = RunState.DROPPED
            return False
        if expired.cancelled_caught:
            run.state, run.status = RunState.EXPIRED, 504
            await conn.respond(504, [*echo, ("Server-Signature", self._sign(run, 0))], b"")
            return conn.keep_alive()
        run.status = status
        if self.behaviour.denies_runs:
            await conn.respond(503, [*echo, ("Not-Executed", "1")], b"")
            return conn.keep_alive()
        return await self._answer(conn, run, echo)

    async def _do_work(self, request: Received, end_s: float) -> int:
        rng, behaviour = self._rng, self.behaviour
        work_s = behaviour.work_ms / 1_000 * rng.uniform(0.5, 2.0)
        if rng.random() < behaviour.slow_ratio:
            work_s = rng.uniform(*behaviour.slow_s)
        if self.service == "catalogue" and rng.random() < behaviour.call_ratio:
            status = await self._call(request, end_s)
            if status != 200:
                return 504 if time.monotonic() >= end_s else 500
        await trio.sleep(work_s)
        if rng.random() >= behaviour.fail_ratio:
            return 200
        return rng.choice(UNPROVEN_STATUSES) if behaviour.fails_unproven else 500

    async def _call(self, request: Received, end_s: float) -> int:
        """Send a call through the node beside the target and return its status."""
        left_s = end_s - time.monotonic()
        call = Request(
            id=f"{request.headers['attempt-id']}.{self._rng.randrange(1_000_000)}",
            habit="call",
            entry=self.ip,
            method="GET",
            host="status.example",
            path="/s/1",
            kind="safe",
            deadline_s=left_s,
            route_timeout_s=10.0,
        )
        self._ledger.requests[call.id] = call
        headers = {
            "Host": call.host,
            "Attempt-Id": call.id,
            "Deadline-Ms": str(max(1, int(left_s * 1_000))),
        }
        host, _, port = self._cluster.address(self.ip, "outbound").rpartition(":")
        call.sent_s = time.monotonic()
        try:
            client = ClientConnection(await trio.open_tcp_stream(host, int(port)))
        except OSError:
            return 0
        try:
            await client.send(render_head(call.method, call.path, headers))
            response = await client.read_response(call.method)
        except ConnectionEnded as exc:
            call.end_cut(exc.received_bytes, str(exc), is_reset=exc.is_reset)
            return 0
        except h11.ProtocolError:
            return 0
        finally:
            client.close()
        call.end(Ending.ANSWERED)
        call.status = response.status
        return response.status

    def _sign(self, run: Run, size: int) -> str:
        return f"sig.{run.request_id}.{self.instance_id}.{size}"

    async def _answer(self, conn: TargetConnection, run: Run, echo: list[tuple[str, str]]) -> bool:
        rng, behaviour = self._rng, self.behaviour
        size = rng.randint(*behaviour.response_bytes) if run.status == 200 else 0
        signature = self._sign(run, size)
        fields = [*echo, ("Server-Signature", signature)]
        closes = rng.random() < behaviour.close_ratio or self.is_leaving
        if closes:
            fields.append(("Connection", "close"))
        body = make_body(signature, size)
        if behaviour.swaps_bodies and size:
            body = make_body("sig.other", size)
        run.state = RunState.ANSWERED
        if rng.random() < behaviour.cut_ratio:
            run.state = RunState.BROKEN
            await conn.respond(run.status, fields, body, cut_after=size // 2)
            return False
        await conn.respond(run.status, fields, body)
        if rng.random() < behaviour.extra_ratio:
            run.state = RunState.BROKEN
            await conn.stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
        return not closes and conn.keep_alive()

    def check_request(self, received: Received, run: Run) -> None:
        """Report a request that no client sent, or that was changed on its way."""
        request = self._ledger.requests.get(run.request_id)
        problems = []
        if request is None:
            problems.append("no client sent it")
        else:
            caller_service = self._cluster.service_of[request.entry]
            seen = (received.method, received.path, received.body)
            if seen != (request.method, request.path, request.body):
                problems.append(f"{received.method} {received.path} {len(received.body)} bytes")
            if received.headers.get("caller-service") != caller_service:
                problems.append(f"caller {received.headers.get('caller-service')}")
        if problems:
            text = f"{self.instance_id} ran {run.request_id}: {', '.join(problems)}"
            self._ledger.report("UNASKED", run.started_s, text)
