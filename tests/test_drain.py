"""Tests of planned and immediate stops."""

from __future__ import annotations

import unittest

import trio

from knapweedhitch.settings import StopSettings
from tests.request_world import World, in_node

SLOW_REQUEST = b"POST / HTTP/1.1\r\nHost: shop.test\r\nx-stand-in: delay_ms=3000\r\n\r\n"


class DrainTest(unittest.TestCase):
    @in_node()
    async def test_a_planned_stop_finishes_all_requests(self, world: World) -> None:
        """Guards against a stop that cuts requests, or refuses them before peers know of it."""
        world.add_upstream("up-1", local=True)
        drain, busy, other = world.kernel.get("drain"), world.caller(), world.caller()
        await other.call()
        await busy.send(SLOW_REQUEST)
        await trio.sleep(0.1)
        drain.begin()
        await trio.sleep(0.5)
        self.assertTrue(world.membership.draining)
        response = await other.call()
        self.assertEqual((response.status, response.headers["connection"]), (200, "close"))
        ready = await world.caller().call("GET", "/.knapweedhitch/ready")
        self.assertEqual(ready.status, 503)
        await trio.sleep(1)
        refused = await world.caller().call()
        self.assertEqual(refused.headers["knapweedhitch-reason"], "node-draining")
        self.assertFalse(drain.finished.is_set())
        self.assertEqual((await busy.read_response()).status, 200)
        await drain.finished.wait()
        self.assertEqual((drain.cut_requests, world.admission.draining), (0, True))
        self.assertEqual(await world.caller().stream.receive_some(), b"", "still open")

    @in_node()
    async def test_request_read_as_the_listener_closes_gets_a_response(self, world: World) -> None:
        """Guards against a stop that ends the process while a request that has just been read waits
        for its refusal.
        """
        drain, caller = world.kernel.get("drain"), world.caller()
        await caller.call()
        count_in_progress = drain._in_progress

        def count_as_a_request_arrives() -> int:
            in_progress = count_in_progress()
            if drain.refusing and not in_progress:
                caller.server_stream.put_received(b"GET / HTTP/1.1\r\nHost: shop.test\r\n\r\n")
            return int(in_progress)

        send_all = caller.server_stream.send_all

        async def send_slowly(data: bytes) -> None:
            # Without the wait, whether the refusal is sent first depends on the order of tasks.
            await trio.sleep(0.02)
            await send_all(data)

        drain._in_progress = count_as_a_request_arrives
        caller.server_stream.send_all = send_slowly  # type: ignore[method-assign]
        sent_bytes = caller.server_stream.sent
        drain.begin()
        await drain.finished.wait()
        self.assertGreater(caller.server_stream.sent, sent_bytes)

    @in_node()
    async def test_a_second_signal_stops_at_once_and_reports_the_cut_requests(
        self, world: World
    ) -> None:
        """Guards against a stop that cannot be forced, or that does not report what it cut."""
        world.add_upstream("up-1", local=True)
        drain, busy = world.kernel.get("drain"), world.caller()
        await busy.send(SLOW_REQUEST)
        await trio.sleep(0.1)
        drain.begin()
        drain.stop_now()
        with trio.fail_after(0.01):
            await drain.finished.wait()
        self.assertEqual(
            (drain.cut_requests, world.counters.get("requests_cut", "second-signal")), (1, 1)
        )

    @in_node(stop=StopSettings(announce_ms=1_000, drain_timeout_ms=1_000))
    async def test_requests_at_the_end_of_a_stop_get_a_response(self, world: World) -> None:
        """Guards against requests that were taken late in a planned stop and are cut at its end
        without a response, paid ones among them.
        """
        world.add_upstream("up-1", local=True)
        drain = world.kernel.get("drain")
        early, late = world.caller(), world.caller()
        await early.send(SLOW_REQUEST)
        await trio.sleep(0.1)
        drain.begin()
        await trio.sleep(0.9)
        await late.send(SLOW_REQUEST)
        with trio.fail_after(1.5):
            for caller in (early, late):
                response = await caller.read_response()
                self.assertEqual(response.headers["knapweedhitch-outcome"], "unknown")
            await drain.finished.wait()

    @in_node()
    async def test_stop_that_fails_ends_the_process(self, world: World) -> None:
        """Guards against a process that never ends, since its stop began after a fault of a task
        and then failed as well.
        """

        def fail(draining: bool) -> None:
            raise ValueError("unexpected")

        world.membership.set_draining = fail  # type: ignore[method-assign]
        drain = world.kernel.get("drain")
        drain.begin()
        with trio.fail_after(5.0):
            await drain.finished.wait()
        self.assertIn("_run_planned_stop", world.kernel.supervisor.failed_task)

    @in_node(stop=StopSettings(announce_ms=1_000, drain_timeout_ms=1_000))
    async def test_request_at_a_node_that_confirms_no_cancel_gets_a_response(
        self, world: World
    ) -> None:
        """Guards against a request that is cut at the end of a stop without a response, because its
        cancel waits for a node that is slow or gone.
        """
        world.add_upstream("up-1")
        drain, caller = world.kernel.get("drain"), world.caller()

        async def wait_for_outcome(*args: object) -> None:
            try:
                await trio.sleep_forever()
            finally:
                with trio.CancelScope(shield=True):
                    await trio.sleep(world.kernel.cfg.peers.cancel_wait_ms / 1_000)

        world.forward.handler = wait_for_outcome
        await caller.send(SLOW_REQUEST)
        await trio.sleep(0.1)
        drain.begin()
        await drain.finished.wait()
        self.assertEqual(drain.cut_requests, 0)
        self.assertEqual((await caller.read_response()).headers["connection"], "close")

    @in_node(stop=StopSettings(announce_ms=1_000, drain_timeout_ms=1_000))
    async def test_request_taken_during_a_stop_ends_before_it(self, world: World) -> None:
        """Guards against an upstream that is told to work on a request beyond the end of the stop,
        and against a request whose outcome is lost with the process.
        """
        world.add_upstream("up-1", local=True)
        drain, late = world.kernel.get("drain"), world.caller()
        drain.begin()
        await trio.sleep(0.9)
        started_s = trio.current_time()
        await late.send(SLOW_REQUEST)
        response = await late.read_response()
        self.assertEqual(response.headers["knapweedhitch-reason"], "deadline-exceeded")
        self.assertLess(trio.current_time() - started_s, 1.1)
