"""One connection of a target: its requests, responses and end."""

from __future__ import annotations

import contextlib
import dataclasses
import time
from collections.abc import AsyncIterator

import h11
import trio

from tests.soak.wire import READ_BYTES


@dataclasses.dataclass(frozen=True, eq=False)
class Received:
    """Describe a request as a target has read it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    arrived_s: float = 0.0


class TargetConnection:
    """Read requests and send responses on one connection of a target."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.peer_closed = False
        self._conn = h11.Connection(h11.SERVER)

    async def read_request(self) -> Received | None:
        """Return the next request, or None when the connection has ended."""
        request, arrived_s, body = None, 0.0, bytearray()
        while True:
            event = self._conn.next_event()
            if event is h11.NEED_DATA:
                if self._conn.they_are_waiting_for_100_continue:
                    response = h11.InformationalResponse(status_code=100, headers=[])
                    await self.stream.send_all(self._conn.send(response) or b"")
                data = bytes(await self.stream.receive_some(READ_BYTES))
                self.peer_closed = not data
                self._conn.receive_data(data)
            elif isinstance(event, h11.Request):
                request, arrived_s = event, time.monotonic()
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                headers = {k.decode(): v.decode("latin-1") for k, v in request.headers}
                target = request.target.decode("latin-1")
                return Received(request.method.decode(), target, headers, bytes(body), arrived_s)
            else:
                return None

    async def wait_close(self) -> None:
        """Return when the peer closes the connection; other bytes are kept."""
        while data := bytes(await self.stream.receive_some(READ_BYTES)):
            self._conn.receive_data(data)

    async def respond(
        self, status: int, headers: list[tuple[str, str]], body: bytes, cut_after: int = -1
    ) -> None:
        """Send a response, or its first bytes only."""
        fields = [*headers, ("Content-Length", str(len(body)))]
        head = self._conn.send(h11.Response(status_code=status, headers=fields)) or b""
        await self.stream.send_all(head + (body if cut_after < 0 else body[:cut_after]))
        if cut_after < 0:
            if body:
                self._conn.send(h11.Data(data=body))
            self._conn.send(h11.EndOfMessage())

    def keep_alive(self) -> bool:
        """Return whether another request may come."""
        if self._conn.our_state is not h11.DONE or self._conn.their_state is not h11.DONE:
            return False
        self._conn.start_next_cycle()
        return True


@contextlib.asynccontextmanager
async def watch_close(conn: TargetConnection, scope: trio.CancelScope) -> AsyncIterator[None]:
    """Cancel a scope when the peer closes the connection inside the block."""

    async def watch() -> None:
        with contextlib.suppress(trio.BrokenResourceError):
            await conn.wait_close()
        scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        yield
        nursery.cancel_scope.cancel()
