"""One attempt of a call, which buffers the response until it may go to the caller."""

from __future__ import annotations

import math
from collections.abc import Callable, Coroutine
from typing import Any

import trio

from knapweedhitch import framing
from knapweedhitch.deadline import Deadline
from knapweedhitch.exceptions import CallerGone, DeadlineExceeded, Outcome
from knapweedhitch.exchange import Headers
from knapweedhitch.http1 import ServerConnection
from knapweedhitch.model import LoadSample, Target

# Bytes of a response to record that are read after its caller has gone and it is too large, since
# its end tells that the run has ended and the connection can be used again.
MAX_DISCARDED_BYTES = 1_048_576
EVENT_STREAM = (b"content-type", b"text/event-stream")


class Race:
    """Let one of several attempts respond; the first to claim that cancels the others."""

    def __init__(self) -> None:
        self.winner: Attempt | None = None
        self._attempts: list[Attempt] = []

    def enter(self, attempt: Attempt) -> None:
        """Add an attempt; it is cancelled if another one has already won."""
        attempt.race = self
        self._attempts.append(attempt)
        if self.winner is not None:
            attempt.scope.cancel()

    def claim(self, attempt: Attempt) -> bool:
        """Return whether the attempt may respond; the first claim cancels the others."""
        if self.winner is None:
            self.winner = attempt
            for other in self._attempts:
                if other is not attempt:
                    other.scope.cancel()
        return self.winner is attempt


class Attempt:
    """Receive the response of one upstream; buffer a short one until it is complete."""

    def __init__(
        self,
        conn: ServerConnection,
        target: Target,
        added_headers: Headers,
        hold_back_bytes: int,
        max_recorded_bytes: int | None,
    ) -> None:
        self.target = target
        self.scope = trio.CancelScope()
        self.race: Race | None = None
        self.status = 0
        self.load: LoadSample | None = None
        # Set when the response starts to go to the caller; then no other attempt can respond.
        self.committed = False
        self.is_complete = False
        self.caller_gone = False
        self._conn = conn
        self._added_headers = added_headers
        self._hold_back_bytes = hold_back_bytes
        # None if the response is not recorded for an idempotency key.
        self._max_recorded_bytes = max_recorded_bytes
        # Joined, because each part of its own would take some 50 bytes more.
        self._recorded: bytearray | None = None if max_recorded_bytes is None else bytearray()
        self._buffered = bytearray()
        self._size_bytes = 0
        # Bytes of memory that are reserved at the connection.
        self._held_bytes = 0
        self._has_length = False
        self._discarded_bytes = 0
        self.headers: Headers = ()
        # Bounds the wait for the turn of a response for which there is no memory.
        self.deadline = Deadline(math.inf)
        self.on_head: Callable[[Headers], None] = lambda headers: None

    @property
    def size_bytes(self) -> int:
        """Return the number of bytes of the body so far."""
        return self._size_bytes

    def mark_dispatched(self) -> None:
        """Do nothing; the connection of a local call tells its outcome."""

    async def informational(self, status: int, headers: Headers) -> None:
        """Forward a 1xx response unless another attempt has won."""
        if self.race is None or self.race.winner in (None, self):
            await self._write_to_caller(self._conn.send_informational(status, headers))

    async def head(self, status: int, headers: Headers, load: LoadSample | None) -> None:
        """Receive status and headers; commit at once to an event stream or without memory."""
        self.status, self.headers, self.load = status, headers, load
        self.on_head(headers)
        length = framing.content_length(headers)
        # Without a length the end may be far; what comes before it may be wanted at once.
        self._has_length = length is not None
        if EVENT_STREAM in headers or not self._try_hold_back(length or 0):
            await self._commit()

    async def data(self, data: bytes) -> None:
        """Receive a part of the body; raises CallerGone when nobody needs the rest."""
        self._size_bytes += len(data)
        self._record(data)
        if self.caller_gone and self._recorded is None:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                raise CallerGone("closed, and the response is too large to record")
        if self.committed:
            await self._write_to_caller(self._conn.send_data(data))
            return
        self._buffered += data
        if not self._try_hold_back(self._size_bytes):
            await self._commit()

    async def end(self) -> None:
        """Mark the response complete and end it for the caller if it is committed."""
        self.is_complete = True
        if self.committed:
            await self._write_to_caller(self._conn.send_end())

    async def deliver(self) -> None:
        """Write the response if it is still buffered; raises CallerGone."""
        if not self.committed:
            await self._claim()
            self.committed = True
            body = self._take_buffered()
            await self._write_to_caller(
                self._conn.send_response(self.status, self._all_headers(), [body])
            )
        if self.caller_gone:
            raise CallerGone("closed before the response was complete")

    def recorded_body(self) -> bytes | None:
        """Return the whole body, None if it is not recorded or over the limit."""
        return None if self._recorded is None else bytes(self._recorded)

    def _record(self, data: bytes) -> None:
        if self._recorded is not None and self._max_recorded_bytes is not None:
            if self._size_bytes <= self._max_recorded_bytes:
                self._recorded += data
            else:
                self._recorded = None

    def discard(self) -> None:
        """Release the memory of a response that will not be delivered."""
        self._conn.order.release(self._held_bytes)
        self._held_bytes = 0
        self._buffered = bytearray()

    def _try_hold_back(self, n_bytes: int) -> bool:
        if n_bytes <= max(self._hold_back_bytes, self._held_bytes):
            return True
        is_held = self._conn.order.try_hold_back(
            n_bytes, self._held_bytes, until_complete=self._has_length
        )
        if is_held:
            self._held_bytes = n_bytes
        return is_held

    async def _commit(self) -> None:
        await self._claim()
        self.committed = True
        await self._wait_due()
        body = self._take_buffered()
        await self._write_to_caller(self._conn.send_head(self.status, self._all_headers(), [body]))

    async def _wait_due(self) -> None:
        """Wait for the turn of the response; raises DeadlineExceeded.

        Begun after its deadline, it would soon be cut, with the requests behind it.
        """
        if self._conn.order.is_due:
            return
        with trio.move_on_at(self.deadline.at_s):
            await self._conn.order.wait_due()
        if not self._conn.order.is_due:
            raise DeadlineExceeded(Outcome.UNKNOWN, "before the turn of the response")

    def _take_buffered(self) -> bytes:
        body, self._buffered = bytes(self._buffered), bytearray()
        return body

    async def _claim(self) -> None:
        if self.race is not None and not self.race.claim(self):
            # The winner has cancelled this attempt; wait for the cancellation.
            await trio.sleep_forever()

    def _all_headers(self) -> Headers:
        return (*self.headers, *self._added_headers)

    async def _write_to_caller(self, write: Coroutine[Any, Any, None]) -> None:
        """Write; a response to record is read to its end even after the caller has gone."""
        try:
            await write
        except CallerGone:
            self.caller_gone = True
            if self._max_recorded_bytes is None:
                raise
