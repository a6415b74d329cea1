"""Routed nodes as processes on a stand-in platform: kills, restarts, outages."""

import signal
import tempfile
import unittest
from concurrent.futures import ThreadPoolExecutor

from demo.platform_cluster import PlatformCluster

WHOLE = 10


class PlatformClusterTests(unittest.TestCase):
    def setUp(self):
        out = self.enterContext(tempfile.TemporaryDirectory())
        self.cluster = self.enterContext(PlatformCluster(3, out))
        self.names = sorted(self.cluster.nodes)
        self.cluster.wait(self.all_ready, "all nodes are ready")
        self.cluster.wait(lambda: self.served("first"), "a group is open")

    def all_ready(self):
        return all(map(self.cluster.ready, self.names))

    def served(self, request_id, node=None):
        try:
            status, body = self.cluster.ask(node or self.names[0], request_id)
        except OSError:
            return False
        return status == 200 and body.count(b"data: piece-") == WHOLE

    def planner(self):
        """Return the node that took the planning over last."""
        taken = [
            (event["term"], event["node"])
            for name in self.names
            for event in self.cluster.log(name)
            if event["event"] == "planning taken over"
        ]
        return max(taken)[1]

    def events(self, name):
        return [
            e for n in self.names for e in self.cluster.log(n) if e["event"] == name
        ]

    def test_planner_is_killed_and_another_one_repairs(self):
        planner = self.planner()
        others = [name for name in self.names if name != planner]
        self.cluster.signal(planner, signal.SIGKILL)
        self.cluster.stop_server("i-engine-0")
        self.cluster.stop_server("i-engine-1")
        self.cluster.wait(lambda: self.planner() != planner, "another node plans")
        self.cluster.wait(lambda: self.events("group ended"), "lost groups end")
        self.cluster.wait(lambda: self.served("anew", others[0]), "a group is open")
        for number in range(6):
            self.assertTrue(self.served(f"k-{number}", others[number % 2]))

    def test_groups_are_adopted_after_all_nodes_were_killed(self):
        for name in self.names:
            self.cluster.signal(name, signal.SIGKILL)
        planned = len(self.events("group planned"))
        for name in self.names:
            self.cluster.wait(
                lambda n=name: self.cluster.exit_code(n) is not None, "end"
            )
            self.cluster.add_node(name)
        self.cluster.wait(lambda: self.served("again"), "requests are served again")
        self.assertEqual(len(self.events("group planned")), planned)

    def test_stopped_node_finishes_what_runs(self):
        node = self.names[1]
        with ThreadPoolExecutor(8) as pool:
            answers = [pool.submit(self.served, f"s-{n}", node) for n in range(8)]
            self.cluster.signal(node, signal.SIGTERM)
            self.assertTrue(all(answer.result() for answer in answers))
        self.cluster.wait(lambda: self.cluster.exit_code(node) == 0, "the node ends")

    def test_store_that_is_silent_stops_no_request(self):
        self.cluster.set_trouble("silent")
        for number in range(6):
            self.assertTrue(self.served(f"o-{number}", self.names[number % 3]))
        self.cluster.set_trouble("")

    def test_configuration_and_evacuation_are_in_force_within_two_seconds(self):
        self.cluster.put("keyed.op", "evacuate/norte", {})
        self.cluster.wait(lambda: not self.served("out"), "nothing is sent", 2.0)
        self.cluster.put("keyed.op", "evacuate/norte", None)
        self.cluster.wait(lambda: self.served("back"), "requests are served again")

    def test_changed_settings_are_taken_over_and_bad_ones_are_not(self):
        node = self.names[0]
        path = self.cluster.settings_path(node)
        good = path.read_text("utf-8")
        path.write_text(good.replace("GraceS=4", "GraceS=6"), "utf-8")
        self.cluster.wait(lambda: self.told(node, "settings changed"), "the change")
        path.write_text(good.replace("GraceS=4", "GraceS=soon"), "utf-8")
        self.cluster.signal(node, signal.SIGHUP)
        self.cluster.wait(lambda: self.told(node, "settings kept"), "the refusal")
        self.assertTrue(self.served("hup", node))

    def told(self, node, name):
        return any(event["event"] == name for event in self.cluster.log(node))
