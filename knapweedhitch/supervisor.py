"""Background tasks of a process, and what an unexpected exception of one does."""

from __future__ import annotations

import enum
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import trio

from knapweedhitch import faults
from knapweedhitch.clock import MS_PER_S, now_ms

if TYPE_CHECKING:
    from knapweedhitch.kernel import Kernel

FIRST_BACKOFF_MS = 100.0
MAX_BACKOFF_MS = 10_000.0
# A task that has run for this long starts with the first backoff again.
STEADY_MS = 60_000.0

Task = Callable[..., Awaitable[Any]]


class OnFault(enum.Enum):
    """List what an unexpected exception of a task does."""

    # The task serves one request or one round; the next one starts a new task.
    END = "end"
    # The task keeps no state between two rounds, or only state that each round checks.
    RESTART = "restart"
    # The process can't go on without the task: it stops as on SIGTERM, then exits with 1.
    STOP = "stop"


class Supervisor:
    """Run the background tasks of a process; a broken invariant ends the process at once."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        # Set once the process must stop, with the name of the task.
        self.stop_requested = trio.Event()
        self.failed_task = ""

    async def run(self, on_fault: OnFault, fn: Task, *args: object) -> None:
        """Run a task until it returns, ends by a fault or is cancelled."""
        backoff_ms = FIRST_BACKOFF_MS
        while True:
            started_ms = now_ms()
            try:
                await fn(*args)
                return
            except Exception as exc:
                if faults.breaks_invariant(exc):
                    raise
                self._record(on_fault, fn, exc)
            if on_fault is OnFault.STOP:
                self.failed_task = _name(fn)
                self.stop_requested.set()
            if on_fault is not OnFault.RESTART:
                return
            if now_ms() - started_ms >= STEADY_MS:
                backoff_ms = FIRST_BACKOFF_MS
            await trio.sleep(backoff_ms / MS_PER_S)
            backoff_ms = min(2 * backoff_ms, MAX_BACKOFF_MS)

    def _record(self, on_fault: OnFault, fn: Task, exc: Exception) -> None:
        counters = self._kernel.get("counters")
        counters.add("task_faults", _name(fn))
        faults.record(counters, "task_fault", exc, task=_name(fn), action=on_fault.value)


def _name(fn: Task) -> str:
    return getattr(fn, "__qualname__", repr(fn))
