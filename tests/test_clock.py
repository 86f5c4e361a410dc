"""Tests of the clock of the event loop."""

from __future__ import annotations

import time
import unittest
from typing import Any
from unittest import mock

import trio

from knapweedhitch import runtime
from knapweedhitch.clock import SuspendAwareClock
from tests.decision_fakes import settings

SUSPENDED_S = 10.0


class SuspendedTest(unittest.TestCase):
    def run_suspended(self, fn: Any) -> Any:
        """Run an async function whose instance is suspended when `suspend` is called."""
        suspended_s = 0.0
        read_clock = time.clock_gettime

        def read_boot_time(clock: int) -> float:
            # Only this clock counts the time in which the instance was suspended.
            return read_clock(clock) + suspended_s * (clock == time.CLOCK_BOOTTIME)

        def suspend() -> None:
            nonlocal suspended_s
            suspended_s += SUSPENDED_S

        with mock.patch("time.clock_gettime", read_boot_time):
            return trio.run(fn, suspend, clock=SuspendAwareClock())

    def test_deadlines_pass_while_the_instance_is_suspended(self) -> None:
        """Guards against a process that acts on a lease that ran out while it was suspended."""

        async def hold_lease(suspend: Any) -> bool:
            with trio.CancelScope(deadline=trio.current_time() + SUSPENDED_S / 2) as scope:
                suspend()
                await trio.sleep(SUSPENDED_S / 4)
            return scope.cancelled_caught

        self.assertTrue(self.run_suspended(hold_lease))

    def test_daemon_uses_the_clock(self) -> None:
        """Guards against a daemon that runs on the default clock, which stops when suspended."""
        clocks: list[trio.abc.Clock] = []

        async def serve(*args: Any) -> None:
            clocks.append(trio.lowlevel.current_clock())

        with (
            mock.patch.object(runtime, "serve", serve),
            mock.patch.object(runtime, "load_services", return_value=[]),
        ):
            code = runtime.run_services(settings(), (), mock.Mock())
        self.assertEqual(code, runtime.EXIT_OK)
        self.assertIsInstance(clocks[0], SuspendAwareClock)
