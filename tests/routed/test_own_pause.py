"""A node that was paused takes its own pause for no loss of its peers.

Peers go on to send their heartbeats while a node is paused. These lie unread in its
sockets when it runs again, and its overdue checks run before it reads them.
"""

import unittest
from contextlib import ExitStack
from types import SimpleNamespace

from auburnwall.base.tasks import TaskGroup
from auburnwall.fleet.formation.records import NodeRecord
from auburnwall.node.routed.brokers import (
    ASK_TIMEOUT_S,
    CHOICE_REUSED_S,
    FAILED_BROKER_S,
)
from auburnwall.node.routed.fleet_load import load_of_pulse
from auburnwall.node.routed.node import GRANT_CHECK_INTERVAL_S, RoutedNode
from auburnwall.node.routed.peers import MAX_HEARTBEAT_AGE_S, MAX_LOAD_AGE_S
from auburnwall.node.routed.platform_adapters import Platform
from auburnwall.node.routed.settings import RoutedSettings
from auburnwall.routing.brokered_placer import Ask, BrokeredPlacer, Grant
from auburnwall.routing.in_flight import CHECK_INTERVAL_S
from auburnwall.routing.step_model import Work
from auburnwall.wire.exceptions import PeerUnavailableError
from auburnwall.wire.peer.ttypes import FleetDigest, Pulse, SlotGrant
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


class BrokerChoiceTests(PausedNodeCase):
    """Guards against a node that takes itself for the broker of all groups."""

    def choices(self):
        """Return the broker of each of some models."""
        broker_of = self.node.placing.brokers.broker_of
        return [broker_of("assist", str(model), "norte") for model in range(20)]

    def test_brokers_are_the_same_after_a_pause(self):
        before = self.choices()
        self.clock.now += PAUSE_S
        self.assertEqual(self.choices(), before)
        self.resume()
        self.run_node(MAX_HEARTBEAT_AGE_S - HEARTBEAT_S)
        self.assertEqual(self.choices(), before)

    def test_lost_broker_is_replaced_soon_after_the_pause(self):
        self.clock.now += PAUSE_S
        self.resume()
        self.run_node(MAX_HEARTBEAT_AGE_S + CHOICE_REUSED_S)
        self.assertEqual(set(self.choices()), {OWN})

    def test_slots_of_a_broker_count_once_after_a_pause(self):
        """The broker counts them, so this node must not count them as well."""
        grant = Grant("1", ASKER, f"{ASKER}-1", "g1")
        self.clock.now += PAUSE_S
        self.assertTrue(self.node.placing.brokers.is_current(grant))
        self.resume()
        self.run_node(MAX_HEARTBEAT_AGE_S + 0.1)
        self.assertFalse(self.node.placing.brokers.is_current(grant))


class LoadTests(PausedNodeCase):
    """Guards against full groups that seem to be free after a pause."""

    def setUp(self):
        super().setUp()
        self.peers = self.node.peers

    def hear(self, name, running, suspects=()):
        pulse = new_pulse(name)
        pulse.running, pulse.suspects = running, list(suspects)
        self.peers.receive(pulse, reports=True)

    def test_loads_of_peers_are_kept_during_a_pause(self):
        self.hear(ASKER, {"g1": 3})
        self.hear(OTHER, {"g1": 2})
        self.clock.now += PAUSE_S
        self.assertEqual(self.peers.load("g1"), 5)
        self.resume()
        self.run_node(0.2)
        self.assertEqual(self.peers.load("g1"), 5)
        # The first peer that is heard does not stand for all.
        self.hear(ASKER, {"g1": 1})
        self.run_node(0.2)
        self.assertEqual(self.peers.load("g1"), 3)

    def test_loads_of_lost_peers_end_soon_after_the_pause(self):
        self.hear(ASKER, {"g1": 3})
        self.clock.now += PAUSE_S
        self.resume()
        self.run_node(MAX_LOAD_AGE_S + 0.1)
        self.assertEqual(self.peers.load("g1"), 0)

    def test_loads_of_a_relay_s_digest_are_kept_as_well(self):
        # Nodes with fewer cores report to a relay.
        own = self.node.fleet.nodes[OWN]
        self.node.fleet.nodes[OWN] = own._replace(cores=0.1)
        self.peers.call_new_peers(SimpleNamespace(spawn=lambda *args: None))
        relay = self.peers.parent()
        self.assertIn(relay, (ASKER, OTHER))
        load = load_of_pulse(new_pulse(relay))
        load.running = {"g1": 5}
        digest = FleetDigest(f"{relay}-1", 1, True, [], [], load)
        self.peers._apply_digest(relay, new_pulse(OWN), digest)
        self.clock.now += PAUSE_S
        self.assertEqual(self.peers.load("g1"), 5)
        self.resume()
        self.run_node(MAX_LOAD_AGE_S + 0.1)
        self.assertEqual(self.peers.load("g1"), 0)

    def test_suspicions_from_before_the_pause_are_not_told(self):
        self.hear(ASKER, {"g1": 3}, ["g1"])
        self.clock.now += PAUSE_S
        self.assertEqual(self.peers.fleet_load().suspects, {})


