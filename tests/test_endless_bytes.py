"""Tests that bytes without end from outside are given up and fill no memory."""

from __future__ import annotations

import contextlib
import os
import threading
import tracemalloc
import unittest
from collections.abc import Awaitable, Callable, Iterator
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

import trio
import trio.testing
import yaml
from msgspec import structs

from knapweedhitch import codec, loadprobe, operator_client
from knapweedhitch.attempt import MAX_DISCARDED_BYTES, Attempt
from knapweedhitch.callerconn import MAX_PIPELINED_BYTES
from knapweedhitch.claims import Claims, GrantedClaim
from knapweedhitch.claimstore import ClaimStore
from knapweedhitch.cli_answers import read_answers
from knapweedhitch.counters import Counters
from knapweedhitch.exceptions import (
    CommandError,
    OperatorUnreachable,
    PeerTimeout,
    SettingsError,
)
from knapweedhitch.framing import MAX_FRAMING_BYTES
from knapweedhitch.idempotency import generate_uuid7
from knapweedhitch.kernel import Kernel
from knapweedhitch.loadprobe import MAX_RESPONSE_BYTES, LoadProbe
from knapweedhitch.messages import Ack, ClaimComplete, ClaimRequest, OpenStream, StreamHead
from knapweedhitch.model import Address, ClaimGroup, UpstreamRecord
from knapweedhitch.operator_client import OperatorClient
from knapweedhitch.operator_http import OperatorConnection, OperatorRequest, OperatorResponse
from knapweedhitch.payload import ReplayBody, Reservation, Spool
from knapweedhitch.platform.settings import MAX_HEARTBEAT_BYTES, parse_boot, read_boot, translate
from knapweedhitch.settings import (
    CallerSettings,
    ClaimSettings,
    HeaderSettings,
    PeerSettings,
    UpstreamSettings,
    load_secret,
    load_settings,
    replace,
)
from knapweedhitch.streams import PeerStream
from tests import decision_fakes
from tests.decision_fakes import FakeTimers, TrioTestCase, settings
from tests.fake_net import running_nodes
from tests.request_world import SERVICE, World, in_node
from tests.test_peers import run_on_mock_clock
from tests.test_platform import BOOT_SETTINGS
from tests.test_streams import make_opening, register_stream_handler
from tests.test_transport import real_nodes

READ_BYTES = 65_536
LIMIT_BYTES = 65_536
# A buffer that grows may have room to spare, and its object has a header.
MAX_MEMORY_RATIO = 1.5
# A claim without a response; their number has a limit of its own.
ENTRY_BYTES = 2_000
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_LINES = b"Transfer-Encoding: chunked\r\n\r\n"
CHUNKED = HEAD + CHUNKED_LINES
# A chunk of one byte whose extension is nearly as long as the parser accepts.
PADDED_CHUNK = b"1;" + b"x" * 60_000 + b"\r\ny\r\n"
PADDED_1XX = b"HTTP/1.1 103 x\r\nLink: " + b"x" * 60_000 + b"\r\n\r\n"
# Case, first bytes, and bytes that follow without end.
ENDLESS_RESPONSES = [
    ("head", b"", b"x" * 60_000),
    ("header lines", HEAD, b"X-A: b\r\n" * 7_000),
    ("1xx responses", b"", PADDED_1XX),
    ("by length", HEAD + b"Content-Length: 99999999999\r\n\r\n", b"x" * 60_000),
    ("chunked", CHUNKED, b"ea60\r\n" + b"x" * 60_000 + b"\r\n"),
    ("chunks of one byte", CHUNKED, b"1\r\nx\r\n" * 500),
    ("chunk extensions", CHUNKED, PADDED_CHUNK),
    ("trailer", CHUNKED + b"0\r\n", b"X-A: b\r\n" * 7_000),
    ("to the end of the connection", HEAD + b"Connection: close\r\n\r\n", b"x" * 60_000),
]

