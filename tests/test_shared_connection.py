"""Tests of requests that share the connection of their caller with others."""

from __future__ import annotations

import contextlib
import socket
import unittest
from collections.abc import Awaitable, Callable

import trio
from trio.testing import MockClock, open_stream_to_socket_listener

from knapweedhitch.boundedlog import BoundedLog
from knapweedhitch.budget import ByteBudget
from knapweedhitch.callerconn import CallerConnection, PipelinedRequest
from knapweedhitch.counters import Counters
from knapweedhitch.framing import DEFAULT_NAMES, RequestHead
from knapweedhitch.http1 import ServerConnection
from knapweedhitch.settings import CallerSettings, LogSettings
from tests.test_callerconn import GET, FakeRouter, read_until, run_scenario
from tests.test_pipelining import Caller, get, respond_after, run_caller

IDLE_TIMEOUT_S = 2


def post(number: int, deadline_ms: int, path: str = "/paid/", length: int = 0) -> bytes:
    """Return the head of a request that may not run beside others."""
    lines = (
        f"POST {path}{number} HTTP/1.1",
        "Host: h.example",
        f"X-Id: r{number}",
        f"X-Deadline: {deadline_ms}",
        f"Content-Length: {length}",
        "",
        "",
    )
    return "\r\n".join(lines).encode("ascii")


class BufferTest(unittest.TestCase):
    """Test bytes that arrive while a request that may not run beside others waits for its turn."""

    def test_request_behind_a_refused_one_gets_its_response(self) -> None:
        """Guards against a request that is dropped unread, so that its caller waits in vain."""
        expired, unknown = post(2, 500), post(2, 1_900, "/nowhere/")
        # The method of a request without a route doesn't matter.
        unknown_get = get(2, 1_900).replace(b"/safe/", b"/nowhere/")
        for refused, status in ((expired, 503), (unknown, 404), (unknown_get, 404)):
            statuses: list[int] = []

            async def play(caller: Caller, refused: bytes, statuses: list[int]) -> None:
                await caller.stream.send_all(get(1, 1_900) + refused)
                await trio.sleep(0.3)
                await caller.stream.send_all(get(3, 1_900))
                with trio.move_on_after(5):
                    for _ in range(3):
                        statuses.append((await caller.read()).status)

            handlers = {"r1": respond_after(1.0, 20), "r3": respond_after(0.0, 20)}
            with self.subTest(refused=refused):
                run_caller(
                    handlers,
                    lambda caller, r=refused, s=statuses: play(caller, r, s),  # type: ignore[misc]
                    ByteBudget(0),
                )
                self.assertEqual(statuses, [200, status, 200])

    def test_rest_of_a_body_behind_a_refused_request_is_not_run_as_a_request(self) -> None:
        """Guards against a body whose first part is dropped and whose rest runs as a request that
        no caller has sent.
        """
        body = get(9, 1_900)

        async def play(caller: Caller) -> None:
            await caller.stream.send_all(get(1, 1_900) + post(2, 500))
            await trio.sleep(0.3)
            await caller.stream.send_all(post(3, 1_900, length=10 + len(body)) + b"x" * 10)
            await trio.sleep(1.5)
            await caller.stream.send_all(body)
            with trio.move_on_after(5):
                for _ in range(3):
                    await caller.read()

        handlers = {
            "r1": respond_after(1.0, 20),
            "r3": respond_after(0.0, 20),
            "r9": respond_after(0.0, 20),
        }
        world = run_caller(handlers, play, ByteBudget(0))
        self.assertEqual([spec.request_id for spec in world.specs], ["r1", "r3"])

    def test_later_bytes_do_not_extend_the_deadline_of_a_buffered_request(self) -> None:
        """Guards against a request that gets more time than its caller waits, because the time in
        the buffer counts from the last bytes on the connection and not from its own.
        """
        handlers = {f"r{i}": respond_after(1.5 if i == 1 else 0.0, 20) for i in (1, 2, 3)}

        async def play(caller: Caller) -> None:
            await caller.stream.send_all(post(1, 1_900) + get(2, 1_900))
            await trio.sleep(1.4)
            await caller.stream.send_all(get(3, 1_900))
            for _ in range(3):
                await caller.read()

        world = run_caller(handlers, play, ByteBudget(0))
        deadlines = {spec.request_id: spec.deadline.at_s for spec in world.specs}
        self.assertAlmostEqual(deadlines["r1"], deadlines["r2"], delta=0.2)


