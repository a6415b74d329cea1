"""A stopped node leaves the interpreter little to do until its process ends."""

import os
import resource
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from demo.cluster import free_addresses, wait_until
from standins.platformconfig import SETTINGS

# The node, which writes the CPU time that it has used when the interpreter ends.
PROGRAM = """
import atexit, os, runpy, time
atexit.register(lambda: os.write(2, str(time.process_time()).encode()))
runpy.run_module("auburnwall.platform", run_name="__main__")
"""
# Most CPU time that the end of the interpreter may take, in seconds. Beside load, it
# takes several times as long.
MAX_END_S = 0.04


def ended_processes_s():
    """Return the CPU time that the processes of this one took that have ended."""
    usage = resource.getrusage(resource.RUSAGE_CHILDREN)
    return usage.ru_utime + usage.ru_stime


class ExitTests(unittest.TestCase):
    """A node without a store runs and stops as any other."""

    def setUp(self):
        self.out = Path(self.enterContext(tempfile.TemporaryDirectory()))
        front, ready, directory, peer, store = free_addresses(5)
        settings = self.out / "node.conf"
        settings.write_text(
            SETTINGS.format(
                node="edge-norte-1",
                front=front,
                ready=ready,
                directory=directory,
                peer_port=peer.rpartition(":")[2],
                store=store,
            ),
            "utf-8",
        )
        with (self.out / "log").open("wb") as log, (self.out / "err").open("wb") as err:
            self.process = subprocess.Popen(
                [sys.executable, "-c", PROGRAM],
                stdout=log,
                stderr=err,
                env={**os.environ, "AUBURNWALL_SETTINGS": str(settings)},
            )
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.kill)

    def has_started(self):
        return '"event": "started"' in (self.out / "log").read_text("utf-8")

    def test_end_of_the_interpreter_takes_little_time(self):
        """Guards against an exit that is killed at the end of the grace time."""
        wait_until(self.has_started, 20.0, "the node runs")
        others_s = ended_processes_s()
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.process.wait(10.0), 0)
        self.assertIn('"event": "stopped"', (self.out / "log").read_text("utf-8"))
        before_s = float((self.out / "err").read_text("utf-8"))
        self.assertLess(ended_processes_s() - others_s - before_s, MAX_END_S)
