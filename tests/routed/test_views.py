"""The views of a node's state that the planner and the placer decide from."""

import unittest
from types import SimpleNamespace

from auburnwall.node.routed.fleet_load import load_of_pulse, sum_loads
from auburnwall.node.routed.views import (
    MIN_REPORT_S,
    SUSPECT_S,
    PlanningView,
    RoutingView,
    SuspectCandidates,
)
from auburnwall.wire.peer.ttypes import Pulse
from tests.fleet.test_server_reach import FixedReach
from tests.state.test_table import FakeClock


def pulse(has_traffic=False, **demand):
    """Return the heartbeat of a node with this demand."""
    return Pulse(has_traffic=has_traffic, demand=demand, running={}, suspects=[])


class PlanningViewTests(unittest.TestCase):
    def view(self, own, others=(), first_start=True):
        load = sum_loads(map(load_of_pulse, [own, *others]))
        peers = SimpleNamespace(fleet_load=lambda: load)
        return PlanningView(None, peers, first_start)

    def test_first_start_lasts_until_the_first_request_at_any_node(self):
        self.assertTrue(self.view(pulse(), [pulse()]).is_before_first_request())
        busy = self.view(pulse(), [pulse(has_traffic=True)])
        self.assertFalse(busy.is_before_first_request())
        restarted = self.view(pulse(), [pulse()], first_start=False)
        self.assertFalse(restarted.is_before_first_request())

    def test_nodes_count_with_the_mean_demand_if_most_have_just_started(self):
        starting = [pulse(True), pulse(True)]
        view = self.view(pulse(True, big=2.0), starting)
        self.assertAlmostEqual(view.demand()["big"], 6.0)

    def test_a_few_new_or_restarted_nodes_add_no_demand(self):
        """Two of ten nodes restart and two are new; the callers stay the same."""
        others = [pulse(True, big=1.0) for _ in range(5)]
        starting = [pulse(), pulse(True), pulse(), pulse(True)]
        view = self.view(pulse(True, big=1.0), [*others, *starting])
        self.assertAlmostEqual(view.demand()["big"], 6.0)

    def test_demand_is_empty_before_any_measurement(self):
        self.assertEqual(self.view(pulse(), [pulse()]).demand(), {})


class SlotUsageTests(unittest.TestCase):
    def test_idle_node_counts_an_equal_share_of_the_slots_in_use(self):
        """Each of 74 nodes has requests at few of a model's groups, this one at none.

        If it counted only its own requests, it would see no slots in use.
        """
        groups = [SimpleNamespace(name=f"g{n}") for n in range(6)]
        peers = SimpleNamespace(
            live=lambda: dict.fromkeys(range(73)), load=lambda name: 8
        )
        candidate_index = SimpleNamespace(
            by_model=lambda *_: groups, forming_count=lambda *_: 0
        )
        engine = SimpleNamespace(models={})
        config = SimpleNamespace(services={"assist": SimpleNamespace(engine=engine)})
        in_flight = SimpleNamespace(count=lambda name: 0)
        source = SimpleNamespace(config=config)
        view = RoutingView(
            "", source, candidate_index, None, peers, in_flight, None, None, None
        )
        request = SimpleNamespace(service="assist", model="big")
        self.assertAlmostEqual(view.slot_usage(request).slots_in_use, 6 * 8 / 74)


