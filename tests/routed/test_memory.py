"""What a node holds of all messages together is limited.

Guards against a node that is killed for its memory by bodies without end, with the
requests of others.
"""

import json
import subprocess
import sys
import unittest
from pathlib import Path

from .memory_node import CASES

ROOT = Path(__file__).resolve().parent.parent.parent
LIMIT_MB = 24
# Memory beyond the limit for the messages: copies for a moment, buffers of the test's
# own servers and callers, and what the allocator keeps.
SLACK_MB = 24


class MemoryTests(unittest.TestCase):
    def play(self, case):
        command = [sys.executable, "-m", "tests.routed.memory_node", case]
        run = subprocess.run(
            [*command, str(LIMIT_MB)], cwd=ROOT, capture_output=True, timeout=60.0
        )
        self.assertEqual(run.returncode, 0, run.stderr.decode()[-2000:])
        return json.loads(run.stdout.splitlines()[-1])

    def check(self, case):
        result = self.play(case)
        grown_mb = result["peak_mb"] - result["before_mb"]
        self.assertLess(grown_mb, LIMIT_MB + SLACK_MB, result)
        self.assertEqual(result["sound"], [200], result)
        return result

    def test_answers_without_end(self):
        for case in CASES:
            with self.subTest(case=case):
                result = self.check(case)
                self.assertLessEqual(set(result["others"]), {0, 502, 504}, result)

    def test_callers_that_do_not_read_their_answers(self):
        self.check("callers that do not read")

    def test_large_bodies_of_callers_wait_for_memory(self):
        """Also against bodies that are refused though there is memory soon."""
        for case in ("callers' bodies", "callers' chunked bodies"):
            with self.subTest(case=case):
                result = self.check(case)
                self.assertEqual(set(result["others"]), {200}, result)


if __name__ == "__main__":
    unittest.main()
