"""What the planner and the placer see of the rest of a node."""

import unittest
from types import SimpleNamespace

from auburnwall.node.routed.views import (
    SUSPECT_S,
    PlanningView,
    RoutingView,
    SuspectGroups,
)
from tests.state.test_table import FakeClock


def pulse(has_traffic=False, **demand):
    """Return what a planner reads of a pulse."""
    return SimpleNamespace(has_traffic=has_traffic, demand=demand)


class PlanningViewTests(unittest.TestCase):
    def view(self, own, others=(), first_start=True):
        peers = SimpleNamespace(live=lambda: dict(enumerate(others)))
        return PlanningView(None, peers, lambda: own, first_start)

    def test_loads_are_free_only_before_the_first_request_ever(self):
        self.assertTrue(self.view(pulse(), [pulse()]).loads_are_free())
        busy = self.view(pulse(), [pulse(has_traffic=True)])
        self.assertFalse(busy.loads_are_free())
        restarted = self.view(pulse(), [pulse()], first_start=False)
        self.assertFalse(restarted.loads_are_free())

    def test_nodes_that_all_just_started_count_like_those_that_measured(self):
        starting = [pulse(True), pulse(True)]
        view = self.view(pulse(True, big=2.0), starting)
        self.assertAlmostEqual(view.demand()["big"], 6.0)

    def test_nodes_that_are_added_or_restarted_bring_no_demand_of_their_own(self):
        """Two of ten nodes restart and two are new; callers stay as many."""
        others = [pulse(True, big=1.0) for _ in range(5)]
        starting = [pulse(), pulse(True), pulse(), pulse(True)]
        view = self.view(pulse(True, big=1.0), [*others, *starting])
        self.assertAlmostEqual(view.demand()["big"], 6.0)

    def test_nothing_measured_is_nothing_known(self):
        self.assertEqual(self.view(pulse(), [pulse()]).demand(), {})


class CapacityTests(unittest.TestCase):
    def test_node_without_requests_at_a_model_counts_its_part_of_the_others(self):
        """Each of 74 nodes has a request at one or two of the groups of a model."""
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
            "", source, candidate_index, None, peers, in_flight, None, None
        )
        request = SimpleNamespace(service="assist", model="big")
        self.assertAlmostEqual(view.capacity(request).serving, 6 * 8 / 74)


class SuspectGroupsTests(unittest.TestCase):
    def test_group_that_never_moves_is_left_for_longer_each_time(self):
        """The store is away, so nobody learns that the group has broken."""
        clock, moved = FakeClock(), {}
        suspects, lengths = SuspectGroups(clock, lambda name: moved.get(name, 0.0)), []
        for _ in range(4):
            suspects.suspect("g1")
            began = clock.now
            while "g1" in suspects:
                clock.now += 0.1
            lengths.append(round(clock.now - began))
            self.assertTrue(suspects.on_probation("g1"))
        self.assertEqual(lengths, [2, 4, 4, 4])
        moved["g1"] = clock.now
        self.assertFalse(suspects.on_probation("g1"))
        clock.now += 1.0
        suspects.suspect("g1")
        clock.now += SUSPECT_S + 0.1
        self.assertNotIn("g1", suspects)

    def test_group_on_trial_has_one_request_of_a_node_at_a_time(self):
        clock, count = FakeClock(), {"g1": 0}
        suspects = SuspectGroups(clock)
        in_flight = SimpleNamespace(count=count.get)
        view = RoutingView("", None, None, None, None, in_flight, suspects, None)
        suspects.suspect("g1")
        clock.now += SUSPECT_S + 0.1
        self.assertFalse(view.is_suspect("g1"))
        count["g1"] = 1
        self.assertTrue(view.is_suspect("g1"))

    def test_nodes_that_hear_each_other_s_doubts_end_them(self):
        clock = FakeClock()
        one, two = SuspectGroups(clock), SuspectGroups(clock)
        one.suspect("g1")
        for _ in range(40):
            for name in one.own_names():
                two.suspect_for_peer(name, "one")
            for name in two.own_names():
                one.suspect_for_peer(name, "two")
            clock.now += 0.1
        clock.now += SUSPECT_S
        self.assertNotIn("g1", one)
        self.assertNotIn("g1", two)
