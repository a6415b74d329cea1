"""Test setup: nodes as processes on a stand-in of the users' platform."""

import itertools
import signal
import tempfile
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from datetime import datetime
from http.client import HTTPException

from demo.platform_cluster import PlatformCluster


class PlatformClusterTestCase(unittest.TestCase):
    """Starts ``NODES`` nodes with the environment ``NODE_ENV``; all are ready."""

    NODES = 3
    NODE_ENV = {}
    CLUSTER_CLASS = PlatformCluster

    def setUp(self):
        out = self.enterContext(tempfile.TemporaryDirectory())
        cluster = self.CLUSTER_CLASS(self.NODES, out, self.NODE_ENV)
        self.cluster = self.enterContext(cluster)
        self.names = sorted(self.cluster.nodes)
        self.numbers = itertools.count()
        self.cluster.wait(self.all_ready, "all nodes are ready")

    def all_ready(self):
        return all(map(self.cluster.is_ready, self.names))

    def is_served(self, path):
        """Return whether all nodes serve requests on a path."""
        return all(self.send_request(name, path)[0] == 200 for name in self.names)

    def wait_until_served(self, paths):
        """Wait until all nodes serve requests on these paths."""
        for path in paths:
            self.cluster.wait(lambda p=path: self.is_served(p), f"{path} is served")

    def planner(self):
        """Return the node that was elected leader last; the leader plans."""
        elections = [
            (event["term"], event["node"])
            for name in self.names
            for event in self.cluster.log_events(name)
            if event["event"] == "planning taken over"
        ]
        return max(elections)[1]

    def noticed_at(self, name, server):
        """Return when a node logged that a server drains, in seconds of the day."""
        for entry in self.cluster.log_events(name):
            if entry["event"] == "server draining" and server in entry.values():
                time_text = entry["time"].replace("Z", "+00:00")
                return datetime.fromisoformat(time_text).timestamp()
        return None

    def send_request(self, node, path="/ask/x", prompt=""):
        """Send a request; return status and body, 0 if there is no whole response."""
        try:
            return self.cluster.send_request(
                node, f"c-{next(self.numbers)}", path, prompt=prompt
            )
        except (OSError, HTTPException):
            return 0, b""

    def send_requests_for(self, seconds, senders, interval_s):
        """Send requests until ``seconds`` have passed, those of all senders together.

        ``senders`` are pairs of a node and a path. Returns triples of node, path and
        status, in the order of their ends.
        """
        ends_at, ended = time.monotonic() + seconds, []

        def repeat(node, path):
            while time.monotonic() < ends_at:
                ended.append((node, path, self.send_request(node, path)[0]))
                time.sleep(interval_s)

        senders = list(senders)
        with ThreadPoolExecutor(len(senders)) as pool:
            futures = [pool.submit(repeat, *sender) for sender in senders]
        for future in futures:
            future.result()
        return ended

    def restart_all_nodes(self):
        """Kill all nodes, start them again, and wait until they are ready."""
        for name in self.names:
            self.cluster.signal(name, signal.SIGKILL)
        for name in self.names:
            self.cluster.wait(
                lambda n=name: self.cluster.exit_code(n) is not None, "end"
            )
            self.cluster.add_node(name)
        self.cluster.wait(self.all_ready, "all nodes are ready")
