"""The client side of HTTP/1.1 over any stream, with one exchange at a time."""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Callable

import h11
import trio

from knapweedhitch import framing
from knapweedhitch.exceptions import (
    UpstreamClosed,
    UpstreamProtocolError,
    UpstreamRefused,
    UpstreamResponseTooLarge,
)
from knapweedhitch.exchange import BodySource, CallSpec, Headers, ResponseSink
from knapweedhitch.model import LoadSample
from knapweedhitch.responsereader import ResponseReader
from knapweedhitch.settings import UpstreamSettings
from knapweedhitch.sockets import (
    READ_BYTES,
    is_path_dead,
    receive_when_ready,
    send_at_once,
    send_when_ready,
    set_user_timeout,
)
from knapweedhitch.upstreamload import UpstreamReport

MAX_RECENT_REQUEST_IDS = 8
# The kernel closes a connection with unacknowledged data after this time.
UNACKNOWLEDGED_MS = 1_000
# It also closes one whose peer reads nothing for as long. An upstream may be at work before it has
# read a body that does not fit into the socket buffers, so the path is then watched differently.
MAX_BUFFERED_BODY_BYTES = 65_536
PATH_CHECK_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeTimes:
    """Describe the status and the times of one exchange."""

    status: int
    first_byte_ms: float
    total_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Silence:
    """Describe after which time without a first byte to call a function, in ms."""

    after_ms: float
    notify: Callable[[], None]


NO_NOTICE = Silence(math.inf, lambda: None)


