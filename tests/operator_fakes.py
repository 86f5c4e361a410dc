"""Fakes of the services used by the operator listener, and a client over memory streams."""

from __future__ import annotations

import contextlib
import json
import types
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any, NamedTuple

import trio
import trio.testing
from msgspec import structs

from knapweedhitch import operator_api, settings
from knapweedhitch.changes import Change
from knapweedhitch.counters import Counters
from knapweedhitch.exceptions import PeerTimeout, VersionConflict
from knapweedhitch.identity import NO_BODY, Identifier
from knapweedhitch.kernel import Kernel
from knapweedhitch.messages import ProposeReply, VersionReport
from knapweedhitch.model import (
    Address,
    Configuration,
    DomainStatus,
    Member,
    ServiceConfig,
    Target,
    UpstreamEnd,
    UpstreamRecord,
)
from knapweedhitch.operator_client import ATTEMPTS, OperatorClient
from knapweedhitch.settings import SuspectSettings
from knapweedhitch.suspects import SuspectTable
from knapweedhitch.voters import GroupView

TOKEN = "0123456789abcdef0123"
CFG = settings.parse_settings("""
node: {id: n1, domain: east}
secrets: {peer_secret_file: /nowhere/p, operator_token_file: /nowhere/t}
control:
  data_dir: /nowhere/data
  members:
    - {id: n1, host: 10.0.0.1, port: 7001}
    - {id: n2, host: 10.0.0.2, port: 7001}
    - {id: n3, host: 10.0.0.3, port: 7001}
""")
OTHER_CFG = structs.replace(CFG, node=settings.NodeSettings("n4", "east"))
ADDRESS = Address("10.0.0.1", 7001)


class Record(NamedTuple):
    """Replace knapweedhitch.history.HistoryRecord."""

    version: int
    change_id: str
    operator: str = "ann"
    kind: str = "domain_out"
    wall_ms: int = 1_800_000_000_000
    diff: tuple[str, ...] = ("domains.east.out: false -> true",)
    body: bytes = b"\xff"


class FakeConfig:
    """Serve a configuration that tests can replace; the domain south is out."""

    def __init__(self) -> None:
        robes = ServiceConfig("robes", ("robes.example",))
        self.current = Configuration(7, {"robes": robes}, {"south": DomainStatus(True, 5)})
        self.fresh = True

    def may_serve(self) -> bool:
        return self.is_fresh()

    def is_fresh(self) -> bool:
        return self.fresh

    def age_ms(self) -> float:
        return 12.0 if self.fresh else float("inf")


class FakeControl:
    """Accept changes, deduplicated by change id, or raise the errors set by the test."""

    def __init__(self, config: FakeConfig) -> None:
        self.config = config
        self.changes: list[Change] = []
        self.errors: list[Exception] = []

    async def submit(self, change: Change) -> int:
        await trio.lowlevel.checkpoint()
        if self.errors:
            raise self.errors.pop(0)
        current = self.config.current.version
        for i, earlier_change in enumerate(reversed(self.changes)):
            if earlier_change.change_id == change.change_id:
                return current - i
        if change.base_version not in (None, current):
            raise VersionConflict(change.base_version or 0, current, "other")
        self.changes.append(change)
        self.config.current = structs.replace(self.config.current, version=current + 1)
        return current + 1

    def group_view(self) -> GroupView:
        return GroupView(("c1", "c2", "c3"), ("c4",), {"c1": "stopping"}, 1)

    def versions(self) -> dict[str, VersionReport]:
        return {"n1": VersionReport("n1", 7, 3.0), "n2": VersionReport("n2", 6, 900.0)}

    @property
    def machine(self) -> FakeControl:
        return self

    def history(self) -> list[Record]:
        return [Record(8 + i, change.change_id) for i, change in enumerate(self.changes)]


class FakePeers:
    """Reply to Propose calls with the replies set for each node; the last one repeats."""

    def __init__(self) -> None:
        self.replies: dict[str, list[ProposeReply | Exception]] = {}
        self.silent: set[str] = set()
        self.asked: list[str] = []

    async def call(self, node_id: str, msg: Any, timeout_ms: float) -> ProposeReply:
        self.asked.append(node_id)
        if node_id in self.silent:
            await trio.sleep(timeout_ms / 1_000.0)
            raise PeerTimeout(node_id)
        await trio.sleep(0.01)
        replies = self.replies.get(node_id) or [ProposeReply(0, "NotLeader", "", "")]
        reply = replies.pop(0) if len(replies) > 1 else replies[0]
        if isinstance(reply, Exception):
            raise reply
        return reply


class FakeMembership:
    """Serve three nodes in two failure domains, each with a target of the service robes."""

    def __init__(self) -> None:
        self.domains = {"n1": "east", "n2": "west", "n3": "east"}

    def members(self) -> dict[str, Member]:
        return {node: Member(node, ADDRESS, "r", name, 1) for node, name in self.domains.items()}

    def targets(self, service: str) -> tuple[Target, ...]:
        record = UpstreamRecord(service, ADDRESS, 9, 220, "i", 1)
        return tuple(Target(node, domain, record) for node, domain in self.domains.items())


class Explanations:
    """Explain the request req-1; raise for the request fault, as a bug would."""

    def get(self, request_id: str) -> dict[str, str] | None:
        if request_id == "fault":
            raise KeyError(request_id)
        return {"picked": "n2"} if request_id == "req-1" else None


