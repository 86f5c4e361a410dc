"""Traffic generator for the demo and the measurements, which records a sample per call."""

from __future__ import annotations

import dataclasses
import math
import random
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

import h11
import trio

from scripts.harness import Endpoint

READ_BYTES = 65_536
CALL_TIMEOUT_S = 30.0
REASON_HEADER = "knapweedhitch-reason"
MS_PER_S = 1_000.0


@dataclasses.dataclass(frozen=True)
class Call:
    """Describe one request to send."""

    kind: str
    host: str
    method: str = "GET"
    path: str = "/"
    key: str = ""
    body: bytes = b""


@dataclasses.dataclass(frozen=True)
class Sample:
    """Record the result of one call; status 0 means that no complete response arrived."""

    call: Call
    phase: str
    started_s: float
    took_ms: float
    status: int
    headers: Mapping[str, str]
    body: bytes = b""

    @property
    def ok(self) -> bool:
        """Return whether the call succeeded."""
        return 200 <= self.status < 300


class CallerConnection:
    """Send calls to one entry node over a keep-alive connection, reopened after it closes."""

    def __init__(self, entry: Endpoint) -> None:
        self._entry = entry
        self._stream: trio.SocketStream | None = None
        self._conn = h11.Connection(h11.CLIENT)

    async def send(self, call: Call, phase: str) -> Sample:
        """Send one call and return its sample; a failed call has status 0."""
        started_s = trio.current_time()
        status, body = 0, b""
        headers: dict[str, str] = {}
        with trio.move_on_after(CALL_TIMEOUT_S):
            try:
                status, headers, body = await self._exchange(call)
            except (OSError, trio.BrokenResourceError, h11.ProtocolError):
                status = 0
        if status == 0 or self._conn.our_state is not h11.DONE:
            await self.aclose()
        took_ms = (trio.current_time() - started_s) * MS_PER_S
        return Sample(call, phase, started_s, took_ms, status, headers, body)

    async def aclose(self) -> None:
        """Close the connection."""
        if self._stream is not None:
            await trio.aclose_forcefully(self._stream)
            self._stream = None

    async def _exchange(self, call: Call) -> tuple[int, dict[str, str], bytes]:
        if self._stream is None:
            self._stream = await trio.open_tcp_stream(self._entry.host, self._entry.port)
            self._conn = h11.Connection(h11.CLIENT)
        else:
            self._conn.start_next_cycle()
        headers = [("Host", call.host), ("Content-Length", str(len(call.body)))]
        if call.key:
            headers.append(("Idempotency-Key", call.key))
        request = h11.Request(method=call.method, target=call.path, headers=headers)
        data = self._conn.send(request) or b""
        data += (self._conn.send(h11.Data(call.body)) or b"") if call.body else b""
        data += self._conn.send(h11.EndOfMessage()) or b""
        await self._stream.send_all(data)
        return await self._receive(self._stream)

    async def _receive(self, stream: trio.SocketStream) -> tuple[int, dict[str, str], bytes]:
        status, body = 0, bytearray()
        headers: dict[str, str] = {}
        while True:
            event = self._conn.next_event()
            if event is h11.NEED_DATA:
                self._conn.receive_data(bytes(await stream.receive_some(READ_BYTES)))
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {k.decode(): v.decode("latin-1") for k, v in event.headers}
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return status, headers, bytes(body)
            elif not isinstance(event, h11.InformationalResponse):
                return 0, {}, b""


async def drive(
    entries: Sequence[Endpoint],
    calls: Iterable[Call],
    phase: str,
    *,
    seconds: float,
    rate_per_s: float,
    rng: random.Random,
) -> list[Sample]:
    """Send calls at a constant rate in an open loop, independent of earlier responses."""
    samples: list[Sample] = []
    idle: dict[Endpoint, list[CallerConnection]] = {entry: [] for entry in entries}

    async def send_call(call: Call, entry: Endpoint) -> None:
        connection = idle[entry].pop() if idle[entry] else CallerConnection(entry)
        samples.append(await connection.send(call, phase))
        idle[entry].append(connection)

    call_iterator = iter(calls)
    start_s = trio.current_time()
    async with trio.open_nursery() as nursery:
        for i in range(int(seconds * rate_per_s)):
            await trio.sleep_until(start_s + i / rate_per_s)
            nursery.start_soon(send_call, next(call_iterator), rng.choice(entries))
    for connections in idle.values():
        for connection in connections:
            await connection.aclose()
    return samples


def percentile(values: Sequence[float], rank: float) -> float:
    """Return the nearest-rank percentile, with the rank as a ratio; NaN without values."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[max(0, math.ceil(rank * len(ordered)) - 1)]


def summary_row(phase: str, kind: str, samples: Sequence[Sample]) -> list[str]:
    """Return count, success ratio, p50 and p99 of successful calls, and the failures by reason."""
    latencies_ms = [sample.took_ms for sample in samples if sample.ok]
    other = Counter(
        sample.headers.get(REASON_HEADER, str(sample.status or "no answer"))
        for sample in samples
        if not sample.ok
    )
    success_percent = 100 * len(latencies_ms) / len(samples) if samples else float("nan")
    return [
        phase,
        kind,
        str(len(samples)),
        f"{success_percent:.2f}%",
        f"{percentile(latencies_ms, 0.50):.1f}",
        f"{percentile(latencies_ms, 0.99):.1f}",
        " ".join(f"{reason}={count}" for reason, count in other.most_common()) or "-",
    ]
