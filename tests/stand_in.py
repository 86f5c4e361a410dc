"""A stand-in upstream that misbehaves on demand; also runs as a process over real sockets."""

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
MAX_AGES = 1_000
CONTROL_PATH = b"/stand-in/"
READ_BYTES = 65_536
BODY_PART = bytes(65_536)


@dataclasses.dataclass
class Behaviour:
    """Say how requests are answered; `x-stand-in: name=value,...` overrides it for one request."""

    status: int = 200
    size: int = 2
    delay_ms: float = 0.0
    straggle_ratio: float = 0.0
    straggle_ms: float = 200.0
    shed_ratio: float = 0.0
    fail_ratio: float = 0.0
    fail_status: int = 500
    # Bytes of the body after which the connection is closed; negative for whole answers.
    cut_after: int = -1
    late_ms: float = 0.0
    # An open connection that is silent takes requests and never answers; new ones work.
    silent: bool = False
    crossed: bool = False
    # sized, chunked, close (ends by a close that is announced), open (by one that is not).
    framing: str = "sized"
    early: bool = False
    close: bool = False
    extra: bool = False
    hints: bool = False
    leaving: bool = False
    # Calls at once that a cold upstream handles; more are overload and fail if cold_fails is set.
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
    """Hold one request that arrived, with the bytes of its body that were read."""

    method: str
    target: str
    headers: dict[str, str]
    body_bytes: int = 0
    whole: bool = False


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
        # The milliseconds from the last change of behaviour to each overload after it.
        self.overload_ages_ms: list[int] = []
        self._changed_s = time.monotonic()
        # On the monotonic clock of the machine, so that other processes can compare it.
        self.last_run_s = 0.0
        self.last_body = b""
        self._silent_before = 0
        self._rng = random.Random(seed)
        self._limiter = trio.CapacityLimiter(slots)
        self._waiting: list[trio.Event] = []
        self._swap: list[tuple[Exchange, trio.Event]] = []

    def change(self, text: str) -> None:
        """Change the behaviour from now on."""
        self.behaviour = self.behaviour.changed(text)
        self.overload_ages_ms.clear()
        self._changed_s = time.monotonic()

    def count_overload(self) -> None:
        """Note a call over the number of slots."""
        self.overloads += 1
        if len(self.overload_ages_ms) < MAX_AGES:
            self.overload_ages_ms.append(round((time.monotonic() - self._changed_s) * 1_000))

    def go_silent(self) -> None:
        """Never answer on the connections that are open now."""
        self._silent_before = self.connections

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Answer the requests of one connection."""
        self.connections += 1
        conn = Exchange(self, stream, self.connections)
        try:
            while await conn.serve_one():
                pass
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            pass
        finally:
            await trio.aclose_forcefully(stream)

    def is_silent(self, number: int) -> bool:
        """Tell whether the connection with this number must not answer any more."""
        return number <= self._silent_before

    def roll(self, ratio: float) -> bool:
        """Tell whether something with this probability happens now."""
        return ratio > 0 and self._rng.random() < ratio

    async def cross(self, conn: Exchange) -> Exchange:
        """Return the connection on which this answer goes out: that of the next crossed request."""
        if self._swap:
            other, met = self._swap.pop()
            other.partner = conn
            met.set()
            return other
        met = trio.Event()
        self._swap.append((conn, met))
        with trio.move_on_after(1.0):
            await met.wait()
        return conn.partner or conn


class Exchange:
    """Serve the requests of one connection."""

    def __init__(self, upstream: StandIn, stream: trio.abc.Stream, number: int) -> None:
        self.stream = stream
        self.partner: Exchange | None = None
        self._up = upstream
        self._number = number
        self._conn = h11.Connection(h11.SERVER)

    async def _next(self) -> object:
        while (event := self._conn.next_event()) is h11.NEED_DATA:
            if self._conn.they_are_waiting_for_100_continue:
                await self._send(h11.InformationalResponse(status_code=100, headers=[]))
            self._conn.receive_data(bytes(await self.stream.receive_some(READ_BYTES)))
        return event

    async def _send(self, event: h11.Event) -> None:
        if data := self._conn.send(event):
            await self.stream.send_all(data)

    async def serve_one(self) -> bool:
        """Answer one request; return whether the connection goes on."""
        request = await self._next()
        if not isinstance(request, h11.Request):
            return False
        headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in request.headers}
        seen = ReceivedRequest(request.method.decode(), request.target.decode("latin-1"), headers)
        self._up.requests.append(seen)
        if request.target.startswith(CONTROL_PATH):
            await self._control(request, await self._read(seen))
            return self._go_on()
        how = self._up.behaviour.changed(headers.get(CONTROL_HEADER.decode(), ""))
        if not how.early:
            self._up.last_body = await self._read(seen)
        if how.silent or self._up.is_silent(self._number):
            await trio.sleep_forever()
        return await self._run(request, seen, how)

    async def _run(self, request: h11.Request, seen: ReceivedRequest, how: Behaviour) -> bool:
        up = self._up
        if up.roll(how.shed_ratio):
            return await self._answer(request, seen, dataclasses.replace(how, status=503))
        if up.roll(how.fail_ratio):
            failing = dataclasses.replace(how, status=how.fail_status)
            return await self._answer(request, seen, failing)
        up.runs[seen.headers.get("idempotency-key", seen.target)] += 1
        up.last_run_s = time.monotonic()
        delay_ms = how.delay_ms + (how.straggle_ms if up.roll(how.straggle_ratio) else 0.0)
        up.in_flight += 1
        overload = up.in_flight > (how.cold_slots or up.slots)
        if overload:
            up.count_overload()
        if overload and how.cold_fails:
            up.in_flight -= 1
            return await self._answer(request, seen, dataclasses.replace(how, status=500))
        try:
            async with up._limiter:
                if delay_ms + how.late_ms > 0:
                    await trio.sleep((delay_ms + how.late_ms) / 1_000)
        finally:
            up.in_flight -= 1
        return await self._answer(request, seen, how)

    async def _read(self, seen: ReceivedRequest) -> bytes:
        kept = b""
        while isinstance(event := await self._next(), h11.Data):
            seen.body_bytes += len(event.data)
            if len(kept) < READ_BYTES:
                kept += bytes(event.data)
        seen.whole = True
        return kept

    async def _answer(self, request: h11.Request, seen: ReceivedRequest, how: Behaviour) -> bool:
        echoed = ("x-request-id", "knapweedhitch-exchange")
        headers = [(name, seen.headers[name]) for name in echoed if name in seen.headers]
        if how.framing == "sized":
            headers.append(("content-length", str(how.size)))
        if how.close or how.framing == "close":
            headers.append(("connection", "close"))
        if how.hints:
            await self._send(
                h11.InformationalResponse(status_code=103, headers=[("link", "</a.css>")])
            )
        data = self._conn.send(h11.Response(status_code=how.status, headers=headers)) or b""
        if how.framing in ("close", "open"):
            data = data.replace(b"Transfer-Encoding: chunked\r\n", b"")
        out = await self._up.cross(self) if how.crossed else self
        await out.stream.send_all(data)
        if not await self._send_body(request, how, out):
            return False
        if how.extra:
            await out.stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother")
        return self._go_on() if how.framing not in ("close", "open") else False

    async def _send_body(self, request: h11.Request, how: Behaviour, out: Exchange) -> bool:
        sent = 0
        goal = how.size if how.cut_after < 0 else min(how.size, how.cut_after)
        if request.method == b"HEAD":
            goal = 0
        while sent < goal:
            part = BODY_PART[: min(len(BODY_PART), goal - sent)]
            framed = self._conn.send(h11.Data(data=part)) or b""
            await out.stream.send_all(part if how.framing in ("close", "open") else framed)
            sent += len(part)
        if how.cut_after >= 0:
            return False
        framed = self._conn.send(h11.EndOfMessage()) or b""
        if how.framing not in ("close", "open") and framed:
            await out.stream.send_all(framed)
        return True

    def _go_on(self) -> bool:
        if self._conn.our_state is not h11.DONE or self._conn.their_state is not h11.DONE:
            return False
        self._conn.start_next_cycle()
        return True

    async def _control(self, request: h11.Request, body: bytes) -> None:
        """GET /stand-in/state tells the counts; POST /stand-in/behaviour?name=value changes it."""
        up = self._up
        ages_ms = up.overload_ages_ms
        name, _, query = request.target[len(CONTROL_PATH) :].decode().partition("?")
        if name == "behaviour":
            ages_ms = list(up.overload_ages_ms)
            up.change(urllib.parse.unquote(query).replace("&", ","))
        elif name == "silence":
            up.go_silent()
        answer = json.dumps(
            {
                "runs": up.runs,
                "requests": len(up.requests),
                "overloads": up.overloads,
                # Those of the behaviour that a change has just ended.
                "overload_ages_ms": ages_ms,
                "in_flight": up.in_flight,
                "last_run_s": up.last_run_s,
            }
        ).encode()
        await self._send(
            h11.Response(status_code=200, headers=[("content-length", str(len(answer)))])
        )
        await self._send(h11.Data(data=answer))
        await self._send(h11.EndOfMessage())


async def announce(place: str, record: dict[str, object], interval_ms: float, up: StandIn) -> None:
    """Announce the stand-in to its node again and again until cancelled."""
    host, _, port = place.rpartition(":")
    while True:
        state = "leaving" if up.behaviour.leaving else "serving"
        body = json.dumps({**record, "state": state}).encode()
        head = (
            f"PUT /v1/announcement HTTP/1.1\r\nHost: {place}\r\nConnection: close\r\n"
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
    """Serve over TCP on loopback and announce."""
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
