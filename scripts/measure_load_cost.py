"""Measure the processor time of app nodes under load, for checkouts of the project side by side.

`python -m scripts.measure_load_cost [--nodes N] [--rate R] [--profile] [CHECKOUT ...]` starts a
cluster of each checkout on loopback, all at once, sends R requests a second to each app node and
prints for one app node: processor time of a start, at rest and under load, wake-ups, and probes.
With --profile one app node of the first checkout writes its profile to /tmp/app-node.prof.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import json
import os
import random
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from scripts.harness import ROOT
from scripts.measure_nodes import CORES, Cluster
from tests import platform_boot
from tests.test_platform import LIMITS, ROUTE, SERVICES

SETTLE_S = 6.0
WORK_MEAN_S = 0.1
CONFIG_TRIES = 100
BODY = b"b" * 400
PROFILE_PATH = "/tmp/app-node.prof"


class Target(asyncio.Protocol):
    """Respond like a target of the platform, after some work."""

    def __init__(self, instance_id: str, load: Load) -> None:
        self._id = instance_id
        self._load = load
        self._buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        while b"\r\n\r\n" in self._buffer:
            head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
            if head.startswith(b"GET /health"):
                self._load.probes += 1
                self._respond(b"", b"")
                continue
            self._load.runs += 1
            fields = dict(line.split(b": ", 1) for line in head.lower().split(b"\r\n")[1:])
            asyncio.get_running_loop().call_later(
                random.uniform(0.5, 1.5) * WORK_MEAN_S, self._respond, BODY, fields[b"attempt-id"]
            )

    def _respond(self, body: bytes, attempt_id: bytes) -> None:
        lines = [
            b"HTTP/1.1 200 OK",
            b"Instance-Id: " + self._id.encode(),
            b"Server-Load: 1,0,6,100",
            b"Server-Signature: " + 40 * b"s",
            b"Content-Length: %d" % len(body),
        ]
        if attempt_id:
            lines.append(b"Attempt-Id: " + attempt_id)
        self._transport.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)


@dataclasses.dataclass
class Load:
    """Count what the targets and callers of one cluster have seen."""

    probes: int = 0
    runs: int = 0
    ok: int = 0
    failed: int = 0


class LoadedCluster(Cluster):
    """Run a cluster with targets and callers."""

    def __init__(self, checkout: Path, nodes: int, folder: str, base: int, profile: bool) -> None:
        super().__init__(checkout, nodes, folder)
        self.load = Load()
        self.base = base
        self._profile = profile

    def start(self) -> None:
        """Start all processes, the first app node under the profiler if asked to."""
        for ip in (*CORES, *self._apps):
            role = "core" if ip in CORES else "app"
            boot_file = platform_boot.write_boot_file(self._folder, ip, CORES, self.base)
            env = {**os.environ, "KNAPWEEDHITCH_BOOT": str(boot_file)}
            profiler = ["-m", "cProfile", "-o", PROFILE_PATH] if self._is_profiled(ip) else []
            with Path(self._folder, f"{ip}.log").open("wb") as log:
                self._processes[ip] = subprocess.Popen(
                    [sys.executable, *profiler, "-m", "knapweedhitch.platform", role],
                    env=env,
                    cwd=self._checkout,
                    stdout=log,
                    stderr=log,
                )

    def _is_profiled(self, ip: str) -> bool:
        return self._profile and ip == self._apps[0]

    def end_profile(self) -> None:
        """Stop the profiled node, which then writes its profile."""
        process = self._processes[self._apps[0]]
        process.send_signal(signal.SIGTERM)
        process.wait()

    async def serve_targets(self) -> None:
        """Start the targets."""
        loop = asyncio.get_running_loop()
        for n, ip in enumerate(self._apps):
            port = self.base + platform_boot.TARGET_PORT
            await loop.create_server(lambda n=n: Target(f"i-{n}", self.load), ip, port)

    async def configure_all(self) -> None:
        """Send the configuration and the first heartbeats."""
        route = {**ROUTE, "service": "robes"}
        route.pop("weightedServices")
        patch = {
            "upsert": {"routes": [route], "services": SERVICES, "limits": LIMITS},
            "remove": {"routes": []},
        }
        for _ in range(CONFIG_TRIES):
            if await self._post_json(CORES[0], "/knapweedhitch/config/patch", patch) == 200:
                return
            await asyncio.sleep(0.2)
        raise TimeoutError("the configuration is not accepted")

    async def beat(self) -> None:
        """Send the heartbeats of the targets for ever."""
        seq = 0
        while True:
            seq += 1
            for n, ip in enumerate(self._apps):
                beat = platform_boot.heartbeat(ip, self.base, "ready", seq)
                await self._post_json(ip, f"/knapweedhitch/instances/i-{n}/heartbeat", beat)
            await asyncio.sleep(1.5)

    async def call(self, rate: float) -> None:
        """Send requests to each app node for ever, each on a connection of its own."""
        total = rate * len(self._apps)
        tasks = set()
        while True:
            await asyncio.sleep(random.expovariate(total))
            task = asyncio.create_task(self._request(random.choice(self._apps)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    async def _request(self, ip: str) -> None:
        address = platform_boot.address(ip, "outbound", self.base)
        head = (
            "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
            f"Attempt-Id: {random.getrandbits(64):x}\r\nDeadline-Ms: 1000\r\n\r\n"
        )
        status = await _exchange(address, head.encode())
        if status == 200:
            self.load.ok += 1
        else:
            self.load.failed += 1

    async def _post_json(self, ip: str, path: str, body: object) -> int:
        data = json.dumps(body).encode()
        head = f"POST {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
        head += f"Content-Length: {len(data)}\r\n\r\n"
        address = platform_boot.address(ip, "control", self.base)
        return await _exchange(address, head.encode() + data)


async def _exchange(address: str, request: bytes) -> int:
    """Return the status of the response, 0 without one."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request)
        response = await reader.read()
        writer.close()
        return int(response.split(b" ", 2)[1]) if response else 0
    except OSError:
        return 0


