"""The clock of the event loop, and its time in milliseconds."""

from __future__ import annotations

import math
import time

import trio

MS_PER_S = 1_000.0


class SuspendAwareClock(trio.abc.Clock):
    """Measure time since the start of the instance, including the time it was suspended.

    The default clock of trio stops while the instance is suspended. A lease that ran out meanwhile
    would then still count as valid, and a leader that was replaced would still answer as one.
    """

    def start_clock(self) -> None:
        """Do nothing; the clock always runs."""

    def current_time(self) -> float:
        """Return the seconds since the instance started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the seconds from now to a deadline."""
        return deadline - self.current_time() if deadline < math.inf else math.inf


def now_ms() -> float:
    """Return the current time of the event loop."""
    return trio.current_time() * MS_PER_S
