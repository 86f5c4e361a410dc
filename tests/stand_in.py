"""A stand-in upstream that injects faults on demand; also runs as a process on real sockets."""

from __future__ import annotations

import argparse
import collections
import dataclasses
import json
import random
import sys
import time
import urllib.parse

import h11
import trio

CONTROL_HEADER = b"x-stand-in"
MAX_OVERLOAD_AGES = 1_000
CONTROL_PATH = b"/stand-in/"
READ_BYTES = 65_536
BODY_PART = bytes(65_536)


@dataclasses.dataclass
class Behaviour:
    """Configure the responses; `x-stand-in: name=value,...` overrides them for one request."""

    status: int = 200
    size: int = 2
    delay_ms: float = 0.0
    straggle_ratio: float = 0.0
    straggle_ms: float = 200.0
    shed_ratio: float = 0.0
    fail_ratio: float = 0.0
    fail_status: int = 500
    # Waits this long before each part of the body.
    pause_ms: float = 0.0
    # Bytes of the body after which the connection is closed; negative for complete responses.
    cut_after: int = -1
    # Added to delay_ms.
    late_ms: float = 0.0
    # A silent connection accepts requests and never responds; new connections work.
    silent: bool = False
    # Swaps the response with that of the next crossed request on another connection.
    crossed: bool = False
    # sized, chunked, close (delimited by an announced close), open (by an unannounced one).
    framing: str = "sized"
    # Responds before the body of the request is read.
    early: bool = False
    close: bool = False
    # States an idle timeout in whole seconds; negative for none.
    keep_alive_s: int = -1
    # Sends a second response that nobody requested.
    extra: bool = False
    # Sends an informational response (103) first.
    hints: bool = False
    # Announces that the upstream is leaving.
    leaving: bool = False
    # Concurrent calls a cold upstream handles; more are overload and fail if cold_fails is set.
    cold_slots: int = 0
    cold_fails: bool = False

    def changed(self, text: str) -> Behaviour:
        """Return a copy with the values of `name=value,...`; raises ValueError, KeyError."""
        kinds = {f.name: type(getattr(self, f.name)) for f in dataclasses.fields(self)}
        values: dict[str, object] = {}
        for pair in filter(None, text.split(",")):
            name, _, value = pair.strip().partition("=")
            kind = kinds[name]
            values[name] = value in ("1", "true", "True", "") if kind is bool else kind(value)
        return dataclasses.replace(self, **values)  # type: ignore[arg-type]


@dataclasses.dataclass
class ReceivedRequest:
    """Record one received request and the number of body bytes read."""

    method: str
    target: str
    headers: dict[str, str]
    body_bytes: int = 0
    is_complete: bool = False


