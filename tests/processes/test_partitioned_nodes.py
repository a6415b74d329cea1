"""Nodes that lose their links to all backend servers, while peers still have theirs."""

import itertools
import unittest
from collections import Counter

from .partitioned_cluster import PartitionedCluster
from .support import PlatformClusterTestCase

# Time after the cut from which the users' rule counts, and time of observation.
CONTACT_S, OBSERVED_S = 3.0, 5.0
# The users' rule: the callers of the nodes that are cut off are served at least so
# often, as a fraction of the others.
MIN_RELATIVE_SERVICE = 2 / 3
# Fraction of the requests at the other nodes that are served: the cut concerns none of
# the servers, which are far from full.
MIN_SERVICE = 0.95
# Time between two requests of one sender, in seconds.
INTERVAL_S = 0.1
PATHS = ("/ask/x", "/book/x", "/look/x")


class PartitionedNodesTests(PlatformClusterTestCase):
    CLUSTER_CLASS = PartitionedCluster
    HOW = "hang"

    def setUp(self):
        super().setUp()
        for path in PATHS:
            self.cluster.wait(lambda p=path: self.is_served(p), f"{path} is served")
        planner = self.planner()
        # All but one are cut off, the planner among them.
        others = [name for name in self.names if name != planner]
        self.cut_off, self.spared = [planner, *others[1:]], others[0]

    def is_served(self, path):
        return all(self.send_request(name, path)[0] == 200 for name in self.names)

    def served_fraction(self, statuses, nodes, path):
        counts = Counter()
        for (node, asked_path, status), count in statuses.items():
            if node in nodes and asked_path == path:
                counts[status] += count
        return counts[200] / counts.total()

    def cut_and_send(self):
        for name in self.cut_off:
            self.cluster.cut_off(name, self.HOW)
        senders = list(itertools.product(self.names, PATHS))
        self.send_requests_for(CONTACT_S, senders, INTERVAL_S)
        return Counter(self.send_requests_for(OBSERVED_S, senders, INTERVAL_S))

    def test_nodes_with_links_serve_while_the_planner_has_none(self):
        statuses = self.cut_and_send()
        for path in PATHS:
            served = self.served_fraction(statuses, [self.spared], path)
            self.assertGreaterEqual(served, MIN_SERVICE, (path, statuses))

    def test_callers_of_nodes_without_links_are_served_through_peers(self):
        statuses = self.cut_and_send()
        for path in PATHS:
            served = self.served_fraction(statuses, self.cut_off, path)
            others = self.served_fraction(statuses, [self.spared], path)
            # Were the others not served either, the comparison would say nothing.
            self.assertGreaterEqual(others, MIN_SERVICE, (path, statuses))
            self.assertGreaterEqual(
                served, MIN_RELATIVE_SERVICE * others, (path, statuses)
            )
        for name in self.cut_off:
            self.cluster.heal(name)
        for path in PATHS:
            self.cluster.wait(lambda p=path: self.is_served(p), f"{path} is served")


class ResetLinksTests(PartitionedNodesTests):
    """Open connections are reset, and new ones refused as by a crashed server."""

    HOW = "reset"


class RefusedLinksTests(PartitionedNodesTests):
    """Open connections live on, new ones are refused."""

    HOW = "refuse"


class RelayedPartitionedNodesTests(PartitionedNodesTests):
    """The same with relays and brokers: two of five nodes are relays."""

    NODES = 5
    NODE_ENV = {"AUBURNWALL_MAX_MESH_NODES": "2"}


if __name__ == "__main__":
    unittest.main()
