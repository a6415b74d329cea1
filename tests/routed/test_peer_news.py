"""Crashes and limits that one node has seen become known to all nodes."""

import unittest

from auburnwall.fleet.server_notices import LIMIT_MEMORY_S
from auburnwall.node.routed.peers import REPORT_PERIOD_S
from tests.routing.test_crash_evidence import suspect

from .test_peers import DIRECTORY_LIMIT_S, Network

# Time after the fifth crash from which a part that crashes servers must reach no more
# of them: the shortest one on the users' pages for a fleet of this size, in seconds.
CONTACT_S = 4.0


class CrashingPartTests(unittest.TestCase):
    """Crashes that different nodes see become known to all in time."""

    def setUp(self):
        self.network = Network()
        self.network.run(4.0)
        self.nodes = self.network.nodes

    def crash_servers(self, nodes, part="bad"):
        """Let a server crash at each of the nodes, at the same moment."""
        for number, name in enumerate(nodes):
            request = suspect(["hot", part], f"own-{number}")
            self.nodes[name].evidence.note_crash(f"s{number}", 1, request, "r", 0.0)

    def check_blocked(self, *, except_nodes=()):
        for name in set(self.nodes) - self.network.down - set(except_nodes):
            self.assertEqual(self.nodes[name].evidence.blocked_causes(), {"bad"}, name)

    def answer(self, name, part):
        self.nodes[name].evidence.note_answered((part,))

    def test_part_is_blocked_at_all_nodes_within_the_time_allowed(self):
        self.answer("n45", "hot")
        self.crash_servers(("n20", "n31", "n42"))
        self.network.run(CONTACT_S)
        self.check_blocked()

    def test_with_a_fifth_of_the_calls_lost(self):
        self.network.loss = 0.2
        self.answer("n45", "hot")
        self.crash_servers(("n20", "n31", "n42", "n50", "n55"))
        self.network.run(CONTACT_S)
        self.check_blocked()

    def test_with_a_relay_lost_at_that_moment(self):
        relay = self.nodes["n20"].peers.parent()
        self.answer("n45", "hot")
        self.crash_servers(("n20", "n31", "n42"))
        self.network.down.add(relay)
        self.network.run(DIRECTORY_LIMIT_S)
        self.check_blocked()

    def test_node_that_was_frozen_meanwhile_blocks_it_when_it_is_back(self):
        self.network.down.add("n33")
        self.answer("n45", "hot")
        self.crash_servers(("n20", "n31", "n42"))
        self.network.run(20.0)
        self.network.down.clear()
        self.network.run(CONTACT_S)
        self.check_blocked()

    def test_part_that_one_node_has_had_answered_is_blocked_nowhere(self):
        self.answer("n45", "hot")
        self.answer("n58", "bad")
        self.crash_servers(("n20", "n31", "n42"))
        for _ in range(20):
            self.network.run(REPORT_PERIOD_S)
            for name, node in self.nodes.items():
                self.assertEqual(node.evidence.blocked_causes(), set(), name)


class ServerLimitTests(unittest.TestCase):
    """The limit that a server names to one node becomes known to all."""

    def setUp(self):
        self.network = Network()
        self.network.run(4.0)

    def hear(self, name, per_s):
        clock = self.network.clock
        notices = self.network.nodes[name].notices
        notices.note_limit("s1", "test", per_s, clock.monotonic())

    def known_limits(self):
        return {n.notices.limit_per_s("s1") for n in self.network.nodes.values()}

    def settle(self):
        self.network.run(self.network.nodes["n20"].peers.settle_s() + REPORT_PERIOD_S)

    def test_all_nodes_know_a_limit_that_one_has_heard(self):
        self.hear("n30", 2.5)
        self.settle()
        self.assertEqual(self.known_limits(), {2.5})

    def test_newest_limit_counts(self):
        self.hear("n30", 2.5)
        self.settle()
        self.hear("n50", 4.0)
        self.settle()
        self.assertEqual(self.known_limits(), {4.0})

    def test_peers_with_older_word_do_not_bring_back_a_limit_that_has_ended(self):
        self.hear("n30", 2.5)
        self.settle()
        self.network.run(6.0)
        self.hear("n50", None)
        self.network.run(2.0)
        self.assertIsNone(self.network.nodes["n50"].notices.limit_per_s("s1"))

    def test_limit_that_is_not_repeated_ends_at_all_nodes(self):
        self.hear("n30", 2.5)
        self.network.run(LIMIT_MEMORY_S + 6.0)
        self.assertEqual(self.known_limits(), {None})


if __name__ == "__main__":
    unittest.main()
