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

    def proved_since(self, at):
        return not self.cut_off

    def note_connected(self):
        pass

    def doubt(self):
        self.doubts += 1

    def check(self):
        return not self.cut_off


class ServerReachTests(unittest.TestCase):
    def setUp(self):
        self.clock, self.tried, self.reachable = FakeClock(), [], set()
        self.delay_s = 0.0
        servers = {
            f"s{n}": SimpleNamespace(
                server=f"s{n}", address=f"s{n}", data_center=f"dc{n % 3}"
            )
            for n in range(9)
        }
        self.registry = SimpleNamespace(servers=servers)
        tasks = self.enterContext(TaskGroup())
        self.reach = ServerReach(
            self.registry, self.can_connect, self.clock, random.Random(3), tasks
        )
        self.changes = []
        self.reach.listeners.append(self.changes.append)

    def can_connect(self, server, address):
        self.tried.append(server)
        gevent.sleep(self.delay_s)
        return server in self.reachable

    def test_node_is_cut_off_once_no_server_can_be_reached(self):
        self.assertFalse(self.reach.check())
        self.assertTrue(self.reach.cut_off)
        self.assertEqual(len(set(self.tried)), sum(SERVERS_PER_ROUND))
        self.assertFalse(self.reach.proved_since(0.0))
        self.reachable = set(self.registry.servers)
        self.reach.recheck()
        self.assertFalse(self.reach.cut_off)
        self.assertTrue(self.reach.proved_since(self.clock.now))
        self.assertEqual(self.changes, [True, False])

    def test_servers_of_several_data_centers_are_tried(self):
        """A data centre that is lost is no loss of this node's own links."""
        self.reachable = {"s2", "s5", "s8"}
        for _ in range(20):
            self.assertTrue(self.reach.check())
        self.assertEqual(self.changes, [])

    def test_reach_is_proved_only_from_the_last_connection_on(self):
        self.reachable = set(self.registry.servers)
        self.reach.check()
        self.clock.now += 1.0
        self.assertTrue(self.reach.proved_since(self.clock.now - 1.0))
        self.assertFalse(self.reach.proved_since(self.clock.now))

    def test_failure_of_the_only_server_is_no_loss_of_links(self):
        del self.registry.servers["s0"]
        for name in list(self.registry.servers)[1:]:
            del self.registry.servers[name]
        self.assertTrue(self.reach.check())
        self.assertEqual(self.tried, [])

    def test_overlapping_doubts_share_one_check(self):
        self.reachable, self.delay_s = set(self.registry.servers), 0.01
        for _ in range(5):
            self.reach.doubt()
            gevent.sleep(0)
        gevent.sleep(0.05)
        self.assertEqual(len(self.tried), SERVERS_PER_ROUND[0])


if __name__ == "__main__":
    unittest.main()
