"""Nodes that have been unreachable for long leave the fleet table."""

import unittest
from types import SimpleNamespace

from auburnwall.node.routed.announcement import REMOVE_AFTER_S, Announcement
from tests.state.test_table import FakeClock


class UnreachableNodeTests(unittest.TestCase):
    def setUp(self):
        self.clock, self.live, self.dropped = FakeClock(), {"n2", "n3"}, []
        self.announcement = Announcement(
            SimpleNamespace(node="n1"),
            SimpleNamespace(nodes=dict.fromkeys(["n1", "n2", "n3"])),
            SimpleNamespace(drop_nodes=self.dropped.extend),
            SimpleNamespace(live=lambda: self.live),
            self.clock,
            lambda: 0.5,
        )

    def pass_time(self, seconds):
        self.clock.now += seconds
        self.announcement.remove_unreachable_nodes()

    def test_node_is_removed_after_the_time(self):
        self.live.remove("n3")
        self.pass_time(1.0)
        self.pass_time(REMOVE_AFTER_S - 0.1)
        self.assertEqual(self.dropped, [])
        self.pass_time(0.2)
        self.assertEqual(self.dropped, ["n3"])

    def test_node_that_is_heard_of_in_between_stays(self):
        self.live.remove("n3")
        self.pass_time(1.0)
        self.pass_time(REMOVE_AFTER_S - 0.1)
        self.live.add("n3")
        self.pass_time(0.1)
        self.live.remove("n3")
        self.pass_time(0.1)
        self.pass_time(REMOVE_AFTER_S - 0.1)
        self.assertEqual(self.dropped, [])


if __name__ == "__main__":
    unittest.main()
