"""A second attempt that starts when the first one is slower than usual."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from knapweedhitch import logs
from knapweedhitch.attempt import Attempt, Race
from knapweedhitch.exceptions import InternalError, KnapweedhitchError, Outcome, Refusal
from knapweedhitch.kernel import Kernel
from knapweedhitch.model import CallResult
from knapweedhitch.timers import Timers

Execute = Callable[[Attempt], Awaitable[CallResult]]


def is_good(result: CallResult | None) -> bool:
    """Tell whether an answer ends the race; a server error does not."""
    return result is not None and result.status < 500


class Hedge:
    """Run one attempt, and after a delay a second one; the first good answer wins."""

    def __init__(
        self, kernel: Kernel, execute: Execute, second: Callable[[], Attempt | None]
    ) -> None:
        self._nursery = kernel.nursery
        self._timers: Timers = kernel.get("timers")
        self._execute = execute
        self._second = second
        self._race = Race()
        self._attempt: Attempt | None = None
        self._result: CallResult | None = None
        self._failure: Exception | None = None
        self._done = trio.Event()
        self._closed = False

    async def run(self, primary: Attempt, delay_ms: float) -> tuple[Attempt, CallResult]:
        """Return the winning attempt with its result; raises Refusal, CallerGone."""
        self._race.enter(primary)
        timer = self._timers.after(delay_ms, self._fire)
        result: CallResult | None = None
        failure: Refusal | None = None
        try:
            with primary.scope:
                try:
                    result = await self._execute(primary)
                except Refusal as exc:
                    failure = exc
            timer.cancel()
            ended = result is not None and (is_good(result) or self._attempt is None)
            if result is not None and ended and self._race.claim(primary):
                return primary, result
            return await self._second_result(primary, result, failure)
        finally:
            self._closed = True
            timer.cancel()
            if self._attempt is not None and not self._done.is_set():
                self._attempt.scope.cancel()

    async def _second_result(
        self, primary: Attempt, result: CallResult | None, failure: Refusal | None
    ) -> tuple[Attempt, CallResult]:
        """Wait for the second attempt after the first one has lost or failed."""
        if self._attempt is not None:
            await self._done.wait()
            usable = is_good(self._result) or result is None
            if self._result is not None and usable and self._race.claim(self._attempt):
                return self._attempt, self._result
        if result is not None and self._race.winner in (None, primary):
            return primary, result
        raise failure or self._failure or InternalError(Outcome.UNKNOWN, "no attempt ended")

    def _fire(self) -> None:
        if self._closed or self._race.winner is not None:
            return
        self._attempt = self._second()
        if self._attempt is not None:
            self._race.enter(self._attempt)
            self._nursery.start_soon(self._run_second, self._attempt)

    async def _run_second(self, attempt: Attempt) -> None:
        try:
            with attempt.scope:
                result = await self._execute(attempt)
                if not is_good(result) or self._race.claim(attempt):
                    self._result = result
        except KnapweedhitchError as exc:
            self._failure = exc
        except Exception as exc:  # A fault here must not end the process.
            logs.warning("hedge-fault", error=type(exc).__name__, detail=exc)
            self._failure = InternalError(Outcome.UNKNOWN, type(exc).__name__)
        finally:
            self._done.set()
