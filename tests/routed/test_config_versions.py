"""Heartbeats tell which version of the configuration a peer goes by."""

import unittest

from .test_peers import Network, NetworkNode


class TellingNode(NetworkNode):
    """A node that goes by ``version``; ``None`` is that of an earlier build."""

    version = None

    def __init__(self, *args):
        super().__init__(*args)
        self.peers.config_version = lambda: self.version

    def pulse(self):
        pulse = super().pulse()
        pulse.config_version = self.version
        return pulse


class ConfigVersionTests(unittest.TestCase):
    def network(self, max_mesh_nodes):
        network = Network(12, max_mesh_nodes)
        network.nodes = {
            name: TellingNode(network, name, max_mesh_nodes) for name in network.nodes
        }
        for number, node in enumerate(network.nodes.values()):
            node.version = 100 + number
        return network

    def test_versions_of_all_peers_in_a_mesh(self):
        network = self.network(24)
        network.nodes["n05"].version = None
        network.run(2.0)
        versions = network.nodes["n00"].peers.config_versions()
        others = set(network.nodes) - {"n00", "n05"}
        self.assertEqual(versions, {n: network.nodes[n].version for n in others})

    def test_version_of_the_relay_at_a_node_behind_it(self):
        network = self.network(4)
        network.run(4.0)
        followers = [n for n in network.nodes.values() if n.peers.parent()]
        self.assertTrue(followers)
        for node in followers:
            relay = node.peers.parent()
            version = network.nodes[relay].version
            self.assertEqual(node.peers.config_versions()[relay], version)

    def test_relay_of_an_earlier_build_tells_none(self):
        network = self.network(4)
        for node in network.nodes.values():
            node.version = None
        network.run(4.0)
        for node in network.nodes.values():
            self.assertEqual(node.peers.config_versions(), {})


if __name__ == "__main__":
    unittest.main()
