"""Send malformed input to the platform's programs for as long as wanted, and print what failed."""

from __future__ import annotations

import argparse
import sys
import time
import unittest

from tests import test_platform_outside


def main() -> int:
    """Run the selected tests; return 1 if any failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--examples", type=int, default=2_000, help="examples of each strategy")
    parser.add_argument("tests", nargs="*", help="for example test_links; all by default")
    args = parser.parse_args()
    test_platform_outside.seed = args.seed
    test_platform_outside.examples = args.examples
    case = test_platform_outside.MalformedInputTest
    failed = 0
    for name in args.tests or unittest.TestLoader().getTestCaseNames(case):
        result = unittest.TestResult()
        started_s = time.monotonic()
        case(name).run(result)
        for _, text in (*result.errors, *result.failures):
            print(text)
        verdict = "ok" if result.wasSuccessful() else "FAILED"
        elapsed_s = time.monotonic() - started_s
        print(f"{verdict} {name} seed={args.seed} {elapsed_s:.1f} s", flush=True)
        failed += not result.wasSuccessful()
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
