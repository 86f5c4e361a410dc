"""Measure the time that each path adds to a call, on real processes over loopback.

One daemon with a stand-in is the entry; two others have a stand-in behind them. Direct calls and
calls through the entry are interleaved, so that machine noise affects both equally.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import os
import random
import shutil
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import trio

from scripts import saturation
from scripts.harness import Child, Daemon, Endpoint, Harness, assign_loopback_ports
from scripts.load import Connection, poisson_pause
from scripts.traffic import percentile

SLOTS = 9
RESPONSE_BYTES = 512
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
CLUSTER = "measure"
# Path name -> (service, slot leases allowed); "gate" has the local upstream of the entry as target.
PATHS = {"gate": ("near", True), "direct": ("far", True), "forward": ("queued", False)}
MIN_WARM_UP_S = 3.0
READY_TIMEOUT_S = 20.0


@dataclasses.dataclass(frozen=True)
class PathResult:
    """Describe the measurements of one path, in milliseconds and CPU milliseconds per call.

    Direct times are of calls straight to the stand-in, via times of calls through the entry.
    """

    path: str
    rate_per_s: float
    calls: int
    failed: int
    direct_p50: float
    direct_p99: float
    via_p50: float
    via_p99: float
    via_p999: float
    entry_cpu_ms: float
    target_cpu_ms: float
    paths_taken: dict[str, int]

    @property
    def added_p50(self) -> float:
        """Return the added time at p50 in milliseconds."""
        return self.via_p50 - self.direct_p50

    @property
    def added_p99(self) -> float:
        """Return the added time at p99 in milliseconds."""
        return self.via_p99 - self.direct_p99


def node_settings(node_id: str, domain: str, leases: bool) -> dict[str, Any]:
    """Return the settings of one node before addresses are assigned."""
    cfg: dict[str, Any] = {
        "node": {"id": node_id, "domain": domain, "region": "r1", "cluster": CLUSTER},
        "secrets": {},
        "control": {"members": [{"id": "entry"}]},
    }
    if not leases:
        cfg["admission"] = {"max_leases_per_peer": 0}
    return cfg


def cpu_s(pid: int) -> float:
    """Return the CPU time in seconds of a process that this script started."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


