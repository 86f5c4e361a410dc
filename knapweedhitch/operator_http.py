"""HTTP connections of the operator listener, with limits on sizes and timeouts."""

from __future__ import annotations

import dataclasses
from collections.abc import Awaitable, Callable, Mapping, Set
from urllib.parse import parse_qsl, quote, unquote, urlencode

import h11
import trio

from knapweedhitch import plain
from knapweedhitch.caller import Caller
from knapweedhitch.clock import MS_PER_S
from knapweedhitch.exceptions import (
    BadRequest,
    BodyTimeout,
    BodyTooLarge,
    HeaderTimeout,
    HeaderTooLarge,
    Refusal,
    UpgradeRefused,
)
from knapweedhitch.settings import OperatorSettings

READ_BYTES = 16_384
MAX_QUERY_FIELDS = 10
JSON = "application/json"
SAFE_METHODS = frozenset({"GET", "HEAD"})


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorRequest:
    """Describe one complete request."""

    method: str
    segments: tuple[str, ...]
    query: Mapping[str, str]
    authorization: bytes
    body: bytes
    caller: Caller = dataclasses.field(default_factory=Caller, compare=False)

    def path_with(self, **query: object) -> str:
        """Return the path of the request with other query fields."""
        path = "".join(f"/{quote(segment, safe='')}" for segment in self.segments)
        return f"{path}?{urlencode(query)}"


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorResponse:
    """Describe one complete response."""

    body: bytes
    status: int = 200
    content_type: str = JSON
    # Where the caller sends its request again, empty if it need not.
    location: str = ""


Handler = Callable[[OperatorRequest], Awaitable[OperatorResponse]]


def refusal_response(refusal: Refusal, **fields: object) -> OperatorResponse:
    """Return the JSON response for a refusal."""
    body = {
        "error": refusal.reason,
        "detail": refusal.detail,
        "outcome": refusal.outcome,
        **fields,
    }
    return OperatorResponse(plain.dump(body), refusal.status)