class StandIn:
    """Serve HTTP/1.1 on any stream and count every run of each key."""

    def __init__(self, slots: int = 9, behaviour: Behaviour | None = None, seed: int = 1) -> None:
        self.behaviour = behaviour or Behaviour()
        self.slots = slots
        self.runs: collections.Counter[str] = collections.Counter()
        self.requests: list[ReceivedRequest] = []
        self.connections = 0
        self.in_flight = 0
        self.overloads = 0
        # Milliseconds from the last change of behaviour to each later overload.
        self.overload_ages_ms: list[int] = []
        self._changed_s = time.monotonic()
        # On the monotonic clock of the machine, which other processes can compare.
        self.last_run_s = 0.0
        self.last_body = b""
        self._last_silent_connection = 0
        self._rng = random.Random(seed)
        self._limiter = trio.CapacityLimiter(slots)
        self._waiting: list[trio.Event] = []
        self._pending_swaps: list[tuple[ServerConnection, trio.Event]] = []

    def change(self, text: str) -> None:
        """Change the behaviour from now on."""
        self.behaviour = self.behaviour.changed(text)
        self.overload_ages_ms.clear()
        self._changed_s = time.monotonic()

    def count_overload(self) -> None:
        """Record a call above the limit of concurrent calls."""
        self.overloads += 1
        if len(self.overload_ages_ms) < MAX_OVERLOAD_AGES:
            self.overload_ages_ms.append(round((time.monotonic() - self._changed_s) * 1_000))

    def go_silent(self) -> None:
        """Stop responding on all connections that are open now."""
        self._last_silent_connection = self.connections

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve the requests of one connection."""
        self.connections += 1
        conn = ServerConnection(self, stream, self.connections)
        try:
            while await conn.serve_one():
                pass
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            pass
        finally:
            await trio.aclose_forcefully(stream)

    def is_silent(self, number: int) -> bool:
        """Return whether the connection with this number must not respond any more."""
        return number <= self._last_silent_connection

    def roll(self, ratio: float) -> bool:
        """Return True with the given probability."""
        return ratio > 0 and self._rng.random() < ratio

    async def swap_connection(self, conn: ServerConnection) -> ServerConnection:
        """Return the connection that gets this response, swapped with the next crossed request."""
        if self._pending_swaps:
            other, swapped = self._pending_swaps.pop()
            other.partner = conn
            swapped.set()
            return other
        swapped = trio.Event()
        self._pending_swaps.append((conn, swapped))
        with trio.move_on_after(1.0):
            await swapped.wait()
        return conn.partner or conn


class ServerConnection:
    """Serve the requests of one connection."""

    def __init__(self, upstream: StandIn, stream: trio.abc.Stream, number: int) -> None:
        self.stream = stream
        self.partner: ServerConnection | None = None
        self._up = upstream
        self._connection_number = number
        self._conn = h11.Connection(h11.SERVER)

    async def _next_event(self) -> object:
        while (event := self._conn.next_event()) is h11.NEED_DATA:
            if self._conn.they_are_waiting_for_100_continue:
                await self._send(h11.InformationalResponse(status_code=100, headers=[]))
            self._conn.receive_data(bytes(await self.stream.receive_some(READ_BYTES)))
        return event

    async def _send(self, event: h11.Event) -> None:
        if data := self._conn.send(event):
            await self.stream.send_all(data)

    async def serve_one(self) -> bool:
        """Serve one request; return whether the connection stays open."""
        request = await self._next_event()
        if not isinstance(request, h11.Request):
            return False
        headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in request.headers}
        received = ReceivedRequest(
            request.method.decode(), request.target.decode("latin-1"), headers
        )
        self._up.requests.append(received)
        if request.target.startswith(CONTROL_PATH):
            await self._handle_control_request(request, await self._read_body(received))
            return self._keep_alive()
        behaviour = self._up.behaviour.changed(headers.get(CONTROL_HEADER.decode(), ""))
        if not behaviour.early:
            self._up.last_body = await self._read_body(received)
        if behaviour.silent or self._up.is_silent(self._connection_number):
            await trio.sleep_forever()
        return await self._run_request(request, received, behaviour)

    async def _run_request(
        self, request: h11.Request, received: ReceivedRequest, behaviour: Behaviour
    ) -> bool:
        up = self._up
        if up.roll(behaviour.shed_ratio):
            return await self._respond(
                request, received, dataclasses.replace(behaviour, status=503)
            )
        if up.roll(behaviour.fail_ratio):
            failing_behaviour = dataclasses.replace(behaviour, status=behaviour.fail_status)
            return await self._respond(request, received, failing_behaviour)
        up.runs[received.headers.get("idempotency-key", received.target)] += 1
        up.last_run_s = time.monotonic()
        delay_ms = behaviour.delay_ms + (
            behaviour.straggle_ms if up.roll(behaviour.straggle_ratio) else 0.0
        )
        up.in_flight += 1
        overload = up.in_flight > (behaviour.cold_slots or up.slots)
        if overload:
            up.count_overload()
        if overload and behaviour.cold_fails:
            up.in_flight -= 1
            return await self._respond(
                request, received, dataclasses.replace(behaviour, status=500)
            )
        try:
            async with up._limiter:
                if delay_ms + behaviour.late_ms > 0:
                    await trio.sleep((delay_ms + behaviour.late_ms) / 1_000)
        finally:
            up.in_flight -= 1
        return await self._respond(request, received, behaviour)

    async def _read_body(self, received: ReceivedRequest) -> bytes:
        body = b""
        while isinstance(event := await self._next_event(), h11.Data):
            received.body_bytes += len(event.data)
            if len(body) < READ_BYTES:
                body += bytes(event.data)
        received.is_complete = True
        return body

    async def _respond(
        self, request: h11.Request, received: ReceivedRequest, behaviour: Behaviour
    ) -> bool:
        echoed_names = ("x-request-id", "knapweedhitch-exchange")
        headers = [
            (name, received.headers[name]) for name in echoed_names if name in received.headers
        ]
        if behaviour.framing == "sized":
            headers.append(("content-length", str(behaviour.size)))
        if behaviour.close or behaviour.framing == "close":
            headers.append(("connection", "close"))
        if behaviour.keep_alive_s >= 0:
            headers.append(("keep-alive", f"timeout={behaviour.keep_alive_s}, max=100"))
        if behaviour.hints:
            await self._send(
                h11.InformationalResponse(status_code=103, headers=[("link", "</a.css>")])
            )
        data = self._conn.send(h11.Response(status_code=behaviour.status, headers=headers)) or b""
        if behaviour.framing in ("close", "open"):
            data = data.replace(b"Transfer-Encoding: chunked\r\n", b"")
        out = await self._up.swap_connection(self) if behaviour.crossed else self
        await out.stream.send_all(data)
        if not await self._send_body(request, behaviour, out):
            return False
        if behaviour.extra:
            await out.stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother")
        return self._keep_alive() if behaviour.framing not in ("close", "open") else False

    async def _send_body(
        self, request: h11.Request, behaviour: Behaviour, out: ServerConnection
    ) -> bool:
        sent = 0
        body_bytes = (
            behaviour.size if behaviour.cut_after < 0 else min(behaviour.size, behaviour.cut_after)
        )
        if request.method == b"HEAD":
            body_bytes = 0
        while sent < body_bytes:
            part = BODY_PART[: min(len(BODY_PART), body_bytes - sent)]
            framed = self._conn.send(h11.Data(data=part)) or b""
            if behaviour.pause_ms:
                await trio.sleep(behaviour.pause_ms / 1_000)
            await out.stream.send_all(part if behaviour.framing in ("close", "open") else framed)
            sent += len(part)
        if behaviour.cut_after >= 0:
            return False
        framed = self._conn.send(h11.EndOfMessage()) or b""
        if behaviour.framing not in ("close", "open") and framed:
            await out.stream.send_all(framed)
        return True

    def _keep_alive(self) -> bool:
        if self._conn.our_state is not h11.DONE or self._conn.their_state is not h11.DONE:
            return False
        self._conn.start_next_cycle()
        return True

    async def _handle_control_request(self, request: h11.Request, body: bytes) -> None:
        """Serve GET /stand-in/state (counts) and POST /stand-in/behaviour?name=value."""
        up = self._up
        ages_ms = up.overload_ages_ms
        name, _, query = request.target[len(CONTROL_PATH) :].decode().partition("?")
        if name == "behaviour":
            ages_ms = list(up.overload_ages_ms)
            up.change(urllib.parse.unquote(query).replace("&", ","))
        elif name == "silence":
            up.go_silent()
        payload = json.dumps(
            {
                "runs": up.runs,
                "requests": len(up.requests),
                "overloads": up.overloads,
                # If this request changed the behaviour, those of the previous behaviour.
                "overload_ages_ms": ages_ms,
                "in_flight": up.in_flight,
                "last_run_s": up.last_run_s,
            }
        ).encode()
        await self._send(
            h11.Response(status_code=200, headers=[("content-length", str(len(payload)))])
        )
        await self._send(h11.Data(data=payload))
        await self._send(h11.EndOfMessage())


async def announce(
    address: str, record: dict[str, object], interval_ms: float, up: StandIn
) -> None:
    """Announce the stand-in to its node periodically until cancelled."""
    host, _, port = address.rpartition(":")
    while True:
        state = "leaving" if up.behaviour.leaving else "serving"
        body = json.dumps({**record, "state": state}).encode()
        head = (
            f"PUT /v1/announcement HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode()
        try:
            with trio.fail_after(2):
                stream = await trio.open_tcp_stream(host, int(port))
                async with stream:
                    await stream.send_all(head + body)
                    while await stream.receive_some(READ_BYTES):
                        pass
        except (OSError, trio.TooSlowError, trio.BrokenResourceError) as exc:
            print(f"event=announce-failed error={type(exc).__name__}", file=sys.stderr)
        await trio.sleep(interval_ms / 1_000)


async def main(args: argparse.Namespace) -> None:
    """Serve over TCP and announce the stand-in."""
    up = StandIn(args.slots, Behaviour().changed(args.behaviour), args.seed)
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(args.port, host=args.host)
        port = listeners[0].socket.getsockname()[1]
        print(f"event=listening address={args.host}:{port}", flush=True)
        nursery.start_soon(trio.serve_listeners, up.serve, listeners)
        if args.announce:
            record = {
                "service": args.service,
                "address": f"{args.host}:{port}",
                "slots": args.slots,
                "connections": args.connections,
                "instance_id": args.instance_id or f"{args.service}-{port}",
                "incarnation": args.incarnation,
            }
            nursery.start_soon(announce, args.announce, record, args.interval_ms, up)


def parse_args() -> argparse.Namespace:
    """Return the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--service", required=True)
    parser.add_argument("--slots", type=int, default=9)
    parser.add_argument("--connections", type=int, default=220)
    parser.add_argument("--announce", default="")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--instance-id", default="")
    parser.add_argument("--incarnation", type=int, default=1)
    parser.add_argument("--interval-ms", type=float, default=500.0)
    parser.add_argument("--behaviour", default="", help="name=value,... of Behaviour")
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args()


if __name__ == "__main__":
    trio.run(main, parse_args())
