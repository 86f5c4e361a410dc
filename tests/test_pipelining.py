"""Tests of pipelined requests through caller connection and relay, with fake targets."""

from __future__ import annotations

import dataclasses
import socket
import unittest
from collections.abc import Awaitable, Callable
from types import SimpleNamespace

import h11
import trio
from trio.testing import MockClock

from knapweedhitch.boundedlog import BoundedLog
from knapweedhitch.budget import ByteBudget
from knapweedhitch.callerconn import CallerConnection, PipelinedRequest
from knapweedhitch.exceptions import Outcome, PeerFailed
from knapweedhitch.exchange import CallSpec, ResponseSink
from knapweedhitch.framing import header_names
from knapweedhitch.model import CallResult
from knapweedhitch.settings import CallerSettings, LogSettings
from tests.test_relay import HEADERS, Handler, World, start_world

# More than a response may have to be held back until it is complete.
LARGE_BYTES = 100_000


@dataclasses.dataclass(frozen=True)
class Response:
    """Describe one response as its caller read it."""

    status: int
    body: bytes
    at_s: float


def respond_after(delay_s: float, n_bytes: int, pause_s: float = 0.0) -> Handler:
    """Return a handler that responds after a delay and pauses in the middle of the body."""

    async def handler(spec: CallSpec, sink: ResponseSink) -> CallResult:
        sink.mark_dispatched()
        await trio.sleep(delay_s)
        await sink.head(200, ((b"content-length", b"%d" % n_bytes),), None)
        await sink.data(b"x" * (n_bytes // 2))
        await trio.sleep(pause_s)
        await sink.data(b"x" * (n_bytes - n_bytes // 2))
        await sink.end()
        return CallResult(ok=True, service_ms=delay_s * 1_000, status=200)

    return handler


def fail_in_the_body(n_bytes: int, *, has_length: bool = True) -> Handler:
    """Return a handler whose response breaks off in the middle at the first try."""
    headers = ((b"content-length", b"%d" % n_bytes),) if has_length else ()
    tries: list[str] = []

    async def handler(spec: CallSpec, sink: ResponseSink) -> CallResult:
        tries.append(spec.instance_id)
        if len(tries) > 1:
            return await respond_after(0.0, n_bytes)(spec, sink)
        sink.mark_dispatched()
        await sink.head(200, headers, None)
        await sink.data(b"x" * (n_bytes // 2))
        await trio.sleep(0.2)
        raise PeerFailed(Outcome.UNKNOWN, "the link broke")

    return handler


def respond_as_the_deadline_passes(status: int) -> Handler:
    """Return a handler that writes to the caller in the turn in which the deadline is found to have
    passed, as in a process that had no processor time.
    """

    async def handler(spec: CallSpec, sink: ResponseSink) -> CallResult:
        clock = trio.lowlevel.current_clock()
        assert isinstance(clock, MockClock)
        sink.mark_dispatched()
        clock.jump(1.0)
        await trio.lowlevel.cancel_shielded_checkpoint()
        if status < 200:
            await sink.informational(status, ())
        else:
            await sink.head(status, ((b"content-type", b"text/event-stream"),), None)
        await trio.sleep_forever()
        raise AssertionError

    return handler


def route_by_id(handlers: dict[str, Handler]) -> list[Handler]:
    """Return handlers that look at the id, since concurrent requests reach targets in any order."""

    async def handler(spec: CallSpec, sink: ResponseSink) -> CallResult:
        return await handlers[spec.request_id](spec, sink)

    # One more for a second try.
    return [handler] * (len(handlers) + 1)


def get(number: int, deadline_ms: int) -> bytes:
    """Return a safe request."""
    lines = ("GET /safe/%d HTTP/1.1", "Host: h.example", "X-Id: r%d", "X-Deadline: %d", "", "")
    return ("\r\n".join(lines) % (number, number, deadline_ms)).encode("ascii")


class Caller:
    """Read the responses on one connection."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self._data = b""
        self._started_s = trio.current_time()

    async def read(self) -> Response:
        """Return the next response; raises BrokenResourceError, EOFError and RemoteProtocolError.

        Each response gets a parser of its own, since h11 has no client side of pipelining.
        """
        conn = h11.Connection(h11.CLIENT)
        conn.send(h11.Request(method="GET", target="/", headers=[("host", "h")]))
        conn.send(h11.EndOfMessage())
        conn.receive_data(self._data) if self._data else None
        status, body = 0, b""
        while not isinstance(event := conn.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                data = await self.stream.receive_some(65_536)
                if not data:
                    raise EOFError
                conn.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
        self._data = conn.trailing_data[0]
        return Response(status, body, trio.current_time() - self._started_s)


def run_caller(
    handlers: dict[str, Handler],
    play: Callable[[Caller], Awaitable[None]],
    waiting_bytes: ByteBudget,
    receive_buffer_bytes: int = 0,
) -> World:
    """Run a caller against one connection that the relay serves."""
    # Bytes on loopback take some time, which the clock must not skip.
    clock = MockClock(autojump_threshold=0.02)
    return trio.run(_run_caller, handlers, play, waiting_bytes, receive_buffer_bytes, clock=clock)


async def _run_caller(
    handlers: dict[str, Handler],
    play: Callable[[Caller], Awaitable[None]],
    waiting_bytes: ByteBudget,
    receive_buffer_bytes: int,
) -> World:
    world = await start_world(route_by_id(handlers))
    log = BoundedLog(LogSettings(), world.counters, lambda: trio.current_time() * 1_000)

    async def serve(stream: trio.SocketStream) -> None:
        conn = CallerConnection(
            stream,
            CallerSettings(),
            header_names(HEADERS),
            world.relay,
            world.counters,
            log,
            waiting_bytes,
        )
        await conn.serve()
        await trio.aclose_forcefully(stream)

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with trio.open_nursery() as nursery:
        world.relay._kernel._nursery = nursery
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        sock = trio.socket.socket()
        if receive_buffer_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        await sock.connect(listeners[0].socket.getsockname())
        stream = trio.SocketStream(sock)
        with trio.fail_after(60):
            await play(Caller(stream))
        nursery.cancel_scope.cancel()
    return world


class DeadlineTest(unittest.TestCase):
    def test_deadline_of_a_response_that_waits_ends_no_other_request(self) -> None:
        """Guards against a connection that is reset, with all requests on it, because the deadline
        of a large response has passed while it waited for the response ahead of it.
        """
        handlers = {
            "r1": respond_after(1.5, 20),
            "r2": respond_after(0.0, LARGE_BYTES),
            "r3": respond_after(0.1, 30),
        }

        async def play(caller: Caller) -> None:
            await caller.stream.send_all(get(1, 1_900) + get(2, 500) + get(3, 1_900))
            first = await caller.read()
            self.assertEqual((first.status, len(first.body)), (200, 20))
            second = await caller.read()
            self.assertEqual(second.status, 504)
            third = await caller.read()
            self.assertEqual((third.status, len(third.body)), (200, 30))

        run_caller(handlers, play, ByteBudget(0))

    def test_deadline_during_a_transfer_ends_no_later_request(self) -> None:
        """Guards against a response that is cut, with the requests behind it, because its deadline
        passes between its first byte and its last.
        """
        handlers = {
            "r1": respond_after(0.3, LARGE_BYTES, pause_s=0.5),
            "r2": respond_after(0.0, 20),
        }

        async def play(caller: Caller) -> None:
            await caller.stream.send_all(get(1, 500) + get(2, 1_900))
            first = await caller.read()
            self.assertEqual((first.status, len(first.body)), (200, LARGE_BYTES))
            second = await caller.read()
            self.assertEqual((second.status, len(second.body)), (200, 20))

        run_caller(handlers, play, ByteBudget(0))

    def test_response_that_waits_in_memory_is_not_lost_at_its_deadline(self) -> None:
        """Guards against a large response that its upstream has made in time, and that its caller
        does not get, because it had to wait for the response ahead of it.
        """
        handlers = {
            "r1": respond_after(1.5, 20),
            "r2": respond_after(0.0, LARGE_BYTES),
            "r3": respond_after(0.0, LARGE_BYTES),
        }
        statuses = []

        async def play(caller: Caller) -> None:
            await caller.stream.send_all(get(1, 1_900) + get(2, 500) + get(3, 500))
            statuses.extend([(await caller.read()).status for _ in range(3)])

        waiting_bytes = ByteBudget(LARGE_BYTES + LARGE_BYTES // 2)
        run_caller(handlers, play, waiting_bytes)
        # There is room for one of the two.
        self.assertEqual(sorted(statuses), [200, 200, 504])
        self.assertEqual(waiting_bytes.used_bytes, 0)

    def test_memory_of_each_attempt_counts(self) -> None:
        """Guards against two attempts at a time that hold twice the memory for responses, and
        against memory that stays reserved after an attempt or its request has ended.
        """
        waiting_bytes = ByteBudget(3 * LARGE_BYTES)
        used_bytes: list[int] = []

        async def hold(spec: CallSpec, sink: ResponseSink) -> CallResult:
            is_first = not used_bytes
            sink.mark_dispatched()
            await sink.head(200, ((b"content-length", b"%d" % LARGE_BYTES),), None)
            await sink.data(b"x" * (LARGE_BYTES - 1))
            used_bytes.append(waiting_bytes.used_bytes)
            if is_first:
                assert spec.on_silence is not None
                spec.on_silence()
                await trio.sleep(0.2)
                raise PeerFailed(Outcome.UNKNOWN, "the link broke")
            await trio.sleep(0.4)
            used_bytes.append(waiting_bytes.used_bytes)
            await sink.data(b"x")
            await sink.end()
            return CallResult(ok=True, service_ms=400.0, status=200)

        async def play(caller: Caller) -> None:
            await caller.stream.send_all(get(1, 1_900))
            self.assertEqual((await caller.read()).status, 200)
            await trio.sleep(0.1)

        run_caller({"r1": hold}, play, waiting_bytes)
        self.assertEqual(used_bytes, [LARGE_BYTES, 2 * LARGE_BYTES, LARGE_BYTES])
        self.assertEqual(waiting_bytes.used_bytes, 0)

    def test_attempt_that_outlives_its_request_holds_no_memory(self) -> None:
        """Guards against memory that is reserved, or released twice, by an attempt that ends a
        moment after its request, and so counts for ever.
        """

        async def main() -> None:
            owner = SimpleNamespace(waiting_bytes=ByteBudget(1_000))
            req = PipelinedRequest(owner, CallerSettings(), header_names(HEADERS))  # type: ignore
            self.assertTrue(req.try_hold_back(600, 0, until_complete=True))
            req.free()
            self.assertFalse(req.try_hold_back(700, 600, until_complete=True))
            req.release(600)
            self.assertEqual(owner.waiting_bytes.used_bytes, 0)

        trio.run(main)

    def test_time_in_the_buffer_counts_against_the_deadline(self) -> None:
        """Guards against work for a request whose caller has given up while it waited, unread,
        behind one that may not run beside others.
        """
        handlers = {
            "r1": respond_after(1.0, 20),
            "r2": respond_after(0.0, 20),
            "r3": respond_after(0.0, 20),
        }
        statuses = []

        async def play(caller: Caller) -> None:
            post = (
                b"POST /paid/1 HTTP/1.1\r\nHost: h.example\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n"
            )
            await caller.stream.send_all(post + get(2, 500) + get(3, 1_900))
            statuses.extend([(await caller.read()).status for _ in range(3)])

        world = run_caller(handlers, play, ByteBudget(0))
        self.assertEqual(statuses, [200, 503, 200])
        r3 = next(spec for spec in world.specs if spec.request_id == "r3")
        self.assertLess(r3.deadline.at_s - world.specs[0].deadline.at_s, 0.5)

    def test_response_that_never_ends_is_cut_soon_after_its_deadline(self) -> None:
        """Guards against a request without a final answer half a second after its timeout."""
        handlers = {"r1": respond_after(0.1, LARGE_BYTES, pause_s=30.0)}

        async def play(caller: Caller) -> None:
            await caller.stream.send_all(get(1, 500))
            with self.assertRaises(trio.BrokenResourceError):
                await caller.read()
            self.assertLess(trio.current_time(), 1.0)

        run_caller(handlers, play, ByteBudget(0))

    def test_response_whose_turn_comes_after_its_deadline_is_not_begun(self) -> None:
        """Guards against a response without memory that is begun too late to be completed, and so
        cut, with the requests behind it.
        """
        handlers = {
            "r1": respond_after(0.7, 20),
            "r2": respond_after(0.1, LARGE_BYTES, pause_s=0.5),
            "r3": respond_after(0.1, 20),
        }

        async def play(caller: Caller) -> None:
            await caller.stream.send_all(get(1, 1_900) + get(2, 500) + get(3, 1_900))
            self.assertEqual([(await caller.read()).status for _ in range(3)], [200, 504, 200])

        run_caller(handlers, play, ByteBudget(0))

    def test_deadline_right_before_the_first_byte_ends_no_later_request(self) -> None:
        """Guards against a connection that is reset, with the requests behind, although no byte of
        the response was written when its deadline passed.
        """

        async def play(caller: Caller) -> None:
            await caller.stream.send_all(get(1, 500) + get(2, 1_900))
            self.assertEqual([(await caller.read()).status for _ in range(2)], [504, 200])

        for status in (103, 200):
            first = respond_as_the_deadline_passes(status)
            with self.subTest(status):
                run_caller(
                    {"r1": first, "r2": respond_after(0.0, 20)}, play, ByteBudget(LARGE_BYTES)
                )

    def test_slow_reader_at_its_deadline_loses_no_later_response(self) -> None:
        """Guards against a whole response that is cut at its deadline because its caller reads it
        slowly, and against the loss of the requests behind it.
        """
        handlers = {"r1": respond_after(0.1, LARGE_BYTES), "r2": respond_after(0.0, 20)}

        async def play(caller: Caller) -> None:
            await caller.stream.send_all(get(1, 500) + get(2, 1_900))
            await trio.sleep(1.5)
            first, second = await caller.read(), await caller.read()
            self.assertEqual((first.status, len(first.body)), (200, LARGE_BYTES))
            self.assertEqual((second.status, len(second.body)), (200, 20))

        run_caller(handlers, play, ByteBudget(LARGE_BYTES), receive_buffer_bytes=4_096)

    def test_response_that_breaks_off_ends_no_later_request(self) -> None:
        """Guards against a connection that is reset, with the requests behind, because the node or
        the link of one of its targets fails in the middle of a large response.
        """

        async def play(caller: Caller) -> None:
            await caller.stream.send_all(get(1, 1_900) + get(2, 1_900))
            first, second = await caller.read(), await caller.read()
            self.assertEqual((first.status, len(first.body)), (200, 2 * LARGE_BYTES))
            self.assertEqual((second.status, len(second.body)), (200, 20))

        # Without a length, the end of a response may be far.
        for has_length in (True, False):
            with self.subTest(has_length=has_length):
                failing = fail_in_the_body(2 * LARGE_BYTES, has_length=has_length)
                handlers = {"r1": failing, "r2": respond_after(0.0, 20)}
                run_caller(handlers, play, ByteBudget(2 * LARGE_BYTES))

    def test_request_behind_a_partly_sent_response_is_not_passed_on(self) -> None:
        """Guards against a request that a target is at work on when the connection must end, since
        the response before it, which has no length, breaks off.
        """

        async def play(caller: Caller) -> None:
            await caller.stream.send_all(get(1, 1_900))
            await caller.stream.receive_some(1_000)
            await caller.stream.send_all(get(2, 1_900))
            with self.assertRaises((trio.BrokenResourceError, EOFError, h11.RemoteProtocolError)):
                while True:
                    await caller.read()

        failing = fail_in_the_body(2 * LARGE_BYTES, has_length=False)
        handlers = {"r1": failing, "r2": respond_after(0.0, 20)}
        world = run_caller(handlers, play, ByteBudget(2 * LARGE_BYTES))
        self.assertEqual([spec.request_id for spec in world.specs], ["r1"])

    def test_response_over_the_limit_is_passed_on_as_it_arrives(self) -> None:
        """Guards against a response of any size that is held in memory until it is complete."""
        n_bytes = CallerSettings().max_held_response_bytes + 1

        async def play(caller: Caller) -> None:
            await caller.stream.send_all(get(1, 1_900))
            with trio.fail_after(0.5):
                await caller.stream.receive_some(1)

        run_caller({"r1": respond_after(0.0, n_bytes, 1.0)}, play, ByteBudget(2 * n_bytes))
