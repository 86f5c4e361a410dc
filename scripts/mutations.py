"""Apply each mutation of tests/mutations.yaml to a copy of the tree, where its test must fail."""

from __future__ import annotations

import argparse
import collections
import concurrent.futures
import dataclasses
import json
import os
import queue
import re
import shutil
import signal
import subprocess
import sys
import tempfile
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TypeVar

import yaml

T = TypeVar("T")

ROOT = Path(__file__).resolve().parent.parent
LIST = ROOT / "tests/mutations.yaml"
IGNORED = (".git", ".venv", ".hypothesis", "__pycache__", ".*_cache", "build", "*.egg-info")
# A dash stands for a limit or a quality of service outside the numbered invariants.
INVARIANTS = frozenset({*(f"P{n}" for n in range(1, 10)), "-"})
# The slowest of the named tests takes about 20 s on its own.
TIME_LIMIT_S = 180.0
WRONG_TREE = 70
# Shrinking is disabled, so that a state machine stops at its first failing example.
RUNNER = f"""
import os, sys, unittest
import hypothesis
import knapweedhitch, tests
for module in (knapweedhitch, tests):
    if os.path.dirname(os.path.dirname(os.path.realpath(module.__file__))) != os.getcwd():
        sys.exit({WRONG_TREE})
phases = (hypothesis.Phase.explicit, hypothesis.Phase.generate)
hypothesis.settings.register_profile("mutations", phases=phases, database=None)
hypothesis.settings.load_profile("mutations")
names = sys.argv[1:]
if names[0].endswith(".feature"):
    from behave.__main__ import main
    sys.exit(main(["--no-color", "--format", "progress", *names]))
unittest.main(module=None, argv=["unittest", *names])
"""
RAN = re.compile(r"^Ran [1-9]\d* tests? in|^[\d ]*scenarios? passed, \d+ failed", re.MULTILINE)
NOT_IMPORTED = "unittest.loader._FailedTest"
ERROR = re.compile(r"^(?: *\| *)?((?:\w+\.)*\w*(?:Error|Exception|Failed|Timeout)\b.*)", re.M)

CAUGHT, SURVIVED, BROKEN = "caught", "SURVIVED", "broken"


@dataclasses.dataclass(frozen=True)
class Edit:
    """Describe the replacement of a text that must occur exactly once in a file."""

    file: str
    old: str
    new: str