class FakeGuard:
    """Hold one quarantined request and one suspect; record what is lifted."""

    def __init__(self) -> None:
        self.table = SuspectTable(SuspectSettings(), lambda: 5_000.0)
        self.identifier = Identifier(b"secret", 100)
        self.head = self.identifier.head("robes", "", "GET", b"/robes/9?size=4")
        for n in range(2):
            companion = bytes([n]) * 16
            end = UpstreamEnd("robes", f"i{n}", 1, (self.head + NO_BODY, companion))
            self.table.add_end(end, 4_000.0 + n)
        self.table.add_end(UpstreamEnd("other", "i9", 1, (bytes(16),)), 4_500.0)
        self.lifted: list[bytes] = []

    def lift(self, request: bytes) -> bool:
        self.lifted.append(request)
        return request == self.head + NO_BODY


class World:
    """Set up a kernel with the operator listener and all fakes."""

    def __init__(self, *, control: bool = True) -> None:
        self.kernel = Kernel(CFG if control else OTHER_CFG)
        self.config = FakeConfig()
        self.control = FakeControl(self.config)
        self.peers = FakePeers()
        self.membership = FakeMembership()
        services: dict[str, object] = {"config": self.config, "peers": self.peers}
        services |= {"membership": self.membership, "counters": Counters()}
        services["timers"] = types.SimpleNamespace(now_ms=lambda: 5_000.0)
        services["crashguard"] = self.guard = FakeGuard()
        services["router"] = types.SimpleNamespace(explanations=Explanations())
        if control:
            services["control"] = self.control
        for name, part in services.items():
            self.kernel.add(name, part)
        self.api = operator_api.OperatorApi(self.kernel)
        self.api._token = TOKEN.encode()
        self.api.phase = "running"

    @contextlib.asynccontextmanager
    async def connected(self) -> AsyncIterator[trio.abc.Stream]:
        """Serve one memory connection and yield its client end."""
        client, server = trio.testing.memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.api.serve_stream, server)
            yield client
            await client.aclose()

    async def raw(self, data: bytes, *, end: bool = True) -> bytes:
        """Send bytes, end the stream unless told not to, and return the whole response."""
        async with self.connected() as client:
            with contextlib.suppress(trio.BrokenResourceError):
                await client.send_all(data)
                if end:
                    await client.send_eof()  # type: ignore[attr-defined]
            return await read_all(client)

    async def ask(
        self, method: str, path: str, body: object = None, token: str = TOKEN
    ) -> tuple[int, Any]:
        """Send one request; return the status and the body, decoded if it is JSON."""
        payload = json.dumps(body).encode() if body is not None else b""
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {token}\r\n"
        head += f"Content-Length: {len(payload)}\r\nConnection: close\r\n\r\n"
        # A caller that ends its stream has left, and its orders are not carried out.
        return split_response(await self.raw(head.encode("latin-1") + payload, end=False))


class MemoryClient(OperatorClient):
    """Connect to the listener of a world over memory streams, with one fault per attempt.

    A fault is "refused" (no connection), "silent" (no response), "lost" (response lost) or empty.
    """

    def __init__(
        self, world: World, *faults: str, token: str = TOKEN, attempts: int = ATTEMPTS
    ) -> None:
        address = Address("127.0.0.1", 1)
        super().__init__(address, token, attempts=attempts, open_stream=self._open)
        self._world = world
        self._faults = list(faults)
        self._nursery: trio.Nursery

    async def _open(self) -> trio.abc.Stream:
        fault = self._faults.pop(0) if self._faults else ""
        if fault == "refused":
            raise OSError("connection refused")
        client, server = trio.testing.memory_stream_pair()
        if fault != "silent":
            self._nursery.start_soon(self._world.api.serve_stream, server)
        if fault == "lost":
            receive = client.receive_some

            async def receive_and_break(max_bytes: int | None = None) -> bytes:
                await receive(max_bytes)
                raise trio.BrokenResourceError("cut")

            client.receive_some = receive_and_break  # type: ignore[method-assign]
        return client

    async def _exchange(self, *args: Any) -> Any:
        error: Exception | None = None
        async with trio.open_nursery() as self._nursery:
            try:
                result = await super()._exchange(*args)
            except Exception as exc:
                error = exc
        if error is not None:
            raise error
        return result


async def read_all(stream: trio.abc.Stream) -> bytes:
    """Return all bytes up to the end of the stream."""
    received = b""
    with contextlib.suppress(trio.BrokenResourceError):
        while data := await stream.receive_some(65_536):
            received += data
    return received


def split_response(data: bytes) -> tuple[int, Any]:
    """Return the status and the body of one HTTP response."""
    head, _, body = data.partition(b"\r\n\r\n")
    is_json = b"application/json" in head
    return int(head.split()[1]), json.loads(body) if is_json and body else body.decode()


def run(fn: Any, *args: Any) -> Any:
    """Run an async function with a mock clock that jumps ahead while all tasks are idle."""

    async def run_with_timeout() -> Any:
        with trio.fail_after(300):
            return await fn(*args)

    return trio.run(run_with_timeout, clock=trio.testing.MockClock(autojump_threshold=0))


def write_token(folder: Path) -> Path:
    """Write an operator token file that only its owner can read."""
    path = folder / "operator.token"
    path.write_text(TOKEN)
    path.chmod(0o600)
    return path
