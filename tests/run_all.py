"""Runs all tests except the known failures in KNOWN-RED.txt, which it prints: `python -m tests.run_all`.

An entry that names no existing test is an error, so that the list names exactly the tests that are skipped.
"""

from __future__ import annotations

import sys
import unittest
from collections.abc import Iterable, Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# The start of a line of KNOWN-RED.txt that holds the id of a test.
TEST_PREFIX = "test:"


def parse_known_failures(text: str) -> list[str]:
    """Return the test ids in a list of known failures, each on a line of its own after `test:`."""
    return [line[len(TEST_PREFIX) :].strip() for line in text.splitlines() if line.startswith(TEST_PREFIX)]


def iterate_tests(suite: Iterable[unittest.TestCase | unittest.TestSuite]) -> Iterator[unittest.TestCase]:
    """Yield each test of a suite and of the suites within it."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from iterate_tests(item)
        else:
            yield item


def main() -> int:
    """Run the tests; return 0 if all passed, 1 if any failed, 2 if KNOWN-RED.txt names an unknown test."""
    known_failures = parse_known_failures(KNOWN_RED.read_text()) if KNOWN_RED.exists() else []
    tests = list(iterate_tests(unittest.defaultTestLoader.discover("tests", top_level_dir=str(ROOT))))
    test_ids = {test.id() for test in tests}
    if unknown := [name for name in known_failures if name not in test_ids]:
        print(f"KNOWN-RED.txt names tests that do not exist: {', '.join(unknown)}", file=sys.stderr)
        return 2
    suite = unittest.TestSuite(test for test in tests if test.id() not in known_failures)
    result = unittest.TextTestRunner(verbosity=2).run(suite)
    for name in known_failures:
        print(f"skipped, known to fail: {name}", file=sys.stderr)
    return 0 if result.wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main())
