"""The request path of one node, with fake services and stand-in upstreams on memory streams."""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import functools
from collections.abc import AsyncIterator, Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import h11
import trio
import trio.testing

import knapweedhitch.announce
import knapweedhitch.counters
import knapweedhitch.drain
import knapweedhitch.gate
import knapweedhitch.ingress
import knapweedhitch.router
import knapweedhitch.timers  # noqa: F401
from knapweedhitch import settings
from knapweedhitch.exceptions import Outcome, UpstreamDraining
from knapweedhitch.kernel import Kernel
from knapweedhitch.model import (
    Address,
    Configuration,
    LoadSample,
    ServiceConfig,
    Target,
    UpstreamRecord,
    Warmth,
)
from knapweedhitch.pool import Pool
from tests.stand_in import StandIn

HOST = b"shop.test"
SERVICE = ServiceConfig("shop", ("shop.test",), hedge=False)
SERVICES = ("announce", "gate", "router", "ingress", "drain")
LOAD = LoadSample(1, 0, 9, 2.0, Warmth.WARM)


class MemoryStream(trio.abc.Stream):
    """Wrap one end of a memory pipe; like a socket, it reports whether bytes or EOF are pending."""

    def __init__(self, inner: trio.abc.Stream) -> None:
        self._inner = inner
        self.socket = self
        self.sent = self.received = 0
        self.peer: Any = None
        self.closed = self.reset = False

    def is_readable(self) -> bool:
        return bool(self.peer.sent > self.received or self.peer.closed)

    def setsockopt(self, *args: object) -> None:
        self.reset = True

    async def send_all(self, data: Any) -> None:
        self.sent += len(data)
        await self._inner.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        await self._inner.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        data = bytes(await self._inner.receive_some(max_bytes))
        self.received += len(data)
        return data

    def put_received(self, data: bytes) -> None:
        """Deliver bytes to the reader of this end."""
        self.peer.sent += len(data)
        self._inner.receive_stream.put_data(data)

    async def aclose(self) -> None:
        self.closed = True
        await self._inner.aclose()


def stream_pair(*, lockstep: bool = False) -> tuple[MemoryStream, MemoryStream]:
    """Return two connected ends; a lockstep pair blocks a writer until its bytes are read."""
    make = trio.testing.lockstep_stream_pair if lockstep else trio.testing.memory_stream_pair
    left, right = (MemoryStream(end) for end in make())
    left.peer, right.peer = right, left
    return left, right


class FakeService:
    """Implement the start and stop methods of a service that needs neither."""

    async def start(self) -> None: ...

    async def stop(self) -> None: ...


class FakeConfig(FakeService):
    """Provide a configuration with one service that a test can replace."""

    def __init__(self, svc: ServiceConfig) -> None:
        self.current = Configuration(version=1, services={svc.name: svc})
        self.fresh = True
        self.subscribers: list[Callable[[Configuration], None]] = []

    def publish(self, current: Configuration) -> None:
        """Set the configuration and notify the subscribers."""
        self.current = current
        for fn in self.subscribers:
            fn(current)

    def may_serve(self) -> bool:
        return self.is_fresh()

    def is_fresh(self) -> bool:
        return self.fresh

    def subscribe(self, fn: Callable[[Configuration], None]) -> None:
        self.subscribers.append(fn)


class FakeMembership(FakeService):
    """Provide the targets set by a test and record announcements."""

    def __init__(self) -> None:
        self.by_service: dict[str, tuple[Target, ...]] = {}
        self.announced: list[UpstreamRecord | None] = []
        self.draining = False

    def targets(self, service: str) -> tuple[Target, ...]:
        return self.by_service.get(service, ())

    def announce_local(self, record: UpstreamRecord | None) -> None:
        self.announced.append(record)

    def set_draining(self, draining: bool) -> None:
        self.draining = draining


class FakePeers(FakeService):
    """Provide no links."""

    def handle(self, msg_type: type, fn: Callable[..., Any]) -> None:
        """Ignore the handler, as no message arrives."""

    async def finish(self, timeout_ms: float) -> None:
        """Return at once."""


class FakePicker(FakeService):
    """Pick the first target that is not excluded."""

    def __init__(self) -> None:
        self.results: list[tuple[str, Any]] = []
        self.in_flight: collections.Counter[str] = collections.Counter()
        self.observed: list[tuple[str, LoadSample]] = []
        self.hedge_ms: float | None = None

    def pick(
        self, svc: Any, targets: Any, excluded: Any, own_domain: str, own_node: str
    ) -> SimpleNamespace:
        ids = [t.upstream.instance_id for t in targets]
        considered = tuple(SimpleNamespace(instance_id=i, score=1.0, note="fake") for i in ids)
        eligible = [t for t in targets if t.upstream.instance_id not in excluded]
        return SimpleNamespace(target=eligible[0] if eligible else None, considered=considered)

    def record_start(self, instance_id: str) -> None:
        self.in_flight[instance_id] += 1

    def record_finish(self, instance_id: str, result: Any) -> None:
        self.in_flight[instance_id] -= 1
        self.results.append((instance_id, result))

    def observe(self, instance_id: str, load: LoadSample) -> None:
        self.observed.append((instance_id, load))

    def hedge_delay_ms(self, service: str) -> float | None:
        return self.hedge_ms


