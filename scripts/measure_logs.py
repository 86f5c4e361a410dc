"""Measure the processor time of a log line that is written directly or buffered.

Run `python -m scripts.measure_logs`. The command `python -m scripts.measure_logs child MODE OUTPUT
LINES WAKEUPS COUNT SEED` logs the lines of one measurement, for counts of system calls.
"""

from __future__ import annotations

import argparse
import dataclasses
import random
import re
import resource
import statistics
import subprocess
import sys
import tempfile
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import IO

import logbook
import trio

from knapweedhitch import logs
from knapweedhitch.settings import LogSettings
from scripts.harness import ROOT
from tests import direct_log

MODES = ("direct", "buffered")
OUTPUTS = ("file", "pipe")
# Lines of one wake-up of the event loop, and wake-ups per second.
PATTERNS = ((1, 10), (1, 50), (4, 50))


@dataclasses.dataclass(frozen=True)
class Run:
    """Describe one measured process."""

    mode: str
    output: str
    lines_per_wakeup: int
    wakeups_per_s: int
    n_wakeups: int
    seed: int

    @property
    def n_lines(self) -> int:
        """Return the number of lines."""
        return self.lines_per_wakeup * self.n_wakeups

    def command(self) -> list[str]:
        """Return the command of the process."""
        fields = map(str, dataclasses.astuple(self))
        return [sys.executable, "-m", "scripts.measure_logs", "child", *fields]


async def _log_lines(run: Run) -> None:
    rng = random.Random(run.seed)
    for _ in range(run.n_wakeups):
        for _ in range(run.lines_per_wakeup):
            logs.event(
                "request",
                id=f"{rng.getrandbits(64):016x}",
                status=200,
                outcome="run",
                route="robes",
                service="robes",
                config=rng.randrange(1_000),
                instances=f"10.1.0.{rng.randrange(250)}:8301",
                sent=1,
                deadline_ms=1_500,
                total_ms=round(rng.uniform(1, 90), 1),
            )
        await trio.sleep(1 / run.wakeups_per_s)


def _run_child(run: Run) -> None:
    """Log the lines and print the processor time in seconds on standard error."""
    if run.mode == "off":
        logbook.NullHandler().push_application()
    elif run.mode == "direct":
        direct_log.install("INFO", sys.stdout)
    else:
        logs.setup_buffered(LogSettings(), sys.stdout)
    before = resource.getrusage(resource.RUSAGE_SELF)
    trio.run(_log_lines, run)
    after = resource.getrusage(resource.RUSAGE_SELF)
    cpu_s = after.ru_utime - before.ru_utime + after.ru_stime - before.ru_stime
    print(f"cpu_s={cpu_s}", file=sys.stderr)


def _start(run: Run, folder: Path) -> tuple[subprocess.Popen[bytes], list[Path]]:
    paths = [folder / "out", folder / "err"]
    with paths[0].open("wb") as out, paths[1].open("wb") as err:
        stdout: IO[bytes] | int = out if run.output == "file" else subprocess.PIPE
        process = subprocess.Popen(run.command(), stdout=stdout, stderr=err, cwd=ROOT)
    if process.stdout is not None:
        threading.Thread(target=process.stdout.read, daemon=True).start()
    return process, paths


def _measure(run: Run) -> str:
    """Return the standard error of the process."""
    with tempfile.TemporaryDirectory() as folder:
        process, paths = _start(run, Path(folder))
        if process.wait() != 0:
            raise RuntimeError(paths[1].read_text())
        return paths[1].read_text()


def _cpu_us(run: Run, rounds: int) -> float:
    """Return the median processor time of a line and its share of the loop."""
    values = []
    for _ in range(rounds):
        match = re.search(r"cpu_s=(\S+)", _measure(run))
        assert match is not None
        values.append(float(match[1]) * 1e6)
    return statistics.median(values) / run.n_lines


def _rows(pattern: tuple[int, int], args: argparse.Namespace) -> Iterator[str]:
    """Yield table rows with the cost beyond that of a line that is not written."""
    n_lines, n_wakeups = pattern
    off = Run("off", "file", n_lines, n_wakeups, int(n_wakeups * args.seconds), args.seed)
    off_us = _cpu_us(off, args.rounds)
    for output in OUTPUTS:
        for mode in MODES:
            run = dataclasses.replace(off, mode=mode, output=output)
            cpu_us = _cpu_us(run, args.rounds) - off_us
            yield f"| {output} | {n_lines * n_wakeups} | {mode} | {cpu_us:.0f} |"


def main() -> None:
    """Print a table of the processor time of a line."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    print("| output | lines a second | mode | processor time a line, us |")
    print("|---|---|---|---|")
    for pattern in PATTERNS:
        for row in _rows(pattern, args):
            print(row, flush=True)


if __name__ == "__main__":
    if sys.argv[1:2] == ["child"]:
        _run_child(Run(sys.argv[2], sys.argv[3], *map(int, sys.argv[4:])))
    else:
        main()
