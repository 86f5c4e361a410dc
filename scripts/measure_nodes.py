"""Measure what app nodes of a cluster on loopback cost, for one or more checkouts of the project.

`python -m scripts.measure_nodes [--nodes N] [--seconds S] [CHECKOUT ...]` starts three control
instances and N app nodes of each checkout in turn, leaves them at rest and prints for one app node:
processor time of a start, private memory, and processor time and wake-ups of a second at rest.
"""

from __future__ import annotations

import argparse
import dataclasses
import http.client
import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from scripts.harness import ROOT
from tests import platform_boot
from tests.test_platform import FIRST_PATCH

CORES = ("127.0.1.20", "127.0.2.20", "127.0.3.20")
DOMAINS = 3
SETTLE_S = 12.0
READY_TIMEOUT_S = 60.0
PORT_BASE = 23_000
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
MS_PER_S = 1_000.0
KB_PER_MB = 1_024


@dataclasses.dataclass(frozen=True)
class NodeCost:
    """Describe the median cost of one app node."""

    checkout: str
    start_cpu_ms: float
    private_mb: float
    rest_cpu_share: float
    wakeups_per_s: float


class Cluster:
    """Run the nodes of one checkout in a temporary folder."""

    def __init__(self, checkout: Path, nodes: int, folder: str) -> None:
        self._checkout = checkout
        self._folder = folder
        self._apps = [f"127.0.{1 + n % DOMAINS}.{30 + n // DOMAINS}" for n in range(nodes)]
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def start(self) -> None:
        """Start all processes."""
        for ip in (*CORES, *self._apps):
            role = "core" if ip in CORES else "app"
            boot_file = platform_boot.write_boot_file(self._folder, ip, CORES, PORT_BASE)
            env = {**os.environ, "KNAPWEEDHITCH_BOOT": str(boot_file)}
            with Path(self._folder, f"{ip}.log").open("wb") as log:
                self._processes[ip] = subprocess.Popen(
                    [sys.executable, "-m", "knapweedhitch.platform", role],
                    env=env,
                    cwd=self._checkout,
                    stdout=log,
                    stderr=log,
                )

    def wait_until_ready(self) -> None:
        """Wait until each app node has logged that it is ready; raises TimeoutError."""
        end_s = time.monotonic() + READY_TIMEOUT_S
        for ip in self._apps:
            while "event=ready" not in Path(self._folder, f"{ip}.log").read_text():
                if time.monotonic() > end_s:
                    raise TimeoutError(f"{ip} is not ready")
                time.sleep(0.02)

    def stop(self) -> None:
        """Kill all processes."""
        for process in self._processes.values():
            process.send_signal(signal.SIGKILL)
        for process in self._processes.values():
            process.wait()

    def configure(self) -> None:
        """Send a configuration with one service and a heartbeat to each app node."""
        self._post(CORES[0], "/knapweedhitch/config/patch", FIRST_PATCH)

    def announce(self) -> None:
        """Send the heartbeat of each target to the node beside it."""
        for n, ip in enumerate(self._apps):
            heartbeat = platform_boot.heartbeat(ip, PORT_BASE)
            self._post(ip, f"/knapweedhitch/instances/i-{n}/heartbeat", heartbeat)

    def read_costs(self) -> list[tuple[float, float, int]]:
        """Return processor seconds, private MB and voluntary switches of each app node."""
        return [_read_cost(self._processes[ip].pid) for ip in self._apps]

    def _post(self, ip: str, path: str, body: object) -> None:
        conn = http.client.HTTPConnection(
            platform_boot.address(ip, "control", PORT_BASE), timeout=5.0
        )
        try:
            conn.request("POST", path, json.dumps(body))
            response = conn.getresponse()
            response.read()
            if response.status != 200:
                print(f"{ip} {path}: {response.status}", file=sys.stderr)
        finally:
            conn.close()


def _read_cost(pid: int) -> tuple[float, float, int]:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    rollup = _read_counts(Path(f"/proc/{pid}/smaps_rollup"))
    status = _read_counts(Path(f"/proc/{pid}/status"))
    private_kb = rollup["Private_Clean"] + rollup["Private_Dirty"]
    return cpu_s, private_kb / KB_PER_MB, status["voluntary_ctxt_switches"]


def _read_counts(path: Path) -> dict[str, int]:
    counts = {}
    for line in path.read_text().splitlines():
        name, _, rest = line.partition(":")
        words = rest.split()
        if words and words[0].isdigit():
            counts[name] = int(words[0])
    return counts


def measure(checkout: Path, nodes: int, seconds: float) -> NodeCost:
    """Return the cost of one app node in a cluster of a checkout."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(checkout, nodes, folder)
        try:
            cluster.start()
            cluster.wait_until_ready()
            started = cluster.read_costs()
            time.sleep(SETTLE_S)
            cluster.configure()
            cluster.announce()
            time.sleep(SETTLE_S)
            before = cluster.read_costs()
            time.sleep(seconds)
            after = cluster.read_costs()
        finally:
            cluster.stop()
    pairs = list(zip(before, after, strict=True))
    return NodeCost(
        str(checkout),
        statistics.median(cpu_s for cpu_s, _, _ in started) * MS_PER_S,
        statistics.median(private_mb for _, private_mb, _ in after),
        statistics.median((b[0] - a[0]) / seconds for a, b in pairs),
        statistics.median((b[2] - a[2]) / seconds for a, b in pairs),
    )


def main() -> None:
    """Measure the checkouts and print their costs and the ratios to the first one."""
    parser = argparse.ArgumentParser(description="Measure app nodes at rest on loopback.")
    parser.add_argument("--nodes", type=int, default=15)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("checkouts", nargs="*", type=Path, default=[ROOT])
    args = parser.parse_args()
    costs = [measure(path, args.nodes, args.seconds) for path in args.checkouts]
    for cost in costs:
        print(
            f"{cost.checkout}: start {cost.start_cpu_ms:.0f} ms, private {cost.private_mb:.1f} MB, "
            f"at rest {cost.rest_cpu_share:.4f} of a core, {cost.wakeups_per_s:.0f} wake-ups/s"
        )
    for cost in costs[1:]:
        first = costs[0]
        print(
            f"ratio to the first: start {cost.start_cpu_ms / first.start_cpu_ms:.2f}, "
            f"memory {cost.private_mb / first.private_mb:.2f}, "
            f"rest {cost.rest_cpu_share / first.rest_cpu_share:.2f}, "
            f"wake-ups {cost.wakeups_per_s / first.wakeups_per_s:.2f}"
        )


if __name__ == "__main__":
    main()
