"""Whether a node's own links work: lost links are told apart from lost servers."""

import random
import unittest
from types import SimpleNamespace

import gevent

from auburnwall.base.tasks import TaskGroup
from auburnwall.fleet.server_reach import SERVERS_PER_ROUND, ServerReach
from tests.state.test_table import FakeClock


class FixedReach:
    """The reach of a node that reaches all servers, or none of them."""

    def __init__(self, *, cut_off=False):
        self.cut_off = cut_off
        self.doubts = 0

    def is_lost(self, service):
        return self.cut_off

    def proved_since(self, service, at):
        return not self.cut_off

    def note_connected(self, service):
        pass

    def doubt(self, service):
        self.doubts += 1

    def reaches_any_since(self, at):
        return not self.cut_off


class ServerReachTests(unittest.TestCase):
    """Nine model servers and three plain ones, in three data centres."""

    def setUp(self):
        self.clock, self.tried, self.reachable = FakeClock(), [], set()
        self.delay_s = 0.0
        self.models = {f"m{n}" for n in range(9)}
        self.desks = {f"d{n}" for n in range(3)}
        servers = {
            name: SimpleNamespace(
                server=name,
                address=name,
                data_center=f"dc{int(name[1]) % 3}",
                service="assist" if name in self.models else "desk",
            )
            for name in sorted(self.models | self.desks)
        }
        self.registry = SimpleNamespace(servers=servers)
        tasks = self.enterContext(TaskGroup())
        self.reach = ServerReach(
            self.registry, self.can_connect, self.clock, random.Random(3), tasks
        )
        self.changes = []
        self.reach.listeners.append(lambda *change: self.changes.append(change))

    def can_connect(self, server, address):
        self.tried.append(server)
        gevent.sleep(self.delay_s)
        return server in self.reachable

    def test_service_is_lost_once_none_of_its_servers_can_be_reached(self):
        self.assertFalse(self.reach.check("assist"))
        self.assertEqual(self.reach.lost_services, ["assist"])
        self.assertEqual(len(set(self.tried)), sum(SERVERS_PER_ROUND))
        self.assertLessEqual(set(self.tried), self.models)
        gevent.sleep(0.01)
        self.assertFalse(self.reach.proved_since("assist", 0.0))
        self.reachable = self.models | self.desks
        self.reach.recheck()
        self.assertEqual(self.reach.lost_services, [])
        self.assertTrue(self.reach.proved_since("assist", self.clock.now))
        changes = [change for change in self.changes if change[0] == "assist"]
        self.assertEqual(changes, [("assist", True), ("assist", False)])

    def test_loss_of_a_service_makes_the_node_check_the_others(self):
        self.reach.check("assist")
        gevent.sleep(0.01)
        self.assertEqual(self.reach.lost_services, ["assist", "desk"])

    def test_other_services_do_not_count(self):
        """The paths to the servers of one service may be lost alone."""
        self.reachable = self.desks
        for _ in range(20):
            self.assertFalse(self.reach.check("assist"))
        self.assertTrue(self.reach.check("desk"))
        self.assertEqual(self.reach.lost_services, ["assist"])

    def test_servers_of_several_data_centers_are_tried(self):
        """A data centre that is lost is no loss of this node's own links."""
        self.reachable = {"m2", "m5", "m8"}
        for _ in range(20):
            self.assertTrue(self.reach.check("assist"))
        self.assertEqual(self.changes, [])

    def test_reach_is_proved_only_from_the_last_connection_on(self):
        self.reachable = self.models
        self.reach.check("assist")
        self.clock.now += 1.0
        self.assertTrue(self.reach.proved_since("assist", self.clock.now - 1.0))
        self.assertFalse(self.reach.proved_since("assist", self.clock.now))

    def test_loss_of_all_servers_of_a_service_leaves_others_in_reach(self):
        """Of a node that sees the last of a service's servers crash, for example."""
        self.reachable = self.models
        self.assertFalse(self.reach.check("desk"))
        self.assertTrue(self.reach.reaches_any_since(self.clock.now))
        self.reachable = set()
        self.clock.now += 1.0
        self.assertFalse(self.reach.reaches_any_since(self.clock.now))

    def test_failures_at_one_moment_share_the_server_that_was_reached(self):
        self.reachable = self.models | self.desks
        for _ in range(5):
            self.assertTrue(self.reach.reaches_any_since(self.clock.now))
        self.assertEqual(len(self.tried), SERVERS_PER_ROUND[0])

    def test_failure_of_the_only_server_is_no_loss_of_links(self):
        for name in sorted(self.desks)[1:]:
            del self.registry.servers[name]
        self.assertTrue(self.reach.check("desk"))
        self.assertEqual(self.tried, [])

    def test_overlapping_doubts_share_one_check(self):
        self.reachable, self.delay_s = self.models, 0.01
        for _ in range(5):
            self.reach.doubt("assist")
            gevent.sleep(0)
        gevent.sleep(0.05)
        self.assertEqual(len(self.tried), SERVERS_PER_ROUND[0])


if __name__ == "__main__":
    unittest.main()
