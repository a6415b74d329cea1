"""Demand by model: no value before enough was measured, and measured answer lengths."""

import unittest
from types import SimpleNamespace

from auburnwall.node.routed.demand import MIN_ANSWERS, DemandMeter
from auburnwall.routing.step_model import Work, group_seconds_per_request
from tests.routing.engine import ENGINE, MODEL
from tests.state.test_table import FakeClock


class DemandTests(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.meter = DemandMeter(self.clock)
        self.request = SimpleNamespace(
            model="big", work=Work(1000, 100), is_retried=False
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
