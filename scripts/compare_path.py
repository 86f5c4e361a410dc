"""Compare the CPU time per call of worktrees, in short bursts that alternate between them.

All run at the same time on their own daemons, so that machine noise affects each equally.
"""

from __future__ import annotations

import argparse
import contextlib
import os
import statistics
from pathlib import Path

import trio

from scripts.harness import Harness
from scripts.measure_path import PATHS, Bench, cpu_s
from scripts.saturation import saturate


async def run(args: argparse.Namespace, harnesses: list[Harness]) -> None:
    """Measure each path in alternating rounds and print medians, lowest and highest values."""
    benches = [Bench(harness) for harness in harnesses]
    for bench in benches:
        await bench.configure()
    for path in args.paths:
        cpu: list[list[float]] = [[] for _ in benches]
        rates: list[list[float]] = [[] for _ in benches]
        for _ in range(args.rounds):
            for i, bench in enumerate(benches):
                daemon = bench.daemons["entry"]
                result = await saturate(
                    daemon.endpoints["callers"],
                    f"{PATHS[path][0]}.test",
                    args.connections,
                    args.seconds,
                    lambda pid=daemon.pid: cpu_s(pid),  # type: ignore[misc]
                )
                cpu[i].append(result.entry_cpu_ms)
                rates[i].append(result.calls_per_s)
        for i, root in enumerate(args.worktrees):
            print(
                f"path={path} worktree={root} cpu_ms median={statistics.median(cpu[i]):.3f} "
                f"lowest={min(cpu[i]):.3f} calls_per_s median={statistics.median(rates[i]):.0f} "
                f"highest={max(rates[i]):.0f}"
            )
        ratio = statistics.median(b / a for a, b in zip(cpu[0], cpu[-1], strict=True))
        print(f"path={path} median of last/first in the same round={ratio:.3f}")


def main() -> None:
    """Parse the options, start the daemons of each worktree and measure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("worktrees", nargs="+", type=Path)
    parser.add_argument("--paths", nargs="+", default=["gate", "direct"], choices=list(PATHS))
    parser.add_argument("--connections", type=int, default=4)
    parser.add_argument("--rounds", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=1.0)
    args = parser.parse_args()
    print("load average", *(f"{value:.1f}" for value in os.getloadavg()))
    with contextlib.ExitStack() as stack:
        harnesses = [stack.enter_context(Harness()) for _ in args.worktrees]
        for harness, root in zip(harnesses, args.worktrees, strict=True):
            harness.root = root.resolve()
        trio.run(run, args, harnesses)


if __name__ == "__main__":
    main()
