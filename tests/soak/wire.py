"""Speak HTTP/1.1 as a client that may send requests before earlier responses have come."""

from __future__ import annotations

import dataclasses

import h11
import trio

READ_BYTES = 65_536


class ConnectionEnded(Exception):
    """Report a connection that ended before a whole response, in good order or by a reset."""

    def __init__(self, received_bytes: int, *, is_reset: bool, reason: str) -> None:
        super().__init__(reason)
        self.received_bytes = received_bytes
        self.is_reset = is_reset


@dataclasses.dataclass(frozen=True)
class Response:
    """Describe a complete response."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def closes(self) -> bool:
        """Return whether the connection ends with this response."""
        return self.headers.get("connection", "").lower() == "close"


def render_head(method: str, path: str, headers: dict[str, str]) -> bytes:
    """Return the head of a request."""
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class ClientConnection:
    """Read the responses of one connection in the order of their requests."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self._unread = b""

    async def send(self, data: bytes) -> None:
        """Send bytes; raises ConnectionEnded."""
        try:
            await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise ConnectionEnded(0, is_reset=True, reason=f"send: {exc.__cause__!r}") from None

    async def read_response(self, method: str, pause_s: float = 0.0) -> Response:
        """Read one response; raises ConnectionEnded and h11.ProtocolError.

        With a pause, the client waits so long before each read of 4 KiB.
        """
        conn = h11.Connection(h11.CLIENT)
        # The request has been sent; h11 only has to know its method.
        conn.send(h11.Request(method=method, target="/", headers=[("Host", "x")]))
        conn.send(h11.EndOfMessage())
        if self._unread:
            conn.receive_data(self._unread)
        status, headers, body = 0, {}, bytearray()  # type: int, dict[str, str], bytearray
        received_bytes = len(self._unread)
        self._unread = b""
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                if pause_s:
                    await trio.sleep(pause_s)
                data = await self._receive(received_bytes, 4_096 if pause_s else READ_BYTES)
                received_bytes += len(data)
                if not data and not status:
                    raise ConnectionEnded(received_bytes, is_reset=False, reason="closed")
                conn.receive_data(data)
                if not data and not _ends_with_connection(headers):
                    raise ConnectionEnded(received_bytes, is_reset=False, reason="closed")
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {k.decode(): v.decode("latin-1") for k, v in event.headers}
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self._unread = conn.trailing_data[0]
                return Response(status, headers, bytes(body))

    async def _receive(self, received_bytes: int, max_bytes: int) -> bytes:
        try:
            return bytes(await self.stream.receive_some(max_bytes))
        except trio.BrokenResourceError as exc:
            cause = repr(exc.__cause__)
            raise ConnectionEnded(received_bytes, is_reset=True, reason=cause) from None

    def has_unread_bytes(self) -> bool:
        """Return whether bytes have come for which no request waits."""
        return bool(self._unread)

    def close(self) -> None:
        """Close the connection at once."""
        self.stream.socket.close()


def _ends_with_connection(headers: dict[str, str]) -> bool:
    return "content-length" not in headers and "transfer-encoding" not in headers
