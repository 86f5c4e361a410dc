"""The response to one exchange: its checks, what it reports, and what is skipped before it."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from typing import TYPE_CHECKING

import h11
import trio

from knapweedhitch import framing
from knapweedhitch.clock import MS_PER_S
from knapweedhitch.exceptions import (
    UpstreamClosed,
    UpstreamError,
    UpstreamNotRun,
    UpstreamProtocolError,
    UpstreamUnproven,
)
from knapweedhitch.exchange import CallSpec, ResponseSink
from knapweedhitch.model import LoadSample
from knapweedhitch.responsetable import MISDIRECTED_STATUS, Meaning, meaning_of
from knapweedhitch.upstreamload import parse_report

if TYPE_CHECKING:
    from knapweedhitch.http1_client import ClientConnection

# Reading the rest of an unwanted response saves a new connection, which takes a few ms.
MAX_SKIPPED_BYTES = 65_536
MAX_SKIP_MS = 100.0
# 1xx responses of one exchange; more of them are not the way to a final response.
MAX_INFORMATIONAL = 16
# Late duplicate responses that are skipped before the connection is given up.
MAX_STALE_RESPONSES = 2


class ResponseReader:
    """Read one response and pass it to the sink."""

    def __init__(
        self,
        conn: ClientConnection,
        spec: CallSpec,
        exchange_id: bytes,
        sink: ResponseSink,
        load: Callable[[], LoadSample | None],
    ) -> None:
        self._conn = conn
        self._spec = spec
        self._exchange_id = exchange_id
        self._sink = sink
        self._load = load
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
        meaning = meaning_of(event.status_code, event.headers, self._conn.names)
        if meaning is not Meaning.RESULT:
            # The head alone decides, so a connection that breaks in the body changes nothing.
            with contextlib.suppress(UpstreamError):
                await self._skip_body()
            error = UpstreamNotRun if meaning is Meaning.NOT_RUN else UpstreamUnproven
            raise error(f"status {event.status_code}", bytes_sent=True)
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
                await self._conn.receive_more()
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
        await self._skip_body()
        self._conn.expect_another_response(self._spec.method)

    def _pass_report(self, event: h11.Response) -> None:
        if event.status_code == MISDIRECTED_STATUS:
            # Another instance has responded, so its report does not describe the expected one.
            return
        names, instance_id = self._conn.names, self._spec.instance_id
        self._conn.on_report(
            parse_report(event.headers, names, instance_id, self._conn.started_s * MS_PER_S)
        )

    async def _skip_body(self) -> None:
        """Read and drop the rest of a response, so that the connection can be reused."""
        with trio.move_on_after(MAX_SKIP_MS / 1_000):
            await self._read_unwanted_body()

    async def _read_unwanted_body(self) -> None:
        max_received_bytes = self._conn.received_bytes + MAX_SKIPPED_BYTES
        while True:
            part = self._conn.next_event()
            if part is h11.NEED_DATA:
                if self._conn.received_bytes > max_received_bytes:
                    return
                await self._conn.receive_more()
            elif not isinstance(part, h11.Data):
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
            await self._conn.receive_more()
        # Counted before the parser makes objects of them; the status line ends with the first CRLF.
        if raw.count(b"\r\n", 0, end) > self._conn.cfg.max_response_headers:
            limit = f"more than {self._conn.cfg.max_response_headers} headers"
            raise UpstreamProtocolError(limit, bytes_sent=True)
        if problem := framing.find_framing_problem(raw[:end]):
            raise UpstreamProtocolError(problem, bytes_sent=True)

    def _validate(self, event: h11.Response) -> None:
        if event.status_code not in framing.FINAL_STATUSES:
            raise UpstreamProtocolError(f"status {event.status_code}", bytes_sent=True)
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
