"""The planner ends groups whose servers are lost, not those it cannot reach itself."""

import unittest

from auburnwall.fleet.formation.records import SERVING

from .test_formation_controller import PlannerTestCase


class LostServersTests(PlannerTestCase):
    def lose_all_servers(self, seconds=2.0):
        """Let all streams stall and all probes and orders fail; return the groups."""
        self.node.formation_controller.step()
        names = set(self.groups())
        self.engine.unresponsive = set(self.node.registry.servers)
        self.step_while_suspect(names, seconds)
        return names

    def step_while_suspect(self, names, seconds):
        for _ in range(round(seconds / 0.2)):
            for name in names:
                self.node.member_monitor.suspect_group(name)
            self.node.formation_controller.step()
            self.clock.now += 0.2

    def groups_still_serving(self, names):
        return {g.name for g in self.groups().values() if g.phase == SERVING} & names

    def test_planner_without_links_ends_no_group(self):
        self.node.reach.cut_off = True
        names = self.lose_all_servers()
        self.assertTrue(names)
        self.assertEqual(self.groups_still_serving(names), names)

    def test_groups_that_a_peer_reaches_do_not_end(self):
        self.node.reaching_peers = ["n2"]
        names = self.lose_all_servers()
        self.assertEqual(self.groups_still_serving(names), names)

    def test_groups_whose_servers_are_silent_for_a_second_do_not_end(self):
        names = self.lose_all_servers(1.2)
        self.engine.unresponsive = set()
        self.step_while_suspect(names, 2.0)
        self.assertEqual(self.groups_still_serving(names), names)

    def test_groups_whose_servers_refuse_connections_end_at_once(self):
        self.node.formation_controller.step()
        names = set(self.groups())
        self.engine.refusing = set(self.node.registry.servers)
        self.step_while_suspect(names, 0.4)
        self.assertEqual(self.groups_still_serving(names), set())

    def test_groups_that_no_node_reaches_end(self):
        names = self.lose_all_servers()
        self.assertEqual(self.groups_still_serving(names), set())


if __name__ == "__main__":
    unittest.main()