class SilentBrokerTests(PausedNodeCase):
    """Guards against a sound broker that is not asked because its asker was late."""

    def setUp(self):
        super().setUp()
        self.brokers = self.node.placing.brokers
        self.brokers._quick_pool = SimpleNamespace(call=self.call)
        self.late_s, self.replies = 0.0, False
        self.model = next(
            model
            for model in map(str, range(100))
            if self.brokers.broker_of("assist", model, "norte") != OWN
        )

    def call(self, address, method, *args):
        """Respond or be silent, while the node stands still for ``late_s``."""
        if method != "take_slot":
            return None
        if self.replies:
            return SlotGrant(granted=False)
        self.clock.now += ASK_TIMEOUT_S + self.late_s
        if self.late_s:
            self.node.lateness.record(self.late_s, self.clock.now)
        self.node.lateness.expect(self.clock.now + CHECK_INTERVAL_S)
        raise PeerUnavailableError("read timeout", step=method, peer=address)

    def broker(self):
        return self.brokers.broker_of("assist", self.model, "norte")

    def ask(self, broker):
        request = SimpleNamespace(
            request_id="r",
            service="assist",
            model=self.model,
            team="blue",
            rank=1,
            work=Work(100, 10),
            deadline=self.clock.now + 2.0,
            objective_at=self.clock.now + 0.3,
            route=SimpleNamespace(objective_s=0.3),
        )
        return self.brokers.ask(broker, Ask(request, None, False, False), ())

    def ask_late(self, late_s):
        """Ask the broker; return whether it is asked by the next request."""
        broker, self.late_s = self.broker(), late_s
        self.assertIs(self.ask(broker), BrokeredPlacer.UNREACHABLE)
        return self.broker() == broker

    def test_broker_that_was_silent_during_a_pause_is_asked_again(self):
        self.assertTrue(self.ask_late(0.4))

    def test_broker_that_is_silent_to_a_node_in_time_is_lost_at_once(self):
        self.assertFalse(self.ask_late(0.0))
        self.run_node(FAILED_BROKER_S, (ASKER, OTHER))
        self.assertNotEqual(self.broker(), None)

    def test_earlier_lateness_does_not_count(self):
        self.node.lateness.record(0.4, self.clock.now)
        self.run_node(0.1, (ASKER, OTHER))
        self.assertFalse(self.ask_late(0.0))

    def test_broker_that_is_silent_twice_is_lost_however_late_the_node(self):
        self.assertTrue(self.ask_late(0.4))
        self.assertFalse(self.ask_late(0.4))

    def test_broker_is_asked_again_after_each_pause_if_it_responds(self):
        for _ in range(3):
            self.assertTrue(self.ask_late(0.4))
            self.replies = True
            self.assertIsNone(self.ask(self.broker()))
            self.replies = False

    def test_asks_in_the_same_pause_are_one_silence(self):
        broker, asked_at = self.broker(), self.clock.now
        for _ in range(5):
            self.clock.now = asked_at
            self.assertTrue(self.ask_late(0.4))
        self.assertEqual(self.broker(), broker)


if __name__ == "__main__":
    unittest.main()
