"""Tests of background tasks that raise, and of the record of unexpected exceptions."""

from __future__ import annotations

import types
import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

import trio
import trio.testing

from knapweedhitch import codec, faults, runtime
from knapweedhitch.counters import Counters
from knapweedhitch.exceptions import InvariantViolated, PeerError
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.messages import FeedPoll, IndirectProbe, Ping
from knapweedhitch.settingsfile import SettingsFile
from knapweedhitch.supervisor import MAX_BACKOFF_MS, STEADY_MS, OnFault, Task
from tests.fake_net import make_settings, running_nodes
from tests.test_membership import cluster
from tests.test_peers import run_on_mock_clock


def run_mock(main: Callable[[], Awaitable[None]]) -> None:
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class TaskTest(unittest.TestCase):
    def setUp(self) -> None:
        faults._logged_s.clear()
        self.kernel = Kernel(types.SimpleNamespace())  # type: ignore[arg-type]
        self.counters = Counters(self.kernel)
        self.kernel.add("counters", self.counters)
        self.starts_s: list[float] = []

    def run_task(self, on_fault: OnFault, task: Task, for_s: float) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.kernel.run, [])
                self.start_s = trio.current_time()
                self.kernel.start_task(on_fault, task)
                await trio.sleep(for_s)
                nursery.cancel_scope.cancel()

        run_mock(main)

    def record_start(self) -> None:
        self.starts_s.append(round(trio.current_time() - self.start_s, 3))

    def test_failed_task_starts_again_with_a_bounded_backoff(self) -> None:
        """Guards against a task whose first unexpected exception ends the process, or that runs
        hot while its cause lasts.
        """

        async def fail() -> None:
            self.record_start()
            raise ValueError("unexpected")

        self.run_task(OnFault.RESTART, fail, 60.0)
        self.assertEqual(self.starts_s[:4], [0.0, 0.1, 0.3, 0.7])
        self.assertEqual(self.starts_s[-1] - self.starts_s[-2], MAX_BACKOFF_MS / 1_000)
        name = fail.__qualname__
        self.assertEqual(self.counters.get("task_faults", name), 12)

    def test_task_that_ran_for_long_starts_again_soon(self) -> None:
        """Guards against waits that grow with each fault in the lifetime of a process."""

        async def fail_late() -> None:
            self.record_start()
            await trio.sleep(STEADY_MS / 1_000)
            raise ValueError("unexpected")

        self.run_task(OnFault.RESTART, fail_late, 250.0)
        self.assertEqual(self.starts_s, [0.0, 60.1, 120.2, 180.3, 240.4])

    def test_failed_request_ends_alone(self) -> None:
        """Guards against one request whose fault is repeated, or ends the process."""

        async def fail() -> None:
            self.record_start()
            raise ValueError("unexpected")

        with mock.patch.object(faults.logs, "warning") as warning:
            self.run_task(OnFault.END, fail, 60.0)
        self.assertEqual(self.starts_s, [0.0])
        self.assertFalse(self.kernel.supervisor.stop_requested.is_set())
        self.assertIn("unexpected", warning.call_args.kwargs["traceback"])

    def test_broken_invariant_ends_the_process(self) -> None:
        """Guards against a process that goes on with a state that is known to be wrong."""

        async def fail() -> None:
            raise ExceptionGroup("tasks", [AssertionError("two leaders in a term")])

        for on_fault in OnFault:
            with self.assertRaises(ExceptionGroup):
                self.run_task(on_fault, fail, 60.0)


class ProcessTest(unittest.TestCase):
    def test_process_stops_in_order_without_a_task_that_it_needs(self) -> None:
        """Guards against requests that are cut when a listener or the timers fail."""
        begun: list[str] = []

        @service("test_drain")
        class FakeDrain:
            def __init__(self, kernel: Kernel) -> None:
                self.kernel = kernel
                self.finished = trio.Event()

            async def start(self) -> None: ...

            async def stop(self) -> None: ...

            def begin(self) -> None:
                begun.append("planned stop")
                self.finished.set()

        @service("test_failing")
        class Failing(FakeDrain):
            async def start(self) -> None:
                self.kernel.start_task(OnFault.STOP, self._fail)

            async def _fail(self) -> None:
                await trio.sleep(0.01)
                raise ValueError("unexpected")

        services = (
            ("counters", "counters"),
            ("timers", "timers"),
            ("drain=test_drain", "counters"),
            ("test_failing", "counters"),
        )
        file = mock.Mock(spec=SettingsFile)
        code = runtime.run_services(make_settings("n0"), services, file)
        self.assertEqual((code, begun), (runtime.EXIT_FAULT, ["planned stop"]))


class NodeTest(unittest.TestCase):
    def setUp(self) -> None:
        faults._logged_s.clear()

    @run_on_mock_clock
    async def test_datagram_with_an_unexpected_error_ends_nothing(self) -> None:
        """Guards against a datagram that ends the process, or holds up those behind it."""
        async with cluster(2) as c:
            with mock.patch.object(c.view(0).prober, "on_indirect", side_effect=ValueError):
                msg = IndirectProbe(1, "n1", "n1")
                c.view(1).socket.send(msg, c.view(0).own_member.address)
                await trio.sleep(30)
            self.assertEqual(c.nodes[0].counters.get("faults", "datagram_fault"), 1)
            self.assertEqual(len(c.view(0).members()), 2)

    @run_on_mock_clock
    async def test_sync_with_an_unexpected_error_starts_again(self) -> None:
        """Guards against a background task of membership that ends the process."""
        async with cluster(2) as c:
            counters = c.nodes[0].counters
            with mock.patch.object(c.view(0).syncer, "_sync", side_effect=ValueError):
                await trio.sleep(30)
            self.assertGreater(counters.get("task_faults", "Syncer.run"), 0)
            synced = counters.get("member_syncs", "ok")
            await trio.sleep(60)
            self.assertGreater(counters.get("member_syncs", "ok"), synced)

    @run_on_mock_clock
    async def test_link_with_an_unexpected_error_is_replaced(self) -> None:
        """Guards against a frame that ends a link without a line in the log."""
        async with running_nodes(2) as (near, far):
            far.peers.handle(FeedPoll, _reply)
            await near.peers.call("n1", FeedPoll(0, False), 1_000)
            with (
                mock.patch.object(codec, "decode", side_effect=ValueError),
                self.assertRaises(PeerError),
            ):
                await near.peers.call("n1", FeedPoll(0, False), 1_000)
            self.assertGreater(far.counters.get("faults", "link_fault"), 0)
            await trio.sleep(1)
            await near.peers.call("n1", FeedPoll(0, False), 1_000)

    @run_on_mock_clock
    async def test_handler_that_finds_the_durable_state_wrong_ends_the_process(self) -> None:
        """Guards against a control instance that votes on with a wrong log."""

        async def fail(node_id: str, msg: Any) -> codec.Message:
            raise InvariantViolated("the log lost an entry")

        with self.assertRaises(ExceptionGroup) as caught:
            async with running_nodes(2) as (near, far):
                far.peers.handle(FeedPoll, fail)
                await near.peers.call("n1", FeedPoll(0, False), 1_000)
        self.assertTrue(faults.breaks_invariant(caught.exception))


async def _reply(node_id: str, msg: Any) -> codec.Message:
    return Ping(1)
