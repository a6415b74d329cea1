"""What a process does before its other modules are imported."""

import subprocess
import sys
import time
import unittest

from auburnwall.base.startup import process_started_at

PATCH = """
import sys
from importlib import metadata
original = metadata.entry_points
looked_up = []
def entry_points(**params):
    looked_up.append(params)
    return original(**params)
metadata.entry_points = entry_points
from auburnwall.base.startup import patch_blocking_calls
patch_blocking_calls()
from gevent import monkey
assert monkey.is_module_patched("socket") and monkey.is_module_patched("threading")
assert metadata.entry_points is entry_points
assert not looked_up, looked_up
"""


class StartupTests(unittest.TestCase):
    def test_blocking_calls_are_patched_without_a_search_for_plugins(self):
        """The search reads the files of all distributions 25 times."""
        result = subprocess.run(
            [sys.executable, "-c", PATCH],
            capture_output=True,
            text=True,
            check=False,
            timeout=30.0,
        )
        self.assertEqual((result.returncode, result.stderr), (0, ""))

    def test_start_of_process_is_on_the_clock_since_boot(self):
        """A time on another clock would make each stage of a start wrong."""
        age_s = time.clock_gettime(time.CLOCK_BOOTTIME) - process_started_at()
        with open("/proc/uptime", encoding="ascii") as file:
            uptime_s = float(file.read().split()[0])
        self.assertTrue(0 <= age_s < uptime_s, age_s)
        start = (
            "from auburnwall.base.startup import process_started_at as p; print(p())"
        )
        before_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        child = subprocess.run(
            [sys.executable, "-c", start], capture_output=True, text=True, timeout=30.0
        )
        after_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        # The kernel rounds down to 10 ms.
        self.assertTrue(before_s - 0.011 <= float(child.stdout) <= after_s)


if __name__ == "__main__":
    unittest.main()
