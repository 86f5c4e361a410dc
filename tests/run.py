"""Run all unit test modules and behave features in parallel, and print a summary."""

from __future__ import annotations

import concurrent.futures
import dataclasses
import re
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# Some tests start daemons; with more parallel jobs they disturb each other's timing.
MAX_JOBS = 4
JOB_TIMEOUT_S = 600

UNIT_FAILED = re.compile(r"^(?:FAIL|ERROR): \w+ \(([\w.]+)\)", re.MULTILINE)
UNIT_RAN = re.compile(r"^Ran (\d+) tests? in", re.MULTILINE)
SCENARIO = re.compile(r"^(\d+) scenarios? passed, (\d+) failed(?:, (\d+) error)?", re.MULTILINE)
FAILING = re.compile(r"^  (tests/features/\S+:\d+)  (.*)$", re.MULTILINE)


@dataclasses.dataclass(frozen=True)
class JobResult:
    """Describe the result of one test process."""

    name: str
    passed: int
    failed: tuple[str, ...]
    elapsed_s: float
    output: str


def unit_jobs() -> list[str]:
    """Return the names of all unit test modules."""
    return sorted(path.stem for path in (ROOT / "tests").glob("test_*.py"))


def feature_jobs() -> list[str]:
    """Return the paths of all feature files."""
    return sorted(str(p.relative_to(ROOT)) for p in (ROOT / "tests/features").glob("*.feature"))


def execute(args: list[str]) -> tuple[int, str]:
    """Run one test process and return its exit code and output."""
    try:
        completed = subprocess.run(
            [sys.executable, *args],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            timeout=JOB_TIMEOUT_S,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return 1, f"no result within {JOB_TIMEOUT_S} s"
    return completed.returncode, completed.stdout + completed.stderr


def run_unit(module: str) -> JobResult:
    """Run one unit test module."""
    started = time.monotonic()
    code, output = execute(["-m", "unittest", "-v", f"tests.{module}"])
    failed = tuple(sorted(set(UNIT_FAILED.findall(output))))
    ran = UNIT_RAN.search(output)
    total = int(ran[1]) if ran else 0
    if code != 0 and not failed:
        failed = (f"tests.{module}",)
    return JobResult(
        module, max(0, total - len(failed)), failed, time.monotonic() - started, output
    )


def run_feature(path: str) -> JobResult:
    """Run one behave feature."""
    started = time.monotonic()
    code, output = execute(["-m", "behave", "--no-color", "--format", "progress", path])
    counts = SCENARIO.search(output)
    passed = int(counts[1]) if counts else 0
    failed = tuple(sorted({f"{path}: {m[2].strip()}" for m in FAILING.finditer(output)}))
    if code != 0 and not failed:
        failed = (path,)
    return JobResult(path, passed, failed, time.monotonic() - started, output)


def load_known_failures() -> set[str]:
    """Return the test names that KNOWN-RED.txt lists on lines that start with `test: `."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.removeprefix("test: ").strip() for line in lines if line.startswith("test: ")}


def main() -> int:
    """Run the selected or all jobs; return 0 if only tests in KNOWN-RED.txt failed."""
    selected = sys.argv[1:]
    units = [name for name in unit_jobs() if not selected or name in selected]
    features = [name for name in feature_jobs() if not selected or name in selected]
    with concurrent.futures.ThreadPoolExecutor(MAX_JOBS) as pool:
        jobs = [pool.submit(run_feature, name) for name in features]
        jobs += [pool.submit(run_unit, name) for name in units]
        results = [job.result() for job in jobs]
    return report(results, load_known_failures())


def report(results: list[JobResult], known_failures: set[str]) -> int:
    """Print one line per job and a summary; return the exit code."""
    new_failures: list[str] = []
    for result in results:
        print(
            f"{result.name}: {result.passed} ok, {len(result.failed)} bad, {result.elapsed_s:.1f} s"
        )
        unexpected = [name for name in result.failed if name not in known_failures]
        new_failures += unexpected
        if unexpected:
            print(result.output)
    for name in sorted(
        name for result in results for name in result.failed if name in known_failures
    ):
        print(f"known red: {name}")
    for name in new_failures:
        print(f"FAILED: {name}")
    passed = sum(result.passed for result in results)
    print(f"{passed} passed, {len(new_failures)} failed")
    return 1 if new_failures or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
