"""Run the property-based and stateful tests with new seeds, and print each seed and result."""

from __future__ import annotations

import argparse
import importlib
import random
import sys
import time
import unittest
from collections.abc import Iterator

import hypothesis
from hypothesis.stateful import RuleBasedStateMachine

from scripts.harness import ROOT

Case = tuple[str, unittest.TestCase, object]


def test_modules() -> Iterator[str]:
    """Yield the names of all unit test modules except those that start processes."""
    for path in sorted((ROOT / "tests").glob("test_*.py")):
        if not path.stem.startswith("test_processes"):
            yield f"tests.{path.stem}"


def cases(module: str) -> Iterator[Case]:
    """Yield each hypothesis test of a module with the object that holds its seed and settings."""
    loader = unittest.TestLoader()
    for suite in loader.loadTestsFromModule(importlib.import_module(module)):
        for test in suite if isinstance(suite, unittest.TestSuite) else ():
            assert isinstance(test, unittest.TestCase)
            machine = _machine_of(test)
            method = getattr(type(test), test._testMethodName, None)
            if machine is not None:
                yield test.id(), test, machine
            elif hypothesis.is_hypothesis_test(method):
                yield test.id(), test, method


def _machine_of(test: unittest.TestCase) -> type[RuleBasedStateMachine] | None:
    for cls in RuleBasedStateMachine.__subclasses__():
        for machine in (cls, *cls.__subclasses__()):
            if machine.__dict__.get("TestCase") is type(test) or (
                isinstance(test, getattr(machine, "TestCase", ()))  # A subclass with another name.
            ):
                return machine
    return None


def run(test_case: Case, seed: int, factor: int) -> tuple[bool, int, float]:
    """Run one test with a seed; return whether it passed, its examples and its duration in s."""
    _, test, subject = test_case
    original_settings = getattr(test, "settings", None) or subject._hypothesis_internal_use_settings  # type: ignore[attr-defined]
    max_examples = original_settings.max_examples * factor
    run_settings = hypothesis.settings(
        original_settings,
        derandomize=False,
        database=None,
        max_examples=max_examples,
        print_blob=True,
    )
    subject._hypothesis_internal_use_seed = seed  # type: ignore[attr-defined]
    if isinstance(subject, type):
        type(test).settings = run_settings  # type: ignore[attr-defined]
    else:
        subject._hypothesis_internal_use_settings = run_settings  # type: ignore[attr-defined]
    started = time.monotonic()
    result = unittest.TestResult()
    test.run(result)
    for _, text in (*result.errors, *result.failures):
        print(text)
    return result.wasSuccessful(), max_examples, time.monotonic() - started


def main() -> int:
    """Run the selected tests; return 1 if any failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--factor", type=int, default=3, help="multiplier of the number of examples in CI"
    )
    parser.add_argument("--seed", type=int, default=0, help="first seed; 0 for a random one")
    parser.add_argument("modules", nargs="*", help="for example tests.test_replication")
    args = parser.parse_args()
    seed = args.seed or random.SystemRandom().randrange(1, 1 << 31)
    passed = failed = 0
    for module in args.modules or list(test_modules()):
        for test_case in cases(module):
            ok, max_examples, duration_s = run(test_case, seed, args.factor)
            verdict = "ok" if ok else "FAILED"
            print(
                f"{verdict} {test_case[0]} seed={seed} examples={max_examples} {duration_s:.1f} s",
                flush=True,
            )
            passed, failed, seed = passed + ok, failed + (not ok), seed + 1
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
