"""Modules that a routed node imports; a process keeps them in memory until it ends."""

import subprocess
import sys
import unittest

# Libraries that only the node of ``auburnwalld`` uses, for its log, its configuration
# files and its requests.
UNUSED_LIBRARIES = {"jsonschema", "jsonpatch", "referencing", "rpds", "zoneinfo"}
LIST_MODULES = (
    "import sys, auburnwall.platform.__main__; "
    "print(' '.join({name.partition('.')[0] for name in sys.modules}))"
)


class ImportTests(unittest.TestCase):
    def test_node_imports_no_library_that_it_does_not_use(self):
        result = subprocess.run(
            [sys.executable, "-c", LIST_MODULES],
            capture_output=True,
            text=True,
            check=True,
            timeout=30.0,
        )
        self.assertEqual(UNUSED_LIBRARIES & set(result.stdout.split()), set())
