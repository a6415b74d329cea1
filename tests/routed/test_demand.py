"""Demand by model: neither nothing in the first second nor what callers guess."""

import unittest
from types import SimpleNamespace

from auburnwall.node.routed.demand import FEW_ANSWERS, DemandMeter
from auburnwall.routing.step_model import Work, group_share
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
                self.meter.note(self.request, ENGINE)
            self.clock.now += 1.0
            self.meter.step()

    def test_nothing_is_said_before_some_seconds_were_measured(self):
        self.run_for(2, 10)
        self.assertEqual(self.meter.rates(), {})
        self.run_for(2, 10)
        self.assertIn("big", self.meter.rates())

    def test_mean_makes_up_for_its_beginning(self):
        self.run_for(4, 10)
        expected = 10 * group_share(ENGINE, MODEL, self.request.work)
        self.assertAlmostEqual(self.meter.rates()["big"], expected, delta=expected / 10)

    def test_answers_twice_as_long_as_guessed_count_as_such(self):
        for _ in range(FEW_ANSWERS):
            self.meter.note_answer(self.request, 40, 5)
        self.run_for(5, 10)
        expected = 10 * group_share(ENGINE, MODEL, Work(1000, 200))
        self.assertAlmostEqual(self.meter.rates()["big"], expected, delta=expected / 10)

    def test_callers_that_come_back_in_a_shortage_are_counted_once(self):
        self.run_for(4, 10)
        before = self.meter.rates()["big"]
        again = SimpleNamespace(model="big", work=Work(1000, 100), is_retried=True)
        for _ in range(30):
            self.meter.note(again, ENGINE)
        self.run_for(1, 10)
        self.assertAlmostEqual(self.meter.rates()["big"], before, delta=before / 10)

    def test_other_models_are_not_counted(self):
        self.request.model = "other"
        self.run_for(4, 10)
        self.assertNotIn("other", self.meter.rates())