ENDLESS_BODIES = [case for case in ENDLESS_RESPONSES if case[0] in ("by length", "chunked")]
HEARTBEAT = b"POST /knapweedhitch/instances/i1/heartbeat HTTP/1.1\r\nHost: x\r\n"
ENDLESS_HEARTBEATS = [
    ("head", HEARTBEAT, b"X-A: b\r\n" * 1_000),
    ("by length", HEARTBEAT + b"Content-Length: 99999999\r\n\r\n", b"x" * 60_000),
    ("chunked", HEARTBEAT + CHUNKED_LINES, b"ea60\r\n" + b"x" * 60_000 + b"\r\n"),
]
WEBSOCKET_UPGRADE = (
    b"GET / HTTP/1.1\r\nHost: %s\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    b"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: MDEyMzQ1Njc4OWFiY2RlZg==\r\n\r\n"
)
STREAM_AND_TASK_BYTES = 16_384
LONG_PIPE_BYTES = 64 * 1_048_576
MAX_REFUSAL_BYTES = 4_096
CALLERS = 30
# A body held back, recorded, read, parsed and written, and a head; the streams of the test keep a
# copy of a write to the caller, of up to two reads, and of one by the target.
MAX_CALL_BYTES = (6 + 3) * 65_536
DEADLINE_OF_5_S = structs.replace(SERVICE, default_deadline_ms=5_000)
CHUNKED_REQUEST = b"POST / HTTP/1.1\r\nHost: shop.test\r\n" + CHUNKED_LINES
KEYED_REQUEST = b"POST / HTTP/1.1\r\nHost: shop.test\r\nIdempotency-Key: k-1\r\n\r\n"


