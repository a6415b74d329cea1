"""Test setup: nodes as processes on a stand-in of the users' platform."""

import tempfile
import unittest

from demo.platform_cluster import PlatformCluster


class PlatformClusterTestCase(unittest.TestCase):
    """Starts ``NODES`` nodes with the environment ``NODE_ENV``; all are ready."""

    NODES = 3
    NODE_ENV = {}

    def setUp(self):
        out = self.enterContext(tempfile.TemporaryDirectory())
        cluster = PlatformCluster(self.NODES, out, self.NODE_ENV)
        self.cluster = self.enterContext(cluster)
        self.names = sorted(self.cluster.nodes)
        self.cluster.wait(self.all_ready, "all nodes are ready")

    def all_ready(self):
        return all(map(self.cluster.is_ready, self.names))