class CloseTest(unittest.TestCase):
    def test_request_behind_one_that_asks_for_a_close_is_not_passed_on(self) -> None:
        """Guards against a request that is passed on and then cancelled, because the request ahead
        of it has asked for the connection to be closed.
        """
        wants_close = (GET % 300).replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
        is_old = (GET % 300).replace(b"HTTP/1.1", b"HTTP/1.0")
        for request in (wants_close, is_old):

            async def scenario(
                caller: trio.SocketStream, router: FakeRouter, request: bytes = request
            ) -> None:
                await caller.send_all(request + GET % 2000)
                await read_until(caller, 1)
                self.assertEqual(router.started, [b"/300"])

            with self.subTest(request=request):
                run_scenario(scenario)

    def test_close_by_the_caller_is_noticed_while_a_refusal_waits(self) -> None:
        """Guards against work for a caller that has left, while the refusal of its next request
        waits for its turn and nobody reads from the connection.
        """

        async def scenario(caller: trio.SocketStream, router: FakeRouter) -> None:
            await caller.send_all(GET % 5000 + b"nonsense\r\n\r\n")
            await trio.sleep(0.3)
            await caller.aclose()
            await trio.sleep(0.5)
            self.assertEqual(router.abandoned, [b"/5000"])

        run_scenario(scenario)


Scenario = Callable[[trio.SocketStream, FakeRouter, CallerConnection], Awaitable[None]]


def run_with_idle_timeout(scenario: Scenario) -> None:
    """Run a scenario against one connection on loopback that may be idle for IDLE_TIMEOUT_S."""

    async def main() -> None:
        router, counters = FakeRouter(), Counters()
        cfg = CallerSettings(idle_timeout_ms=IDLE_TIMEOUT_S * 1_000)
        log = BoundedLog(LogSettings(), counters, lambda: trio.current_time() * 1_000)
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            caller = await open_stream_to_socket_listener(listeners[0])
            stream = await listeners[0].accept()
            conn = CallerConnection(
                stream, cfg, DEFAULT_NAMES, router, counters, log, ByteBudget(0)
            )

            async def serve() -> None:
                await conn.serve()
                await trio.aclose_forcefully(stream)

            nursery.start_soon(serve)
            with trio.fail_after(20):
                await scenario(caller, router, conn)
            nursery.cancel_scope.cancel()
            await listeners[0].aclose()

    trio.run(main, clock=MockClock(autojump_threshold=0.05))


class IdleTest(unittest.TestCase):
    def test_connection_with_a_request_in_progress_is_not_idle(self) -> None:
        """Guards against a connection that closes right after a response, without telling so,
        because the time of the request has counted as idle.
        """

        async def scenario(
            caller: trio.SocketStream, router: FakeRouter, conn: CallerConnection
        ) -> None:
            # A little less than the timeout, and more.
            for request_ms in (IDLE_TIMEOUT_S * 900, IDLE_TIMEOUT_S * 1_500):
                await caller.send_all(GET % request_ms)
                self.assertNotIn(b"close", (await read_until(caller, 1)).lower())
                await trio.sleep(IDLE_TIMEOUT_S / 2)
                await caller.send_all(GET % 100)
                self.assertIn(b" 200 ", await read_until(caller, 1))

        run_with_idle_timeout(scenario)

    def test_close_by_the_caller_is_noticed_in_a_long_request(self) -> None:
        """Guards against work for a caller that has left, since nobody reads from its connection
        once a request has taken longer than a connection may be idle.
        """

        async def scenario(
            caller: trio.SocketStream, router: FakeRouter, conn: CallerConnection
        ) -> None:
            await caller.send_all(GET % 9000)
            await trio.sleep(2 * IDLE_TIMEOUT_S)
            await caller.aclose()
            await trio.sleep(0.5)
            self.assertEqual(router.abandoned, [b"/9000"])

        run_with_idle_timeout(scenario)


