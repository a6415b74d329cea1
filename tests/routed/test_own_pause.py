"""A node that was paused takes its own pause for no loss of its peers.

Peers go on to send their heartbeats while a node is paused. These lie unread in its
sockets when it runs again, and its overdue checks run before it reads them.
"""

import unittest
from contextlib import ExitStack
from types import SimpleNamespace

from auburnwall.base.tasks import TaskGroup
from auburnwall.fleet.formation.records import NodeRecord
from auburnwall.node.routed.node import GRANT_CHECK_INTERVAL_S, Platform, RoutedNode
from auburnwall.node.routed.peers import MAX_HEARTBEAT_AGE_S
from auburnwall.node.routed.settings import RoutedSettings
from auburnwall.routing.in_flight import CHECK_INTERVAL_S
from auburnwall.wire.peer.ttypes import Pulse
from tests.state.test_table import FakeClock

OWN, ASKER, OTHER = "n0", "n1", "n2"
PAUSE_S = 10.0
HEARTBEAT_S = 0.4


def new_pulse(name):
    return Pulse(
        node=name,
        incarnation=f"{name}-1",
        ready=True,
        stopping=False,
        reads_tables=True,
        table_ends={},
        running={},
        demand={},
        suspects=[],
        has_traffic=False,
        leaving={},
    )


class PausedNodeCase(unittest.TestCase):
    """A node that is not started; the tests run its timers."""

    def setUp(self):
        self.clock = FakeClock()
        cfg = RoutedSettings(
            node=OWN, data_center="norte", peer_address="", max_mesh_nodes=1
        )
        stack = self.enterContext(ExitStack())
        stub = SimpleNamespace()
        self.node = RoutedNode(
            cfg,
            Platform(*[stub] * 7, ready_path="/ready"),
            stack.enter_context(TaskGroup()),
            stack,
            lambda: cfg,
            self.clock,
        )
        for name in (OWN, ASKER, OTHER):
            self.node.fleet.nodes[name] = NodeRecord(
                name, f"{name}-1", "", name, "norte", 1.0
            )
        self.run_node(1.0, (ASKER, OTHER))

    def run_node(self, seconds, heard=()):
        """Let the node run in time and hear the heartbeats of some peers."""
        lateness, end_at = self.node.lateness, self.clock.now + seconds
        heartbeat_at = self.clock.now
        while self.clock.now < end_at:
            lateness.expect(self.clock.now + CHECK_INTERVAL_S)
            if self.clock.now >= heartbeat_at:
                heartbeat_at += HEARTBEAT_S
                for name in heard:
                    self.node.peers.receive(new_pulse(name), reports=True)
            self.clock.now += CHECK_INTERVAL_S
            lateness.record(0.0, self.clock.now)
        lateness.expect(self.clock.now + CHECK_INTERVAL_S)

    def resume(self):
        """Let the timer that measures the lateness fire after a pause."""
        late_s = PAUSE_S - CHECK_INTERVAL_S
        self.node.lateness.record(late_s, self.clock.now)
        self.node.lateness.expect(self.clock.now + CHECK_INTERVAL_S)


class GrantTests(PausedNodeCase):
    """Guards against a broker that grants slots in use a second time."""

    def setUp(self):
        super().setUp()
        self.broker = self.node.placing.broker
        self.broker._placer = SimpleNamespace(
            place_now=lambda request, *args: SimpleNamespace(
                candidate=SimpleNamespace(name="g1"), load=1
            ),
            release_slot=lambda placement: None,
        )
        for name in (ASKER, OTHER):
            request = SimpleNamespace(
                id=name, node=name, request_id="r", deadline=self.clock.now + 60.0
            )
            self.broker.take(request, frozenset(), None, wait=False)

    def check_grants(self):
        """Free the slots of lost nodes; return the nodes that have slots yet."""
        self.broker.expire_grants()
        return set(self.broker._grants)

    def test_grants_outlive_a_pause_of_the_broker(self):
        self.clock.now += PAUSE_S
        self.assertEqual(self.check_grants(), {ASKER, OTHER})
        self.resume()
        self.assertEqual(self.check_grants(), {ASKER, OTHER})
        for _ in range(20):
            self.run_node(GRANT_CHECK_INTERVAL_S, (ASKER, OTHER))
            self.assertEqual(self.check_grants(), {ASKER, OTHER})

    def test_lost_node_loses_its_slots_soon_after_the_pause(self):
        self.clock.now += PAUSE_S
        self.resume()
        self.run_node(MAX_HEARTBEAT_AGE_S, (OTHER,))
        self.assertEqual(self.check_grants(), {OTHER})

    def test_node_lost_before_the_pause_loses_its_slots_at_once(self):
        self.run_node(MAX_HEARTBEAT_AGE_S, (OTHER,))
        self.clock.now += PAUSE_S
        self.assertEqual(self.check_grants(), {OTHER})

    def test_lost_node_loses_its_slots_in_time_without_a_pause(self):
        self.run_node(MAX_HEARTBEAT_AGE_S, (OTHER,))
        self.assertEqual(self.check_grants(), {OTHER})


if __name__ == "__main__":
    unittest.main()
