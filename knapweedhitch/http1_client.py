"""The client side of HTTP/1.1 over any stream, with one exchange at a time."""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Callable

import h11
import trio

from knapweedhitch import framing
from knapweedhitch.clock import MS_PER_S
from knapweedhitch.exceptions import (
    UpstreamClosed,
    UpstreamNotRun,
    UpstreamProtocolError,
    UpstreamResponseTooLarge,
    UpstreamTimeout,
)
from knapweedhitch.exchange import BodySource, CallSpec, Headers, ResponseSink
from knapweedhitch.model import LoadSample
from knapweedhitch.settings import UpstreamSettings
from knapweedhitch.sockets import READ_BYTES, receive_when_ready, send_at_once
from knapweedhitch.upstreamload import UpstreamReport, parse_report

MISDIRECTED_STATUS = 421
# Reading the rest of an unwanted response saves a new connection, which takes a few ms.
MAX_SKIPPED_BYTES = 65_536
MAX_SKIP_MS = 100.0
# 1xx responses of one exchange; more of them are not the way to a final response.
MAX_INFORMATIONAL = 16
# Late duplicate responses that are skipped before the connection is given up.
MAX_STALE_RESPONSES = 2
MAX_RECENT_REQUEST_IDS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeTimes:
    """Describe the status and the times of one exchange."""

    status: int
    first_byte_ms: float
    total_ms: float


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
        self.on_report: Callable[[UpstreamReport], None] = lambda report: None
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
        first_byte_timeout_ms: float,
    ) -> ExchangeTimes:
        """Run one exchange; raises UpstreamError, and Refusal or CallerGone from body and sink."""
        self.reusable = self.has_sent = False
        self.received_bytes = 0
        self._request_sent_s = self._first_byte_s = math.inf
        request = h11.Request(method=spec.method, target=spec.target, headers=list(headers))
        wire = self._conn.send(request) or b""
        sink.mark_dispatched()
        reader = _ResponseReader(self, spec, exchange_id, sink, load, first_byte_timeout_ms)
        self.started_s = started_s = trio.current_time()
        try:
            if await self._send_request(wire, spec, body):
                status = await reader.read()
            else:
                status = await self._stream_body(body, reader)
        except UpstreamNotRun:
            # The connection goes on, and the same refusal may come once more.
            self._record_request(spec)
            raise
        self._record_request(spec)
        self.finish()
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
                wire += self._conn.send(h11.Data(data=first)) or b""
                if len(first) == framing.content_length(spec.headers):
                    is_complete = await body.receive() is None
            else:
                is_complete = True
        if is_complete:
            wire += self._conn.send(h11.EndOfMessage()) or b""
        await self._send(wire)
        if is_complete:
            self._request_sent_s = trio.current_time()
        return is_complete

    async def _stream_body(self, body: BodySource, reader: _ResponseReader) -> int:
        """Send the rest of the body while reading, since the response may come before its end."""
        self._writer_error = None
        status = 0
        failure: Exception | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_body, body, nursery.cancel_scope)
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
                await self._send(self._conn.send(h11.Data(data=part)) or b"")
            await self._send(self._conn.send(h11.EndOfMessage()) or b"")
            self._request_sent_s = trio.current_time()
        except UpstreamClosed:
            # An upstream may respond early and close; its response is still to be read.
            self._request_sent_s = trio.current_time()
        except Exception as exc:
            self._writer_error = exc
            scope.cancel()

    async def _send(self, data: bytes) -> None:
        if not data:
            return
        self.has_sent = True
        try:
            data = await send_at_once(self.stream, data)
            if not data:
                return
            with trio.move_on_after(self.cfg.progress_timeout_ms / 1_000) as scope:
                await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise UpstreamClosed(f"cannot write: {exc}", bytes_sent=True) from None
        if scope.cancelled_caught:
            raise UpstreamTimeout("the request is not taken", bytes_sent=True)

    async def receive_more(self, first_byte_timeout_ms: float) -> None:
        """Feed the next bytes to the parser.

        Raises UpstreamTimeout, UpstreamClosed and UpstreamResponseTooLarge.
        """
        while True:
            started = self._first_byte_s < math.inf
            limit_ms = self.cfg.progress_timeout_ms if started else first_byte_timeout_ms
            wait_start_s = trio.current_time() if started else self._request_sent_s
            if wait_start_s == math.inf:
                wait_start_s = trio.current_time()
            with trio.move_on_at(wait_start_s + limit_ms / 1_000) as scope:
                data = await self._receive()
            if not scope.cancelled_caught:
                break
            if not started and self._request_sent_s == math.inf:
                continue  # The request is still being sent, so no response is due yet.
            if not started and trio.current_time() < self._request_sent_s + limit_ms / 1_000:
                continue
            problem = "no progress" if started else "no first byte"
            raise UpstreamTimeout(f"{problem} within {limit_ms:.0f} ms", bytes_sent=True)
        if not started:
            self._first_byte_s = trio.current_time()
        self.received_bytes += len(data)
        if self.received_bytes > self.max_response_bytes:
            limit = f"response over {self.max_response_bytes} bytes"
            raise UpstreamResponseTooLarge(limit, bytes_sent=True)
        self._conn.receive_data(data)

    async def _receive(self) -> bytes:
        try:
            return await receive_when_ready(self.stream, READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise UpstreamClosed(f"cannot read: {exc}", bytes_sent=True) from None

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

    def finish(self) -> None:
        """Mark the connection reusable if the exchange is complete and no bytes are left."""
        # Bytes after the end of a response belong to no request of this connection.
        if self._conn.trailing_data[0] or self._conn.trailing_data[1]:
            return
        if self._conn.our_state is h11.DONE and self._conn.their_state is h11.DONE:
            self._conn.start_next_cycle()
            self.reusable = True
            self.idle_since_s = trio.current_time()

    async def close(self) -> None:
        """Close the connection at once."""
        self.reusable = False
        await trio.aclose_forcefully(self.stream)


class _ResponseReader:
    """Read one response and pass it to the sink."""

    def __init__(
        self,
        conn: ClientConnection,
        spec: CallSpec,
        exchange_id: bytes,
        sink: ResponseSink,
        load: Callable[[], LoadSample | None],
        first_byte_timeout_ms: float,
    ) -> None:
        self._conn = conn
        self._spec = spec
        self._exchange_id = exchange_id
        self._sink = sink
        self._load = load
        self._first_byte_timeout_ms = first_byte_timeout_ms
        self._max_head_bytes = conn.cfg.max_response_header_bytes
        self._skipped_responses = 0
        self._informational = 0

    async def read(self) -> int:
        """Read the complete response and return its status; raises UpstreamError."""
        while True:
            await self._receive_raw_head()
            event = self._conn.next_event()
            if isinstance(event, h11.Response):
                if not self._is_stale_response(event):
                    break
                await self._skip_stale_response()
                continue
            if not isinstance(event, h11.InformationalResponse) or event.status_code == 101:
                raise UpstreamProtocolError("no final answer", bytes_sent=True)
            self._informational += 1
            if self._informational > MAX_INFORMATIONAL:
                raise UpstreamProtocolError("too many 1xx answers", bytes_sent=True)
            if event.status_code != 100:
                headers = framing.response_headers(list(event.headers), self._conn.names)
                await self._sink.informational(event.status_code, headers)
        self._validate(event)
        self._pass_report(event)
        if (idle_timeout_s := framing.keep_alive_s(event.headers)) is not None:
            self._conn.idle_timeout_ms = idle_timeout_s * MS_PER_S
        if self._was_not_run(event):
            await self._skip_body()
            raise UpstreamNotRun(f"status {event.status_code}", bytes_sent=True)
        headers = framing.response_headers(list(event.headers), self._conn.names)
        await self._sink.head(event.status_code, headers, self._load())
        await self._read_body()
        return event.status_code

    async def _read_body(self) -> None:
        framing_bytes = framing.FramingBytes()
        while True:
            part = self._conn.next_event()
            if part is h11.NEED_DATA:
                if framing_bytes.is_over_limit:
                    raise UpstreamProtocolError("too much chunk framing", bytes_sent=True)
                received_bytes = self._conn.received_bytes
                await self._conn.receive_more(self._first_byte_timeout_ms)
                framing_bytes.record_received(self._conn.received_bytes - received_bytes)
            elif isinstance(part, h11.Data):
                framing_bytes.record_data(len(part.data))
                await self._sink.data(bytes(part.data))
            else:
                await self._sink.end()
                return

    def _is_stale_response(self, event: h11.Response) -> bool:
        """Return whether a response carries the id of an earlier request on this connection."""
        name, own_id = self._conn.names.request_id, self._spec.request_id.encode("ascii")
        return any(
            field == name and value != own_id and value in self._conn.recent_request_ids
            for field, value in event.headers
        )

    async def _skip_stale_response(self) -> None:
        """Skip a late duplicate response to an earlier request; raises UpstreamProtocolError."""
        self._skipped_responses += 1
        if self._skipped_responses > MAX_STALE_RESPONSES or not self._conn.is_request_sent:
            raise UpstreamProtocolError("answer of another request", bytes_sent=True)
        await self._skip_body(finish=False)
        self._conn.expect_another_response(self._spec.method)

    def _pass_report(self, event: h11.Response) -> None:
        if event.status_code == MISDIRECTED_STATUS:
            # Another instance has responded, so its report does not describe the expected one.
            return
        names, instance_id = self._conn.names, self._spec.instance_id
        self._conn.on_report(
            parse_report(event.headers, names, instance_id, self._conn.started_s * MS_PER_S)
        )

    def _was_not_run(self, event: h11.Response) -> bool:
        names = self._conn.names
        if not names.not_run:
            return False
        # An instance that is not the expected one responds with 421.
        if names.expected_instance and event.status_code == MISDIRECTED_STATUS:
            return True
        return any(name == names.not_run for name, _ in event.headers)

    async def _skip_body(self, *, finish: bool = True) -> None:
        """Read and drop the rest of a response, so that the connection can be reused."""
        with trio.move_on_after(MAX_SKIP_MS / 1_000):
            await self._read_unwanted_body(finish)

    async def _read_unwanted_body(self, finish: bool) -> None:
        max_received_bytes = self._conn.received_bytes + MAX_SKIPPED_BYTES
        while True:
            part = self._conn.next_event()
            if part is h11.NEED_DATA:
                if self._conn.received_bytes > max_received_bytes:
                    return
                await self._conn.receive_more(self._first_byte_timeout_ms)
            elif not isinstance(part, h11.Data):
                if finish:
                    self._conn.finish()
                return

    async def _receive_raw_head(self) -> None:
        while True:
            raw, closed = self._conn.unparsed_data()
            end = raw.find(framing.HEAD_END)
            if end >= 0:
                break
            if closed:
                raise UpstreamClosed("closed before its answer", bytes_sent=True)
            if b"\n\n" in raw or b"\n\r\n" in raw:
                raise UpstreamProtocolError("bare LF", bytes_sent=True)
            if len(raw) > self._max_head_bytes:
                raise UpstreamProtocolError("head over the limit", bytes_sent=True)
            await self._conn.receive_more(self._first_byte_timeout_ms)
        # Counted before the parser makes objects of them; the status line ends with the first CRLF.
        if raw.count(b"\r\n", 0, end) > self._conn.cfg.max_response_headers:
            limit = f"more than {self._conn.cfg.max_response_headers} headers"
            raise UpstreamProtocolError(limit, bytes_sent=True)
        if problem := framing.find_framing_problem(raw[:end]):
            raise UpstreamProtocolError(problem, bytes_sent=True)

    def _validate(self, event: h11.Response) -> None:
        names = self._conn.names
        is_framed = closes = has_exchange_id = has_request_id = False
        for name, value in event.headers:
            if name in (b"content-length", b"transfer-encoding"):
                is_framed = True
            elif name == b"connection":
                closes = b"close" in value.lower()
            elif name == names.exchange:
                has_exchange_id = True
                if value != self._exchange_id:
                    raise UpstreamProtocolError("answer of another exchange", bytes_sent=True)
            elif name == names.request_id:
                has_request_id = True
                if value != self._spec.request_id.encode("ascii"):
                    raise UpstreamProtocolError("answer of another request", bytes_sent=True)
        # A duplicate response can arrive after the next request was sent. It is recognized by its
        # missing exchange id if the upstream has echoed the ids on this connection so far.
        if self._conn.echoes_exchange_id and not has_exchange_id:
            raise UpstreamProtocolError("answer without its exchange id", bytes_sent=True)
        self._conn.echoes_exchange_id = has_exchange_id
        # Without exchange ids, the request id is the only proof.
        if self._conn.echoes_request_id and not has_request_id and not names.exchange:
            raise UpstreamProtocolError("answer without its request id", bytes_sent=True)
        self._conn.echoes_request_id = has_request_id
        has_no_body = self._spec.method == "HEAD" or event.status_code in (204, 304)
        closes = closes or self._conn.cfg.accept_unframed
        if not is_framed and not has_no_body and not closes and event.http_version >= b"1.1":
            raise UpstreamProtocolError("answer without length or close", bytes_sent=True)
