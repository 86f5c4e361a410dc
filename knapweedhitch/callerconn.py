"""One connection of a caller; pipelined requests run concurrently and responses stay in order."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from knapweedhitch.arrivals import Arrivals
from knapweedhitch.boundedlog import BoundedLog
from knapweedhitch.budget import ByteBudget
from knapweedhitch.closing import linger, linger_unread
from knapweedhitch.counters import Counters
from knapweedhitch.exceptions import CallerGone, Refusal
from knapweedhitch.framing import HeaderNames, RequestHead
from knapweedhitch.http1 import ServerConnection
from knapweedhitch.ingressapi import RequestHandler
from knapweedhitch.settings import CallerSettings
from knapweedhitch.sockets import READ_BYTES, has_room, receive_when_ready, send_at_once

# Further pipelined bytes stay in the socket; a caller that closes after those is noticed later.
MAX_PIPELINED_BYTES = 65_536


class PipelinedRequest(trio.abc.Stream):
    """Present the connection to one request and track the order of its response.

    The stream reads from the connection until it is detached. A detached stream reads only EOF,
    once the caller has gone.
    """

    def __init__(self, owner: CallerConnection, cfg: CallerSettings, names: HeaderNames) -> None:
        self._owner = owner
        self._held_bytes = 0
        self._has_ended = False
        self._due = trio.Event()
        self.conn = ServerConnection(self, cfg, names, self)
        # Cancels the request, which the caller then counts as not received.
        self.scope = trio.CancelScope()
        self.is_detached = False
        self.has_head = False

    # Order of responses

    @property
    def is_due(self) -> bool:
        """Return whether all earlier responses are complete."""
        return self._due.is_set()

    @property
    def is_last(self) -> bool:
        """Return whether no later request on the connection waits for its response."""
        return not self._owner.requests_after(self)

    async def wait_due(self) -> None:
        """Wait until all earlier responses are complete."""
        if not self._due.is_set():
            await self._due.wait()

    @property
    def has_room(self) -> bool:
        """Return whether a short write completes at once."""
        return has_room(self._owner.stream)

    def try_hold_back(self, n_bytes: int, held_bytes: int, *, until_complete: bool) -> bool:
        """Reserve memory for bytes of a response, some of them before; return False if it is full.

        Several attempts may each hold a response.
        """
        if self._has_ended or n_bytes > self.conn.cfg.max_held_response_bytes:
            return False
        if self.is_due and self.is_last and not until_complete:
            return False
        more_bytes = max(0, n_bytes - held_bytes)
        if not self._owner.waiting_bytes.reserve(more_bytes):
            return False
        self._held_bytes += more_bytes
        return True

    def release(self, n_bytes: int) -> None:
        """Release the memory of a response that will not be written."""
        if not self._has_ended:
            self._owner.waiting_bytes.free(n_bytes)
            self._held_bytes -= n_bytes

    def free(self) -> None:
        """Release all memory; an attempt that ends later can reserve no more."""
        self._has_ended = True
        self._owner.waiting_bytes.free(self._held_bytes)
        self._held_bytes = 0

    def set_due(self) -> None:
        """Record that all earlier responses are complete, so that the connection may be idle."""
        if not self._due.is_set():
            self._due.set()
            self.conn.start_idle_timeout()

    # Stream

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the next bytes of the connection, b"" once the caller has gone."""
        if self.is_detached:
            await self._owner.gone.wait()
            return b""
        return await self._owner.read()

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Write to the connection."""
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
        waiting_bytes: ByteBudget,
    ) -> None:
        self.stream = stream
        self.gone = trio.Event()
        self.waiting_bytes = waiting_bytes
        self._cfg = cfg
        self._names = names
        self._router = router
        self._counters = counters
        self._log = log
        self._buffer = b""
        self._arrivals = Arrivals()
        self._pending: list[PipelinedRequest] = []
        self._request_ended = trio.Event()
        # Cancelled when no further request is taken.
        self._reading = trio.CancelScope()
        self._is_stopping = False
        self._must_linger = False
        self._has_responded = False

    def stop_waiting(self) -> None:
        """Stop waiting for another request; requests in progress continue."""
        self._is_stopping = True
        for req in self._pending:
            req.conn.stop_waiting()

    async def read(self) -> bytes:
        """Return the next bytes; raises BrokenResourceError and ClosedResourceError."""
        if self._buffer or self.gone.is_set():
            data, self._buffer = self._buffer, b""
            return data
        try:
            data = await self._receive()
        except trio.BrokenResourceError:
            self.gone.set()
            raise
        if not data:
            self.gone.set()
        return data

    async def _receive(self) -> bytes:
        data = await receive_when_ready(self.stream, READ_BYTES)
        self._arrivals.record(len(data))
        return data

    def requests_after(self, req: PipelinedRequest) -> list[PipelinedRequest]:
        """Return the later requests that wait for their responses."""
        later = self._pending[self._pending.index(req) + 1 :]
        return [other for other in later if other.has_head]

    async def serve(self) -> None:
        """Serve the requests of the connection until it ends."""
        async with trio.open_nursery() as nursery:
            with self._reading:
                while await self._serve_next(nursery):
                    pass
            while self._pending:
                await self._buffer_until_request_end()
        if self._must_linger:
            await linger(self.stream, self._cfg.linger_ms)
        elif self._has_responded and not self.gone.is_set():
            await linger_unread(self.stream, self._cfg.linger_ms)

    async def _serve_next(self, nursery: trio.Nursery) -> bool:
        """Serve one request; return False if the connection takes no further one."""
        req = PipelinedRequest(self, self._cfg, self._names)
        if self._is_stopping:
            req.conn.stop_waiting()
        self._add(req)
        try:
            head = await self._receive_head(req)
            if head is None:
                return False
            if not head.has_body and self._router.may_run_concurrently(head):
                if not await self._wait_for_partial_responses(req):
                    return False
                self._buffer = req.conn.pipelined_bytes() + self._buffer
                req.is_detached = True
                nursery.start_soon(self._run_concurrently, req, head)
            else:
                await self._buffer_until(req.wait_due)
                if not req.is_due:
                    return False
                return await self._run(req, head)
        finally:
            if not req.is_detached:
                self._remove(req)
        while len(self._pending) >= self._cfg.max_pipelined and not self.gone.is_set():
            await self._buffer_until_request_end()
        return True

    async def _wait_for_partial_responses(self, req: PipelinedRequest) -> bool:
        """Wait while a part of an earlier response is sent; return False if the caller has gone.

        If that response is cut, the connection ends, and a request that has been passed on is lost.
        """
        while any(other.conn.is_partly_sent for other in self._pending if other is not req):
            await self._buffer_until_request_end()
        return not self.gone.is_set()

    async def _receive_head(self, req: PipelinedRequest) -> RequestHead | None:
        """Return the head of the next request, None if the connection takes no further one."""
        try:
            head = await req.conn.receive_head()
        except Refusal as exc:
            await self._buffer_until(req.wait_due)
            await self._router.refuse_unparsed(req.conn, exc)
            self._must_linger = True
            return None
        except CallerGone:
            self._counters.add("caller_gone")
            return None
        if any(other.conn.will_close for other in self._pending if other is not req):
            # Its caller counts it as not received and sends it again.
            return None
        req.has_head = head is not None
        # The head may have waited in memory for earlier requests; its deadline counts meanwhile.
        unread_bytes = len(self._buffer) + len(req.conn.pipelined_bytes())
        req.conn.received_s = self._arrivals.time_of(self._arrivals.received_bytes - unread_bytes)
        return head

    async def _buffer_until(self, wait: Callable[[], Awaitable[None]]) -> None:
        """Wait for a condition or until the caller has gone; buffer the bytes that arrive."""
        if self.gone.is_set():
            return

        async def read_into_buffer() -> None:
            while len(self._buffer) < MAX_PIPELINED_BYTES:
                try:
                    data = await self._receive()
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    data = b""
                if not data:
                    self.gone.set()
                    nursery.cancel_scope.cancel()
                    return
                self._buffer += data

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_into_buffer)
            await wait()
            nursery.cancel_scope.cancel()

    async def _run(self, req: PipelinedRequest, head: RequestHead) -> bool:
        """Handle a request; return whether another one may follow."""
        conn = req.conn
        await self._router.handle(conn, head)
        if conn.start_next_request():
            self._has_responded = True
            if not req.is_detached:
                # Bytes that nobody has read yet came later than those that the request left over.
                self._buffer = conn.pipelined_bytes() + self._buffer
            return True
        self._log_end(req)
        self._must_linger = conn.response_ended
        if conn.response_started and not conn.response_ended:
            self._has_responded = False
            conn.reset(self.stream)
        return False

    async def _run_concurrently(self, req: PipelinedRequest, head: RequestHead) -> None:
        try:
            with req.scope:
                if not await self._run(req, head):
                    self._end_after(req)
        finally:
            self._remove(req)

    def _end_after(self, req: PipelinedRequest) -> None:
        """Take no further request and cancel the later ones; earlier ones get their responses."""
        self._reading.cancel()
        for later in self.requests_after(req):
            later.scope.cancel()

    def _log_end(self, req: PipelinedRequest) -> None:
        """Log a request that ends the connection within its response or before other requests."""
        conn = req.conn
        is_cut = conn.response_started and not conn.response_ended
        later = [other.conn for other in self.requests_after(req)]
        if self.gone.is_set() or not (is_cut or later):
            return
        cause = conn.failure or "connection-close"
        for other in later:
            other.failure = f"ended-by:{conn.request_id}"
        self._counters.add("caller_connections_ended", cause)
        self._log.event(
            "caller_connection_ended",
            id=conn.request_id,
            cause=cause,
            reset=int(is_cut),
            ended=",".join(other.request_id for other in later),
        )

    def _add(self, req: PipelinedRequest) -> None:
        self._pending.append(req)
        self._pending[0].set_due()

    def _remove(self, req: PipelinedRequest) -> None:
        self._pending.remove(req)
        req.free()
        if self._pending:
            self._pending[0].set_due()
        self._request_ended.set()

    async def _buffer_until_request_end(self) -> None:
        """Wait until a request has ended; until the caller has gone, read on to notice that."""
        self._request_ended = trio.Event()
        await self._buffer_until(self._request_ended.wait)
        if self.gone.is_set():
            await self._request_ended.wait()
