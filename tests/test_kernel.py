"""Tests of the kernel, the timer service and the token bucket."""

from __future__ import annotations

import types
import unittest

import trio
import trio.testing

from knapweedhitch import kernel as kernel_module
from knapweedhitch.budget import TokenBucket
from knapweedhitch.exceptions import DuplicateRegistration, DuplicateService, UnknownService
from knapweedhitch.kernel import Kernel
from knapweedhitch.timers import Timers

CFG = types.SimpleNamespace()


class Recorder:
    """Record the start and stop of a service."""

    events: list[str]

    def __init__(self, name: str, events: list[str]) -> None:
        self.name = name
        self.events = events

    async def start(self) -> None:
        self.events.append(f"start {self.name}")

    async def stop(self) -> None:
        self.events.append(f"stop {self.name}")


class KernelTest(unittest.TestCase):
    def test_names_are_unique_and_known(self) -> None:
        """Guards against duplicate names, and lookups of unknown services that return None."""
        kernel = Kernel(CFG)
        kernel.add("a", object())
        with self.assertRaises(DuplicateService):
            kernel.add("a", object())
        with self.assertRaises(UnknownService):
            kernel.get("b")
        with self.assertRaises(UnknownService):
            kernel.build(["no such factory"])
        with self.assertRaises(DuplicateRegistration):
            kernel_module.service("timers")(Timers)

    def test_services_stop_in_reverse_order_also_when_cancelled(self) -> None:
        """Guards against a listener that outlives the services it uses after a wrong stop order."""
        events: list[str] = []

        async def main() -> None:
            kernel = Kernel(CFG)
            kernel.add("a", Recorder("a", events))
            kernel.add("b", Recorder("b", events))
            async with trio.open_nursery() as nursery:
                await nursery.start(kernel.run, [])
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(events, ["start a", "start b", "stop b", "stop a"])


class TimersTest(unittest.TestCase):
    def run_timers(self, scenario) -> list[float]:
        fired: list[float] = []

        async def main() -> None:
            kernel = Kernel(CFG)
            timers = Timers(kernel)
            kernel.add("timers", timers)
            async with trio.open_nursery() as nursery:
                await nursery.start(kernel.run, [])
                base = timers.now_ms()
                await scenario(timers, lambda: fired.append(round(timers.now_ms() - base)))
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return fired

    def test_periodic_timer_does_not_drift_and_stops_when_cancelled(self) -> None:
        """Guards against timers that drift, double or fire after cancel."""

        async def scenario(timers: Timers, fn) -> None:
            sub = timers.every(100, fn)
            await trio.sleep(0.35)
            sub.cancel()
            await trio.sleep(1)

        self.assertEqual(self.run_timers(scenario), [100, 200, 300])

    def test_an_earlier_timer_wakes_a_waiting_task(self) -> None:
        """Guards against a timer task that sleeps past a new timer due before the pending one."""

        async def scenario(timers: Timers, fn) -> None:
            timers.after(10_000, fn)
            await trio.sleep(0.01)
            timers.after(50, fn)
            await trio.sleep(0.2)

        self.assertEqual(self.run_timers(scenario), [60])


class TokenBucketTest(unittest.TestCase):
    def test_spending_is_bounded_by_rate_and_burst(self) -> None:
        """Guards against a token bucket that grows beyond its burst while it is unused."""
        now = [0.0]
        bucket = TokenBucket(10, 5, lambda: now[0])
        now[0] = 60_000.0
        self.assertEqual(sum(bucket.take() for _ in range(100)), 5)
        now[0] += 250.0
        self.assertEqual(sum(bucket.take() for _ in range(100)), 2)
        bucket.deposit(100)
        self.assertEqual(bucket.tokens, 5)

    def test_a_clock_that_steps_back_gives_no_tokens(self) -> None:
        """Guards against a refill by a clock that steps back and forth."""
        now = [1_000.0]
        bucket = TokenBucket(10, 5, lambda: now[0], full=False)
        now[0] = 0.0
        self.assertFalse(bucket.take())
