"""Heartbeats tell which version of the configuration a peer goes by."""

import unittest

from auburnwall.node.routed.peer_status import ConfigStatus

from .test_peers import Network, NetworkNode


class TellingNode(NetworkNode):
    """A node that goes by ``version``; ``None`` is that of an earlier build."""

    version = None
    is_current = True

    def __init__(self, *args):
        super().__init__(*args)
        self.peers.config_status = self.config_status

    def config_status(self):
        return ConfigStatus(self.version, self.is_current)

    def pulse(self):
        pulse = super().pulse()
        pulse.config_version = self.version
        pulse.config_is_current = self.is_current
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
        network.nodes["n06"].is_current = False
        network.run(2.0)
        statuses = network.nodes["n00"].peers.config_statuses()
        others = set(network.nodes) - {"n00", "n05"}
        told = {name: network.nodes[name].config_status() for name in others}
        self.assertEqual(statuses, told)

    def test_version_of_the_relay_at_a_node_behind_it(self):
        network = self.network(4)
        network.nodes["n03"].is_current = False
        network.run(4.0)
        followers = [n for n in network.nodes.values() if n.peers.parent()]
        self.assertTrue(followers)
        for node in followers:
            relay = node.peers.parent()
            told = network.nodes[relay].config_status()
            self.assertEqual(node.peers.config_statuses()[relay], told)

    def test_relay_of_an_earlier_build_tells_none(self):
        network = self.network(4)
        for node in network.nodes.values():
            node.version = None
        network.run(4.0)
        for node in network.nodes.values():
            self.assertEqual(node.peers.config_statuses(), {})


if __name__ == "__main__":
    unittest.main()