class EndlessPeer:
    """Write bytes without end, each part once the reader has taken the one before."""

    def __init__(
        self, first: bytes, endless: bytes, pause_s: float = 0.001, *, starts: bool = False
    ) -> None:
        self._first = first
        self._endless = endless
        self._pause_s = pause_s
        self._starts = starts
        self.written_bytes = 0
        self.connections = 0

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Read one request unless this side starts, then write until the reader closes."""
        self.connections += 1
        try:
            if not self._starts:
                await stream.receive_some(READ_BYTES)
            await self._write(stream, self._first)
            while self._endless:
                await trio.sleep(self._pause_s)
                await self._write(stream, self._endless)
            await trio.sleep_forever()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def _write(self, stream: trio.abc.Stream, data: bytes) -> None:
        if data:
            await stream.send_all(data)
            self.written_bytes += len(data)


class PartsBody:
    """Provide a body in parts of two bytes, which are separate objects as those from a socket."""

    def __init__(self, size_bytes: int) -> None:
        self._left_bytes = size_bytes

    async def receive(self) -> bytes | None:
        """Return the next part, None at the end."""
        self._left_bytes -= 2
        return bytes(bytearray(2)) if self._left_bytes >= 0 else None


async def held_bytes(fill: Callable[[], Awaitable[Any]]) -> int:
    """Return the memory that is held after a function has returned."""
    with traced():
        kept = await fill()
        size_bytes = tracemalloc.get_traced_memory()[0]
        del kept
        return size_bytes


@contextlib.contextmanager
def traced() -> Iterator[Callable[[], int]]:
    """Trace allocations and provide the peak of the traced memory in bytes."""
    tracemalloc.start()
    try:
        yield lambda: tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


class SmallPartsTest(TrioTestCase):
    """Bodies that arrive in parts of two bytes take up no more memory than others."""

    async def test_responses_that_are_held_back_and_recorded(self) -> None:
        """Guards against a target whose responses in small chunks take many times the memory that
        is allowed for holding them back and for recording them.
        """

        async def fill() -> Attempt:
            attempt = Attempt(Any, Any, (), LIMIT_BYTES, LIMIT_BYTES)
            for _ in range(LIMIT_BYTES // 2):
                await attempt.data(bytes(bytearray(2)))
            return attempt

        self.assertLessEqual(await held_bytes(fill), 2 * LIMIT_BYTES * MAX_MEMORY_RATIO)

    async def test_request_bodies_that_are_kept_for_another_try(self) -> None:
        """Guards against requests in small chunks that take more memory than allowed."""

        async def fill() -> ReplayBody:
            body = ReplayBody(PartsBody(LIMIT_BYTES), LIMIT_BYTES)
            while await body.receive() is not None:
                pass
            return body

        self.assertLessEqual(await held_bytes(fill), LIMIT_BYTES * MAX_MEMORY_RATIO)

    async def test_request_bodies_that_are_kept_for_a_key(self) -> None:
        """Guards against keyed requests in small chunks that take more memory than allowed."""

        async def fill() -> list[Any]:
            reserved = Reservation()
            spool = Spool(LIMIT_BYTES, LIMIT_BYTES)
            parts = await spool.read(PartsBody(LIMIT_BYTES), None, reserved)
            self.assertEqual(spool.used_bytes, LIMIT_BYTES)
            return [parts, reserved]

        self.assertLessEqual(await held_bytes(fill), LIMIT_BYTES * MAX_MEMORY_RATIO)


class RecordedHeadersTest(TrioTestCase):
    async def test_recorded_headers_count_with_their_memory(self) -> None:
        """Guards against a holder that runs out of memory within its limit of recorded bytes,
        because a target responds to each key with thousands of short headers.
        """
        cfg = ClaimSettings(max_recorded_bytes=16 * LIMIT_BYTES)
        headers = tuple((b"h%d" % n, b"") for n in range(100))
        groups = {"s": (ClaimGroup("s", 1, 0, ("h1",)),)}

        now_ms = 0.0

        async def fill() -> ClaimStore:
            nonlocal now_ms
            store = ClaimStore(cfg, "h1", lambda: now_ms, lambda: 0, lambda: groups)
            now_ms = 10_000.0
            for n in range(600):
                key = generate_uuid7(10_000 + n)
                store.claim(ClaimRequest("s", key, 1, b"", "a", 100.0, 3_600))
                done = ClaimComplete("s", key, "a", True, 200, headers, b"")
                store.complete(cast(ClaimComplete, codec.decode(codec.encode(done))))
            self.assertEqual(len(store), 600)
            self.assertGreater(store.recorded_bytes, 0)
            return store

        entries = 600 * ENTRY_BYTES
        self.assertLessEqual(
            await held_bytes(fill), cfg.max_recorded_bytes * MAX_MEMORY_RATIO + entries
        )


class UnreachableHolder(FakeTimers):
    """Fail every call, as a holder that is cut off."""

    def handle(self, *args: Any) -> None:
        """Ignore the registration."""

    async def call(self, node_id: str, msg: Any, timeout_ms: float) -> Any:
        raise PeerTimeout("cut off")


class WaitingResponsesTest(TrioTestCase):
    async def test_responses_that_wait_for_a_holder_are_bounded_by_bytes(self) -> None:
        """Guards against a node that keeps a thousand responses of the largest size for a holder
        that it cannot reach.
        """
        kernel = decision_fakes.kernel(f"claims: {{max_background_bytes: {16 * LIMIT_BYTES}}}")
        kernel.add("peers", UnreachableHolder())
        claims = Claims(kernel)

        async def fill() -> Claims:
            for _ in range(100):
                claim = GrantedClaim("s", "k", "c", ("h1",), LIMIT_BYTES)
                await claims.complete(claim, 200, (), bytes(LIMIT_BYTES))
            return claims

        async with trio.open_nursery() as kernel._nursery:
            held = await held_bytes(fill)
            kernel._nursery.cancel_scope.cancel()
        self.assertLessEqual(held, 16 * LIMIT_BYTES * MAX_MEMORY_RATIO)
        dropped = kernel.get("counters").get("claim_sends_dropped", "ClaimComplete")
        self.assertGreaterEqual(dropped, 84)
        self.assertEqual(claims._background_bytes, 0)


class HealthTest(TrioTestCase):
    async def test_endless_health_response_is_given_up(self) -> None:
        """Guards against a link that is filled by a health response until the timeout, again at
        each probe.
        """
        for name, first, endless in ENDLESS_RESPONSES:
            with self.subTest(name):
                peer = EndlessPeer(first, endless)
                async with trio.open_nursery() as nursery:
                    counters = await self.probe(peer, nursery)
                    nursery.cancel_scope.cancel()
                self.assertEqual(counters.get("probes"), 0)
                reasons = [k[1] for k in counters._counters if k[0] == "probe_failed"]
                self.assertEqual(len(reasons), 1)
                self.assertIn(reasons[0], ("UpstreamResponseTooLarge", "UpstreamProtocolError"))
                # The last read may be larger than what is left.
                self.assertLessEqual(peer.written_bytes, MAX_RESPONSE_BYTES + 2 * READ_BYTES)

    async def test_health_response_below_the_limit_is_accepted(self) -> None:
        """Guards against an upstream whose load is unknown because of a page of some length."""
        head = HEAD + b"X-Load: 1,0,9\r\nContent-Length: 60000\r\n\r\n"
        async with trio.open_nursery() as nursery:
            counters = await self.probe(EndlessPeer(head + b"x" * 60_000, b""), nursery)
            nursery.cancel_scope.cancel()
        self.assertEqual(counters.get("probes"), 1)

    async def probe(self, peer: EndlessPeer, nursery: trio.Nursery) -> Counters:
        """Probe an upstream once and return the counters."""
        kernel = Kernel(
            replace(
                settings(),
                headers=HeaderSettings(load="x-load"),
                upstream=UpstreamSettings(accept_unframed=True),
            )
        )
        probe = LoadProbe(kernel)
        counters = probe._counters = Counters()
        probe._timers = FakeTimers()
        probe._config = SimpleNamespace(current=SimpleNamespace(items=SimpleNamespace(backends={})))
        probe._announce = SimpleNamespace(record_report=lambda report: None)
        probe._admission = SimpleNamespace(record_probe=lambda *args: None)
        with connect_to(peer, nursery):
            await probe._probe(UpstreamRecord("robes", Address("127.0.0.1", 80), 9, 220, "", 1))
        return counters


@contextlib.contextmanager
def connect_to(peer: EndlessPeer, nursery: trio.Nursery) -> Iterator[None]:
    """Let the probe connect to a peer over a stream that holds one write at a time."""

    async def connect(address: Address) -> Any:
        client, server = trio.testing.lockstep_stream_pair()
        nursery.start_soon(peer.serve, server)
        return client

    with mock.patch.object(loadprobe, "connect_tcp", connect):
        yield


class HeartbeatTest(TrioTestCase):
    async def test_endless_heartbeat_is_refused_at_a_small_size(self) -> None:
        """Guards against a target that fills the memory of the node beside it with the bodies of
        its heartbeats, 16 MiB on each of 64 connections.
        """
        boot = parse_boot(yaml.dump(BOOT_SETTINGS), "boot")
        cfg = translate(boot, "boot").operator
        for name, first, endless in ENDLESS_HEARTBEATS:
            with self.subTest(name):
                peer = EndlessPeer(first, endless, pause_s=0.01, starts=True)
                async with trio.open_nursery() as nursery:
                    client, server = trio.testing.lockstep_stream_pair()
                    conn = OperatorConnection(server, cfg, lambda req: None, self.respond)
                    nursery.start_soon(peer.serve, client)
                    await conn.serve()
                    nursery.cancel_scope.cancel()
                self.assertLessEqual(peer.written_bytes, MAX_HEARTBEAT_BYTES + 2 * READ_BYTES)

    async def respond(self, req: OperatorRequest) -> OperatorResponse:
        self.fail("an endless request was handled")


class CallerTest(unittest.TestCase):
    @in_node(DEADLINE_OF_5_S)
    async def test_endless_chunk_extensions_of_a_caller_are_refused(self, world: World) -> None:
        """Guards against a caller that keeps its node busy until the deadline with chunk headers
        instead of a body.
        """
        world.add_upstream("up-1")
        caller = world.caller()
        peer = EndlessPeer(CHUNKED_REQUEST, PADDED_CHUNK, pause_s=0.05, starts=True)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(peer.serve, caller.stream)
            response = await caller.read_response()
            nursery.cancel_scope.cancel()
        self.assertEqual(response.status, 400)
        self.assertLessEqual(peer.written_bytes, MAX_FRAMING_BYTES + 2 * READ_BYTES)

    @in_node()
    async def test_endless_heads_of_a_caller_are_refused(self, world: World) -> None:
        """Guards against a caller that fills memory with a head without end."""
        for name, endless in (("line", b"x" * 10_000), ("header lines", b"X-A: b\r\n" * 1_000)):
            with self.subTest(name):
                caller = world.caller()
                first = b"GET / HTTP/1.1\r\nHost: x\r\n"
                peer = EndlessPeer(first, endless, pause_s=0.05, starts=True)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(peer.serve, caller.stream)
                    response = await caller.read_response()
                    written_bytes = peer.written_bytes
                    nursery.cancel_scope.cancel()
                self.assertEqual(response.status, 431)
                self.assertLessEqual(written_bytes, CallerSettings().max_header_bytes + READ_BYTES)

    @in_node()
    async def test_endless_pipelined_requests_are_not_read(self, world: World) -> None:
        """Guards against a caller that fills memory with requests while the first one waits."""
        world.add_upstream("up-1")
        world.stand_ins[9_000] = EndlessPeer(b"", b"")
        for method in (b"GET", b"POST"):
            with self.subTest(method):
                request = method + b" / HTTP/1.1\r\nHost: shop.test\r\n\r\n"
                peer = EndlessPeer(b"", request * 1_000, starts=True)
                caller = world.caller(lockstep=True)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(peer.serve, caller.stream)
                    await trio.sleep(1)
                    self.assertLessEqual(peer.written_bytes, MAX_PIPELINED_BYTES + 2 * READ_BYTES)
                    nursery.cancel_scope.cancel()


class LinkTest(unittest.TestCase):
    @run_on_mock_clock
    async def test_endless_responses_over_a_link_fill_no_memory(self) -> None:
        """Guards against an entry node that keeps what another node passes on without end, in
        frames of two bytes, for many callers that read nothing.
        """
        sent_bytes = 0

        async def flood(msg: OpenStream, stream: PeerStream) -> None:
            nonlocal sent_bytes
            stream.put(StreamHead(stream.stream_id, 200, (), None))
            while True:
                await stream.send_data(bytes(bytearray(2)))
                sent_bytes += 2

        # A small window, since tracing is slow.
        cfg = PeerSettings(window_bytes=16_384)
        async with running_nodes(2, peers=cfg) as (near, far):
            register_stream_handler(far, flood)
            with traced() as peak_bytes:
                streams = [
                    await near.peers.open_stream("n1", make_opening()) for _ in range(CALLERS)
                ]
                await trio.sleep(1)
                self.assertTrue(all(stream.has_unread for stream in streams))
                self.assertLess(
                    peak_bytes(), CALLERS * (2 * cfg.window_bytes + STREAM_AND_TASK_BYTES)
                )
        self.assertLess(sent_bytes, CALLERS * cfg.window_bytes)


class UnprovenPeerTest(unittest.TestCase):
    def test_long_message_before_the_handshake_closes_the_connection(self) -> None:
        """Guards against a process whose memory is filled through the port for links by hosts that
        know no secret, a whole message on each of thousands of connections.
        """

        async def main() -> bytes:
            cfg = PeerSettings(handshake_timeout_ms=60_000)
            async with real_nodes(cfg) as (_, node):
                address = node.peers.address
                stream = await trio.open_tcp_stream(address.host, address.port)
                await stream.send_all(WEBSOCKET_UPGRADE % str(address).encode())
                self.assertIn(b" 101 ", await stream.receive_some(READ_BYTES))
                size = cfg.max_message_bytes
                frame_head = b"\x82\xff" + size.to_bytes(8, "big") + bytes(4)
                await stream.send_all(frame_head + b"x" * (size - 1))
                received = b""
                with trio.fail_after(10), contextlib.suppress(trio.BrokenResourceError):
                    while data := await stream.receive_some(READ_BYTES):
                        received += data
                await stream.aclose()
            return received

        # A close frame with the code for a message that is too large.
        self.assertEqual(trio.run(main)[2:4], (1_009).to_bytes(2, "big"))

    def test_first_message_after_the_handshake_may_be_long(self) -> None:
        """Guards against a limit for handshakes that stays in force on a link."""
        message = ClaimComplete("s", "k", "c", True, 200, (), b"x" * 900_000)

        async def main() -> None:
            async with real_nodes() as (node, _):
                self.assertEqual(await node.peers.call("n1", message, 5_000), Ack())

        trio.run(main)


class OperatorClientTest(TrioTestCase):
    async def test_endless_response_ends_the_command(self) -> None:
        """Guards against a command that runs on, or out of memory, when another program listens at
        the address.
        """
        limit = mock.patch.object(operator_client, "MAX_RESPONSE_BYTES", 16 * LIMIT_BYTES)
        for name, first, endless in ENDLESS_RESPONSES:
            with self.subTest(name), limit:
                peer = EndlessPeer(first, endless, pause_s=0.05)
                started_s = trio.current_time()
                async with trio.open_nursery() as nursery:

                    async def connect() -> Any:
                        client, server = trio.testing.lockstep_stream_pair()
                        nursery.start_soon(peer.serve, server)  # noqa: B023
                        return client

                    address = Address("127.0.0.1", 1)
                    client = OperatorClient(address, "t", attempts=1, open_stream=connect)
                    with traced() as peak_bytes:
                        with self.assertRaises(OperatorUnreachable):
                            await client.get("/v1/status")
                        peak = peak_bytes()
                    nursery.cancel_scope.cancel()
                elapsed_ms = (trio.current_time() - started_s) * 1_000
                self.assertLessEqual(elapsed_ms, operator_client.RESPONSE_TIMEOUT_MS + 100)
                self.assertLessEqual(peak, 16 * LIMIT_BYTES * MAX_MEMORY_RATIO + LIMIT_BYTES)


class FileTest(unittest.TestCase):
    def test_files_over_the_limit_are_not_read(self) -> None:
        """Guards against a process that runs out of memory because a path names a device, a pipe or
        another large file.
        """
        for read in (load_settings, load_secret, read_boot, read_answers):
            with self.subTest(read.__name__), traced() as peak_bytes, long_pipe() as path:
                with self.assertRaises((SettingsError, CommandError)):
                    read(path)
                self.assertLess(peak_bytes(), LONG_PIPE_BYTES / 2)


@contextlib.contextmanager
def long_pipe() -> Iterator[str]:
    """Provide the path of a pipe with LONG_PIPE_BYTES, whose size is not known before."""
    reader, writer = os.pipe()

    def write() -> None:
        part = bytes(READ_BYTES)
        with contextlib.suppress(BrokenPipeError):
            for _ in range(LONG_PIPE_BYTES // READ_BYTES):
                os.write(writer, part)
        os.close(writer)

    thread = threading.Thread(target=write)
    thread.start()
    try:
        yield f"/dev/fd/{reader}"
    finally:
        os.close(reader)
        thread.join()


class RefusalTest(unittest.TestCase):
    @in_node()
    async def test_refusals_do_not_repeat_invalid_bytes(self, world: World) -> None:
        """Guards against refusals, frames between nodes and log lines of hundreds of kilobytes
        that quote the invalid bytes of a target or a caller.
        """
        world.add_upstream("up-1")
        world.stand_ins[9_000] = EndlessPeer(HEAD + b"\x01" * 30_000 + b"\r\n\r\n", b"")
        response = await world.caller().call("POST")
        self.assertEqual(response.status, 502)
        self.assertLessEqual(len(response.body), MAX_REFUSAL_BYTES)
        caller = world.caller()
        await caller.send(b"GET / HTTP/1.1\r\n" + b"\x01" * 30_000 + b"\r\n\r\n")
        response = await caller.read_response()
        self.assertEqual(response.status, 400)
        self.assertLessEqual(len(response.body), MAX_REFUSAL_BYTES)


class KeyedRequestTest(unittest.TestCase):
    """Responses to keyed requests are recorded, so they are read without their caller as well."""

    @in_node(DEADLINE_OF_5_S)
    async def test_endless_response_is_given_up_after_the_caller_closed(self, world: World) -> None:
        """Guards against a link that is filled until the deadline by a response that can neither
        be recorded nor delivered.
        """
        world.add_upstream("up-1")
        world.lockstep = True
        for name, first, endless in ENDLESS_BODIES:
            with self.subTest(name):
                world.claims.completed.clear()
                peer = world.stand_ins[9_000] = EndlessPeer(first, endless, pause_s=0.05)
                caller = world.caller()
                await caller.send(KEYED_REQUEST)
                await caller.stream.aclose()
                await trio.sleep(6)
                self.assertLessEqual(peer.written_bytes, MAX_DISCARDED_BYTES + 4 * READ_BYTES)
                # Later requests with this key learn that there is no response to replay.
                self.assertEqual([body for _, _, body in world.claims.completed], [None])

    @in_node(DEADLINE_OF_5_S)
    async def test_many_endless_responses_fill_no_memory(self, world: World) -> None:
        """Guards against a process that runs out of memory when a target sends bytes without end
        to many callers, of whom some read nothing and some have closed.
        """
        world.add_upstream("up-1")
        world.lockstep = True
        for name, first, endless in ENDLESS_RESPONSES:
            with self.subTest(name):
                world.stand_ins[9_000] = EndlessPeer(first, endless, pause_s=0.25)
                callers = [world.caller(lockstep=True) for _ in range(CALLERS)]
                with traced() as peak_bytes:
                    for n, caller in enumerate(callers):
                        await caller.send(KEYED_REQUEST)
                        if n % 2:
                            await caller.stream.aclose()
                    await trio.sleep(6)
                    self.assertLess(peak_bytes(), CALLERS * MAX_CALL_BYTES)