class SuspectCandidatesTests(unittest.TestCase):
    def test_group_without_progress_is_suspect_for_longer_each_time(self):
        """While the store is unreachable, no node learns that the group has failed.

        So it stays a candidate at all nodes.
        """
        clock, progress_at = FakeClock(), {}
        suspects, times_s = (
            SuspectCandidates(
                clock, FixedReach(), str, lambda g: progress_at.get(g, 0.0)
            ),
            [],
        )
        for _ in range(4):
            suspects.suspect("g1")
            began_at = clock.now
            while "g1" in suspects:
                clock.now += 0.1
            times_s.append(round(clock.now - began_at))
            self.assertTrue(suspects.on_probation("g1"))
        self.assertEqual(times_s, [2, 4, 4, 4])
        progress_at["g1"] = clock.now
        self.assertFalse(suspects.on_probation("g1"))
        clock.now += 1.0
        suspects.suspect("g1")
        clock.now += SUSPECT_S + 0.1
        self.assertNotIn("g1", suspects)

    def test_suspicion_ends_with_the_progress_that_refutes_it(self):
        """Otherwise a node refuses requests for seconds after a pause of servers."""
        clock, progress_at = FakeClock(), {}
        suspects = SuspectCandidates(
            clock, FixedReach(), str, lambda g: progress_at.get(g, 0.0)
        )
        for _ in range(20):
            suspects.suspect("g1")
            clock.now += 0.05
        self.assertEqual(suspects.own_suspects(), ["g1"])
        progress_at["g1"] = clock.now
        self.assertNotIn("g1", suspects)
        self.assertEqual(suspects.own_suspects(), [])
        clock.now += 0.5
        suspects.suspect("g1")
        self.assertEqual(suspects.own_suspects(), ["g1"])
        self.assertIn("g1", suspects)

    def test_group_on_probation_gets_one_request_of_a_node_at_a_time(self):
        clock, count = FakeClock(), {"g1": 0}
        suspects = SuspectCandidates(clock, FixedReach(), str)
        in_flight = SimpleNamespace(count=count.get)
        view = RoutingView("", None, None, None, None, in_flight, suspects, None, None)
        suspects.suspect("g1")
        clock.now += SUSPECT_S + 0.1
        self.assertFalse(view.must_avoid("g1"))
        count["g1"] = 1
        self.assertTrue(view.must_avoid("g1"))

    def test_node_that_reaches_no_server_reports_no_suspicion(self):
        clock, reach = FakeClock(), FixedReach(cut_off=True)
        suspects = SuspectCandidates(clock, reach, str)
        suspects.suspect("g1")
        self.assertIn("g1", suspects)
        self.assertEqual(suspects.own_suspects(), [])
        self.assertEqual(reach.doubts, 1)
        reach.cut_off = False
        self.assertEqual(suspects.own_suspects(), ["g1"])
        suspects.forget_own()
        self.assertNotIn("g1", suspects)
        self.assertFalse(suspects.on_probation("g1"))

    def test_own_progress_outweighs_the_suspicion_of_a_peer(self):
        clock = FakeClock()
        progress_at = {"g1": clock.now - 0.1, "g2": clock.now - 5.0}
        suspects = SuspectCandidates(clock, FixedReach(), str, progress_at.get)
        for name in progress_at:
            suspects.suspect_for_peer(name, "n2")
        self.assertNotIn("g1", suspects)
        self.assertIn("g2", suspects)

    def test_report_of_a_peer_ends_soon_after_the_peer_no_longer_repeats_it(self):
        """Otherwise nodes refuse requests twice as long as the one that saw a stall."""
        for settle_s, counts_s in ((0.36, MIN_REPORT_S), (1.6, 1.6)):
            clock = FakeClock()
            suspects = SuspectCandidates(
                clock, FixedReach(), str, settle_s=lambda s=settle_s: s
            )
            for _ in range(20):
                suspects.suspect_for_peer("g1", "n2")
                clock.now += 0.1
            clock.now += counts_s - 0.2
            self.assertIn("g1", suspects)
            clock.now += 0.2
            self.assertNotIn("g1", suspects)

    def test_probation_ends_when_a_peer_s_requests_go_on(self):
        """A broker grants slots to others and has no requests of its own there."""
        clock = FakeClock()
        suspects = SuspectCandidates(clock, FixedReach(), str)
        suspects.suspect_for_peer("g1", "n2")
        clock.now += 0.3
        suspects.end_reports(["g1", "unknown"], "n2")
        self.assertNotIn("g1", suspects)
        self.assertFalse(suspects.on_probation("g1"))
        clock.now += 0.1
        suspects.suspect_for_peer("g1", "n3")
        self.assertIn("g1", suspects)
        self.assertTrue(suspects.on_probation("g1"))

    def test_word_of_a_peer_does_not_end_an_own_suspicion(self):
        clock = FakeClock()
        suspects = SuspectCandidates(clock, FixedReach(), str)
        suspects.suspect("g1")
        clock.now += 0.3
        suspects.end_reports(["g1"], "n2")
        self.assertIn("g1", suspects)

    def test_suspicions_end_although_nodes_report_them_to_each_other(self):
        clock = FakeClock()
        one, two = (
            SuspectCandidates(clock, FixedReach(), str),
            SuspectCandidates(clock, FixedReach(), str),
        )
        one.suspect("g1")
        for _ in range(40):
            for name in one.own_suspects():
                two.suspect_for_peer(name, "one")
            for name in two.own_suspects():
                one.suspect_for_peer(name, "two")
            clock.now += 0.1
        clock.now += SUSPECT_S
        self.assertNotIn("g1", one)
        self.assertNotIn("g1", two)
