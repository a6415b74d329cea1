"""Kills, restarts and outages of nodes on a stand-in of the users' platform."""

import itertools
import signal
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from .support import PlatformClusterTestCase

EVENTS_PER_STREAM = 10


class PlatformClusterTests(PlatformClusterTestCase):
    def setUp(self):
        super().setUp()
        # Each node reads of open groups by itself.
        self.cluster.wait(
            lambda: all(self.is_served(f"first-{name}", name) for name in self.names),
            "all nodes know an open group",
        )

    def is_served(self, request_id, node=None):
        try:
            status, body = self.cluster.send_request(node or self.names[0], request_id)
        except OSError:
            return False
        return status == 200 and body.count(b"data: piece-") == EVENTS_PER_STREAM

    def events(self, name):
        return [
            e
            for n in self.names
            for e in self.cluster.log_events(n)
            if e["event"] == name
        ]

    def test_other_node_repairs_groups_after_planner_is_killed(self):
        planner = self.planner()
        others = [name for name in self.names if name != planner]
        self.cluster.signal(planner, signal.SIGKILL)
        self.cluster.stop_server("i-engine-0")
        self.cluster.stop_server("i-engine-1")
        self.cluster.wait(lambda: self.planner() != planner, "another node plans")
        self.cluster.wait(lambda: self.events("group ended"), "lost groups end")
        self.cluster.wait(lambda: self.is_served("anew", others[0]), "a group is open")
        for number in range(6):
            self.assertTrue(self.is_served(f"k-{number}", others[number % 2]))

    def handles_signals(self, node):
        """Return whether a node ignores SIGHUP or has a handler for it."""
        status = Path(f"/proc/{self.cluster.process(node).pid}/status").read_text()
        masks = dict(line.split(":", 1) for line in status.splitlines())
        handled = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
        return bool(handled & 1 << signal.SIGHUP - 1)

    def test_signals_while_a_node_starts(self):
        """It ignores SIGHUP, as it reads the settings later, and ends at SIGTERM."""
        for name, number in (("late-1", signal.SIGHUP), ("late-2", signal.SIGTERM)):
            self.cluster.add_node(name)
            self.cluster.wait(lambda n=name: self.handles_signals(n), "it starts")
            self.cluster.signal(name, number)
        self.cluster.wait(lambda: self.cluster.is_ready("late-1"), "it is ready")
        self.cluster.wait(lambda: self.cluster.exit_code("late-2") == 0, "it ends")
        started = [e for e in self.cluster.log_events("late-2") if "event" in e]
        self.assertEqual(started, [])

    def test_restarted_nodes_adopt_existing_groups(self):
        for name in self.names:
            self.cluster.signal(name, signal.SIGKILL)
        planned_count = len(self.events("group planned"))
        for name in self.names:
            self.cluster.wait(
                lambda n=name: self.cluster.exit_code(n) is not None, "end"
            )
            self.cluster.add_node(name)
        self.cluster.wait(lambda: self.is_served("again"), "requests are served again")
        self.assertEqual(len(self.events("group planned")), planned_count)

    def test_store_that_lost_records_cuts_off_nothing(self):
        """All groups are newer than the copy from which the store comes back."""
        config = self.cluster.newest("keyed.op", "config")
        self.cluster.send_store_back()
        self.cluster.put("keyed.op", "config", config)
        results = [
            self.is_served(f"d-{number}", self.names[number % 3])
            for number in range(60)
        ]
        self.assertTrue(all(results))
        self.cluster.wait(
            lambda: self.events("lost records written again"), "the records are back"
        )
        self.assertEqual(self.events("group ended"), [])
        self.cluster.send_store_back()
        self.cluster.put("keyed.op", "config", config)
        planner = self.planner()
        self.cluster.signal(planner, signal.SIGKILL)
        alive = [name for name in self.names if name != planner]
        time.sleep(8.0)
        self.assertTrue(all(self.is_served(f"e-{n}", alive[0]) for n in range(20)))

    def test_stopped_node_completes_requests_in_flight(self):
        node = self.names[1]
        with ThreadPoolExecutor(8) as pool:
            futures = [pool.submit(self.is_served, f"s-{n}", node) for n in range(8)]
            self.cluster.signal(node, signal.SIGTERM)
            self.assertTrue(all(future.result() for future in futures))
        self.cluster.wait(lambda: self.cluster.exit_code(node) == 0, "the node ends")

    def test_requests_are_served_while_store_is_unresponsive(self):
        self.cluster.set_store_fault("silent")
        for number in range(6):
            self.assertTrue(self.is_served(f"o-{number}", self.names[number % 3]))
        self.cluster.set_store_fault("")

    def test_evacuation_is_in_force_within_two_seconds(self):
        self.cluster.put("keyed.op", "evacuate/norte", {})
        self.cluster.wait(lambda: not self.is_served("out"), "nothing is sent", 2.0)
        self.cluster.put("keyed.op", "evacuate/norte", None)
        self.cluster.wait(lambda: self.is_served("back"), "requests are served again")

    def test_changed_settings_are_reloaded_and_invalid_ones_rejected(self):
        node = self.names[0]
        path = self.cluster.settings_path(node)
        good = path.read_text("utf-8")
        path.write_text(good.replace("GraceS=4", "GraceS=6"), "utf-8")
        self.cluster.wait(
            lambda: self.has_logged(node, "settings changed"), "the change"
        )
        path.write_text(good.replace("GraceS=4", "GraceS=soon"), "utf-8")
        self.cluster.signal(node, signal.SIGHUP)
        self.cluster.wait(lambda: self.has_logged(node, "settings kept"), "the refusal")
        self.assertTrue(self.is_served("hup", node))

    def has_logged(self, node, name):
        return any(event["event"] == name for event in self.cluster.log_events(node))