class ClientConnection:
    """Run exchanges on one connection to an upstream and track whether it can be reused."""

    def __init__(
        self,
        stream: trio.abc.Stream,
        cfg: UpstreamSettings,
        names: framing.HeaderNames = framing.DEFAULT_NAMES,
    ) -> None:
        self.stream = stream
        self.names = names
        self.idle_since_s = trio.current_time()
        self.used = False
        self.has_sent = False
        self.reusable = False
        # Why the connection cannot be reused after a complete response.
        self.not_reusable_cause = ""
        # Bytes on the wire of the current exchange; framing counts, since it can be without end.
        self.received_bytes = 0
        self.max_response_bytes = math.inf
        self.cfg = cfg
        self._conn = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=cfg.max_response_header_bytes
        )
        self.started_s = math.inf
        self._request_sent_s = math.inf
        self._first_byte_s = math.inf
        # How long the upstream keeps the idle connection open, as stated in its last response.
        self.idle_timeout_ms = math.inf
        self.echoes_exchange_id = False
        self.echoes_request_id = False
        self._writer_error: Exception | None = None
        # The end of the stream after a failed write may be a reset whose error the write has taken.
        self._has_failed_write = False
        # Whether the parser has handed out bytes that the socket has not accepted. Its state counts
        # them as sent, although the write may have been cancelled, have failed or still wait.
        self._has_unwritten = False
        self.on_report: Callable[[UpstreamReport], None] = lambda report: None
        self._silence = NO_NOTICE
        self._body_bytes_sent = 0
        self._body_exceeds_buffers = trio.Event()
        # The ids of the last requests on this connection.
        self.recent_request_ids: collections.deque[bytes] = collections.deque(
            maxlen=MAX_RECENT_REQUEST_IDS
        )

    def is_quiet(self) -> bool:
        """Return whether neither EOF nor any byte has arrived on the idle connection."""
        sock = getattr(self.stream, "socket", None)
        return sock is None or not sock.is_readable()

    async def exchange(
        self,
        spec: CallSpec,
        exchange_id: bytes,
        headers: Headers,
        body: BodySource,
        sink: ResponseSink,
        load: Callable[[], LoadSample | None],
        silence: Silence = NO_NOTICE,
    ) -> ExchangeTimes:
        """Run one exchange; raises UpstreamError, and Refusal or CallerGone from body and sink."""
        self.reusable = self.has_sent = False
        self._silence = silence
        self.received_bytes = self._body_bytes_sent = 0
        if self._body_exceeds_buffers.is_set():
            self._body_exceeds_buffers = trio.Event()
            set_user_timeout(self.stream, UNACKNOWLEDGED_MS)
        self._request_sent_s = self._first_byte_s = math.inf
        request = h11.Request(method=spec.method, target=spec.target, headers=list(headers))
        wire = self._serialize(request)
        sink.mark_dispatched()
        reader = ResponseReader(self, spec, exchange_id, sink, load)
        self.started_s = started_s = trio.current_time()
        try:
            if await self._send_request(wire, spec, body):
                status = await reader.read()
            else:
                status = await self._stream_body(body, reader)
        except UpstreamRefused:
            # The connection goes on, and the same response may come once more.
            self._record_request(spec)
            self._finish()
            raise
        self._record_request(spec)
        self._finish()
        now = trio.current_time()
        return ExchangeTimes(
            status, (self._first_byte_s - started_s) * 1_000, (now - started_s) * 1_000
        )

    def _record_request(self, spec: CallSpec) -> None:
        self.used = True
        self.recent_request_ids.append(spec.request_id.encode("ascii"))

    async def _send_request(self, wire: bytes, spec: CallSpec, body: BodySource) -> bool:
        """Send the head with the first part of the body; return whether that was everything."""
        is_complete = not spec.has_body
        if spec.has_body:
            first = await body.receive()
            if first is not None:
                self._count_body(len(first))
                wire += self._serialize(h11.Data(data=first))
                if len(first) == framing.content_length(spec.headers):
                    is_complete = await body.receive() is None
            else:
                is_complete = True
        if is_complete:
            wire += self._serialize(h11.EndOfMessage())
        await self._send(wire)
        if is_complete:
            self._request_sent_s = trio.current_time()
        return is_complete

    async def _stream_body(self, body: BodySource, reader: ResponseReader) -> int:
        """Send the rest of the body while reading, since the response may come before its end."""
        self._writer_error = None
        status = 0
        failure: Exception | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_body, body, nursery.cancel_scope)
            nursery.start_soon(self._watch_path, nursery.cancel_scope)
            try:
                status = await reader.read()
            except Exception as exc:  # Raised below, since the nursery would wrap it in a group.
                failure = exc
            nursery.cancel_scope.cancel()
        if self._writer_error is not None:
            raise self._writer_error
        if failure is not None:
            raise failure
        return status

    async def _send_body(self, body: BodySource, scope: trio.CancelScope) -> None:
        try:
            while (part := await body.receive()) is not None:
                self._count_body(len(part))
                await self._send(self._serialize(h11.Data(data=part)))
            await self._send(self._serialize(h11.EndOfMessage()))
            self._request_sent_s = trio.current_time()
        except UpstreamClosed:
            # An upstream may respond early and close; its response is still to be read.
            self._request_sent_s = trio.current_time()
        except Exception as exc:
            self._writer_error = exc
            scope.cancel()

    def _count_body(self, n_bytes: int) -> None:
        self._body_bytes_sent += n_bytes
        if self._body_bytes_sent > MAX_BUFFERED_BODY_BYTES:
            if not self._body_exceeds_buffers.is_set():
                set_user_timeout(self.stream, 0)
            self._body_exceeds_buffers.set()

    async def _watch_path(self, scope: trio.CancelScope) -> None:
        """End the exchange if the machine of the upstream no longer answers during a long body."""
        await self._body_exceeds_buffers.wait()
        while True:
            await trio.sleep(PATH_CHECK_MS / 1_000)
            if is_path_dead(self.stream):
                break
        self._writer_error = UpstreamClosed("no packet is answered", bytes_sent=True)
        scope.cancel()

    def _serialize(self, event: h11.Event) -> bytes:
        """Return the bytes of an event, which `_send` has to write."""
        data = self._conn.send(event) or b""
        self._has_unwritten = self._has_unwritten or bool(data)
        return data

    async def _send(self, data: bytes) -> None:
        """Write all that `_serialize` has returned since the last call; raises UpstreamClosed."""
        if not data:
            return
        self.has_sent = True
        try:
            data = await send_at_once(self.stream, data)
            if data:
                # An upstream may be at work before it reads the rest.
                await send_when_ready(self.stream, data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            self._has_failed_write = True
            raise UpstreamClosed(f"cannot write: {exc}", bytes_sent=True) from None
        self._has_unwritten = False

    async def receive_more(self) -> None:
        """Feed the next bytes to the parser; raises UpstreamClosed and UpstreamResponseTooLarge."""
        if self._first_byte_s < math.inf:
            data = await self._receive()
        else:
            data = await self._receive_first()
            self._first_byte_s = trio.current_time()
        self.received_bytes += len(data)
        if self.received_bytes > self.max_response_bytes:
            limit = f"response over {self.max_response_bytes} bytes"
            raise UpstreamResponseTooLarge(limit, bytes_sent=True)
        self._conn.receive_data(data)

    async def _receive_first(self) -> bytes:
        """Return the first bytes; reports a silence, which ends nothing, once."""
        while True:
            now = trio.current_time()
            # While the request is being sent, no response is due.
            sent_s = min(self._request_sent_s, now)
            with trio.move_on_at(sent_s + self._silence.after_ms / 1_000):
                return await self._receive()
            if trio.current_time() >= self._request_sent_s + self._silence.after_ms / 1_000:
                silence, self._silence = self._silence, NO_NOTICE
                silence.notify()

    async def _receive(self) -> bytes:
        try:
            data = await receive_when_ready(self.stream, READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise UpstreamClosed(f"cannot read: {exc}", bytes_sent=True) from None
        if not data and self._has_failed_write:
            raise UpstreamClosed("closed while the request was sent", bytes_sent=True)
        return data

    def next_event(self) -> object:
        """Return the next h11 event; raises UpstreamProtocolError, UpstreamClosed."""
        try:
            return self._conn.next_event()
        except h11.RemoteProtocolError as exc:
            if self._conn.trailing_data[1]:
                raise UpstreamClosed(f"cut answer: {exc}", bytes_sent=True) from None
            raise UpstreamProtocolError(str(exc), bytes_sent=True) from None

    def unparsed_data(self) -> tuple[bytes, bool]:
        """Return the bytes that are not parsed yet, and whether EOF follows them."""
        return self._conn.trailing_data

    @property
    def is_request_sent(self) -> bool:
        """Return whether the whole request was sent."""
        return self._conn.our_state is h11.DONE

    def expect_another_response(self, method: str) -> None:
        """Parse the bytes after a complete response as the next one; raises UpstreamClosed."""
        data, closed = self._conn.trailing_data
        if closed or self._conn.their_state is not h11.DONE:
            raise UpstreamClosed("closed after another answer", bytes_sent=True)
        # h11 allows one response per request, so a new parser gets a request with the same method;
        # the other fields of a request do not affect how its response is parsed.
        self._conn = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=self.cfg.max_response_header_bytes
        )
        self._conn.send(h11.Request(method=method, target=b"/", headers=[(b"host", b"-")]))
        self._conn.send(h11.EndOfMessage())
        if data:
            self._conn.receive_data(data)

    def _finish(self) -> None:
        """Mark the connection reusable if the exchange is complete and no bytes are left.

        Every byte that the parser has handed out was written, and every byte that was received
        belongs to what was read. No task may write or read any more.
        """
        self.not_reusable_cause = self._find_leftover()
        if not self.not_reusable_cause:
            self._conn.start_next_cycle()
            self.reusable = True
            self.idle_since_s = trio.current_time()

    def _find_leftover(self) -> str:
        """Return what is left of an exchange, "" if nothing is."""
        if self._has_unwritten:
            return "unwritten-request"
        if self._conn.our_state is h11.SEND_BODY:
            return "unfinished-request"
        if self._conn.their_state is h11.SEND_BODY:
            return "unread-response"
        unparsed, closed = self._conn.trailing_data
        if unparsed:
            # Bytes after the end of a response belong to no request of this connection.
            return "surplus-bytes"
        if closed or (self._conn.our_state, self._conn.their_state) != (h11.DONE, h11.DONE):
            return "closed-by-upstream"
        return ""

    async def close(self) -> None:
        """Close the connection at once."""
        self.reusable = False
        await trio.aclose_forcefully(self.stream)
