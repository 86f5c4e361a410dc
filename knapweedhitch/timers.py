"""Timer service that calls subscribed functions."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import math
import random
import time
from collections.abc import Callable

import trio

from knapweedhitch import logs
from knapweedhitch.clock import MS_PER_S, now_ms
from knapweedhitch.kernel import Kernel, service
from knapweedhitch.supervisor import OnFault

# Step of the grid of aligned timers. Wake-ups are most of the processor time of a node at rest.
GRID_MS = 62.5
# An earlier time replaces one that was set if it is earlier by this much.
MIN_GAIN_MS = 1.0
# A periodic function that fails each time must not flood the log.
MIN_ERROR_LINE_GAP_MS = 1_000.0


@dataclasses.dataclass(eq=False, slots=True)
class Subscription:
    """Represent one timer, until `cancel` is called."""

    fn: Callable[[], None]
    interval_ms: float | None
    jitter: float
    align: bool
    # When the timer should fire next, without alignment.
    due_ms: float
    cancelled: bool = False

    def cancel(self) -> None:
        """Cancel the timer; it does not fire again."""
        self.cancelled = True


@service("timers")
class Timers:
    """Call subscribed functions when they are due, from a single task on the trio clock."""

    def __init__(self, kernel: Kernel, rng: random.Random | None = None) -> None:
        self._kernel = kernel
        self._rng = rng or random.Random()
        self._heap: list[tuple[float, int, Subscription]] = []
        self._sequence = itertools.count()
        self._wakeup = trio.Event()
        # Nodes that start at the same moment must not all act at the same moments.
        self._phase_ms = self._rng.uniform(0.0, GRID_MS)
        self._error_logged_ms = -math.inf

    async def start(self) -> None:
        """Start the timer task."""
        self._kernel.start_task(OnFault.STOP, self._run)

    async def stop(self) -> None:
        """Remove all subscriptions."""
        self._heap.clear()

    @staticmethod
    def now_ms() -> float:
        """Return the current time of the event loop."""
        return now_ms()

    @staticmethod
    def wall_ms() -> int:
        """Return the wall-clock time since 1970, for timestamps only."""
        return time.time_ns() // 1_000_000

    def every(
        self,
        interval_ms: float,
        fn: Callable[[], None],
        *,
        jitter: float = 0.0,
        align: bool = False,
    ) -> Subscription:
        """Call fn in each interval, varied at random by up to the given share of it.

        Aligned timers fire at the nearest step of a common grid, so that they share wake-ups.
        """
        sub = Subscription(fn, interval_ms, jitter, align, self.now_ms())
        self._push_repeated(sub, interval_ms)
        return sub

    def after(self, delay_ms: float, fn: Callable[[], None]) -> Subscription:
        """Call fn once after the delay."""
        sub = Subscription(fn, None, 0.0, False, self.now_ms())
        self._push(delay_ms, sub)
        return sub

    def _apply_jitter(self, interval_ms: float, jitter: float) -> float:
        return interval_ms * (1.0 + jitter * (2.0 * self._rng.random() - 1.0))

    def _push_repeated(self, sub: Subscription, interval_ms: float) -> None:
        """Schedule the next call of a repeated timer."""
        now = self.now_ms()
        # Counted from the time that was due, so that late calls and alignment add no drift. Calls
        # that a suspended process has missed are not made up for.
        delay_ms = self._apply_jitter(interval_ms, sub.jitter)
        sub.due_ms = sub.due_ms + delay_ms if sub.due_ms + delay_ms > now else now + delay_ms
        at_ms = sub.due_ms
        if sub.align:
            steps = round((at_ms - self._phase_ms) / GRID_MS)
            at_ms = self._phase_ms + steps * GRID_MS
            if at_ms <= now:
                at_ms += GRID_MS
        self._push(at_ms - now, sub)

    def _push(self, delay_ms: float, sub: Subscription) -> None:
        entry = (self.now_ms() + delay_ms, next(self._sequence), sub)
        heapq.heappush(self._heap, entry)
        if self._heap[0] is entry:
            self._wakeup.set()

    async def _run(self) -> None:
        while True:
            self._fire_due()
            self._wakeup = trio.Event()
            timeout_s = (self._heap[0][0] - self.now_ms()) / MS_PER_S if self._heap else None
            if timeout_s is None:
                await self._wakeup.wait()
            elif timeout_s > 0:
                with trio.move_on_after(timeout_s):
                    await self._wakeup.wait()
            else:
                await trio.lowlevel.checkpoint()

    def _fire_due(self) -> None:
        now = self.now_ms()
        while self._heap and self._heap[0][0] <= now:
            sub = heapq.heappop(self._heap)[2]
            if sub.cancelled:
                continue
            if sub.interval_ms is not None:
                self._push_repeated(sub, sub.interval_ms)
            try:
                sub.fn()
            except AssertionError:
                # A broken invariant ends the process; its state cannot be trusted.
                raise
            except Exception as exc:
                self._record_error(sub, exc)

    def _record_error(self, sub: Subscription, exc: Exception) -> None:
        """Count and log the error of one function, so that the others go on."""
        error = type(exc).__name__
        if self._kernel.has("counters"):
            self._kernel.get("counters").add("timer_errors", error)
        if self.now_ms() - self._error_logged_ms >= MIN_ERROR_LINE_GAP_MS:
            self._error_logged_ms = self.now_ms()
            fn = getattr(sub.fn, "__qualname__", repr(sub.fn))
            logs.warning("timer_error", function=fn, error=error, detail=exc)


class EarliestTimer:
    """Call a function once, at the earliest of the times that were set since its last call."""

    def __init__(self, timers: Timers, fn: Callable[[], None]) -> None:
        self._timers = timers
        self._fn = fn
        self._subscription: Subscription | None = None
        self._due_ms = math.inf

    def set(self, delay_ms: float) -> None:
        """Call the function after the delay, unless it is called before that anyway."""
        due_ms = self._timers.now_ms() + delay_ms
        if due_ms > self._due_ms - MIN_GAIN_MS:
            return
        if self._subscription is not None:
            self._subscription.cancel()
        self._due_ms = due_ms
        self._subscription = self._timers.after(delay_ms, self._fire)

    def _fire(self) -> None:
        self._subscription, self._due_ms = None, math.inf
        self._fn()
