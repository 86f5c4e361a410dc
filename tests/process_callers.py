"""HTTP callers of real daemons that record each response."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import AsyncIterator
from typing import Any

import h11
import trio

from scripts.harness import Endpoint

HOST = "shop.example"
READ_BYTES = 65_536


@dataclasses.dataclass(frozen=True)
class Response:
    """Describe a response; status 0 means that no complete response arrived."""

    entry: str
    status: int
    headers: dict[str, str]
    body: bytes
    started_s: float
    took_s: float
    path: str = ""

    @property
    def reason(self) -> str:
        """Return the reason of a refusal, empty for the response of an upstream."""
        return self.headers.get("knapweedhitch-reason", "")

    @property
    def outcome(self) -> str:
        """Return the outcome of a refusal, empty for the response of an upstream."""
        return self.headers.get("knapweedhitch-outcome", "")

    def __repr__(self) -> str:
        return (
            f"<{self.entry} {self.path} {self.status} {self.reason} {self.outcome} "
            f"at {self.started_s:.2f} took {self.took_s:.2f} s>"
        )


class Caller:
    """Send requests over one keep-alive connection to a caller listener."""

    def __init__(self, entry: str, address: Endpoint) -> None:
        self.entry = entry
        self._address = address
        self._stream: trio.SocketStream | None = None
        self._conn = h11.Connection(h11.CLIENT)

    async def connect(self) -> None:
        """Open the connection."""
        self._stream = await trio.open_tcp_stream(self._address.host, self._address.port)
        self._conn = h11.Connection(h11.CLIENT)

    async def send(
        self,
        method: str = "GET",
        path: str = "/",
        *,
        key: str = "",
        behaviour: str = "",
        body: bytes | AsyncIterator[bytes] = b"",
        size: int | None = None,
        deadline_ms: int = 0,
        timeout_s: float = 30.0,
    ) -> Response:
        """Send one request with a stand-in behaviour; a failed connection gives status 0."""
        headers = [("Host", HOST), ("Content-Length", str(len(body) if size is None else size))]  # type: ignore[arg-type]
        headers += [("Idempotency-Key", key)] if key else []
        headers += [("X-Stand-In", behaviour)] if behaviour else []
        headers += [("Knapweedhitch-Deadline-Ms", str(deadline_ms))] if deadline_ms else []
        started_s = time.monotonic()
        status, fields, data = 0, {}, b""  # type: int, dict[str, str], bytes
        with trio.move_on_after(timeout_s):
            try:
                status, fields, data = await self._exchange(method, path, headers, body)
            except (OSError, trio.BrokenResourceError, h11.ProtocolError):
                pass
        if status == 0 or self._conn.our_state is not h11.DONE:
            await self.aclose()
        took_s = time.monotonic() - started_s
        return Response(self.entry, status, fields, data, started_s, took_s, f"{method} {path}")

    async def aclose(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self._stream is not None:
            stream, self._stream = self._stream, None
            await trio.aclose_forcefully(stream)

    async def _exchange(
        self, method: str, path: str, headers: Any, body: bytes | AsyncIterator[bytes]
    ) -> tuple[int, dict[str, str], bytes]:
        if self._stream is None:
            await self.connect()
        elif self._conn.our_state is h11.DONE:
            self._conn.start_next_cycle()
        assert self._stream is not None
        head = self._conn.send(h11.Request(method=method, target=path, headers=headers)) or b""
        if isinstance(body, bytes):
            await self._stream.send_all(head + body)
            if body:
                self._conn.send(h11.Data(body))
        else:
            await self._stream.send_all(head)
            try:
                async for part in body:
                    await self._stream.send_all(self._conn.send(h11.Data(part)) or b"")
            except (OSError, trio.BrokenResourceError):
                # A refusal may have arrived before the listener closed the connection.
                return await self._receive(self._stream)
        self._conn.send(h11.EndOfMessage())
        return await self._receive(self._stream)

    async def _receive(self, stream: trio.SocketStream) -> tuple[int, dict[str, str], bytes]:
        status, fields, data = 0, {}, bytearray()  # type: int, dict[str, str], bytearray
        while True:
            event = self._conn.next_event()
            if event is h11.NEED_DATA:
                self._conn.receive_data(bytes(await stream.receive_some(READ_BYTES)))
            elif isinstance(event, h11.Response):
                status = event.status_code
                fields = {k.decode(): v.decode("latin-1") for k, v in event.headers}
            elif isinstance(event, h11.Data):
                data += event.data
            elif isinstance(event, h11.EndOfMessage):
                return status, fields, bytes(data)
            elif not isinstance(event, h11.InformationalResponse):
                return 0, {}, b""
