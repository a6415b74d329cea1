"""Acknowledged versions are in force at all nodes, whatever became of the store's log.

Guards against versions that a node has read and holds back, and against nodes that take
an older version for the newest since it was written late.
"""

import signal
import time
from concurrent.futures import ThreadPoolExecutor
from unittest import mock

from standins.modelserver import TOPIC
from standins.platformconfig import OPERATOR_TOPIC, SETTINGS, registration_entry

from .configuration_day import Day, DayCluster, draw, play
from .configuration_run import CONFIG_S, CONTACT_S, NODES, RELAYS_ENV
from .support import PlatformClusterTestCase

# Time in which a leaving server must be noticed, in seconds.
DRAIN_S = 2.0
LOSSES, EARLY_VERSIONS, DAY_S = 3, 8, 18.0
# Longest wait of a read of the store, in seconds.
LONG_POLL_S = 1.2
# Time for which nodes stand still while others start, in seconds. Within it these are
# up and have exchanged heartbeats; their wait for a peer's word is longer.
STANDSTILL_S = 1.0


class DayTestCase(PlatformClusterTestCase):
    """Nodes that each have an address of the store for themselves."""

    NODES = NODES
    CLUSTER_CLASS = DayCluster

    def setUp(self):
        super().setUp()
        self.wait_until_served(["/look/x"])

    def check(self, day):
        breaches = day.breaches()
        worst = sorted(breaches, key=lambda breach: -breach.late_s)[:2]
        self.assertEqual(len(breaches), 0, worst)

    def check_refusals(self, day):
        """Check the final refusals, also of nodes that are out of touch."""
        refusals = [answer for answer in day.answers if answer.status in (404, 401)]
        self.assertEqual(day.history.breaches(refusals), [])


class VersionCases:
    """Tests of nodes with relays and without."""

    def test_version_acknowledged_right_after_the_store_has_lost_records(self):
        with Day(self.cluster, 1) as day:
            for _ in range(LOSSES):
                day.lose()
                time.sleep(CONFIG_S + 1.5)
        self.check(day)

    def test_node_that_starts_after_an_older_version_was_written_late(self):
        with Day(self.cluster, 1) as day:
            day.write_late()
            day.disturb_node(self.names[0], "kill", 0.1)
            day.disturb_node("", "add", 0.0)
            time.sleep(CONTACT_S + CONFIG_S)
        self.check(day)


class AcknowledgedVersionTests(VersionCases, DayTestCase):
    """All nodes exchange heartbeats and read the operators' table themselves."""

    def test_node_that_missed_a_version_whose_record_is_gone(self):
        """The newest record that is left is that of an older version, written late."""
        name = self.names[0]
        with Day(self.cluster, 1) as day:
            # Its waiting read would get the version before the node is resumed.
            self.cluster.set_door(name, "silent")
            time.sleep(LONG_POLL_S)
            self.cluster.signal(name, signal.SIGSTOP)
            day.write_late()
            self.cluster.expire_store_history(OPERATOR_TOPIC)
            self.cluster.set_door(name, "")
            self.cluster.signal(name, signal.SIGCONT)
            time.sleep(CONTACT_S + CONFIG_S)
        self.check(day)

    def test_node_that_starts_refuses_nothing_by_an_older_version(self):
        """Not even before it is in touch: the store's history is gone."""
        with Day(self.cluster, 1) as day:
            day.write_late()
            self.cluster.expire_store_history(OPERATOR_TOPIC)
            time.sleep(CONFIG_S)
            for name in self.names[:3]:
                day.disturb_node(name, "kill", 0.0)
            time.sleep(CONTACT_S)
        self.check_refusals(day)

    def test_nodes_that_start_together_do_not_confirm_an_older_version(self):
        """Those that know the newer one stand still until the others have spoken."""
        starting, knowing = self.names[:4], self.names[4:]
        with Day(self.cluster, 1) as day:
            day.write_late()
            self.cluster.expire_store_history(OPERATOR_TOPIC)
            time.sleep(CONFIG_S)
            for name in knowing:
                self.cluster.signal(name, signal.SIGSTOP)
            with ThreadPoolExecutor(len(starting)) as pool:
                for name in starting:
                    pool.submit(day.disturb_node, name, "kill", 0.0)
            time.sleep(STANDSTILL_S)
            for name in knowing:
                self.cluster.signal(name, signal.SIGCONT)
            time.sleep(CONTACT_S)
        self.check_refusals(day)

    def test_all_nodes_start_after_an_older_version_was_written_late(self):
        """Nobody knows the newer version; the store's history has it."""
        with Day(self.cluster, 1) as day:
            day.write_late()
            with ThreadPoolExecutor(NODES) as pool:
                for name in self.names:
                    pool.submit(day.disturb_node, name, "kill", 0.1)
            time.sleep(CONTACT_S + CONFIG_S)
        self.check(day)

    def test_store_whose_waiting_reads_are_answered_early_and_arrive_late(self):
        """The copies are then older than they are told to be."""
        with Day(self.cluster, 1) as day:
            for name in self.names:
                self.cluster.set_door(name, "early")
            for _ in range(EARLY_VERSIONS):
                time.sleep(LONG_POLL_S)
                day.add_route()
                day.write()
            time.sleep(CONFIG_S + CONTACT_S)
        self.check(day)

    def test_day_of_many_versions(self):
        with Day(self.cluster, 14) as day:
            play(day, draw(14, DAY_S), DAY_S)
        self.check(day)

    def test_leaving_server_right_after_the_store_has_lost_records(self):
        entry = registration_entry()
        self.cluster.put(TOPIC, "i-leaving", entry)
        time.sleep(1.0)
        self.cluster.keep_store_copy()
        time.sleep(1.0)
        self.cluster.set_store_fault("busy")
        time.sleep(0.4)
        self.cluster.send_store_back()
        self.cluster.put(TOPIC, "i-leaving", {**entry, "State": "draining", "Seqno": 9})
        self.cluster.set_store_fault("")
        acknowledged_at = time.time()
        time.sleep(CONTACT_S + 1.0)
        for name in self.names:
            noticed_at = self.noticed_at(name, "i-leaving")
            self.assertIsNotNone(noticed_at, name)
            self.assertLessEqual(noticed_at - acknowledged_at, DRAIN_S, name)


class ChangedBoundTests(DayTestCase):
    """Nodes start with another bound, which the operator lowers to the users'."""

    NODES = 2

    def setUp(self):
        name = "demo.platform_cluster.SETTINGS"
        bound = SETTINGS.replace("ConfigMs=2000", "ConfigMs=8000")
        self.enterContext(mock.patch(name, bound))
        super().setUp()

    def test_bound_that_is_lowered_while_nodes_run(self):
        for name in self.names:
            path = self.cluster.settings_path(name)
            text = path.read_text("utf-8").replace("ConfigMs=8000", "ConfigMs=2000")
            path.write_text(text, "utf-8")
            self.cluster.signal(name, signal.SIGHUP)
        with Day(self.cluster, 1) as day:
            for name in self.names:
                self.cluster.set_door(name, "silent")
            time.sleep(2 * LONG_POLL_S)
            day.add_route()
            day.write()
            time.sleep(CONFIG_S + CONTACT_S)
        self.check(day)


class RelayedAcknowledgedVersionTests(VersionCases, DayTestCase):
    """Two nodes are relays, which read the store for the others."""

    NODE_ENV = RELAYS_ENV
