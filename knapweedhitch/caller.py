"""Whether the caller of a request still waits, for requests that have no effect after it left."""

from __future__ import annotations

import trio

from knapweedhitch.clock import MS_PER_S


class Caller:
    """Tell whether the caller of a request still waits for the response."""

    def __init__(self) -> None:
        self._left = trio.Event()

    @property
    def has_left(self) -> bool:
        """Return whether the caller has closed its connection."""
        return self._left.is_set()

    def mark_left(self) -> None:
        """Record that the caller has closed its connection."""
        self._left.set()

    async def wait_until_left(self, timeout_ms: float) -> None:
        """Wait until the caller has left, at most for the timeout."""
        with trio.move_on_after(timeout_ms / MS_PER_S):
            await self._left.wait()
