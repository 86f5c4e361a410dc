"""Clients on each node, one class for each habit of using connections."""

from __future__ import annotations

import contextlib
import dataclasses
import random
import time
from collections.abc import Awaitable, Callable

import h11
import trio

from tests.soak.cluster import POLL_S, Cluster
from tests.soak.ledger import Ending, Ledger, Request
from tests.soak.operators import IDLE_TIMEOUT_S, ROUTES, Route
from tests.soak.targets import make_body
from tests.soak.wire import ClientConnection, ConnectionEnded, Response, render_head

# A client waits this much longer than its deadline before it closes the connection.
PATIENCE_S = 1.0
CONNECT_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.2
READINESS_INTERVAL_S = 1.0
# Clients reuse connections that have been idle for up to this share of the idle timeout.
IDLE_SHARE = 0.8
HEAD_PAUSES_S = (0.0, 0.02, 0.2, 1.0)
UPLOAD_PARTS = 6

Habit = Callable[["Client", ClientConnection], Awaitable[None]]


@dataclasses.dataclass(frozen=True)
class HabitEntry:
    """Describe a habit: how many clients a node has of it, and their receive buffer."""

    serve: Habit
    clients_per_node: int
    # 0 for the default of the system. A small one makes the node notice a slow reader.
    buffer_bytes: int


HABITS: dict[str, HabitEntry] = {}


def habit(clients_per_node: int, buffer_bytes: int = 0) -> Callable[[Habit], Habit]:
    """Register what clients of a habit do with one connection."""

    def register(fn: Habit) -> Habit:
        HABITS[fn.__name__] = HabitEntry(fn, clients_per_node, buffer_bytes)
        return fn

    return register


class Gate:
    """Poll the readiness of a node, and keep new connections away after two misses."""

    def __init__(self, cluster: Cluster, ip: str) -> None:
        self.is_open = True
        self._cluster = cluster
        self._ip = ip

    async def run(self) -> None:
        """Poll until cancelled."""
        misses = 0
        while True:
            ready = await trio.to_thread.run_sync(self._cluster.is_ready, self._ip)
            misses = 0 if ready else misses + 1
            self.is_open = misses < 2
            await trio.sleep(READINESS_INTERVAL_S)


class Client:
    """Send requests to one node in one habit."""

    def __init__(
        self,
        cluster: Cluster,
        ledger: Ledger,
        rng: random.Random,
        ip: str,
        gate: Gate,
        name: str,
        deadlines_s: tuple[float, float],
    ) -> None:
        self.ledger = ledger
        self.rng = rng
        # Shortest and longest deadline of pipelined requests.
        self.deadlines_s = deadlines_s
        self._cluster = cluster
        self._ip = ip
        self._gate = gate
        self._name = name
        self._connections = 0

    async def run(self, entry: HabitEntry) -> None:
        """Follow a habit until cancelled."""
        while True:
            if not self._gate.is_open:
                await trio.sleep(POLL_S)
                continue
            try:
                conn = await self._connect(entry.buffer_bytes)
            except (OSError, trio.TooSlowError):
                await trio.sleep(RETRY_PAUSE_S)
                continue
            try:
                await entry.serve(self, conn)
            finally:
                conn.close()

    async def _connect(self, buffer_bytes: int) -> ClientConnection:
        host, _, port = self._cluster.address(self._ip, "outbound").rpartition(":")
        self._connections += 1
        sock = trio.socket.socket()
        if buffer_bytes:
            sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, buffer_bytes)
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                await sock.connect((host, int(port)))
        except BaseException:
            sock.close()
            raise
        return ClientConnection(trio.SocketStream(sock))

    def make_request(self, route: Route, deadline_s: float, body: bytes = b"") -> Request:
        """Return a request with a new id."""
        request = Request(
            id=f"{self.rng.getrandbits(64):016x}",
            habit=self._name,
            entry=self._ip,
            method="POST" if body else "GET",
            host=route.host,
            path=f"{route.prefix}{self.rng.randrange(1_000)}?q={self.rng.randrange(1_000)}",
            kind=route.kind,
            deadline_s=deadline_s,
            route_timeout_s=route.timeout_s,
            body=body,
            connection=f"{self._ip}/{self._name}/{self._connections}",
        )
        self.ledger.requests[request.id] = request
        return request

    def render(self, request: Request, *, chunked: bool = False) -> bytes:
        """Return the head of a request."""
        headers = {
            "Host": request.host,
            "Attempt-Id": request.id,
            "Deadline-Ms": str(int(request.deadline_s * 1_000)),
            # The node sets this header, whatever a client sends.
            "Caller-Service": "forged",
        }
        if request.body and chunked:
            headers["Transfer-Encoding"] = "chunked"
        elif request.body:
            headers["Content-Length"] = str(len(request.body))
        return render_head(request.method, request.path, headers)

    async def read(
        self, conn: ClientConnection, request: Request, until_s: float, pause_s: float = 0.0
    ) -> bool:
        """Read one response; return whether the connection stays open."""
        wait_s = until_s + PATIENCE_S - time.monotonic()
        with trio.move_on_after(max(0.0, wait_s)) as scope:
            try:
                response = await conn.read_response(request.method, pause_s)
            except ConnectionEnded as exc:
                request.end_cut(exc.received_bytes, str(exc), is_reset=exc.is_reset)
                return False
            except h11.ProtocolError as exc:
                request.end(Ending.GARBLED)
                request.problem = f"bytes that are no response: {exc}"
                return False
        if scope.cancelled_caught:
            request.end(Ending.ABANDONED)
            return False
        request.end(Ending.ANSWERED)
        request.status = response.status
        request.received_bytes = len(response.body)
        request.problem = find_mixed(request, response)
        return not response.closes

    def abandon(self, requests: list[Request], first: Request) -> None:
        """Record that requests behind another one have ended with their connection."""
        for request in requests:
            # Requests behind a response that closes the connection count as not read.
            request.end(first.ending if first.ending.is_cut else Ending.ABANDONED)
            request.behind = first.id


