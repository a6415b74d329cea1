"""A process that logs ends without a complaint of its own."""

import subprocess
import sys
import unittest

PROGRAM = """
from auburnwall.base import logs
writer = logs.set_up("json", "info", "n1")
logs.event("stopped")
writer.drain(1.0)
"""


class ExitTests(unittest.TestCase):
    def test_nothing_is_written_after_the_last_line(self):
        done = subprocess.run(
            [sys.executable, "-c", PROGRAM],
            capture_output=True,
            text=True,
            check=True,
            timeout=30.0,
        )
        self.assertEqual(done.stderr, "")
        self.assertIn('"event": "stopped"', done.stdout)


if __name__ == "__main__":
    unittest.main()
