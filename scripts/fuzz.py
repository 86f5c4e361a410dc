"""Run the property and stateful tests with fresh seeds; print each seed, count and verdict."""

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
    """Yield the names of all unit test modules but those that start processes."""
    for path in sorted((ROOT / "tests").glob("test_*.py")):
        if not path.stem.startswith("test_processes"):
            yield f"tests.{path.stem}"


def cases(module: str) -> Iterator[Case]:
    """Yield each hypothesis test of a module with the object that takes seed and settings."""
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
        for found in (cls, *cls.__subclasses__()):
            if found.__dict__.get("TestCase") is type(test) or (
                isinstance(test, getattr(found, "TestCase", ()))  # A renamed subclass of it.
            ):
                return found
    return None


def run(case: Case, seed: int, factor: int) -> tuple[bool, int, float]:
    """Run one test with a seed; return whether it passed, its examples and the seconds."""
    _, test, subject = case
    known = getattr(test, "settings", None) or subject._hypothesis_internal_use_settings  # type: ignore[attr-defined]
    examples = known.max_examples * factor
    chosen = hypothesis.settings(
        known, derandomize=False, database=None, max_examples=examples, print_blob=True
    )
    subject._hypothesis_internal_use_seed = seed  # type: ignore[attr-defined]
    if isinstance(subject, type):
        type(test).settings = chosen  # type: ignore[attr-defined]
    else:
        subject._hypothesis_internal_use_settings = chosen  # type: ignore[attr-defined]
    started = time.monotonic()
    result = unittest.TestResult()
    test.run(result)
    for _, text in (*result.errors, *result.failures):
        print(text)
    return result.wasSuccessful(), examples, time.monotonic() - started


def main() -> int:
    """Run the chosen tests; return 1 if any failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--factor", type=int, default=3, help="times the examples of CI")
    parser.add_argument("--seed", type=int, default=0, help="first seed; 0 takes a random one")
    parser.add_argument("modules", nargs="*", help="for example tests.test_replication")
    args = parser.parse_args()
    seed = args.seed or random.SystemRandom().randrange(1, 1 << 31)
    passed = failed = 0
    for module in args.modules or list(test_modules()):
        for case in cases(module):
            ok, examples, seconds = run(case, seed, args.factor)
            verdict = "ok" if ok else "FAILED"
            print(
                f"{verdict} {case[0]} seed={seed} examples={examples} {seconds:.1f} s", flush=True
            )
            passed, failed, seed = passed + ok, failed + (not ok), seed + 1
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
