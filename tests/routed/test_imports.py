"""What a routed node loads: each process keeps its modules in memory for good."""

import subprocess
import sys
import unittest

# Libraries of the other node's log, its configuration files and its requests.
NOT_NEEDED = {"jsonschema", "jsonpatch", "referencing", "rpds", "zoneinfo"}
LIST_MODULES = (
    "import sys, auburnwall.platform.__main__; "
    "print(' '.join({name.partition('.')[0] for name in sys.modules}))"
)


class ImportTests(unittest.TestCase):
    def test_node_loads_no_library_that_it_does_not_use(self):
        done = subprocess.run(
            [sys.executable, "-c", LIST_MODULES],
            capture_output=True,
            text=True,
            check=True,
            timeout=30.0,
        )
        self.assertEqual(NOT_NEEDED & set(done.stdout.split()), set())
