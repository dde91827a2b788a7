"""Runs all tests and prints one closing line.

Tests that KNOWN-RED.txt names (lines ``test: ID``) may fail without failing
the run; they are printed. Arguments are names of tests to run instead of all.
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
    # Subtests report under the test that they belong to.
    failed = {
        getattr(test, "test_case", test).id()
        for test, _ in itertools.chain(result.failures, result.errors)
    } | {test.id() for test in result.unexpectedSuccesses}
    red = sorted(failed & known_red("test"))
    for test_id in red:
        print(f"known red: {test_id}")
    unknown = failed - known_red("test")
    skipped = len(result.skipped)
    passed = result.testsRun - len(failed) - skipped
    print(
        f"{passed} passed, {len(unknown)} failed, {skipped + len(red)} skipped"
    )
    return 1 if unknown or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
