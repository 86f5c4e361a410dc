"""Tests of caller connections: response order, hop-by-hop headers, limits and backpressure."""

from __future__ import annotations

import subprocess
import sys
import tracemalloc
import unittest

import trio

from knapweedhitch import settings
from knapweedhitch.model import Address
from knapweedhitch.pool import connect_tcp
from tests.request_world import Caller, World, in_node, stream_pair

MEGABYTE = 1_000_000
REQUEST_HEAD = b"GET /%d HTTP/1.1\r\nHost: shop.test\r\nx-stand-in: size=%d,delay_ms=%d\r\n\r\n"


class IngressTest(unittest.TestCase):
    @in_node()
    async def test_pipelined_requests_are_answered_in_order(self, world: World) -> None:
        """Guards against a fast response that overtakes a slow one on the same connection."""
        up = world.add_upstream("up-1", local=True)
        caller = world.caller()
        await caller.send(REQUEST_HEAD % (1, 5, 300) + REQUEST_HEAD % (2, 7, 0))
        sizes = [len((await caller.read_response()).body) for _ in range(2)]
        self.assertEqual(sizes, [5, 7])
        # Pipelined safe requests run concurrently, so only their responses have an order.
        self.assertEqual(sorted(request.target for request in up.requests), ["/1", "/2"])

    @in_node()
    async def test_a_100_continue_is_sent_only_when_the_body_is_read(self, world: World) -> None:
        """Guards against 100 Continue before a refusal, and against its absence otherwise."""
        world.add_upstream("up-1", local=True)
        for host, expected in ((b"shop.test", b"HTTP/1.1 100 "), (b"x.test", b"HTTP/1.1 404 ")):
            caller = world.caller()
            await caller.send(
                b"POST / HTTP/1.1\r\nHost: %s\r\nContent-Length: 1\r\n"
                b"Expect: 100-continue\r\n\r\n" % host
            )
            self.assertEqual((await caller.stream.receive_some())[:13], expected)
        caller = world.caller()
        response = await caller.call("POST", body=b"x", headers="Expect: 100-continue\r\n")
        self.assertEqual(response.status, 200)

    @in_node()
    async def test_hop_by_hop_headers_are_not_forwarded(self, world: World) -> None:
        """Guards against forwarded hop-by-hop headers, and forwarded headers of this system."""
        up = world.add_upstream("up-1", local=True)
        await world.caller().call(
            headers="Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n"
            "Keep-Alive: 5\r\nProxy-Authorization: p\r\nKnapweedhitch-Outcome: x\r\nX-End: 1\r\n"
        )
        names = set(up.requests[0].headers)
        system_names = {"request-id", "exchange", "deadline-ms", "retries", "depth"}
        expected = {"host", "x-end", "x-request-id"}
        expected |= {"knapweedhitch-" + name for name in system_names - {"request-id"}}
        self.assertEqual(names, expected)

    @in_node(callers=settings.CallerSettings(idle_timeout_ms=100, write_timeout_ms=500))
    async def test_idle_callers_and_slow_readers_are_closed(self, world: World) -> None:
        """Guards against idle or slow callers that occupy a connection forever."""
        up = world.add_upstream("up-1", local=True)
        idle = world.caller()
        self.assertEqual(await idle.stream.receive_some(), b"")
        slow = world.caller(lockstep=True)
        with trio.move_on_after(2):
            await slow.send(REQUEST_HEAD % (1, 50 * MEGABYTE, 0))
            await trio.sleep_forever()
        self.assertTrue(slow.server_stream.reset, "a truncated response must end with a reset")
        self.assertEqual(world.counters.get("caller_gone"), 1)
        self.assertEqual((up.in_flight, world.pool._idle_count), (0, 0))

    @in_node(callers=settings.CallerSettings(max_connections=1))
    async def test_a_connection_over_the_limit_is_refused(self, world: World) -> None:
        """Guards against an unbounded number of connections."""
        server = world.kernel.get("ingress")._server
        server.active = 1
        client_stream, server_stream = stream_pair()
        world.kernel.nursery.start_soon(server.handle, server_stream)
        response = await Caller(client_stream, server_stream).read_response()
        self.assertEqual(response.headers["knapweedhitch-reason"], "too-many-connections")
        server.active = 2
        client_stream, server_stream = stream_pair()
        await server.handle(server_stream)
        self.assertEqual(await client_stream.receive_some(), b"")

    @in_node()
    async def test_long_bodies_pass_with_bounded_memory(self, world: World) -> None:
        """Guards against bodies that are buffered completely; 200 MB pass in each direction."""
        up = world.add_upstream("up-1", local=True)
        world.lockstep = True
        caller = world.caller(lockstep=True)
        size, part = 200 * MEGABYTE, bytes(MEGABYTE)
        tracemalloc.start()

        async def send() -> None:
            await caller.send(
                b"POST / HTTP/1.1\r\nHost: shop.test\r\nx-stand-in: size=%d\r\n"
                b"Content-Length: %d\r\n\r\n" % (size, size)
            )
            for _ in range(size // MEGABYTE):
                await caller.send(part)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            response = await caller.read_response()
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        self.assertEqual(
            (response.status, response.is_complete, up.requests[0].is_complete), (200, True, True)
        )
        self.assertEqual(
            (up.requests[0].body_bytes, caller.server_stream.sent > size), (size, True)
        )
        self.assertLess(peak, 16 * MEGABYTE)


class StandInTest(unittest.TestCase):
    def test_a_stand_in_process_answers_over_a_socket_without_delay(self) -> None:
        """Guards against sockets that use Nagle's algorithm, and a stand-in that does not serve."""
        args = [sys.executable, "-m", "tests.stand_in", "--service", "shop"]
        with subprocess.Popen(args, stdout=subprocess.PIPE, text=True) as process:
            try:
                assert process.stdout is not None
                address = process.stdout.readline().split("address=")[1].strip()
                trio.run(self._check_stand_in, address)
            finally:
                process.terminate()

    async def _check_stand_in(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        with trio.fail_after(20):
            async with await connect_tcp(Address(host, int(port))) as stream:
                assert isinstance(stream, trio.SocketStream)
                option = (trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY)
                self.assertTrue(stream.getsockopt(*option))
                await stream.send_all(REQUEST_HEAD % (1, 3, 0))
                self.assertEqual((await stream.receive_some())[:12], b"HTTP/1.1 200")
