"""Evidence: its age is never taken for less than it is, and nothing goes missing."""

import unittest

from auburnwall.fleet.engines.base import READY, EngineReport
from auburnwall.fleet.evidence import Evidence, ProbeResult
from tests.faults.virtual_time import VirtualClock, VirtualTime
from tests.faults.world import World, base_config

FRESH_S = 2.0


def report(state=READY, generation=5, boot="boot", bears=4):
    return EngineReport(boot, state, generation, "1", 0, bears, 3)


class EvidenceTests(unittest.TestCase):
    def setUp(self):
        self.time = VirtualTime()
        self.evidence = Evidence("me", "i", VirtualClock(self.time), FRESH_S)

    def see(self, watcher, seen_at=None, reachable=True, failing_since=0.0, **fields):
        seen_at = self.time.now if seen_at is None else seen_at
        watcher_results = self.evidence.peer(watcher, "i")
        result = ProbeResult(
            "vm", watcher, seen_at, reachable, report(**fields), failing_since, 1
        )
        watcher_results.refresh(seen_at, [result], [], watcher_results.seq + 1)

    def test_evidence_runs_out(self):
        self.see("a")
        self.assertIsNotNone(self.evidence.ready_at("vm", 5))
        self.time.run_until(self.time.now + FRESH_S + 0.1)
        self.assertIsNone(self.evidence.ready_at("vm", 5))

    def test_confirmation_of_all_that_is_unchanged_renews_it(self):
        self.see("a")
        self.time.run_until(self.time.now + FRESH_S)
        watcher_results = self.evidence.known_peer("a")
        watcher_results.refresh(self.time.now - 0.5, [], [], watcher_results.seq)
        self.time.run_until(self.time.now + 1.0)
        self.assertIsNotNone(self.evidence.ready_at("vm", 5))
        self.time.run_until(self.time.now + 0.6)
        self.assertIsNone(self.evidence.ready_at("vm", 5))

    def test_one_witness_of_another_generation_is_enough_to_take_it_out(self):
        self.see("a")
        self.see("b", generation=0, state="empty")
        self.assertIsNone(self.evidence.ready_at("vm", 5))

    def test_least_that_anybody_saw_it_bear_counts(self):
        self.see("a", bears=6)
        self.see("b", bears=1)
        self.assertEqual(self.evidence.ready_at("vm", 5).bears, 1)

    def test_death_needs_all_accounts_and_enough_witnesses(self):
        self.see("a", reachable=False, failing_since=self.time.now - 3.0)
        self.assertEqual(self.evidence.dead_for("vm", 2), 0.0)
        self.see("b", reachable=False, failing_since=self.time.now - 2.0)
        self.assertAlmostEqual(self.evidence.dead_for("vm", 2), 2.0)
        self.see("c")
        self.assertEqual(self.evidence.dead_for("vm", 2), 0.0)

    def test_look_and_watch_of_one_node_are_one_witness(self):
        for watcher_results in (self.evidence.own, self.evidence.looks):
            watcher_results.probed("vm", self.time.now, None, self.time.now - 3.0)
        self.assertEqual(self.evidence.dead_for("vm", 2), 0.0)

    def test_new_incarnation_of_a_watcher_starts_empty(self):
        self.see("a")
        self.evidence.peer("a", "j")
        self.assertIsNone(self.evidence.report("vm"))


class SecondLookTests(unittest.TestCase):
    def test_look_at_a_vm_that_others_watch_does_not_age_what_this_node_confirms(self):
        """Its one probe stayed the oldest, and peers took all for as old as that."""
        world = World(3)
        self.addCleanup(world.close)
        world.later(2.0, world.change_config, lambda config: base_config())
        world.run(10.0)
        node = world.nodes["entry-0"]
        others = set(world.vms) - node.components.prober.wanted()
        world.spawn(node.components.prober.look, sorted(others)[0])
        world.run(5.0)
        self.assertLess(node.components.evidence.own.oldest(world.time.now), 1.0)


class PauseTests(unittest.TestCase):
    def test_node_paused_while_it_pulls_knows_all_backend_servers_again(self):
        """It forgot what it held and then took changes as if it still held it."""
        world = World(3)
        self.addCleanup(world.close)
        world.later(2.0, world.change_config, lambda config: base_config())
        world.run(10.0)
        node = world.nodes["entry-1"]
        world.trigger("call exchange", lambda at: node.pause(2.0))
        world.run(10.0)
        for name in world.vms:
            self.assertTrue(node.components.evidence.fresh(name), name)


if __name__ == "__main__":
    unittest.main()
