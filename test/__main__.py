"""Runs all tests and prints a summary line.

Tests listed in KNOWN-RED.txt (lines ``test: ID``) may fail without failing the
run; they are printed. Arguments are names of tests to run instead of all.
"""

import itertools
import sys
import unittest

from test.known_red import ROOT, known_red


def _load(names: list[str]) -> unittest.TestSuite:
    loader = unittest.TestLoader()
    if names:
        return loader.loadTestsFromNames(names)
    return loader.discover(str(ROOT / "test"), "test_*.py", str(ROOT))


def main() -> int:
    """Runs the tests; returns the exit status."""
    result = unittest.TextTestRunner(verbosity=1).run(_load(sys.argv[1:]))
    # A failed subtest counts as a failure of its test.
    failed = {
        getattr(test, "test_case", test).id()
        for test, _ in itertools.chain(result.failures, result.errors)
    } | {test.id() for test in result.unexpectedSuccesses}
    known = sorted(failed & known_red("test"))
    for test_id in known:
        print(f"known red: {test_id}")
    unexpected = failed - known_red("test")
    skipped = len(result.skipped)
    passed = result.testsRun - len(failed) - skipped
    print(
        f"{passed} passed, {len(unexpected)} failed,"
        f" {skipped + len(known)} skipped"
    )
    return 1 if unexpected or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
