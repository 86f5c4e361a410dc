"""One attempt of a call: the answer is held back until it may go to the caller."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any

import trio

from knapweedhitch import framing
from knapweedhitch.exceptions import CallerGone
from knapweedhitch.exchange import Headers
from knapweedhitch.http1 import ServerConnection
from knapweedhitch.model import LoadSample, Target

EVENT_STREAM = (b"content-type", b"text/event-stream")


class Race:
    """Let one of several attempts answer; the first that claims it ends the others."""

    def __init__(self) -> None:
        self.winner: Attempt | None = None
        self._attempts: list[Attempt] = []

    def enter(self, attempt: Attempt) -> None:
        """Add an attempt; one that enters after the race was won is cancelled."""
        attempt.race = self
        self._attempts.append(attempt)
        if self.winner is not None:
            attempt.scope.cancel()

    def claim(self, attempt: Attempt) -> bool:
        """Return whether the attempt may answer; the first claim cancels the others."""
        if self.winner is None:
            self.winner = attempt
            for other in self._attempts:
                if other is not attempt:
                    other.scope.cancel()
        return self.winner is attempt


class Attempt:
    """Take the answer of one upstream; hold a short one back until it is whole."""

    def __init__(
        self,
        conn: ServerConnection,
        target: Target,
        own_headers: Headers,
        hold_back_bytes: int,
        record_bytes: int | None,
    ) -> None:
        self.target = target
        self.scope = trio.CancelScope()
        self.race: Race | None = None
        self.status = 0
        self.load: LoadSample | None = None
        self.committed = False
        self.whole = False
        self.caller_gone = False
        self._conn = conn
        self._own_headers = own_headers
        self._hold_back_bytes = hold_back_bytes
        # None when the answer is not recorded; else the parts that a claim will keep.
        self._record_bytes = record_bytes
        self._recorded: list[bytes] | None = None if record_bytes is None else []
        self._held: list[bytes] = []
        self._size = 0
        self.headers: Headers = ()

    def mark_dispatched(self) -> None:
        """Do nothing; the outcome of a local call is known from its connection."""

    async def informational(self, status: int, headers: Headers) -> None:
        """Pass a 1xx answer on while no attempt has answered."""
        if self.race is None or self.race.winner in (None, self):
            await self._write_or_note(self._conn.send_informational(status, headers))

    async def head(self, status: int, headers: Headers, load: LoadSample | None) -> None:
        """Take status and headers; an answer that is known to be long is passed on at once."""
        self.status, self.headers, self.load = status, headers, load
        length = framing.content_length(headers)
        if (length is not None and length > self._hold_back_bytes) or EVENT_STREAM in headers:
            await self._commit()

    async def data(self, data: bytes) -> None:
        """Take a part of the body."""
        self._size += len(data)
        self._record(data)
        if self.committed:
            await self._write_or_note(self._conn.send_data(data))
            return
        self._held.append(data)
        if self._size > self._hold_back_bytes:
            await self._commit()

    async def end(self) -> None:
        """Note the whole end; a committed answer is ended for the caller as well."""
        self.whole = True
        if self.committed:
            await self._write_or_note(self._conn.send_end())

    async def deliver(self) -> None:
        """Write the answer if it is still held back; raises CallerGone."""
        if not self.committed:
            await self._claim()
            self.committed = True
            held, self._held = self._held, []
            await self._write_or_note(self._conn.send_whole(self.status, self._all_headers(), held))
        if self.caller_gone:
            raise CallerGone("closed before its answer was complete")

    def recorded_body(self) -> bytes | None:
        """Return the whole body for the record, None when it is over the limit."""
        return None if self._recorded is None else b"".join(self._recorded)

    def _record(self, data: bytes) -> None:
        if self._recorded is not None and self._record_bytes is not None:
            if self._size <= self._record_bytes:
                self._recorded.append(data)
            else:
                self._recorded = None

    async def _commit(self) -> None:
        await self._claim()
        self.committed = True
        held, self._held = self._held, []
        await self._write_or_note(self._conn.send_head(self.status, self._all_headers(), held))

    async def _claim(self) -> None:
        if self.race is not None and not self.race.claim(self):
            # The winner has cancelled this attempt; wait for that to take effect.
            await trio.sleep_forever()

    def _all_headers(self) -> Headers:
        return (*self.headers, *self._own_headers)

    async def _write_or_note(self, write: Coroutine[Any, Any, None]) -> None:
        """Write; the answer of a claimed run is read to its end even without its caller."""
        try:
            await write
        except CallerGone:
            self.caller_gone = True
            if self._record_bytes is None:
                raise