class InformationalTest(unittest.TestCase):
    def test_caller_that_reads_nothing_loses_no_response_to_a_1xx(self) -> None:
        """Guards against a connection that is reset at the deadline of a request, because a 1xx
        response to it waits for a caller that has earlier responses to read.
        """

        async def main() -> None:
            ours, theirs = socket.socketpair()
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(ours))
            caller = trio.SocketStream(trio.socket.from_stdlib_socket(theirs))
            log = BoundedLog(LogSettings(), Counters(), lambda: 0.0)
            cfg, counters = CallerSettings(), Counters()
            owner = CallerConnection(
                stream, cfg, DEFAULT_NAMES, FakeRouter(), counters, log, ByteBudget(0)
            )
            req = PipelinedRequest(owner, cfg, DEFAULT_NAMES)
            owner._add(req)
            await caller.send_all(GET)
            await req.conn.receive_head()
            earlier_bytes = 0
            with self.assertRaises(BlockingIOError):
                while True:
                    earlier_bytes += ours.send(b"x" * 4_096)
            with trio.move_on_after(0.05):
                await req.conn.send_informational(103, ())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(req.conn.send_response, 504, (), [])
                data = b""
                while not data[earlier_bytes:].startswith(b"HTTP/1.1 504"):
                    data += await caller.receive_some(65_536)

        trio.run(main)


class StopTest(unittest.TestCase):
    def test_response_in_the_send_buffer_survives_the_end_of_its_connection(self) -> None:
        """Guards against a planned stop that closes a connection while the end of its last response
        is still on the way, so that the next pipelined request resets it.
        """
        body_bytes = 16_000

        async def main() -> bytes:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            sock = trio.socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            await sock.connect(listeners[0].socket.getsockname())
            caller = trio.SocketStream(sock)
            stream = await listeners[0].accept()
            router = LargeBodyRouter(body_bytes)
            conn = CallerConnection(
                stream,
                CallerSettings(),
                DEFAULT_NAMES,
                router,
                Counters(),
                BoundedLog(LogSettings(), Counters(), lambda: 0.0),
                ByteBudget(0),
            )

            async def serve() -> None:
                await conn.serve()
                await trio.aclose_forcefully(stream)

            data = b""
            with trio.fail_after(10):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(serve)
                    await caller.send_all(GET % 1)
                    await router.handled.wait()
                    # As Drain does once no request is in progress.
                    conn.stop_waiting()
                    await trio.sleep(0.1)
                    # Sent before the caller has read the first response.
                    await caller.send_all(GET % 2)
                    await trio.sleep(0.1)
                    with contextlib.suppress(trio.BrokenResourceError):
                        while part := await caller.receive_some(4_096):
                            data += part
            await listeners[0].aclose()
            return data

        data = trio.run(main)
        self.assertEqual(len(data.partition(b"\r\n\r\n")[2]), body_bytes)


class LargeBodyRouter(FakeRouter):
    """Respond at once with a body of a given size."""

    def __init__(self, n_bytes: int) -> None:
        super().__init__()
        self._n_bytes = n_bytes
        self.handled = trio.Event()

    async def handle(self, conn: ServerConnection, head: RequestHead) -> None:
        headers = ((b"content-length", b"%d" % self._n_bytes),)
        await conn.send_response(200, headers, [b"x" * self._n_bytes])
        self.handled.set()
