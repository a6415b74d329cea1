"""Evidence: results never seem newer than they are, and none is lost."""

import unittest

from auburnwall.fleet.engines.base import READY, EngineReport
from auburnwall.fleet.evidence import Evidence, ProbeResult
from tests.faults.virtual_time import VirtualClock, VirtualTime
from tests.faults.world import SimulatedCluster, base_config

FRESH_S = 2.0


def report(state=READY, generation=5, boot="boot", bears=4):
    return EngineReport(boot, state, generation, "1", 0, bears, 3)


class EvidenceTests(unittest.TestCase):
    def setUp(self):
        self.time = VirtualTime()
        self.evidence = Evidence("me", "i", VirtualClock(self.time), FRESH_S)

    def observe(
        self, watcher, observed_at=None, reachable=True, failing_since=0.0, **fields
    ):
        observed_at = self.time.now if observed_at is None else observed_at
        watcher_results = self.evidence.ensure_peer_results(watcher, "i")
        result = ProbeResult(
            "vm", watcher, observed_at, reachable, report(**fields), failing_since, 1
        )
        watcher_results.apply_changes(
            observed_at, [result], [], watcher_results.seq + 1
        )

    def test_evidence_expires(self):
        self.observe("a")
        self.assertIsNotNone(self.evidence.report_if_ready("vm", 5))
        self.time.run_until(self.time.now + FRESH_S + 0.1)
        self.assertIsNone(self.evidence.report_if_ready("vm", 5))

    def test_confirmation_renews_unchanged_results(self):
        self.observe("a")
        self.time.run_until(self.time.now + FRESH_S)
        watcher_results = self.evidence.known_peer_results("a")
        watcher_results.apply_changes(self.time.now - 0.5, [], [], watcher_results.seq)
        self.time.run_until(self.time.now + 1.0)
        self.assertIsNotNone(self.evidence.report_if_ready("vm", 5))
        self.time.run_until(self.time.now + 0.6)
        self.assertIsNone(self.evidence.report_if_ready("vm", 5))

    def test_one_result_of_another_generation_makes_vm_not_ready(self):
        self.observe("a")
        self.observe("b", generation=0, state="empty")
        self.assertIsNone(self.evidence.report_if_ready("vm", 5))

    def test_smallest_reported_capacity_counts(self):
        self.observe("a", bears=6)
        self.observe("b", bears=1)
        self.assertEqual(self.evidence.report_if_ready("vm", 5).bears, 1)

    def test_dead_vm_needs_enough_witnesses_and_no_contradiction(self):
        self.observe("a", reachable=False, failing_since=self.time.now - 3.0)
        self.assertEqual(self.evidence.dead_for("vm", 2), 0.0)
        self.observe("b", reachable=False, failing_since=self.time.now - 2.0)
        self.assertAlmostEqual(self.evidence.dead_for("vm", 2), 2.0)
        self.observe("c")
        self.assertEqual(self.evidence.dead_for("vm", 2), 0.0)

    def test_own_results_and_single_probes_of_a_node_are_one_witness(self):
        for watcher_results in (self.evidence.own_results, self.evidence.single_probes):
            watcher_results.record_probe("vm", self.time.now, None, self.time.now - 3.0)
        self.assertEqual(self.evidence.dead_for("vm", 2), 0.0)

    def test_new_incarnation_of_a_watcher_starts_empty(self):
        self.observe("a")
        self.evidence.ensure_peer_results("a", "j")
        self.assertIsNone(self.evidence.report("vm"))


class SingleProbeTests(unittest.TestCase):
    def test_single_probe_does_not_age_what_this_node_confirms(self):
        """A single probe is not repeated, so it soon is this node's oldest result.

        Counted among its own results, it made peers take all of them for stale.
        """
        cluster = SimulatedCluster(3)
        self.addCleanup(cluster.close)
        cluster.call_later(2.0, cluster.change_config, lambda config: base_config())
        cluster.run(10.0)
        node = cluster.nodes["entry-0"]
        unassigned = set(cluster.vms) - node.components.prober.assigned_vms()
        cluster.spawn(node.components.prober.probe_once, sorted(unassigned)[0])
        cluster.run(5.0)
        self.assertLess(
            node.components.evidence.own_results.max_age_s(cluster.time.now), 1.0
        )


class PauseTests(unittest.TestCase):
    def test_node_paused_while_it_pulls_regains_all_results(self):
        """A pause discards all results, also while a peer's digest is awaited.

        The node used to apply the digest's changes as if it still held the earlier
        results, and so never got the unchanged ones back.
        """
        cluster = SimulatedCluster(3)
        self.addCleanup(cluster.close)
        cluster.call_later(2.0, cluster.change_config, lambda config: base_config())
        cluster.run(10.0)
        node = cluster.nodes["entry-1"]
        cluster.trigger("call exchange", lambda at: node.pause(2.0))
        cluster.run(10.0)
        for name in cluster.vms:
            self.assertTrue(node.components.evidence.fresh(name), name)


if __name__ == "__main__":
    unittest.main()
