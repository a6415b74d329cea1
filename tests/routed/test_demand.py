"""Demand by model: means, the newest second, answer lengths and ranks of routes."""

import unittest
from types import SimpleNamespace

from auburnwall.node.routed.demand import MIN_ANSWERS, DemandMeter
from auburnwall.node.routed.model_ranks import ModelRanks
from auburnwall.routing.step_model import Work, group_seconds_per_request
from tests.routing.engine import ENGINE, MODEL
from tests.state.test_table import FakeClock


class DemandTests(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.meter = DemandMeter(self.clock)
        self.request = SimpleNamespace(
            model="big",
            work=Work(1000, 100),
            is_retried=False,
            route=SimpleNamespace(priority=None),
        )

    def run_for(self, seconds, per_s):
        for _ in range(seconds):
            for _ in range(per_s):
                self.meter.record_request(self.request, ENGINE)
            self.clock.now += 1.0
            self.meter.step()

    def test_demand_is_empty_during_the_first_seconds(self):
        self.run_for(2, 10)
        self.assertEqual(self.meter.groups_needed(), {})
        self.run_for(2, 10)
        self.assertIn("big", self.meter.groups_needed())

    def test_average_has_no_bias_from_its_start_at_zero(self):
        self.run_for(4, 10)
        expected = 10 * group_seconds_per_request(ENGINE, MODEL, self.request.work)
        self.assertAlmostEqual(
            self.meter.groups_needed()["big"], expected, delta=expected / 10
        )

    def test_estimates_are_corrected_by_measured_answer_lengths(self):
        for _ in range(MIN_ANSWERS):
            self.meter.record_answer(self.request, 40, 5)
        self.run_for(5, 10)
        expected = 10 * group_seconds_per_request(ENGINE, MODEL, Work(1000, 200))
        self.assertAlmostEqual(
            self.meter.groups_needed()["big"], expected, delta=expected / 10
        )

    def test_retried_requests_are_counted_once(self):
        self.run_for(4, 10)
        before = self.meter.groups_needed()["big"]
        retried = SimpleNamespace(model="big", work=Work(1000, 100), is_retried=True)
        for _ in range(30):
            self.meter.record_request(retried, ENGINE)
        self.run_for(1, 10)
        self.assertAlmostEqual(
            self.meter.groups_needed()["big"], before, delta=before / 10
        )

    def test_unknown_models_are_not_counted(self):
        self.request.model = "other"
        self.run_for(4, 10)
        self.assertNotIn("other", self.meter.groups_needed())

    def test_newest_second_shows_a_jump_that_the_mean_follows_later(self):
        self.run_for(6, 10)
        level = self.meter.groups_needed()["big"]
        self.run_for(1, 25)
        self.assertAlmostEqual(self.meter.newest_groups()["big"] / level, 2.5)
        self.assertLess(self.meter.groups_needed()["big"] / level, 1.6)

    def test_newest_second_is_empty_while_the_mean_is(self):
        """Otherwise a node that has just started reports a demand without a mean."""
        self.run_for(2, 10)
        self.assertEqual(self.meter.newest_groups(), {})

    def test_newest_second_without_requests_is_zero(self):
        self.run_for(5, 10)
        self.run_for(1, 0)
        self.assertEqual(self.meter.newest_groups(), {"big": 0.0})

    def test_request_that_states_too_many_tokens_is_no_jump(self):
        """Otherwise one caller gets servers for its model with one request a second."""
        self.run_for(5, 40)
        level = self.meter.newest_groups()["big"]
        self.meter.record_request(
            SimpleNamespace(
                model="big",
                work=Work(10**6, 10**6),
                is_retried=False,
                route=SimpleNamespace(priority=0),
            ),
            ENGINE,
        )
        self.run_for(1, 40)
        self.assertLess(self.meter.newest_groups()["big"], 1.3 * level)
        self.assertEqual(self.meter.ranks.lowest()["big"], 5)


class ModelRanksTests(unittest.TestCase):
    def test_lowest_rank_of_the_routes_whose_requests_name_a_model(self):
        ranks = ModelRanks()
        for _ in range(10):
            ranks.record("big", 2, 0.1)
            ranks.record("big", 1, 0.1)
            ranks.record("small", None, 0.1)
        self.assertEqual(ranks.lowest(), {"big": 1, "small": 5})

    def test_few_requests_on_an_urgent_route_do_not_change_the_rank(self):
        """Guards against a caller that gets servers for its model with a few requests.

        It names the model of a less urgent kind in requests on an urgent route.
        """
        ranks = ModelRanks()
        for _ in range(100):
            ranks.record("big", 2, 0.1)
        for _ in range(5):
            ranks.record("big", 0, 0.1)
        self.assertEqual(ranks.lowest(), {"big": 2})

    def test_rank_follows_a_change_of_the_routes(self):
        ranks = ModelRanks()
        for second in range(120):
            ranks.record("big", 0 if second < 20 else 3, 0.1)
            ranks.decay(1.0)
        self.assertEqual(ranks.lowest(), {"big": 3})
