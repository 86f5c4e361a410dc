"""Start a second attempt (hedge) if the first one is slower than usual or its node is silent."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable

import trio

from knapweedhitch import logs
from knapweedhitch.attempt import Attempt, Race
from knapweedhitch.exceptions import InternalError, KnapweedhitchError, Outcome, Refusal
from knapweedhitch.kernel import Kernel
from knapweedhitch.model import CallResult
from knapweedhitch.timers import Timers

Execute = Callable[[Attempt], Awaitable[CallResult]]


def is_conclusive(result: CallResult | None) -> bool:
    """Return whether a response ends the race; a server error does not."""
    return result is not None and result.status < 500


class Hedge:
    """Run one attempt, and on demand or after a delay a second; the first good response wins."""

    def __init__(
        self, kernel: Kernel, execute: Execute, make_second: Callable[[], Attempt | None]
    ) -> None:
        self._kernel = kernel
        self._timers: Timers = kernel.get("timers")
        self._execute = execute
        self._make_second = make_second
        self._race = Race()
        self._second: Attempt | None = None
        self._second_result: CallResult | None = None
        self._second_failure: Exception | None = None
        self._second_done = trio.Event()
        self._closed = False

    async def run(self, primary: Attempt, delay_ms: float = math.inf) -> tuple[Attempt, CallResult]:
        """Return the winning attempt with its result; raises Refusal, CallerGone."""
        self._race.enter(primary)
        timer = None
        if delay_ms < math.inf:
            timer = self._timers.after(delay_ms, self.start_second)
        result: CallResult | None = None
        refusal: Refusal | None = None
        try:
            with primary.scope:
                try:
                    result = await self._execute(primary)
                except Refusal as exc:
                    refusal = exc
            self._closed = True
            is_decided = result is not None and (is_conclusive(result) or self._second is None)
            if result is not None and is_decided and self._race.claim(primary):
                return primary, result
            return await self._await_second(primary, result, refusal)
        finally:
            self._closed = True
            if timer is not None:
                timer.cancel()
            if self._second is not None and not self._second_done.is_set():
                self._second.scope.cancel()

    async def _await_second(
        self, primary: Attempt, result: CallResult | None, refusal: Refusal | None
    ) -> tuple[Attempt, CallResult]:
        """Wait for the second attempt after the first one lost or failed."""
        if self._second is not None:
            await self._second_done.wait()
            is_usable = is_conclusive(self._second_result) or result is None
            if self._second_result is not None and is_usable and self._race.claim(self._second):
                return self._second, self._second_result
        if result is not None and self._race.winner in (None, primary):
            return primary, result
        raise refusal or self._second_failure or InternalError(Outcome.UNKNOWN, "no attempt ended")

    def start_second(self) -> None:
        """Start the second attempt unless it has been started or the race is over."""
        if self._closed or self._second is not None or self._race.winner is not None:
            return
        self._second = self._make_second()
        if self._second is not None:
            self._race.enter(self._second)
            self._kernel.nursery.start_soon(self._run_second, self._second)

    async def _run_second(self, attempt: Attempt) -> None:
        try:
            with attempt.scope:
                result = await self._execute(attempt)
                if not is_conclusive(result) or self._race.claim(attempt):
                    self._second_result = result
        except KnapweedhitchError as exc:
            self._second_failure = exc
        except Exception as exc:  # An unexpected error here must not end the process.
            logs.warning("hedge-fault", error=type(exc).__name__, detail=exc)
            self._second_failure = InternalError(Outcome.UNKNOWN, type(exc).__name__)
        finally:
            self._second_done.set()
