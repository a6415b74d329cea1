"""A process that logs writes no errors when it exits.

At exit the log handler closes its stream, so ``LineWriter`` needs a method ``close``;
without it the process ends with a traceback.
"""

import subprocess
import sys
import unittest

PROGRAM = """
from auburnwall.base import logs
writer = logs.set_up("json", "info", "n1")
logs.event("stopped")
writer.drain(1.0)
"""


class LogAtExitTests(unittest.TestCase):
    def test_exit_writes_nothing_to_standard_error(self):
        result = subprocess.run(
            [sys.executable, "-c", PROGRAM],
            capture_output=True,
            text=True,
            check=True,
            timeout=30.0,
        )
        self.assertEqual(result.stderr, "")
        self.assertIn('"event": "stopped"', result.stdout)


if __name__ == "__main__":
    unittest.main()