def find_mixed(request: Request, response: Response) -> str:
    """Return what is wrong with a response to a request, or nothing."""
    signature = response.headers.get("server-signature", "")
    is_success = 200 <= response.status < 300
    if not signature:
        return "a success without a signature" if is_success else ""
    _, request_id, _, size = signature.split(".")
    if request_id != request.id:
        return f"signature {signature}"
    if is_success and response.body != make_body(signature, int(size)):
        return f"body of {len(response.body)} bytes is not that of {signature}"
    if response.headers.get("attempt-id") != request.id:
        return f"attempt id {response.headers.get('attempt-id')}"
    return ""


@habit(clients_per_node=3)
async def pipeline(client: Client, conn: ClientConnection) -> None:
    """Send 2 to 4 safe requests with different deadlines before the first response."""
    await send_batches(client, conn, (0.0, 0.0))


@habit(clients_per_node=1, buffer_bytes=4_096)
async def slow_reader(client: Client, conn: ClientConnection) -> None:
    """Send batches of requests, and read the responses in small parts with pauses."""
    await send_batches(client, conn, (0.001, 0.05))


@habit(clients_per_node=3)
async def kept(client: Client, conn: ClientConnection) -> None:
    """Keep a connection with pauses near the idle timeout, and send heads in two parts."""
    rng = client.rng
    while True:
        route = rng.choice((ROUTES["lists"], ROUTES["orders"]))
        body = rng.randbytes(rng.randint(1, 5_000)) if route.kind == "unsafe" else b""
        request = client.make_request(route, rng.uniform(1.0, 5.0), body)
        if not await send_batch(client, conn, [request], head_pause_s=rng.choice(HEAD_PAUSES_S)):
            return
        share = rng.choice((0.05, 0.1, 0.2, 1.0))
        await trio.sleep(IDLE_TIMEOUT_S * IDLE_SHARE * share * rng.uniform(0.9, 1.0))


@habit(clients_per_node=1)
async def fresh(client: Client, conn: ClientConnection) -> None:
    """Open a new connection for each unsafe request."""
    body = client.rng.randbytes(client.rng.randint(1, 3_000))
    request = client.make_request(ROUTES["orders"], client.rng.uniform(1.0, 5.0), body)
    await send_batch(client, conn, [request])
    await trio.sleep(client.rng.uniform(0.1, 0.8))


async def send_batches(
    client: Client, conn: ClientConnection, pause_s: tuple[float, float]
) -> None:
    """Send batches of safe requests with such pauses between reads until the connection ends."""
    rng = client.rng
    while True:
        routes = rng.choices((ROUTES["reads"], ROUTES["lists"]), k=rng.randint(2, 4))
        batch = [client.make_request(route, rng.uniform(*client.deadlines_s)) for route in routes]
        if not await send_batch(client, conn, batch, rng.uniform(*pause_s)):
            return
        await trio.sleep(rng.uniform(0.0, 1.0))


async def send_batch(
    client: Client,
    conn: ClientConnection,
    batch: list[Request],
    read_pause_s: float = 0.0,
    head_pause_s: float = 0.0,
) -> bool:
    """Send requests and read their responses; return whether the connection stays open."""
    data = b"".join(client.render(request) + request.body for request in batch)
    cut = client.rng.randrange(1, len(client.render(batch[0]))) if head_pause_s else 0
    try:
        if cut:
            await conn.send(data[:cut])
            await trio.sleep(head_pause_s)
        for ahead, request in enumerate(batch):
            request.ahead, request.sent_s = ahead, time.monotonic()
        await conn.send(data[cut:])
    except ConnectionEnded as exc:
        batch[0].end_cut(exc.received_bytes, str(exc), is_reset=exc.is_reset)
        client.abandon(batch[1:], batch[0])
        return False
    until_s = 0.0
    for number, request in enumerate(batch):
        # A response has to wait for those ahead of it.
        until_s = max(until_s, request.sent_s + request.deadline_s)
        if not await client.read(conn, request, until_s, read_pause_s):
            client.abandon(batch[number + 1 :], request)
            return False
    if conn.has_unread_bytes():
        batch[-1].problem = "bytes after the last response"
        return False
    return True


@habit(clients_per_node=1)
async def upload(client: Client, conn: ClientConnection) -> None:
    """Send a large body slowly, with a length or in chunks."""
    rng = client.rng
    body = rng.randbytes(rng.randint(1_000, 120_000))
    request = client.make_request(ROUTES["uploads"], 8.0, body)
    chunked = rng.random() < 0.5
    pause_s = rng.uniform(0.0, 0.4)

    async def send_body() -> None:
        step = len(body) // UPLOAD_PARTS + 1
        # The reader reports how the connection ended.
        with contextlib.suppress(ConnectionEnded):
            await conn.send(client.render(request, chunked=chunked))
            for start in range(0, len(body), step):
                part = body[start : start + step]
                await conn.send(b"%x\r\n%b\r\n" % (len(part), part) if chunked else part)
                request.sent_s = time.monotonic()
                await trio.sleep(pause_s)
            if chunked:
                await conn.send(b"0\r\n\r\n")

    request.sent_s = time.monotonic()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_body)
        await client.read(conn, request, request.sent_s + request.deadline_s)
        nursery.cancel_scope.cancel()
    await trio.sleep(rng.uniform(0.2, 1.5))