@dataclasses.dataclass(frozen=True)
class Sample:
    """Describe the app nodes of a cluster at one moment."""

    at_s: float
    costs: list[tuple[float, float, int]]
    load: Load


def sample(cluster: LoadedCluster) -> Sample:
    """Return the costs of the app nodes now."""
    return Sample(time.monotonic(), cluster.read_costs(), dataclasses.replace(cluster.load))


def describe(name: str, before: Sample, after: Sample) -> str:
    """Return a line about a span."""
    seconds = after.at_s - before.at_s
    pairs = list(zip(before.costs, after.costs, strict=True))[1:]
    nodes = len(pairs) + 1
    cpu = statistics.mean((b[0] - a[0]) / seconds for a, b in pairs)
    wakeups = statistics.mean((b[2] - a[2]) / seconds for a, b in pairs)
    memory_mb = statistics.median(b[1] for _, b in pairs)
    counts = {
        field: getattr(after.load, field) - getattr(before.load, field)
        for field in ("ok", "failed", "runs", "probes")
    }
    per_s = " ".join(f"{key}={value / seconds / nodes:.2f}/s" for key, value in counts.items())
    return f"{name}: cpu={cpu:.4f} wakeups={wakeups:.0f}/s private={memory_mb:.1f}MB {per_s}"


async def measure(clusters: list[LoadedCluster], args: argparse.Namespace) -> None:
    """Measure all clusters at the same time and print the figures."""
    for cluster in clusters:
        cluster.start()
    tasks = []
    for cluster in clusters:
        await cluster.serve_targets()
    for cluster in clusters:
        await cluster.configure_all()
        tasks.append(asyncio.create_task(cluster.beat()))
    await asyncio.sleep(SETTLE_S)
    started = [sample(c) for c in clusters]
    for cluster, first in zip(clusters, started, strict=True):
        cpu_ms = 1_000 * statistics.median(cpu for cpu, _, _ in first.costs[1:])
        print(f"{cluster._checkout}: first {SETTLE_S:.0f} s and start: {cpu_ms:.0f} ms")
    await _run_span("at rest", clusters, args.seconds)
    tasks += [asyncio.create_task(c.call(args.rate)) for c in clusters]
    await asyncio.sleep(SETTLE_S)
    await _run_span("under load", clusters, args.seconds)
    for task in tasks:
        task.cancel()


async def _run_span(name: str, clusters: list[LoadedCluster], seconds: float) -> None:
    before = [sample(c) for c in clusters]
    await asyncio.sleep(seconds)
    for cluster, first in zip(clusters, before, strict=True):
        print(f"{cluster._checkout}: {describe(name, first, sample(cluster))}", flush=True)


def main() -> None:
    """Measure the checkouts side by side."""
    parser = argparse.ArgumentParser(description="Measure app nodes under load on loopback.")
    parser.add_argument("--nodes", type=int, default=15)
    parser.add_argument("--rate", type=float, default=5.0)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--profile", action="store_true")
    parser.add_argument("checkouts", nargs="*", type=Path, default=[ROOT])
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        clusters = []
        for n, checkout in enumerate(args.checkouts):
            own_folder = Path(folder, str(n))
            own_folder.mkdir()
            profile = args.profile and n == 0
            base = 24_000 + 20 * n
            clusters.append(LoadedCluster(checkout, args.nodes, str(own_folder), base, profile))
        try:
            asyncio.run(measure(clusters, args))
            if args.profile:
                clusters[0].end_profile()
        finally:
            for cluster in clusters:
                cluster.stop()


if __name__ == "__main__":
    main()