class FakeRetry(FakeService):
    """Allow everything by default, so that only the request path limits retries."""

    def __init__(self) -> None:
        self.retry_args: list[tuple[Any, ...]] = []
        self.allowed = True

    def may_retry(self, *args: Any) -> bool:
        self.retry_args.append(args)
        return self.allowed

    def record_call(self, service_name: str) -> None: ...

    def may_hedge(self) -> bool:
        return self.allowed


class FakeAdmission(FakeService):
    """Admit calls while slots are free and record the results."""

    def __init__(self) -> None:
        self.slots = trio.Semaphore(9)
        self.admitted = 0
        self.results: list[Any] = []
        self.upstream: UpstreamRecord | None = None
        self.draining = False
        self.domain_out_changes: list[bool] = []

    async def admit(self, deadline: Any, spec: Any = None) -> object:
        await self.slots.acquire()
        self.admitted += 1
        return object()

    def release(self, slot: object, result: Any) -> None:
        self.slots.release()
        self.results.append(result)

    def load(self) -> LoadSample:
        return LOAD

    def set_upstream(self, record: UpstreamRecord | None) -> None:
        self.upstream = record

    def set_draining(self, draining: bool) -> None:
        self.draining = draining

    def set_domain_out(self, out: bool) -> None:
        self.domain_out_changes.append(out)


class FakeClaims(FakeService):
    """Grant every claim, or replay the recorded response if a test sets one."""

    def __init__(self) -> None:
        self.claimed: list[tuple[str, bytes]] = []
        self.completed: list[tuple[int, Any, bytes | None]] = []
        self.released = 0
        self.recorded_response: SimpleNamespace | None = None

    async def claim(self, svc: Any, key: str, digest: bytes, deadline: Any) -> object:
        self.claimed.append((key, digest))
        return self.recorded_response or object()

    async def complete(self, claimed: Any, status: int, headers: Any, body: bytes | None) -> None:
        self.completed.append((status, headers, body))

    async def release(self, claimed: Any) -> None:
        self.released += 1


class FakeForward(FakeService):
    """Call the stand-in of another node through the pool, or run the handler of a test."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.handler: Callable[..., Awaitable[Any]] | None = None
        self.calls = 0

    async def execute(self, node_id: str, spec: Any, body: Any, sink: Any) -> Any:
        self.calls += 1
        if self.handler is not None:
            return await self.handler(node_id, spec, body, sink)
        return await self.call_target(node_id, spec, body, sink)

    async def call_target(self, node_id: str, spec: Any, body: Any, sink: Any) -> Any:
        for target in self._world.membership.targets(spec.service):
            if target.upstream.instance_id == spec.instance_id:
                return await self._world.pool.exchange(target.upstream.address, spec, body, sink)
        raise UpstreamDraining(Outcome.NOT_RUN)


class World:
    """Build the node under test with fake services, and map ports to stand-ins."""

    def __init__(self, svc: ServiceConfig, cfg: settings.Settings) -> None:
        self.kernel = Kernel(cfg)
        self.config = FakeConfig(svc)
        self.membership = FakeMembership()
        self.peers = FakePeers()
        self.picker = FakePicker()
        self.retry = FakeRetry()
        self.admission = FakeAdmission()
        self.claims = FakeClaims()
        self.forward = FakeForward(self)
        self.stand_ins: dict[int, StandIn] = {}
        self.upstream_streams: list[MemoryStream] = []
        self.pool = Pool(self.kernel, self.connect)
        self.lockstep = False

    def build(self) -> None:
        self.kernel.build(["timers", "counters"])
        names = (
            "config",
            "membership",
            "peers",
            "picker",
            "retry",
            "admission",
            "claims",
            "forward",
        )
        for name in (*names, "pool"):
            self.kernel.add(name, getattr(self, name))
        self.kernel.build(SERVICES)
        self.counters = self.kernel.get("counters")

    async def connect(self, address: Address) -> trio.abc.Stream:
        if address.port not in self.stand_ins:
            raise OSError("refused")
        client_stream, server_stream = stream_pair(lockstep=self.lockstep)
        self.upstream_streams.append(client_stream)
        self.kernel.nursery.start_soon(self.stand_ins[address.port].serve, server_stream)
        return client_stream

    def make_record(self, name: str) -> UpstreamRecord:
        """Return the announcement of an upstream on the next free port."""
        port = 9_000 + len(self.membership.targets("shop"))
        return UpstreamRecord("shop", Address("127.0.0.1", port), 9, 220, name, 1)

    def add_upstream(self, name: str, *, local: bool = False, **behaviour: Any) -> StandIn:
        """Add a target of the service with its stand-in; announce it if it is local."""
        record = self.make_record(name)
        port = record.address.port
        node = self.kernel.cfg.node
        node_and_domain = (node.id, node.domain) if local else (f"node-{name}", "other")
        self.membership.by_service["shop"] = (
            *self.membership.targets("shop"),
            Target(node_and_domain[0], node_and_domain[1], record),
        )
        self.stand_ins[port] = StandIn()
        self.stand_ins[port].behaviour.__dict__.update(behaviour)
        if local:
            self.kernel.get("announce").put(record)
        return self.stand_ins[port]

    def caller(self, *, lockstep: bool = False) -> Caller:
        """Open a caller connection."""
        client_stream, server_stream = stream_pair(lockstep=lockstep)
        self.kernel.nursery.start_soon(self.kernel.get("ingress").serve, server_stream)
        return Caller(client_stream, server_stream)


@dataclasses.dataclass
class Response:
    """Describe the response that a caller read; `is_complete` is false for a truncated one."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool
    early_hints: int = 0


