"""Tests of the timer service."""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from knapweedhitch.counters import Counters
from knapweedhitch.kernel import Kernel
from knapweedhitch.timers import GRID_MS, Timers
from tests.decision_fakes import TrioTestCase, settings


class TimersTest(TrioTestCase):
    async def run_timers(self, *intervals_ms: float, seconds: float) -> list[list[float]]:
        """Return the times at which repeated timers of these intervals fire."""
        kernel = Kernel(settings())
        kernel.add("timers", Timers(kernel, random.Random(1)))
        times_ms: list[list[float]] = [[] for _ in intervals_ms]
        async with trio.open_nursery() as nursery:
            await kernel.start(nursery)
            timers = kernel.get("timers")
            for interval_ms, fired_ms in zip(intervals_ms, times_ms, strict=True):
                timers.every(
                    interval_ms,
                    lambda fired=fired_ms: fired.append(timers.now_ms()),
                    align=True,
                )
            await trio.sleep(seconds)
            nursery.cancel_scope.cancel()
        return times_ms

    async def test_repeated_timers_share_wake_ups(self) -> None:
        """Guards against a node at rest that wakes up for each timer alone: with these intervals it
        woke up 45 times a second.
        """
        times_ms = await self.run_timers(62.5, 125.0, 200.0, 250.0, 500.0, 500.0, seconds=10.0)
        wakeups = {round(at_ms, 3) for fired_ms in times_ms for at_ms in fired_ms}
        self.assertLessEqual(len(wakeups), 10 * 16 + 1)

    async def test_aligned_timers_do_not_drift(self) -> None:
        """Guards against heartbeats or polls that come late, twice or less often when aligned."""
        for interval_ms in (62.5, 100.0, 200.0, 500.0, 3_000.0):
            (fired_ms,) = await self.run_timers(interval_ms, seconds=30.0)
            with self.subTest(interval_ms):
                self.assertGreaterEqual(len(fired_ms), 30_000 // interval_ms - 1)
                start_ms = fired_ms[0]
                for n, at_ms in enumerate(fired_ms):
                    self.assertAlmostEqual(at_ms, start_ms + n * interval_ms, delta=GRID_MS)

    async def test_failing_function_does_not_stop_the_others(self) -> None:
        """Guards against a process that ends because one periodic function fails, and against one
        that goes on with a broken invariant.
        """
        kernel = Kernel(settings())
        counters = Counters()
        kernel.add("counters", counters)
        kernel.add("timers", Timers(kernel, random.Random(1)))
        fired: list[int] = []

        def fail() -> None:
            raise ZeroDivisionError

        async def run(function: Callable[[], None]) -> None:
            async with trio.open_nursery() as nursery:
                await kernel.start(nursery)
                kernel.get("timers").every(100.0, function)
                kernel.get("timers").every(100.0, lambda: fired.append(1))
                await trio.sleep(1.05)
                nursery.cancel_scope.cancel()

        await run(fail)
        self.assertEqual((len(fired), counters.get("timer_errors", "ZeroDivisionError")), (10, 10))

        def break_invariant() -> None:
            raise AssertionError

        with self.assertRaises(ExceptionGroup):
            await run(break_invariant)

    async def test_timer_that_was_held_up_does_not_catch_up(self) -> None:
        """Guards against a burst of calls after the process was suspended."""
        kernel = Kernel(settings())
        timers = Timers(kernel, random.Random(1))
        calls = 0

        def count() -> None:
            nonlocal calls
            calls += 1

        timers.every(100.0, count)
        await trio.sleep(10.0)
        timers._fire_due()
        self.assertEqual(calls, 1)
