"""A small HTTP/1.1 load client for measurements over loopback."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Sequence

import trio

MAX_RESPONSE_BYTES = 1 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Describe one response; the status is 0 if there was none."""

    status: int
    reason: str
    elapsed_ms: float
    start_s: float
    body: bytes = b""


class Connection:
    """Send one request at a time over a keep-alive connection."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self._stream: trio.SocketStream | None = None

    async def request(
        self,
        host_header: str,
        path: str = "/",
        *,
        method: str = "GET",
        headers: Sequence[tuple[str, str]] = (),
        body: bytes = b"",
        timeout_s: float = 10.0,
    ) -> Sample:
        """Send one request and return its sample, with status 0 after a failure or timeout."""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host_header}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join([*lines, "", ""]).encode() + body
        start_s = trio.current_time()
        status, reason, content = 0, "", b""
        try:
            with trio.fail_after(timeout_s):
                status, reason, content = await self._exchange(data)
        except (trio.TooSlowError, trio.BrokenResourceError, OSError, ValueError):
            await self.close()
        elapsed_ms = (trio.current_time() - start_s) * 1_000
        return Sample(status, reason, elapsed_ms, start_s, content)

    async def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self._stream is not None:
            stream, self._stream = self._stream, None
            await trio.aclose_forcefully(stream)

    async def _exchange(self, data: bytes) -> tuple[int, str, bytes]:
        if self._stream is None:
            self._stream = await trio.open_tcp_stream(self.host, self.port)
            self._stream.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        stream = self._stream
        await stream.send_all(data)
        received = b""
        while b"\r\n\r\n" not in received:
            received += await _receive_part(stream)
        head, _, rest = received.partition(b"\r\n\r\n")
        status_line, *fields = head.decode("latin-1").split("\r\n")
        header_values = {
            k.lower(): v.strip() for k, _, v in (field.partition(":") for field in fields)
        }
        length = int(header_values.get("content-length", "0"))
        while len(rest) < length:
            rest += await _receive_part(stream)
        if header_values.get("connection", "").lower() == "close":
            await self.close()
        return (
            int(status_line.split()[1]),
            header_values.get("knapweedhitch-reason", ""),
            rest[:length],
        )


async def _receive_part(stream: trio.SocketStream) -> bytes:
    data = await stream.receive_some(65_536)
    if not data:
        raise ValueError("connection closed before the end of the response")
    return bytes(data)


async def poisson_pause(rng: random.Random, rate_per_s: float) -> None:
    """Wait for the next arrival of a Poisson process."""
    await trio.sleep(rng.expovariate(rate_per_s))