class Caller:
    """Send raw bytes and read responses with h11."""

    def __init__(self, stream: MemoryStream, server_stream: MemoryStream) -> None:
        self.stream = stream
        self.server_stream = server_stream
        self._conn = h11.Connection(h11.CLIENT)
        self._max_buffered_bytes = 1 << 20

    async def send(self, data: bytes) -> None:
        await self.stream.send_all(data)

    async def read_response(self, method: str = "GET") -> Response:
        """Read one response; raises EOFError if the connection ends before its head."""
        if self._conn.our_state is h11.DONE:
            self._conn.start_next_cycle()
        self._conn.send(h11.Request(method=method, target="/", headers=[("host", "x")]))
        self._conn.send(h11.EndOfMessage())
        response = Response(0, {}, b"", False)
        while True:
            try:
                event = self._conn.next_event()
            except h11.RemoteProtocolError:
                if not response.status:
                    raise EOFError from None
                return response
            if event is h11.NEED_DATA:
                self._conn.receive_data(await self._receive())
            elif isinstance(event, h11.InformationalResponse):
                response.early_hints += event.status_code == 103
            elif isinstance(event, h11.Response):
                response.status = event.status_code
                response.headers = {k.decode(): v.decode("latin-1") for k, v in event.headers}
            elif isinstance(event, h11.Data):
                response.body += (
                    bytes(event.data) if len(response.body) < self._max_buffered_bytes else b""
                )
            elif isinstance(event, h11.EndOfMessage):
                response.is_complete = True
                return response
            else:
                raise EOFError

    async def _receive(self) -> bytes:
        try:
            return await self.stream.receive_some(65_536)
        except trio.BrokenResourceError:
            return b""

    async def call(
        self,
        method: str = "GET",
        target: str = "/",
        *,
        behaviour: str = "",
        body: bytes = b"",
        headers: str = "",
    ) -> Response:
        """Send one request and read its response."""
        lines = f"{method} {target} HTTP/1.1\r\nHost: shop.test\r\n{headers}"
        if behaviour:
            lines += f"x-stand-in: {behaviour}\r\n"
        if body:
            lines += f"Content-Length: {len(body)}\r\n"
        await self.send(lines.encode() + b"\r\n" + body)
        return await self.read_response(method)


def settings_for_tests(**sections: Any) -> settings.Settings:
    """Return the settings of the node under test."""
    cfg = settings.Settings(
        node=settings.NodeSettings("node-1", "east"),
        secrets=settings.SecretSettings("none", "none"),
        control=settings.ControlSettings((settings.ControlMember("control-1", "127.0.0.1", 1),)),
    )
    return settings.replace(cfg, **sections)


@contextlib.asynccontextmanager
async def node(svc: ServiceConfig = SERVICE, **sections: Any) -> AsyncIterator[World]:
    """Run a node; the virtual time of a test is limited to one hour."""
    world = World(svc, settings_for_tests(**sections))
    world.build()
    with trio.fail_after(3_600):
        async with trio.open_nursery() as nursery:
            await world.kernel.start(nursery)
            yield world
            nursery.cancel_scope.cancel()


def run(fn: Callable[[], Awaitable[None]]) -> None:
    """Run a test on a clock that jumps ahead whenever all tasks are blocked."""
    trio.run(fn, clock=trio.testing.MockClock(autojump_threshold=0))


def in_node(svc: ServiceConfig = SERVICE, **sections: Any) -> Callable[..., Callable[..., None]]:
    """Decorate an async test method to run in a node, with its World as argument."""

    def decorate(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
        @functools.wraps(test)
        def method(self: Any) -> None:
            async def main() -> None:
                async with node(svc, **sections) as world:
                    await test(self, world)

            run(main)

        return method

    return decorate
