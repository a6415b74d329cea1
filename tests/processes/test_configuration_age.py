"""The store fails for some nodes in the middle of a series of configurations.

Guards against nodes that answer by an older version than their peers have, since the
one way on which a version comes to them hangs, fails or trickles.
"""

import time

from standins.modelserver import TOPIC
from standins.platformconfig import registration_entry

from .configuration_run import (
    CONFIG_S,
    CONTACT_S,
    NODES,
    RELAYS_ENV,
    ConfigurationRun,
    DoorsCluster,
)
from .support import PlatformClusterTestCase

# Time in which a leaving server must be noticed, and servers that leave in turn.
DRAIN_S, LEAVING_SERVERS = 2.0, 6
# Answers of a node that does not know the route, or does not know whether there is one.
DENIALS = (404, 503)
BEFORE_S, TROUBLE_S, AFTER_S, LAST_VERSION_S = 2.0, 6.0, 4.0, 1.0


class AgeTestCase(PlatformClusterTestCase):
    """Nodes that each have an address of the store for themselves."""

    NODES = NODES
    CLUSTER_CLASS = DoorsCluster

    def play(self, trouble, count):
        """Play a series of versions with a trouble at ``count`` nodes; return it."""
        with ConfigurationRun(self.cluster) as run:
            time.sleep(BEFORE_S)
            for name in self.names[:count]:
                self.cluster.set_door(name, trouble)
            time.sleep(TROUBLE_S)
            for name in self.names[:count]:
                self.cluster.set_door(name, "")
            time.sleep(AFTER_S)
            run.stop_writing()
            time.sleep(LAST_VERSION_S)
        return run

    def check(self, trouble, count):
        run = self.play(trouble, count)
        late_s = run.lateness(DENIALS)
        worst = sorted(late_s.items(), key=lambda item: -item[1])[:3]
        self.assertLessEqual(max(late_s.values(), default=0.0), CONFIG_S, worst)
        self.assertEqual(run.returned(), [])
        self.assertEqual(run.not_in_force(), {})


class RelayedConfigurationAgeTests(AgeTestCase):
    """Two nodes are relays; the store fails for one of them and for its followers."""

    NODE_ENV = RELAYS_ENV

    def test_silent_store(self):
        self.check("silent", 4)

    def test_store_whose_answers_trickle(self):
        self.check("slow", 4)


class ConfigurationAgeTests(AgeTestCase):
    """All nodes exchange heartbeats and read the operators' table themselves."""

    def test_leaving_servers_while_the_store_is_silent(self):
        self.check_leaving_servers("silent")

    def test_leaving_servers_while_answers_trickle(self):
        self.check_leaving_servers("slow")

    def check_leaving_servers(self, trouble):
        """Check that nodes notice leaving servers, whose entries come the same way."""
        entry, late_s = registration_entry(), {}
        names = [f"i-leaving-{n}" for n in range(LEAVING_SERVERS)]
        for server in names:
            self.cluster.put(TOPIC, server, entry)
        time.sleep(BEFORE_S)
        for name in self.names[:5]:
            self.cluster.set_door(name, trouble)
        for server in names:
            time.sleep(0.6)
            self.cluster.put(TOPIC, server, {**entry, "State": "draining"})
            late_s[server] = time.time()
        time.sleep(CONTACT_S)
        for server, acknowledged_at in late_s.items():
            for name in self.names:
                noticed_at = self.noticed_at(name, server)
                self.assertIsNotNone(noticed_at, (name, server))
                self.assertLessEqual(noticed_at - acknowledged_at, DRAIN_S, name)

    def test_silent_store_for_all(self):
        """Nodes have nobody to ask, but go by all versions soon after its return."""
        with ConfigurationRun(self.cluster) as run:
            time.sleep(BEFORE_S)
            for name in self.names:
                self.cluster.set_door(name, "silent")
            time.sleep(TROUBLE_S)
            for name in self.names:
                self.cluster.set_door(name, "")
            ended_at = time.monotonic()
            time.sleep(AFTER_S)
            run.stop_writing()
            time.sleep(LAST_VERSION_S)
        late_s = run.late_after(ended_at, DENIALS)
        self.assertLessEqual(max(late_s.values(), default=0.0), CONTACT_S, late_s)
        self.assertEqual(run.not_in_force(), {})

    def test_silent_store(self):
        self.check("silent", 2)

    def test_silent_store_for_all_but_one(self):
        self.check("silent", 6)

    def test_store_whose_answers_trickle(self):
        self.check("slow", 2)

    def test_store_that_turns_calls_away(self):
        self.check("many", 3)

    def test_connections_to_the_store_that_fall_silent(self):
        self.check("hushed", NODES)
