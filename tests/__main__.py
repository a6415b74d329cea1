"""Run all tests: ``python -m tests``.

Prints ``N passed, N failed`` on a line of its own. Exits with 1 if a test fails that is
not listed in ``KNOWN-RED.txt``, where each line begins with the id of a test.
"""

import sys
import unittest
from pathlib import Path

from absl import logging

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_known_red():
    """Return the lines of ``KNOWN-RED.txt`` by the id of the test."""
    lines = KNOWN_RED.read_text("utf-8").splitlines()
    return {line.split()[0]: line for line in lines if line and line[0] != "#"}


def main():
    """Run the tests and return the exit code."""
    logging.set_verbosity(logging.FATAL)
    names = sys.argv[1:]
    loader = unittest.TestLoader()
    if names:
        suite = loader.loadTestsFromNames(names)
    else:
        suite = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    failed = {
        getattr(test, "test_case", test).id()
        for test, _ in result.failures + result.errors
    }
    failed |= {test.id() for test in result.unexpectedSuccesses}
    known = read_known_red()
    for name in sorted(failed & known.keys()):
        print(f"known red: {known[name]}")
    unexpected = failed - known.keys()
    print(f"{result.testsRun - len(failed)} passed, {len(unexpected)} failed")
    return 1 if unexpected else 0


if __name__ == "__main__":
    sys.exit(main())
