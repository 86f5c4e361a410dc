"""Tests of one caller connection: pipelining, response order, and a caller that closes."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable

import logbook
import trio
from trio.testing import MockClock, open_stream_to_socket_listener

from knapweedhitch.boundedlog import BoundedLog
from knapweedhitch.budget import ByteBudget
from knapweedhitch.callerconn import CallerConnection
from knapweedhitch.counters import Counters
from knapweedhitch.exceptions import Refusal
from knapweedhitch.framing import DEFAULT_NAMES, RequestHead
from knapweedhitch.http1 import ServerConnection
from knapweedhitch.settings import CallerSettings, LogSettings

GET = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
POST = b"POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"


class FakeRouter:
    """Respond to a path of digits after that many milliseconds, unless the caller closes."""

    def __init__(self) -> None:
        self.started: list[bytes] = []
        self.abandoned: list[bytes] = []
        self.closing_targets: set[bytes] = set()
        self.cut_targets: set[bytes] = set()
        # These pause for half a second between their head and their body.
        self.slow_body_targets: set[bytes] = set()

    def may_run_concurrently(self, head: RequestHead) -> bool:
        return head.method == "GET"

    async def handle(self, conn: ServerConnection, head: RequestHead) -> None:
        self.started.append(head.target)
        conn.request_id = head.target[1:].decode()
        while head.has_body and await conn.receive() is not None:
            pass
        async with trio.open_nursery() as nursery:

            async def cancel_when_closed() -> None:
                await conn.wait_caller_gone()
                self.abandoned.append(head.target)
                nursery.cancel_scope.cancel()

            nursery.start_soon(cancel_when_closed)
            await trio.sleep(int(head.target[1:]) / 1_000)
            nursery.cancel_scope.cancel()
        if head.target in self.abandoned:
            return
        conn.close_after = head.target in self.closing_targets
        body = head.target[1:]
        if head.target in self.cut_targets:
            conn.failure = "deadline-exceeded"
            await conn.send_head(200, ((b"content-length", b"9"),), [body])
            return
        headers = ((b"content-length", b"%d" % len(body)),)
        if head.target in self.slow_body_targets:
            await conn.send_head(200, headers)
            await trio.sleep(0.5)
            await conn.send_data(body)
            await conn.send_end()
            return
        await conn.send_response(200, headers, [body])

    async def refuse_unparsed(self, conn: ServerConnection, refusal: Refusal) -> None:
        conn.close_after = True
        await conn.send_response(refusal.status, ((b"content-length", b"2"),), [b"00"])


Scenario = Callable[[trio.SocketStream, FakeRouter], Awaitable[None]]


def run_scenario(scenario: Scenario) -> FakeRouter:
    """Run a scenario against one connection on loopback."""
    router = FakeRouter()

    async def serve(stream: trio.SocketStream) -> None:
        counters = Counters()
        log = BoundedLog(LogSettings(), counters, lambda: trio.current_time() * 1_000)
        conn = CallerConnection(
            stream, CallerSettings(), DEFAULT_NAMES, router, counters, log, ByteBudget(0)
        )
        await conn.serve()
        await trio.aclose_forcefully(stream)

    async def main() -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            caller = await open_stream_to_socket_listener(listeners[0])
            with trio.fail_after(20):
                await scenario(caller, router)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0.05))
    return router


async def read_until(stream: trio.SocketStream, n_responses: int) -> bytes:
    data = b""
    while data.count(b"HTTP/1.1 ") < n_responses or not data.endswith(b"00"):
        part = await stream.receive_some()
        if not part:
            break
        data += part
    return data


class PipelineTest(unittest.TestCase):
    def test_pipelined_safe_requests_run_concurrently_and_responses_keep_order(self) -> None:
        """Guards against a safe request that waits for the response to the one before it."""

        async def scenario(caller: trio.SocketStream, router: FakeRouter) -> None:
            start_s = trio.current_time()
            await caller.send_all(GET % 900 + GET % 100 + GET % 500)
            data = await read_until(caller, 3)
            self.assertLess(trio.current_time() - start_s, 1.3)
            positions = [data.index(b"\r\n\r\n" + body) for body in (b"900", b"100", b"500")]
            self.assertEqual(positions, sorted(positions))

        run_scenario(scenario)

    def test_response_to_a_head_request_has_no_body(self) -> None:
        """Guards against a refused HEAD request whose connection is closed without an answer, with
        all other requests on it.
        """

        async def scenario(caller: trio.SocketStream, router: FakeRouter) -> None:
            await caller.send_all((GET % 100).replace(b"GET", b"HEAD") + GET % 200)
            data = await read_until(caller, 2)
            first, second = data.split(b"HTTP/1.1 200 ")[1:]
            self.assertTrue(first.endswith(b"content-length: 3\r\n\r\n"), first)
            self.assertTrue(second.endswith(b"\r\n\r\n200"), second)

        async def refused(caller: trio.SocketStream, router: FakeRouter) -> None:
            await caller.send_all(b"HEAD /1 HTTP/1.1\r\nHost: a\r\nExpect: x\r\n\r\n")
            self.assertIn(b" 417 ", await read_until(caller, 1))

        run_scenario(scenario)
        run_scenario(refused)

    def test_log_names_the_requests_that_end_with_a_connection(self) -> None:
        """Guards against requests that end without any line that tells why."""

        async def scenario(caller: trio.SocketStream, router: FakeRouter) -> None:
            router.cut_targets.add(b"/100")
            await caller.send_all(GET % 100 + GET % 5000 + GET % 6000)
            with self.assertRaises(trio.BrokenResourceError):
                await read_until(caller, 2)

        with logbook.TestHandler() as handler:
            run_scenario(scenario)
        (line,) = [r.message for r in handler.records if "caller_connection_ended" in r.message]
        self.assertIn("id=100 cause=deadline-exceeded reset=1 ended=5000,6000", line)

    def test_request_behind_a_response_that_closes_is_not_passed_on(self) -> None:
        """Guards against a request that is passed on although the response that is being sent has
        told that the connection closes, so that it ends without an answer.
        """

        async def scenario(caller: trio.SocketStream, router: FakeRouter) -> None:
            router.closing_targets.add(b"/100")
            router.slow_body_targets.add(b"/100")
            await caller.send_all(GET % 100)
            await trio.sleep(0.3)
            await caller.send_all(GET % 2000)
            self.assertIn(b"connection: close", (await read_until(caller, 1)).lower())
            self.assertEqual(router.started, [b"/100"])

        run_scenario(scenario)

    def test_close_by_the_caller_cancels_all_of_its_requests(self) -> None:
        """Guards against work on pipelined requests after their caller has closed."""

        async def scenario(caller: trio.SocketStream, router: FakeRouter) -> None:
            await caller.send_all(GET % 5000 + GET % 6000 + GET % 7000)
            await trio.sleep(0.2)
            await caller.aclose()
            await trio.sleep(0.3)
            self.assertEqual(sorted(router.abandoned), [b"/5000", b"/6000", b"/7000"])

        run_scenario(scenario)

    def test_close_by_the_caller_is_noticed_while_a_request_with_a_body_waits(self) -> None:
        """Guards against a close that goes unnoticed while a request with a body waits."""

        async def scenario(caller: trio.SocketStream, router: FakeRouter) -> None:
            await caller.send_all(GET % 5000 + POST % 100)
            await trio.sleep(0.2)
            await caller.aclose()
            await trio.sleep(0.3)
            self.assertEqual(router.abandoned, [b"/5000"])
            self.assertEqual(router.started, [b"/5000"])

        run_scenario(scenario)

    def test_unsafe_request_waits_for_earlier_responses(self) -> None:
        """Guards against an unsafe request that runs although the connection may close first."""

        async def scenario(caller: trio.SocketStream, router: FakeRouter) -> None:
            await caller.send_all(GET % 300 + POST % 100)
            await trio.sleep(0.2)
            self.assertEqual(router.started, [b"/300"])
            await read_until(caller, 2)
            self.assertEqual(router.started, [b"/300", b"/100"])

        run_scenario(scenario)

    def test_planned_stop_answers_pipelined_requests_before_the_close(self) -> None:
        """Guards against a planned stop that cuts off a pipelined request."""

        async def scenario(caller: trio.SocketStream, router: FakeRouter) -> None:
            router.closing_targets |= {b"/100", b"/400"}
            await caller.send_all(GET % 100 + GET % 400)
            data = await read_until(caller, 2)
            self.assertEqual(data.lower().count(b"connection: close"), 1)
            self.assertIn(b"\r\n\r\n400", data)

        run_scenario(scenario)
