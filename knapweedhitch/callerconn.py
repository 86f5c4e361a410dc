"""One connection of a caller; pipelined requests run concurrently and responses stay in order."""

from __future__ import annotations

import trio

from knapweedhitch.boundedlog import BoundedLog
from knapweedhitch.counters import Counters
from knapweedhitch.exceptions import CallerGone, Refusal
from knapweedhitch.framing import HeaderNames, RequestHead
from knapweedhitch.http1 import READ_BYTES, ServerConnection, linger
from knapweedhitch.ingressapi import RequestHandler
from knapweedhitch.settings import CallerSettings
from knapweedhitch.sockets import receive_when_ready, send_at_once

# Further pipelined bytes stay in the socket; a caller that closes after those is noticed later.
MAX_PIPELINED_BYTES = 65_536


class RequestStream(trio.abc.Stream):
    """Present the connection to one request, whose writes wait for all earlier requests.

    The stream reads from the connection until it is detached. A detached stream reads only EOF,
    once the caller has gone.
    """

    def __init__(self, owner: CallerConnection) -> None:
        self._owner = owner
        self.conn: ServerConnection
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
        """Write once all earlier requests are done."""
        await self.turn.wait()
        rest = await send_at_once(self._owner.stream, bytes(data))
        if rest:
            await self._owner.stream.send_all(rest)

    async def wait_send_all_might_not_block(self) -> None:
        """Return at once; no code relies on the wait."""

    async def aclose(self) -> None:
        """Do nothing; the owner closes the connection."""


class CallerConnection:
    """Read the requests of one caller and pass them to the router."""

    def __init__(
        self,
        stream: trio.abc.Stream,
        cfg: CallerSettings,
        names: HeaderNames,
        router: RequestHandler,
        counters: Counters,
        log: BoundedLog,
    ) -> None:
        self.stream = stream
        self.gone = trio.Event()
        self._cfg = cfg
        self._names = names
        self._router = router
        self._counters = counters
        self._log = log
        self._buffer = b""
        self._pending: list[RequestStream] = []
        self._request_ended = trio.Event()
        self._is_stopping = False
        self._must_linger = False

    def stop_waiting(self) -> None:
        """Stop waiting for another request; requests in progress continue."""
        self._is_stopping = True
        for req_stream in self._pending:
            req_stream.conn.stop_waiting()

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
        """Serve the requests of the connection until it ends."""
        async with trio.open_nursery() as nursery:
            while await self._serve_next(nursery):
                pass
            while self._pending:
                await self._wait_for_request_end()
            nursery.cancel_scope.cancel()
        if self._must_linger:
            await linger(self.stream, self._cfg.linger_ms)

    async def _serve_next(self, nursery: trio.Nursery) -> bool:
        """Serve one request; return False if the connection takes no further one."""
        req_stream = RequestStream(self)
        conn = req_stream.conn = ServerConnection(
            req_stream, self._cfg, self._names, lambda: self._is_last(req_stream)
        )
        if self._is_stopping:
            conn.stop_waiting()
        self._add(req_stream)
        try:
            head = await conn.receive_head()
        except Refusal as exc:
            await req_stream.turn.wait()
            await self._router.refuse_unparsed(conn, exc)
            self._must_linger = True
            self._remove(req_stream)
            return False
        except CallerGone:
            self._counters.add("caller_gone")
            self._remove(req_stream)
            return False
        if head is None:
            self._remove(req_stream)
            return False
        req_stream.has_request = True
        if head.has_body or not self._router.may_run_concurrently(head):
            await self._buffer_until(req_stream.turn)
            if self.gone.is_set() and not req_stream.turn.is_set():
                self._remove(req_stream)
                return False
            return await self._run(req_stream, conn, head)
        self._buffer = conn.pipelined_bytes()
        req_stream.is_detached = True
        nursery.start_soon(self._run_concurrently, req_stream, conn, head, nursery.cancel_scope)
        while len(self._pending) >= self._cfg.max_pipelined and not self.gone.is_set():
            self._request_ended = trio.Event()
            await self._buffer_until(self._request_ended)
        return True

    def _is_last(self, req_stream: RequestStream) -> bool:
        """Return whether no later request on the connection waits for its response."""
        later = self._pending[self._pending.index(req_stream) + 1 :]
        return not any(other.has_request for other in later)

    async def _buffer_until(self, event: trio.Event) -> None:
        """Wait for an event or until the caller has gone; buffer the bytes that arrive."""

        async def read_into_buffer() -> None:
            while len(self._buffer) < MAX_PIPELINED_BYTES:
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
            nursery.start_soon(read_into_buffer)
            await event.wait()
            nursery.cancel_scope.cancel()

    async def _run(
        self, req_stream: RequestStream, conn: ServerConnection, head: RequestHead
    ) -> bool:
        """Handle a request; return whether another one may follow."""
        try:
            await self._router.handle(conn, head)
            is_reusable = conn.start_next_request()
            if not req_stream.is_detached:
                self._buffer = conn.pipelined_bytes()
            if not is_reusable:
                self._log_end(conn)
                self._must_linger = conn.response_ended
                if conn.response_started and not conn.response_ended:
                    conn.reset(self.stream)
            return is_reusable
        finally:
            self._remove(req_stream)

    async def _run_concurrently(
        self,
        req_stream: RequestStream,
        conn: ServerConnection,
        head: RequestHead,
        scope: trio.CancelScope,
    ) -> None:
        if not await self._run(req_stream, conn, head):
            # Requests after a response that closes the connection count as not received.
            scope.cancel()

    def _log_end(self, conn: ServerConnection) -> None:
        """Log a request that ends the connection within its response or before other requests."""
        is_cut = conn.response_started and not conn.response_ended
        others = [other.conn for other in self._pending if other.has_request]
        others.remove(conn)
        if self.gone.is_set() or not (is_cut or others):
            return
        cause = conn.failure or "connection-close"
        for other in others:
            other.failure = f"ended-by:{conn.request_id}"
        self._counters.add("caller_connections_ended", cause)
        self._log.event(
            "caller_connection_ended",
            id=conn.request_id,
            cause=cause,
            reset=int(is_cut),
            ended=",".join(other.request_id for other in others),
        )

    def _add(self, req_stream: RequestStream) -> None:
        self._pending.append(req_stream)
        self._pending[0].turn.set()

    def _remove(self, req_stream: RequestStream) -> None:
        self._pending.remove(req_stream)
        if self._pending:
            self._pending[0].turn.set()
        self._request_ended.set()

    async def _wait_for_request_end(self) -> None:
        self._request_ended = trio.Event()
        await self._request_ended.wait()