@dataclasses.dataclass(frozen=True)
class Mutation:
    """Describe the edits that disable one mechanism, and the test that must then fail."""

    id: str
    invariant: str
    edits: tuple[Edit, ...]
    test: str


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Describe the result of one mutation."""

    mutation: Mutation
    result: str
    detail: str


def load(path: Path = LIST) -> list[Mutation]:
    """Load the mutation list; raises ValueError for an invalid entry."""
    by_id: dict[str, Mutation] = {}
    for raw in yaml.safe_load(path.read_text(encoding="utf-8")):
        raw_edits = (raw, *raw.get("also", ()))
        edits = tuple(
            Edit(raw_edit.get("file", raw["file"]), raw_edit["old"], raw_edit["new"])
            for raw_edit in raw_edits
        )
        mutation = Mutation(raw["id"], str(raw["invariant"]), edits, raw["test"])
        if mutation.id in by_id or mutation.invariant not in INVARIANTS:
            raise ValueError(f"{mutation.id}: the id is repeated or the invariant is unknown")
        by_id[mutation.id] = mutation
    return list(by_id.values())


def mutate_files(root: Path, mutation: Mutation) -> dict[Path, str]:
    """Return the mutated content of each file; raises ValueError if an edit does not apply."""
    texts: dict[Path, str] = {}
    for edit in mutation.edits:
        path = root / edit.file
        text = texts.get(path) or path.read_text(encoding="utf-8")
        if edit.old == edit.new or text.count(edit.old) != 1:
            raise ValueError(f"the old text occurs {text.count(edit.old)} times in {edit.file}")
        texts[path] = text.replace(edit.old, edit.new)
    for path, text in texts.items():
        try:
            compile(text, str(path), "exec")
        except SyntaxError as exc:
            raise ValueError(f"the new text of {path.name} does not compile: {exc}") from None
    return texts


def copy_tree() -> Path:
    """Copy the tree to a new temporary folder and return the path of the copy."""
    folder = Path(tempfile.mkdtemp(prefix="knapweedhitch-mutations-")).resolve()
    shutil.copytree(ROOT, folder / "tree", ignore=shutil.ignore_patterns(*IGNORED))
    return folder / "tree"


def run(tree: Path, names: Sequence[str]) -> tuple[int | None, str]:
    """Run tests in a copy and return exit code and output; the code is None after a timeout."""
    # Cached bytecode is validated by mtime and size only, which a mutation can leave unchanged.
    env = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1"}
    env.pop("PYTHONPATH", None)
    with subprocess.Popen(
        [sys.executable, "-c", RUNNER, *names],
        cwd=tree,
        env=env,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
    ) as process:
        try:
            output, _ = process.communicate(timeout=TIME_LIMIT_S)
        except subprocess.TimeoutExpired:
            # The process group contains only this test and its child processes.
            os.killpg(process.pid, signal.SIGKILL)
            return None, process.communicate()[0]
    if process.returncode == WRONG_TREE:
        raise RuntimeError(f"the tests in {tree} import knapweedhitch from elsewhere")
    return process.returncode, output


def undefined_names(paths: Sequence[Path]) -> str:
    """Return undefined names in mutated files, because they would make any test fail."""
    command = [sys.executable, "-m", "ruff", "check", "--no-cache", "--isolated", "--quiet"]
    command += ["--select", "F821", "--output-format", "concise", *map(str, paths)]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    return (completed.stdout + completed.stderr).strip() if completed.returncode else ""


def judge(tree: Path, mutation: Mutation) -> Verdict:
    """Apply one mutation to the copy, run its test and undo the mutation."""
    try:
        texts = mutate_files(tree, mutation)
    except (ValueError, OSError) as exc:
        return Verdict(mutation, BROKEN, str(exc))
    originals = {path: path.read_bytes() for path in texts}
    try:
        for path, text in texts.items():
            path.write_text(text, encoding="utf-8")
        if problem := undefined_names(list(texts)):
            return Verdict(mutation, BROKEN, problem)
        code, output = run(tree, [mutation.test])
    finally:
        for path, data in originals.items():
            path.write_bytes(data)
    if code is None:
        return Verdict(mutation, BROKEN, f"no result within {TIME_LIMIT_S:.0f} s")
    if NOT_IMPORTED in output or not RAN.search(output):
        return Verdict(mutation, BROKEN, f"the test could not be run: {output[-400:]}")
    errors = ERROR.findall(output)
    return Verdict(mutation, CAUGHT if code else SURVIVED, errors[-1][:300] if errors else "")


def baseline(tree: Path, names: Sequence[str]) -> str:
    """Return the failure of the tests of one module on the unmodified copy, empty if they pass."""
    code, output = run(tree, names)
    has_failed = code != 0 or NOT_IMPORTED in output or not RAN.search(output)
    return f"{' '.join(names)}: exit code {code}\n{output}" if has_failed else ""


def group_by_module(tests: Sequence[str]) -> list[list[str]]:
    """Return the distinct tests, grouped by module."""
    groups: dict[str, set[str]] = collections.defaultdict(set)
    for test in tests:
        groups[test if test.endswith(".feature") else ".".join(test.split(".")[:2])].add(test)
    return [sorted(names) for _, names in sorted(groups.items())]


def check(mutations: Sequence[Mutation], jobs: int) -> list[Verdict]:
    """Return the verdicts in order; raises RuntimeError if a test fails on the unmodified copy."""
    trees: queue.SimpleQueue[Path] = queue.SimpleQueue()
    folders = [copy_tree() for _ in range(jobs)]
    for tree in folders:
        trees.put(tree)

    def in_tree(fn: Callable[[Path], T]) -> T:
        tree = trees.get()
        try:
            return fn(tree)
        finally:
            trees.put(tree)

    try:
        with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
            groups = group_by_module([m.test for m in mutations])
            problems = pool.map(lambda names: in_tree(lambda t: baseline(t, names)), groups)
            if failed := [problem for problem in problems if problem]:
                raise RuntimeError("tests fail on the unmodified copy:\n" + "\n".join(failed))
            return list(pool.map(lambda m: in_tree(lambda t: judge(t, m)), mutations))
    finally:
        for tree in folders:
            shutil.rmtree(tree.parent, ignore_errors=True)


def describe_commit() -> str:
    """Return the commit of the tree, with a note if there are local changes."""

    def git(*args: str) -> str:
        completed = subprocess.run(
            ["git", *args], cwd=ROOT, capture_output=True, text=True, check=False
        )
        return completed.stdout.strip()

    return git("rev-parse", "--short=10", "HEAD") + (" with changes" if git("status", "-s") else "")


def table(verdicts: Sequence[Verdict]) -> str:
    """Return the verdicts as a Markdown table."""
    counts = collections.Counter(verdict.result for verdict in verdicts)
    lines = [
        f"Commit {describe_commit()}: "
        + ", ".join(f"{counts[result]} {result}" for result in (CAUGHT, SURVIVED, BROKEN))
        + ".",
        "",
        "| mutation | attacks | module | test that must fail | result |",
        "|---|---|---|---|---|",
    ]
    for verdict in verdicts:
        m = verdict.mutation
        modules = ", ".join(dict.fromkeys(Path(edit.file).stem for edit in m.edits))
        test = m.test.removeprefix("tests.").removeprefix("tests/features/")
        lines.append(f"| {m.id} | {m.invariant} | {modules} | `{test}` | {verdict.result} |")
    return "\n".join(lines)


def main() -> int:
    """Check the selected mutations and print the table; return 0 if all were caught."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", metavar="ID", action="append", help="check this mutation only")
    parser.add_argument("--jobs", metavar="N", type=int, default=3, help="tests at the same time")
    parser.add_argument("--json", metavar="FILE", type=Path, help="write verdicts and details here")
    args = parser.parse_args()
    mutations = [m for m in load() if not args.only or m.id in args.only]
    if not mutations or args.jobs < 1:
        parser.error("unknown mutation id, or less than one job")
    try:
        verdicts = check(mutations, args.jobs)
    except RuntimeError as exc:
        print(exc, file=sys.stderr)
        return 1
    if args.json:
        args.json.write_text(
            json.dumps([dataclasses.asdict(v) for v in verdicts], indent=1) + "\n", encoding="utf-8"
        )
    print(table(verdicts))
    for verdict in verdicts:
        if verdict.result != CAUGHT:
            print(f"{verdict.mutation.id}: {verdict.result} {verdict.detail}", file=sys.stderr)
    return 0 if all(verdict.result == CAUGHT for verdict in verdicts) else 1


if __name__ == "__main__":
    sys.exit(main())