class RelayedClusterTests(PlatformClusterTests):
    """The same with relays and brokers: two of five nodes are relays."""

    NODES = 5
    NODE_ENV = {"AUBURNWALL_MAX_MESH_NODES": "2"}

    def setUp(self):
        super().setUp()
        self.cluster.wait(self.is_relayed, "other nodes report to relays")

    def is_relayed(self):
        choosing = {event["node"] for event in self.events("relay chosen")}
        return len(choosing) >= self.NODES - 2

    def broker(self):
        """Return the node that has granted the last slot."""
        grants = [
            (event["time"], event["node"]) for event in self.events("slot granted")
        ]
        return max(grants)[1]

    def test_slots_are_granted_by_one_broker(self):
        for number in range(10):
            self.assertTrue(self.is_served(f"b-{number}", self.names[number % 5]))
        brokers = {event["node"] for event in self.events("slot granted")[-8:]}
        self.assertEqual(len(brokers), 1)

    def check_loss_of_broker(self, sig):
        self.assertTrue(self.is_served("before", self.names[0]))
        broker = self.broker()
        others = [name for name in self.names if name != broker]
        with ThreadPoolExecutor(8) as pool:
            futures = [
                pool.submit(self.is_served, f"l-{n}", others[n % 4]) for n in range(8)
            ]
            self.cluster.signal(broker, sig)
            futures += [
                pool.submit(self.is_served, f"m-{n}", others[n % 4]) for n in range(40)
            ]
            self.assertTrue(all(future.result() for future in futures))
        numbers = itertools.count()

        def has_new_broker():
            number = next(numbers)
            self.assertTrue(self.is_served(f"n-{number}", others[number % 4]))
            return self.broker() != broker

        self.cluster.wait(has_new_broker, "another node grants slots")

    def test_killed_broker_costs_no_request_of_other_nodes(self):
        self.check_loss_of_broker(signal.SIGKILL)

    def test_frozen_broker_costs_no_request_of_other_nodes(self):
        self.check_loss_of_broker(signal.SIGSTOP)

    def test_stopped_broker_costs_no_request_of_other_nodes(self):
        self.check_loss_of_broker(signal.SIGTERM)
