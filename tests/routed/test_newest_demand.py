"""The newest second's demand in a fleet of 60 nodes with relays."""

import unittest

from tests.routed.test_peers import NODES, Network, NetworkNode

# Time in which a report of each node reaches all others through the relays, in seconds.
REACHES_ALL_S = 1.2


class ReportingNetwork(Network):
    """A network whose nodes report ``newest`` as the newest second's demand.

    Nodes in ``older`` do not report it, as those of an older build.
    """

    def __init__(self):
        self.newest, self.older = 0.5, set()
        super().__init__()
        for node in self.nodes.values():
            self._replace_pulse(node)

    def _replace_pulse(self, node):
        def pulse():
            found = NetworkNode.pulse(node)
            if node.name not in self.older:
                found.newest_demand = {"big": self.newest}
            return found

        node.peers._own_pulse = pulse


class NewestDemandTests(unittest.TestCase):
    def setUp(self):
        self.network = ReportingNetwork()
        self.network.run(4.0)

    def check_all(self, expected):
        for name, node in self.network.nodes.items():
            newest = node.peers.fleet_load().newest_demand
            self.assertAlmostEqual(newest["big"], expected, msg=name)

    def test_jump_reaches_all_nodes_in_time(self):
        """Any of them may be the planner, or become it."""
        self.check_all(NODES * 0.5)
        self.network.newest = 1.25
        self.network.run(REACHES_ALL_S)
        self.check_all(NODES * 1.25)

    def test_nodes_of_an_older_build_count_with_their_mean(self):
        self.network.older = set(sorted(self.network.nodes)[::2])
        self.network.newest = 1.25
        self.network.run(REACHES_ALL_S)
        self.check_all(NODES / 2 * 1.25 + NODES / 2 * 0.5)

    def test_no_node_reports_it_where_the_part_is_off(self):
        self.network.older = set(self.network.nodes)
        self.network.run(REACHES_ALL_S)
        for node in self.network.nodes.values():
            load = node.peers.fleet_load()
            self.assertIsNone(load.newest_demand)
            self.assertAlmostEqual(load.demand["big"], NODES * 0.5)


if __name__ == "__main__":
    unittest.main()
