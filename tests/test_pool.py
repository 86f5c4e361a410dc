"""Tests of connections that are reused between exchanges."""

from __future__ import annotations

import unittest

import trio

from knapweedhitch.deadline import Deadline
from knapweedhitch.exceptions import (
    BodyTimeout,
    Outcome,
    UpstreamFailed,
    UpstreamShed,
    UpstreamTimedOut,
    UpstreamUnreachable,
)
from knapweedhitch.exchange import CallSpec
from knapweedhitch.model import Address
from knapweedhitch.pool import refused_result
from knapweedhitch.settings import UpstreamSettings
from tests.request_world import World, in_node


class RefusedResultTest(unittest.TestCase):
    def test_only_exchanges_that_the_upstream_broke_count_as_broken(self) -> None:
        """Guards against calls that are held back from a sound upstream after timeouts, refusals or
        failures of the caller.
        """
        for refusal, is_broken in (
            (UpstreamFailed(Outcome.UNKNOWN), True),
            (UpstreamFailed(Outcome.NOT_RUN), False),
            (UpstreamShed(Outcome.NOT_RUN), False),
            (UpstreamTimedOut(Outcome.UNKNOWN), False),
            (UpstreamUnreachable(Outcome.NOT_RUN), False),
            (BodyTimeout(Outcome.UNKNOWN), False),
        ):
            self.assertEqual(refused_result(refusal, 1.0).broken, is_broken, refusal)


class PoolTest(unittest.TestCase):
    @in_node()
    async def test_unsound_idle_connections_are_not_used(self, world: World) -> None:
        """Guards against reuse of an idle connection on which EOF or a stray response arrived."""
        up = world.add_upstream("up-1", local=True)
        for stray in (b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother", b""):
            await world.caller().call()
            stream = world.upstream_streams[-1].peer
            await (stream.send_all(stray) if stray else stream.aclose())
            connections_before = up.connections
            response = await world.caller().call("POST")
            self.assertEqual(
                (response.status, response.body, up.connections),
                (200, b"\0\0", connections_before + 1),
            )

    @in_node()
    async def test_dispatch_is_recorded_before_the_first_byte(self, world: World) -> None:
        """Guards against a cancel that is confirmed as not run after bytes were sent."""
        world.add_upstream("up-1", local=True)
        events: list[str] = []

        class Sink:
            def mark_dispatched(self) -> None:
                sent = world.upstream_streams[-1].peer.received if world.upstream_streams else -1
                events.append(f"dispatched after {sent} bytes")

            async def head(self, *_: object) -> None:
                events.append("head")

            async def data(self, _: bytes) -> None: ...

            async def end(self) -> None: ...

        call = CallSpec(
            "r", "shop", "up-1", "GET", b"/", ((b"host", b"shop"),), False,
            Deadline.after_ms(1_000), 0, 0, 1,
        )  # fmt: skip
        await world.pool.exchange(Address("127.0.0.1", 9_000), call, None, Sink())
        self.assertEqual(events, ["dispatched after 0 bytes", "head"])

    @in_node()
    async def test_unsafe_calls_avoid_connections_that_were_idle(self, world: World) -> None:
        """Guards against unsafe calls that fail on a connection the upstream has just closed."""
        up = world.add_upstream("up-1", local=True)
        for method, idle_s, connections in (("GET", 0, 1), ("POST", 0.5, 1), ("POST", 1.5, 2)):
            await trio.sleep(idle_s)
            self.assertEqual((await world.caller().call(method)).status, 200)
            self.assertEqual(up.connections, connections, method)
        await trio.sleep(20)
        self.assertEqual(world.pool._idle_count, 0)

    @in_node()
    async def test_stated_idle_timeout_of_an_upstream_is_kept(self, world: World) -> None:
        """Guards against requests that are reset, on a connection that the upstream said it closes
        by then.
        """
        up = world.add_upstream("up-1", local=True)
        steps = ((0, 1, 1), (0.7, 1, 1), (0.9, 1, 2), (0.01, 0, 2), (0.01, -1, 3), (0.9, -1, 3))
        for idle_s, timeout_s, connections in steps:
            await trio.sleep(idle_s)
            await world.caller().call(behaviour=f"keep_alive_s={timeout_s}")
            self.assertEqual(up.connections, connections, (idle_s, timeout_s))

    @in_node()
    async def test_deadline_during_the_body_does_not_cut_the_response(self, world: World) -> None:
        """Guards against a response that is cut at its deadline although its body arrives."""
        world.add_upstream("up-1", local=True)
        headers = "Knapweedhitch-Deadline-Ms: 300\r\n"
        for pause_ms, status in ((200, 200), (5_000, 0)):
            response = await world.caller().call(
                behaviour=f"pause_ms={pause_ms},size=70000", headers=headers
            )
            with self.subTest(pause_ms=pause_ms):
                is_whole = len(response.body) == 70_000
                self.assertEqual((response.status if is_whole else 0), status)

    @in_node()
    async def test_the_connection_of_an_abandoned_call_is_never_used_again(
        self, world: World
    ) -> None:
        """Guards against a late response that goes to the next caller."""
        up = world.add_upstream("up-1", local=True)
        late_response = await world.caller().call(
            behaviour="late_ms=500,size=9", headers="Knapweedhitch-Deadline-Ms: 100\r\n"
        )
        self.assertEqual(late_response.status, 504)
        self.assertEqual(len((await world.caller().call(behaviour="delay_ms=900")).body), 2)
        self.assertEqual((up.connections, world.pool._idle_count), (2, 1))
        self.assertTrue(world.upstream_streams[1].peer.sent)
        self.assertEqual(world.upstream_streams[0].received, 0)

    @in_node(upstream=UpstreamSettings(announcement_ttl_ms=60_000))
    async def test_silence_on_a_new_connection_keeps_the_idle_ones(self, world: World) -> None:
        """Guards against closing all idle connections of an upstream whenever one call is slow."""
        world.add_upstream("up-1", local=True)
        slow, fast = world.caller(), world.caller()
        async with trio.open_nursery() as nursery:
            headers = "Knapweedhitch-Deadline-Ms: 14000\r\n"
            nursery.start_soon(
                lambda: slow.call("POST", behaviour="delay_ms=13000", headers=headers)
            )
            await fast.call()
            await trio.sleep(12)
            self.assertEqual(world.counters.get("silent_exchanges"), 1)
            self.assertEqual(world.pool._idle_count, 1)
        self.assertEqual(world.counters.get("silent_connections"), 0)

    @in_node()
    async def test_a_silent_connection_uses_only_a_part_of_the_deadline(self, world: World) -> None:
        """Guards against a call that waits on a silent connection while new ones work."""
        up = world.add_upstream("up-1", local=True)
        first, second = world.caller(), world.caller()
        async with trio.open_nursery() as nursery:
            for caller in (first, second):
                nursery.start_soon(lambda c: c.call(behaviour="delay_ms=5"), caller)
        up.go_silent()
        start_s = trio.current_time()
        self.assertEqual((await first.call()).status, 200)
        self.assertLess(trio.current_time() - start_s, 3)
        self.assertEqual((up.connections, world.pool._idle_count), (3, 1))
        self.assertEqual(world.counters.get("silent_connections"), 1)
