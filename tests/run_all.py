"""Runs every test but those that KNOWN-RED.txt names, which it prints: `python -m tests.run_all`.

An entry that names no test is an error: the list holds exactly what is passed over.
"""

from __future__ import annotations

import sys
import unittest
from collections.abc import Iterable, Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
KEY = "test:"


def known_red(text: str) -> list[str]:
    """The ids of the tests that a list of known failures names, each on a line of its own behind `test:`."""
    return [line[len(KEY) :].strip() for line in text.splitlines() if line.startswith(KEY)]


def each_test(suite: Iterable[unittest.TestCase | unittest.TestSuite]) -> Iterator[unittest.TestCase]:
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from each_test(item)
        else:
            yield item


def main() -> int:
    red = known_red(KNOWN_RED.read_text()) if KNOWN_RED.exists() else []
    tests = list(each_test(unittest.defaultTestLoader.discover("tests", top_level_dir=str(ROOT))))
    found = {test.id() for test in tests}
    if unknown := [name for name in red if name not in found]:
        print(f"KNOWN-RED.txt names no test: {', '.join(unknown)}", file=sys.stderr)
        return 2
    suite = unittest.TestSuite(test for test in tests if test.id() not in red)
    result = unittest.TextTestRunner(verbosity=2).run(suite)
    for name in red:
        print(f"passed over, known to fail: {name}", file=sys.stderr)
    return 0 if result.wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main())
