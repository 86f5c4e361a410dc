"""The server side of HTTP/1.1 over any stream, with limits on sizes and times."""

from __future__ import annotations

import math
import struct
from collections.abc import Iterable
from socket import SO_LINGER, SOL_SOCKET

import h11
import trio

from knapweedhitch import framing
from knapweedhitch.closing import linger
from knapweedhitch.exceptions import (
    AmbiguousFraming,
    BadRequest,
    BodyTimeout,
    BodyTooLarge,
    CallerGone,
    ExpectationFailed,
    HeaderTimeout,
    HeaderTooLarge,
    Refusal,
)
from knapweedhitch.exchange import Headers
from knapweedhitch.responseorder import NoPipelining, ResponseOrder
from knapweedhitch.settings import CallerSettings
from knapweedhitch.sockets import READ_BYTES, receive_when_ready, send_at_once

# Further pipelined bytes stay in the socket; a caller that closes after those is noticed later.
MAX_PIPELINED_BYTES = 65_536
MAX_WRITE_BYTES = 65_536
WRITE_ERRORS = (
    trio.BrokenResourceError,
    trio.BusyResourceError,
    trio.ClosedResourceError,
)
CLOSE_HEADER = (b"connection", b"close")


class ServerConnection:
    """Read requests from one caller and write their responses, one after another."""

    def __init__(
        self,
        stream: trio.abc.Stream,
        cfg: CallerSettings,
        names: framing.HeaderNames = framing.DEFAULT_NAMES,
        order: ResponseOrder | None = None,
    ) -> None:
        self.stream = stream
        self.names = names
        self.order: ResponseOrder = order or NoPipelining()
        # Whether the connection is closed after the response, as the caller knows or asks.
        self.will_close = False
        self.cfg = cfg
        self.close_after = False
        self.response_started = False
        self.response_ended = False
        self._conn = h11.Connection(h11.SERVER, max_incomplete_event_size=cfg.max_header_bytes)
        self._broken = False
        # Names the request in the log, and why its connection failed before its response ended.
        self.request_id = ""
        # When the last bytes of the request head had arrived.
        self.received_s = trio.current_time()
        self.failure = ""
        # Set while a write waits for the caller, and after a failed one, which sets `_broken` too.
        self._writing = False
        self._is_head_request = False
        self._body_limit: float = math.inf
        self._body_bytes = 0
        self._framing_bytes = framing.FramingBytes()
        self._body_read = trio.Event()
        # Why no further part of the body can be read.
        self._body_failure: Refusal | CallerGone | None = None
        self._idle_scope: trio.CancelScope | None = None
        self._stopping = False

    # Reading

    async def receive_head(self) -> framing.RequestHead | None:
        """Return the next request, None if there is none; raises Refusal, CallerGone."""
        raw = await self._receive_raw_head()
        if raw is None:
            return None
        self.received_s = trio.current_time()
        if len(raw) > self.cfg.max_header_bytes:
            raise HeaderTooLarge(detail=f"limit {self.cfg.max_header_bytes} bytes")
        if problem := framing.find_framing_problem(raw):
            raise AmbiguousFraming(detail=problem)
        try:
            event = self._conn.next_event()
        except h11.RemoteProtocolError as exc:
            raise BadRequest(detail=framing.describe_problem(exc)) from None
        if not isinstance(event, h11.Request):
            raise BadRequest(detail="no request")
        self._is_head_request = event.method == b"HEAD"
        head = framing.parse_request(
            event.method,
            event.target,
            event.http_version,
            list(event.headers),
            self.cfg.max_headers,
            self.names,
        )
        for name, value in event.headers:
            if name == b"expect" and value.lower() != b"100-continue":
                raise ExpectationFailed
        if not head.has_body:
            # Reads the EndOfMessage event, so that h11 knows that the request is complete.
            self._next_body_event()
            self.will_close = self._conn.their_state is h11.MUST_CLOSE
        return head

    async def _receive_raw_head(self) -> bytes | None:
        raw = self._conn.trailing_data[0]
        if not raw:
            raw = await self._receive_first()
            if not raw:
                return None
        else:
            # Sending a response may not yield, so pipelined requests need an explicit checkpoint.
            await trio.lowlevel.cancel_shielded_checkpoint()
        timeout_at_s = trio.current_time() + self.cfg.header_timeout_ms / 1_000
        while (end := raw.find(framing.HEAD_END)) < 0:
            if len(raw) > self.cfg.max_header_bytes:
                raise HeaderTooLarge(detail=f"limit {self.cfg.max_header_bytes} bytes")
            if b"\n\n" in raw or b"\n\r\n" in raw:
                raise AmbiguousFraming(detail="bare LF")
            with trio.move_on_at(timeout_at_s) as scope:
                data = await self._receive()
            if scope.cancelled_caught:
                raise HeaderTimeout(detail=f"limit {self.cfg.header_timeout_ms} ms")
            if not data:
                raise CallerGone("closed in the middle of a request head")
            self._conn.receive_data(data)
            raw += data
        return raw[:end]

    async def _receive_first(self) -> bytes:
        if self._stopping:
            return b""
        with trio.CancelScope() as self._idle_scope:
            if self.order.is_due:
                self.start_idle_timeout()
            data = await self._receive()
        interrupted = self._idle_scope.cancelled_caught
        self._idle_scope = None
        if interrupted or not data:
            return b""
        self._conn.receive_data(data)
        return data

    def start_idle_timeout(self) -> None:
        """Limit the wait for the first byte of a request from now on."""
        if self._idle_scope is not None:
            self._idle_scope.deadline = trio.current_time() + self.cfg.idle_timeout_ms / 1_000

    async def _receive(self) -> bytes:
        try:
            return await receive_when_ready(self.stream, READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            self._broken = True
            self.failure = "read-failed"
            raise CallerGone(str(exc)) from None

    async def wait_caller_gone(self) -> None:
        """Return once the caller closes during its request; buffer the requests that follow."""
        if self._conn.their_state is h11.SEND_BODY:
            # Until then the task that reads the body detects EOF.
            await self._body_read.wait()
        while True:
            if len(self._conn.trailing_data[0]) > MAX_PIPELINED_BYTES:
                await trio.sleep_forever()
            try:
                data = await self._receive()
            except CallerGone:
                return
            if not data:
                self._broken = True
                self.failure = "closed-by-caller"
                return
            self._conn.receive_data(data)

    @property
    def is_partly_sent(self) -> bool:
        """Return whether a response has begun and not ended."""
        return self.response_started and not self.response_ended

    def stop_waiting(self) -> None:
        """Stop waiting for another request; a request in progress continues."""
        self._stopping = True
        if self._idle_scope is not None:
            self._idle_scope.cancel()

    def limit_body(self, head: framing.RequestHead, max_bytes: int) -> None:
        """Set the limit of the body in bytes; raises BodyTooLarge if Content-Length exceeds it."""
        self._body_limit = max_bytes
        if head.content_length is not None and head.content_length > max_bytes:
            raise BodyTooLarge(detail=f"limit {max_bytes} bytes")

    async def receive(self) -> bytes | None:
        """Return the next part of the body, None at its end; raises Refusal or CallerGone.

        After a failure, each further call raises it again.
        """
        if self._body_failure is None:
            try:
                return await self._receive_part()
            except (Refusal, CallerGone) as exc:
                self._body_failure = exc
        raise self._body_failure

    async def _receive_part(self) -> bytes | None:
        while True:
            event = self._next_body_event()
            if isinstance(event, h11.Data):
                self._body_bytes += len(event.data)
                self._framing_bytes.record_data(len(event.data))
                if self._body_bytes > self._body_limit:
                    raise BodyTooLarge(detail=f"limit {self._body_limit} bytes")
                return bytes(event.data)
            if event is not h11.NEED_DATA:
                self._body_read.set()
                return None
            if self._framing_bytes.is_over_limit:
                raise AmbiguousFraming(detail="too much chunk framing")
            if self._conn.they_are_waiting_for_100_continue and not self.response_started:
                await self._write_informational(100, ())
            with trio.move_on_after(self.cfg.body_timeout_ms / 1_000) as scope:
                data = await self._receive()
            if scope.cancelled_caught:
                raise BodyTimeout(detail=f"limit {self.cfg.body_timeout_ms} ms")
            if not data:
                self._broken = True
                self.failure = "closed-by-caller"
                raise CallerGone("closed in the middle of a request body")
            self._framing_bytes.record_received(len(data))
            self._conn.receive_data(data)

    def _next_body_event(self) -> object:
        if self._conn.their_state is not h11.SEND_BODY:
            return h11.PAUSED
        try:
            return self._conn.next_event()
        except h11.RemoteProtocolError as exc:
            raise AmbiguousFraming(detail=framing.describe_problem(exc)) from None

    # Writing

    async def send_informational(self, status: int, headers: Headers) -> None:
        """Forward a 1xx response to HTTP/1.1 callers if it is due now; raises CallerGone.

        It is dropped if the caller has yet to read earlier ones: a write that waits for that would
        be cancelled at the deadline, which breaks the connection.
        """
        is_possible = self.order.is_due and self.order.has_room and not self.response_started
        if is_possible and (self._conn.their_http_version or b"1.0") >= b"1.1":
            await self._write_informational(status, headers)

    async def _write_informational(self, status: int, headers: Headers) -> None:
        event = h11.InformationalResponse(status_code=status, headers=list(headers))
        # A cancelled write breaks the connection; before it, the caller can still get a response.
        await trio.lowlevel.checkpoint_if_cancelled()
        await self._write(self._conn.send(event))

    async def send_response(self, status: int, headers: Headers, parts: Iterable[bytes]) -> None:
        """Write a complete response once it is due; raises CallerGone."""
        await self.order.wait_due()
        self._drop_buffered_body()
        wire = [self._serialize_head(status, headers), *self._serialize_body(parts)]
        wire.append(self._conn.send(h11.EndOfMessage()) or b"")
        await self._write(b"".join(wire))
        self.response_ended = True

    async def send_head(self, status: int, headers: Headers, parts: Iterable[bytes] = ()) -> None:
        """Write the head of a response that is due and parts of its body; raises CallerGone."""
        assert self.order.is_due
        # A cancelled write breaks the connection; before it, the caller can get another response.
        await trio.lowlevel.checkpoint_if_cancelled()
        wire = [self._serialize_head(status, headers), *self._serialize_body(parts)]
        await self._write(b"".join(wire))

    async def send_data(self, data: bytes) -> None:
        """Write a part of the body and wait until the socket accepts it; raises CallerGone."""
        if body := b"".join(self._serialize_body((data,))):
            await self._write(body)

    async def send_end(self) -> None:
        """Write the end of the response; raises CallerGone."""
        await self._write(self._conn.send(h11.EndOfMessage()))
        self.response_ended = True

    def _serialize_head(self, status: int, headers: Headers) -> bytes:
        fields = list(headers)
        close_requested = (self.close_after or self._stopping) and self.order.is_last
        self.will_close = close_requested or self._conn.their_state is not h11.DONE
        if self.will_close:
            fields.append(CLOSE_HEADER)
        self.response_started = True
        return self._conn.send(h11.Response(status_code=status, headers=fields)) or b""

    def _serialize_body(self, parts: Iterable[bytes]) -> list[bytes]:
        """Return the parts of a body, none in the response to a HEAD request."""
        if self._is_head_request:
            return []
        return [self._conn.send(h11.Data(data=part)) or b"" for part in parts if part]

    def _drop_buffered_body(self) -> None:
        """Drop what has arrived of the body, so that the connection can be kept if that is all.

        Only a complete response allows it: with a part of one, the body may still be passed on.
        """
        try:
            while self._conn.their_state is h11.SEND_BODY:
                self._body_failure = CallerGone("the response was complete before the body")
                if self._conn.next_event() is h11.NEED_DATA:
                    break
        except h11.RemoteProtocolError:
            self.close_after = True

    async def _write(self, data: bytes | None) -> None:
        if self._broken:
            raise CallerGone("the connection is broken")
        if not data:
            return
        try:
            if not self._writing:
                data = await send_at_once(self.stream, data)
                if not data:
                    return
            self._writing = True
            is_taken = await self._write_slowly(data)
            self._writing = False
        except trio.Cancelled:
            self._broken = True
            self.failure = self.failure or "write-cancelled"
            raise
        except WRITE_ERRORS as exc:
            self._broken = True
            self.failure = "write-failed"
            raise CallerGone(f"cannot write: {type(exc).__name__}") from None
        if not is_taken:
            self._broken = True
            self.failure = "write-timeout"
            raise CallerGone(f"did not read for {self.cfg.write_timeout_ms} ms")

    async def _write_slowly(self, data: bytes) -> bool:
        """Write as the caller reads; return False if it takes no part in `write_timeout_ms`."""
        for start in range(0, len(data), MAX_WRITE_BYTES):
            with trio.move_on_after(self.cfg.write_timeout_ms / 1_000) as scope:
                await self.stream.send_all(data[start : start + MAX_WRITE_BYTES])
            if scope.cancelled_caught:
                return False
        return True

    # Ending

    def start_next_request(self) -> bool:
        """Prepare for the next request; return False if the connection must be closed."""
        if self._broken or not self.response_ended or self.will_close:
            return False
        if self._conn.our_state is not h11.DONE or self._conn.their_state is not h11.DONE:
            return False
        self._conn.start_next_cycle()
        self.response_started = self.response_ended = False
        self._body_limit, self._body_bytes = math.inf, 0
        self._framing_bytes = framing.FramingBytes()
        self._body_read = trio.Event()
        self._body_failure = None
        return True

    async def close(self) -> None:
        """Close the connection; linger after a response to a body that was not read completely."""
        if self.response_ended and not self._broken and self._conn.their_state is not h11.DONE:
            await linger(self.stream, self.cfg.linger_ms)
        elif self.response_started and not self.response_ended:
            self.reset(self.stream)
        await trio.aclose_forcefully(self.stream)

    def pipelined_bytes(self) -> bytes:
        """Return the bytes that the caller has sent after the current request."""
        return bytes(self._conn.trailing_data[0])

    @staticmethod
    def reset(stream: trio.abc.Stream) -> None:
        """Set SO_LINGER so that closing the stream resets the connection.

        A plain close would look like the end of a complete response that is delimited by close.
        """
        sock = getattr(stream, "socket", None)
        if sock is not None:
            try:
                sock.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
            except OSError:
                pass


def refusal_headers(
    refusal: Refusal,
    request_id: str,
    body: bytes,
    names: framing.HeaderNames = framing.DEFAULT_NAMES,
) -> Headers:
    """Return the headers of the response to a refused request."""
    return (
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode("ascii")),
        (b"knapweedhitch-reason", refusal.reason.encode("ascii")),
        (b"knapweedhitch-outcome", refusal.outcome.value.encode("ascii")),
        (names.request_id, request_id.encode("ascii")),
    )