class OperatorConnection:
    """Serve the requests of one connection in sequence."""

    def __init__(
        self,
        stream: trio.abc.Stream,
        cfg: OperatorSettings,
        authorize: Callable[[OperatorRequest], None],
        handler: Handler,
    ) -> None:
        self._response_sent = trio.Event()
        self._response_sent.set()
        self._stream = stream
        self._authorize = authorize
        self._handler = handler
        self._method = b""
        self._cfg = cfg
        self._conn = h11.Connection(h11.SERVER, max_incomplete_event_size=cfg.max_header_bytes)
        # Set while a write is in progress, and for good once one was cancelled or has failed.
        self._is_writing = False

    @property
    def is_busy(self) -> bool:
        """Return whether a request that has been read waits for its response."""
        return not self._response_sent.is_set()

    async def wait_response_sent(self) -> None:
        """Wait until the request in progress, if any, has its response."""
        await self._response_sent.wait()

    async def serve(self) -> None:
        """Respond to requests until the connection ends; invalid ones get a typed refusal."""
        try:
            while await self._serve_request():
                self._conn.start_next_cycle()
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.LocalProtocolError):
            # The client closed the connection, or no valid response is possible after its bytes.
            pass
        finally:
            await trio.aclose_forcefully(self._stream)

    async def refuse(self, refusal: Refusal) -> None:
        """Send a refusal without reading a request, then close."""
        try:
            await self._send(refusal_response(refusal), close=True)
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.LocalProtocolError):
            pass
        finally:
            await trio.aclose_forcefully(self._stream)

    async def _serve_request(self) -> bool:
        try:
            request = await self._read_request()
        except Refusal as refusal:
            can_respond = self._conn.our_state in (h11.IDLE, h11.SEND_RESPONSE)
            if can_respond and not self._is_writing:
                await self._send(refusal_response(refusal), close=True)
            return False
        if request is None:
            return False
        self._response_sent = trio.Event()
        try:
            await self._send(await self._handle(request), close=False)
        finally:
            self._response_sent.set()
        return self._conn.our_state is h11.DONE and self._conn.their_state is h11.DONE

    async def _handle(self, request: OperatorRequest) -> OperatorResponse:
        """Run the handler; for requests with an effect, watch whether their caller leaves."""
        if request.method in SAFE_METHODS:
            return await self._handler(request)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_caller, request.caller)
            response = await self._handler(request)
            nursery.cancel_scope.cancel()
        return response

    async def _watch_caller(self, caller: Caller) -> None:
        """Mark the caller as left when its connection ends; keep what it sends ahead."""
        ahead_bytes = 0
        try:
            while ahead_bytes < READ_BYTES:
                data = bytes(await self._stream.receive_some(READ_BYTES))
                self._conn.receive_data(data)
                ahead_bytes += len(data)
                if not data:
                    caller.mark_left()
                    return
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            caller.mark_left()

    async def _read_request(self) -> OperatorRequest | None:
        with trio.move_on_after(self._cfg.idle_timeout_ms / MS_PER_S) as idle:
            has_data = await self._wait_for_data()
        if idle.cancelled_caught or not has_data:
            return None
        timeout_s = self._cfg.request_timeout_ms / MS_PER_S
        head = None
        with trio.move_on_after(timeout_s) as reading:
            head = await self._next_event()
        if reading.cancelled_caught:
            raise HeaderTimeout(detail=f"the header took over {self._cfg.request_timeout_ms} ms")
        if not isinstance(head, h11.Request):
            return None
        self._method = head.method
        request = _parse_head(head)
        # Before the body is read, so that only operators can make the process buffer one.
        self._authorize(request)
        with trio.move_on_after(timeout_s):
            return dataclasses.replace(request, body=await self._read_body())
        raise BodyTimeout(detail=f"the body took over {self._cfg.request_timeout_ms} ms")

    async def _wait_for_data(self) -> bool:
        """Wait for the first bytes of a request; return False at the end of the stream."""
        if self._conn.trailing_data[0]:
            return True
        data = bytes(await self._stream.receive_some(READ_BYTES))
        self._conn.receive_data(data)
        return bool(data)

    async def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        while True:
            try:
                event = self._conn.next_event()
            except h11.RemoteProtocolError as exc:
                if exc.error_status_hint == HeaderTooLarge.status:
                    raise HeaderTooLarge(
                        detail=f"use at most {self._cfg.max_header_bytes} bytes"
                    ) from None
                raise BadRequest(detail=str(exc)) from None
            if event is not h11.NEED_DATA:
                return event
            if self._conn.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(status_code=100, headers=[])
                await self._write(self._conn.send(continue_response) or b"")
            self._conn.receive_data(bytes(await self._stream.receive_some(READ_BYTES)))

    async def _read_body(self) -> bytes:
        body = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._cfg.max_body_bytes:
                    raise BodyTooLarge(detail=f"use at most {self._cfg.max_body_bytes} bytes")
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            else:
                raise BadRequest(detail="the request ends early")

    async def _send(self, response: OperatorResponse, *, close: bool) -> None:
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            ("Cache-Control", "no-store"),
        ]
        if response.location:
            headers.append(("Location", response.location))
        if close:
            headers.append(("Connection", "close"))
        head = h11.Response(status_code=response.status, headers=headers)
        data = self._conn.send(head) or b""
        if self._method != b"HEAD":
            data += self._conn.send(h11.Data(response.body)) or b""
        data += self._conn.send(h11.EndOfMessage()) or b""
        with trio.move_on_after(self._cfg.write_timeout_ms / MS_PER_S) as writing:
            await self._write(data)
        if writing.cancelled_caught:
            raise trio.BrokenResourceError("the client does not read the response")

    async def _write(self, data: bytes) -> None:
        self._is_writing = True
        await self._stream.send_all(data)
        self._is_writing = False


async def wait_responses_sent(connections: Set[OperatorConnection], timeout_ms: float) -> None:
    """Wait until each request that has been read has its response, at most for the timeout."""
    with trio.move_on_after(timeout_ms / MS_PER_S):
        while busy := [conn for conn in connections if conn.is_busy]:
            await busy[0].wait_response_sent()


def _parse_head(head: h11.Request) -> OperatorRequest:
    if any(name == b"upgrade" for name, _ in head.headers):
        raise UpgradeRefused(detail="no other protocol is spoken here")
    path, _, query = head.target.decode("latin-1").partition("?")
    if not path.startswith("/"):
        raise BadRequest(detail="the target is not a path")
    try:
        query_pairs = parse_qsl(query, keep_blank_values=True, max_num_fields=MAX_QUERY_FIELDS)
    except ValueError as exc:
        raise BadRequest(detail=f"query: {exc}") from None
    authorization = [value for name, value in head.headers if name == b"authorization"]
    return OperatorRequest(
        method=head.method.decode("latin-1"),
        segments=tuple(unquote(part) for part in path[1:].split("/")),
        query=dict(query_pairs),
        authorization=authorization[0] if len(authorization) == 1 else b"",
        body=b"",
    )
