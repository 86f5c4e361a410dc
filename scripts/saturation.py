"""Closed-loop load on one entry node, and the memory that its caller connections use."""

from __future__ import annotations

import dataclasses
import statistics
import time
from collections.abc import Callable, Sequence
from pathlib import Path

import trio

from scripts.harness import Endpoint
from scripts.load import Connection
from scripts.traffic import percentile

IDLE_REQUEST = b"GET /.knapweedhitch/ready HTTP/1.1\r\nHost: HOST\r\n\r\n"
BUSY_REQUEST = (
    b"POST /x HTTP/1.1\r\nHost: HOST\r\nKnapweedhitch-Deadline-Ms: 30000\r\n"
    b"Idempotency-Key: 01890a5d-ac96-774b-bcce-b302099a8057\r\nContent-Length: 64\r\n\r\n"
    + 32 * b"x"
)
SETTLE_S = 1.0
WARM_UP_RATIO = 0.2


@dataclasses.dataclass(frozen=True)
class Saturation:
    """Describe one closed-loop run; times are in milliseconds."""

    connections: int
    calls: int
    failed: int
    calls_per_s: float
    p50: float
    p99: float
    entry_cpu_ms: float


@dataclasses.dataclass(frozen=True)
class Memory:
    """Describe the resident memory of a daemon in KiB by its number of caller connections."""

    busy: bool
    rss_kib: dict[int, int]

    @property
    def kib_per_connection(self) -> float:
        """Return the slope of the least-squares line through all points."""
        return statistics.linear_regression(list(self.rss_kib), list(self.rss_kib.values())).slope


def rss_kib(pid: int) -> int:
    """Return the resident memory in KiB of a process that this script started."""
    for line in Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    raise ValueError(f"no VmRSS of process {pid}")


async def saturate(
    entry: Endpoint, host: str, connections: int, seconds: float, cpu_s: Callable[[], float]
) -> Saturation:
    """Send the next call on each connection as soon as the previous one has its response."""
    times: list[float] = []
    failed = 0

    async def send_calls(until_s: float, recorded: bool) -> None:
        nonlocal failed
        conn = Connection(entry.host, entry.port)
        while trio.current_time() < until_s:
            sample = await conn.request(host, "/x", headers=[("X-Stand-In", "size=512")])
            if recorded:
                times.append(sample.elapsed_ms)
                failed += sample.status != 200
        await conn.close()

    for ratio, recorded in ((WARM_UP_RATIO, False), (1.0, True)):
        start_s, used_cpu_s = time.monotonic(), cpu_s()
        async with trio.open_nursery() as nursery:
            for _ in range(connections):
                nursery.start_soon(send_calls, trio.current_time() + ratio * seconds, recorded)
    elapsed_s, used_cpu_s = time.monotonic() - start_s, cpu_s() - used_cpu_s
    return Saturation(
        connections,
        len(times),
        failed,
        len(times) / elapsed_s,
        percentile(times, 0.5),
        percentile(times, 0.99),
        used_cpu_s * 1_000 / max(1, len(times)),
    )


async def measure_memory(
    entry: Endpoint, host: str, pid: int, steps: Sequence[int], busy: bool
) -> Memory:
    """Measure memory for growing numbers of connections.

    An idle connection has had a response; a busy one waits for the rest of its request body. The
    body of a keyed request is read first, so a busy connection needs no upstream slot.
    """
    request = IDLE_REQUEST if not busy else BUSY_REQUEST
    data = request.replace(b"HOST", host.encode("ascii"))
    streams: list[trio.SocketStream] = []
    result: dict[int, int] = {}
    try:
        for step in steps:
            while len(streams) < step:
                stream = await trio.open_tcp_stream(entry.host, entry.port)
                streams.append(stream)
                await stream.send_all(data)
                if not busy:
                    await stream.receive_some(65_536)
            await trio.sleep(SETTLE_S)
            result[step] = rss_kib(pid)
    finally:
        for stream in streams:
            await trio.aclose_forcefully(stream)
    return Memory(busy, result)