class Bench:
    """Start the processes and send operator requests to the entry."""

    def __init__(self, harness: Harness) -> None:
        self.harness = harness
        settings = assign_loopback_ports(
            {
                "entry": node_settings("entry", "d1", True),
                "direct": node_settings("direct", "d2", True),
                "forward": node_settings("forward", "d3", False),
            },
            harness.folder,
        )
        self.daemons: dict[str, Daemon] = {
            name: harness.start_daemon(name, cfg) for name, cfg in settings.items()
        }
        harness.wait_ready(list(self.daemons.values()))
        # A path is named after the node of its target, except for "gate".
        self.node_of = {"gate": "entry", "direct": "direct", "forward": "forward"}
        self.stand_ins = {path: self._start_stand_in(path) for path in PATHS}
        self.token = (harness.folder / "operator.token").read_text(encoding="utf-8").strip()

    def _start_stand_in(self, path: str) -> Child:
        daemon = self.daemons[self.node_of[path]]
        return self.harness.start_stand_in(
            path, PATHS[path][0], SLOTS, daemon.endpoints["announce"]
        )

    def upstream_endpoint(self, path: str) -> Endpoint:
        """Return the address of the stand-in of a path."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while "address=" not in (output := self.stand_ins[path].output()):
            if time.monotonic() > deadline:
                raise TimeoutError(f"stand-in {path} does not listen")
            time.sleep(0.05)
        host, port = output.split("address=")[1].split()[0].rsplit(":", 1)
        return Endpoint(host, int(port))

    async def request_operator(self, method: str, path: str, body: object = None) -> bytes:
        """Send one operator request to the entry and return the response body."""
        endpoint = self.daemons["entry"].endpoints["operator"]
        conn = Connection(endpoint.host, endpoint.port)
        data = b"" if body is None else json.dumps(body).encode()
        token = [("Authorization", f"Bearer {self.token}")]
        sample = await conn.request("operator", path, method=method, headers=token, body=data)
        await conn.close()
        if sample.status != 200:
            raise RuntimeError(f"{method} {path}: {sample.status} {sample.body!r}")
        return sample.body

    async def configure(self) -> None:
        """Create one service per path and wait until each one responds."""
        services = [{"name": s, "hosts": [f"{s}.test"], "hedge": False} for s, _ in PATHS.values()]
        op = {"kind": "apply_all", "services": services}
        change = {"change_id": "measure-1", "base_version": 0, "operator": "measure", "op": op}
        await self.request_operator("POST", "/v1/changes", change)
        endpoint = self.daemons["entry"].endpoints["callers"]
        conn = Connection(endpoint.host, endpoint.port)
        for service, _ in PATHS.values():
            with trio.fail_after(READY_TIMEOUT_S):
                for _ in range(int(READY_TIMEOUT_S * 10)):
                    if (await conn.request(f"{service}.test", "/warm")).status == 200:
                        break
                    await trio.sleep(0.1)
        await conn.close()

    async def count_calls_by_path(self) -> dict[str, int]:
        """Return the number of calls of the entry by path."""
        text = (await self.request_operator("GET", "/metrics")).decode()
        call_counts = {}
        for line in text.splitlines():
            if line.startswith("knapweedhitch_calls_total{reason="):
                name, value = line.split('"', 1)[1].split('"} ')
                call_counts[name] = int(float(value))
        return call_counts


async def run_pairs(
    bench: Bench, path: str, rate_per_s: float, calls: int, seed: int
) -> tuple[list[float], list[float], int]:
    """Send pairs of one direct call and one through the entry; return times in ms and failures."""
    host = f"{PATHS[path][0]}.test"
    entry, upstream = bench.daemons["entry"].endpoints["callers"], bench.upstream_endpoint(path)
    rng = random.Random(seed)
    direct_ms: list[float] = []
    via_ms: list[float] = []
    failed = 0
    idle = [(Connection(upstream.host, upstream.port), Connection(entry.host, entry.port))]

    async def send_pair(via_first: bool) -> None:
        nonlocal failed
        pair = (
            idle.pop()
            if idle
            else (
                Connection(upstream.host, upstream.port),
                Connection(entry.host, entry.port),
            )
        )
        order = (1, 0) if via_first else (0, 1)
        for index in order:
            sample = await pair[index].request(
                host, "/x", headers=[("X-Stand-In", f"size={RESPONSE_BYTES}")]
            )
            if sample.status != 200:
                failed += 1
                continue
            (direct_ms, via_ms)[index].append(sample.elapsed_ms)
        idle.append(pair)

    async with trio.open_nursery() as nursery:
        for _ in range(calls):
            nursery.start_soon(send_pair, rng.random() < 0.5)
            await poisson_pause(rng, rate_per_s)
    for conn in (conn for pair in idle for conn in pair):
        await conn.close()
    return direct_ms, via_ms, failed


async def measure(bench: Bench, path: str, rate_per_s: float, calls: int, seed: int) -> PathResult:
    """Measure one path at one rate."""
    warm_up_calls = max(50, int(MIN_WARM_UP_S * min(rate_per_s, 50)))
    await run_pairs(bench, path, min(rate_per_s, 50), warm_up_calls, seed + 1)
    target = bench.daemons[bench.node_of[path]].pid
    entry = bench.daemons["entry"].pid
    counts_before, start_cpu_s = await bench.count_calls_by_path(), (cpu_s(entry), cpu_s(target))
    direct_ms, via_ms, failed = await run_pairs(bench, path, rate_per_s, calls, seed)
    counts_after, used_cpu_s = await bench.count_calls_by_path(), (
        cpu_s(entry) - start_cpu_s[0],
        cpu_s(target) - start_cpu_s[1],
    )
    return PathResult(
        path=path,
        rate_per_s=rate_per_s,
        calls=calls,
        failed=failed,
        direct_p50=percentile(direct_ms, 0.5),
        direct_p99=percentile(direct_ms, 0.99),
        via_p50=percentile(via_ms, 0.5),
        via_p99=percentile(via_ms, 0.99),
        via_p999=percentile(via_ms, 0.999),
        entry_cpu_ms=used_cpu_s[0] * 1_000 / calls,
        target_cpu_ms=0.0 if path == "gate" else used_cpu_s[1] * 1_000 / calls,
        paths_taken={
            k: v - counts_before.get(k, 0)
            for k, v in counts_after.items()
            if v > counts_before.get(k, 0)
        },
    )


def render_table(results: Sequence[PathResult]) -> str:
    """Return a Markdown table."""
    lines = [
        "| path | calls/s | calls | failed | direct p50/p99 ms | via p50/p99/p99.9 ms | "
        "added p50 ms | added p99 ms | CPU entry ms/call | CPU target ms/call | paths taken |",
        "|---|---|---|---|---|---|---|---|---|---|---|",
    ]
    for r in results:
        path_counts = " ".join(f"{k}={v}" for k, v in sorted(r.paths_taken.items()))
        lines.append(
            f"| {r.path} | {r.rate_per_s:.0f} | {r.calls} | {r.failed} | "
            f"{r.direct_p50:.2f}/{r.direct_p99:.2f} | "
            f"{r.via_p50:.2f}/{r.via_p99:.2f}/{r.via_p999:.2f} | {r.added_p50:.2f} | "
            f"{r.added_p99:.2f} | {r.entry_cpu_ms:.2f} | {r.target_cpu_ms:.2f} | {path_counts} |"
        )
    return "\n".join(lines)


async def run(args: argparse.Namespace, harness: Harness) -> list[PathResult]:
    """Measure every path at every rate, then saturation and memory."""
    bench = Bench(harness)
    await bench.configure()
    results = []
    for rate in args.rates:
        for path in args.paths:
            results.append(await measure(bench, path, rate, args.calls, args.seed))
            print(render_table(results[-1:]).splitlines()[-1], file=sys.stderr)
    for line in await run_load(args, bench):
        print(line)
    return results


async def run_load(args: argparse.Namespace, bench: Bench) -> list[str]:
    """Measure saturation and memory if requested; return the lines of a report."""
    entry, lines = bench.daemons["entry"], []
    for path in args.paths if args.saturate else ():
        for connections in args.saturate:
            result = await saturation.saturate(
                entry.endpoints["callers"],
                f"{PATHS[path][0]}.test",
                connections,
                args.seconds,
                lambda: cpu_s(entry.pid),
            )
            lines.append(
                f"saturation path={path} connections={result.connections} calls={result.calls} "
                f"failed={result.failed} calls_per_s={result.calls_per_s:.0f} "
                f"p50_ms={result.p50:.2f} p99_ms={result.p99:.2f} "
                f"entry_cpu_ms={result.entry_cpu_ms:.3f}"
            )
    if args.memory:
        # Freed memory stays with the process, so each run measures one kind on a new daemon.
        mem = await saturation.measure_memory(
            entry.endpoints["callers"], "near.test", entry.pid, args.memory, args.busy
        )
        rss = " ".join(f"{n}={kib}" for n, kib in mem.rss_kib.items())
        lines.append(f"memory busy={args.busy} rss_kib {rss} slope={mem.kib_per_connection:.1f}")
    return lines


def main() -> None:
    """Parse the options, measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rates", type=float, nargs="*", default=[100.0, 300.0])
    parser.add_argument("--paths", nargs="+", default=list(PATHS), choices=list(PATHS))
    parser.add_argument("--calls", type=int, default=3_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", default="")
    parser.add_argument("--saturate", type=int, nargs="*", default=[], help="connections")
    parser.add_argument("--seconds", type=float, default=5.0, help="length of a saturation run")
    parser.add_argument("--memory", type=int, nargs="*", default=[], help="steps of connections")
    parser.add_argument("--busy", action="store_true", help="memory of connections in a call")
    parser.add_argument("--profile", default="", help="write cProfile statistics to this folder")
    args = parser.parse_args()
    with Harness() as harness:
        if args.profile:
            harness.daemon_module = "scripts.profile_daemon"
        results = trio.run(run, args, harness)
        if args.profile:
            harness.stop_all([c for c in harness.children if isinstance(c, Daemon)])
            for file in harness.folder.glob("*.prof"):
                shutil.copy(file, args.profile)
    print(render_table(results))
    if args.json:
        rows = [dataclasses.asdict(r) for r in results]
        Path(args.json).write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
