"""One connection of a caller: requests that were sent ahead run together, answers keep order."""

from __future__ import annotations

import trio

from knapweedhitch.counters import Counters
from knapweedhitch.exceptions import CallerGone, Refusal
from knapweedhitch.framing import HeaderNames, RequestHead
from knapweedhitch.http1 import READ_BYTES, ServerConnection, linger
from knapweedhitch.ingressapi import RequestHandler
from knapweedhitch.settings import CallerSettings
from knapweedhitch.sockets import receive_when_ready, send_at_once

# More bytes sent ahead wait in the socket; a caller that closes behind them is noticed later.
MAX_AHEAD_BYTES = 65_536


class Slot(trio.abc.Stream):
    """Give one request its part of the connection: it writes when its turn has come.

    A slot reads from the connection until it is detached; from then on it only learns that the
    caller has gone.
    """

    def __init__(self, owner: CallerConnection) -> None:
        self._owner = owner
        self.turn = trio.Event()
        self.is_detached = False
        self.has_request = False

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the next bytes of the connection, b"" once the caller has gone."""
        if self.is_detached:
            await self._owner.gone.wait()
            return b""
        return await self._owner.read()

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Write when all earlier requests have been answered."""
        await self.turn.wait()
        rest = await send_at_once(self._owner.stream, bytes(data))
        if rest:
            await self._owner.stream.send_all(rest)

    async def wait_send_all_might_not_block(self) -> None:
        """Return at once; nothing here relies on it."""

    async def aclose(self) -> None:
        """Do nothing; the connection is closed by its owner."""


class CallerConnection:
    """Read the requests of one caller and have them answered in their order."""

    def __init__(
        self,
        stream: trio.abc.Stream,
        cfg: CallerSettings,
        names: HeaderNames,
        router: RequestHandler,
        counters: Counters,
    ) -> None:
        self.stream = stream
        self.gone = trio.Event()
        self._cfg = cfg
        self._names = names
        self._router = router
        self._counters = counters
        self._buffer = b""
        self._slots: list[Slot] = []
        self._conns: set[ServerConnection] = set()
        self._slot_ended = trio.Event()
        self._is_stopping = False
        self._must_linger = False

    def stop_waiting(self) -> None:
        """End the wait for a further request; requests in progress go on."""
        self._is_stopping = True
        for conn in list(self._conns):
            conn.stop_waiting()

    async def read(self) -> bytes:
        """Return the next bytes; raises BrokenResourceError and ClosedResourceError."""
        if self._buffer or self.gone.is_set():
            data, self._buffer = self._buffer, b""
            return data
        try:
            data = await receive_when_ready(self.stream, READ_BYTES)
        except trio.BrokenResourceError:
            self.gone.set()
            raise
        if not data:
            self.gone.set()
        return data

    async def serve(self) -> None:
        """Answer the requests of the connection until it ends."""
        async with trio.open_nursery() as nursery:
            while await self._next(nursery):
                pass
            while self._slots:
                await self._wait_slot_end()
            nursery.cancel_scope.cancel()
        if self._must_linger:
            await linger(self.stream, self._cfg.linger_ms)

    async def _next(self, nursery: trio.Nursery) -> bool:
        """Take one request; return False when the connection takes no further one."""
        slot = Slot(self)
        conn = ServerConnection(slot, self._cfg, self._names, lambda: self._is_last(slot))
        if self._is_stopping:
            conn.stop_waiting()
        self._add(slot, conn)
        try:
            head = await conn.receive_head()
        except Refusal as exc:
            await slot.turn.wait()
            await self._router.refuse_unparsed(conn, exc)
            self._must_linger = True
            self._end(slot, conn)
            return False
        except CallerGone:
            self._counters.add("caller_gone")
            self._end(slot, conn)
            return False
        if head is None:
            self._end(slot, conn)
            return False
        slot.has_request = True
        if head.has_body or not self._router.may_run_concurrently(head):
            await self._watch_until(slot.turn)
            if self.gone.is_set() and not slot.turn.is_set():
                self._end(slot, conn)
                return False
            return await self._run(slot, conn, head)
        self._buffer = conn.pipelined_bytes()
        slot.is_detached = True
        nursery.start_soon(self._run_ahead, slot, conn, head, nursery.cancel_scope)
        while len(self._slots) >= self._cfg.max_pipelined and not self.gone.is_set():
            self._slot_ended = trio.Event()
            await self._watch_until(self._slot_ended)
        return True

    def _is_last(self, slot: Slot) -> bool:
        """Tell whether no request that was read waits for an answer behind the one of the slot."""
        later = self._slots[self._slots.index(slot) + 1 :]
        return not any(other.has_request for other in later)

    async def _watch_until(self, event: trio.Event) -> None:
        """Wait for an event or until the caller has gone; what it sends meanwhile is kept."""

        async def watch() -> None:
            while len(self._buffer) < MAX_AHEAD_BYTES:
                try:
                    data = await receive_when_ready(self.stream, READ_BYTES)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    data = b""
                if not data:
                    self.gone.set()
                    nursery.cancel_scope.cancel()
                    return
                self._buffer += data

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            await event.wait()
            nursery.cancel_scope.cancel()

    async def _run(self, slot: Slot, conn: ServerConnection, head: RequestHead) -> bool:
        """Have a request answered; return whether another one may follow."""
        try:
            await self._router.handle(conn, head)
            goes_on = conn.start_next_request()
            if not slot.is_detached:
                self._buffer = conn.pipelined_bytes()
            if not goes_on:
                self._must_linger = conn.response_ended
                if conn.response_started and not conn.response_ended:
                    conn.reset(self.stream)
            return goes_on
        finally:
            self._end(slot, conn)

    async def _run_ahead(
        self, slot: Slot, conn: ServerConnection, head: RequestHead, scope: trio.CancelScope
    ) -> None:
        if not await self._run(slot, conn, head):
            # What was sent behind an answer that closes the connection counts as not read.
            scope.cancel()

    def _add(self, slot: Slot, conn: ServerConnection) -> None:
        self._slots.append(slot)
        self._conns.add(conn)
        self._slots[0].turn.set()

    def _end(self, slot: Slot, conn: ServerConnection) -> None:
        self._slots.remove(slot)
        self._conns.discard(conn)
        if self._slots:
            self._slots[0].turn.set()
        self._slot_ended.set()

    async def _wait_slot_end(self) -> None:
        self._slot_ended = trio.Event()
        await self._slot_ended.wait()
