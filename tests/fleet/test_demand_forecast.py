"""Forecast of the demand: jumps, random seconds, slow falls and reports."""

import random
import unittest
from types import SimpleNamespace

from auburnwall.fleet.formation.demand_forecast import (
    DEMAND_DECAY_PER_S,
    MAX_JUMP,
    REPORT_PERIOD_S,
    DemandForecast,
    higher_demand,
)
from auburnwall.node.routed.demand import DECAY_PER_S, DemandMeter
from auburnwall.node.routed.fleet_load import load_of_pulse, sum_loads
from auburnwall.routing.routes import EngineSpec, ModelSpec
from auburnwall.routing.step_model import Work, group_seconds_per_request
from auburnwall.wire.peer.ttypes import Pulse
from tests.state.test_table import FakeClock

MODEL = ModelSpec("big", 8, 1.0, 0.5, 16.0, 1.6)
ENGINE = EngineSpec(
    10, {"big": MODEL}, 0.0078, 2e-4, 2e-8, 2e-5, 4e-10, 5, 5.0, 7, 1_500, 100
)
REQUEST_WORK = group_seconds_per_request(ENGINE, MODEL, Work(1_500, 100))


class HigherDemandTests(unittest.TestCase):
    def test_jump_of_the_newest_second_counts_at_once(self):
        self.assertEqual(higher_demand(4.0, 8.0, 0.01), 8.0)

    def test_jump_is_limited(self):
        """Guards against a burst of repeated requests that takes all servers."""
        self.assertEqual(higher_demand(4.0, 400.0, 0.01), MAX_JUMP * 4.0)

    def test_lower_second_does_not_count(self):
        self.assertEqual(higher_demand(4.0, 0.0, 0.01), 4.0)

    def test_no_demand(self):
        self.assertEqual(higher_demand(0.0, 0.0, 0.01), 0.0)

    def test_few_large_requests_are_no_jump(self):
        """Four groups are kept busy by four requests a second, or eight by chance."""
        self.assertEqual(higher_demand(4.0, 8.0, 1.0), 4.0)


class DemandForecastTests(unittest.TestCase):
    def setUp(self):
        self.forecast = DemandForecast(0.0)

    def update(self, now, mean, newest):
        return self.forecast.update(now, {"big": mean}, {"big": newest}, {"big": 0.01})

    def test_forecast_falls_as_slowly_as_the_mean_does(self):
        self.assertEqual(self.update(0.0, 4.0, 10.0)["big"], 10.0)
        after_a_second = self.update(1.0, 4.0, 4.0)["big"]
        self.assertAlmostEqual(after_a_second, 10.0 * DEMAND_DECAY_PER_S)

    def test_newest_second_counts_only_for_the_models_of_the_service(self):
        """A service that is not planned ahead is planned from the mean alone."""
        demand = self.forecast.update(
            0.0, {"big": 4.0, "other": 4.0}, {"big": 9.0, "other": 9.0}, {"big": 0.01}
        )
        self.assertEqual(demand, {"big": 9.0, "other": 4.0})

    def test_without_newest_second_the_mean_counts(self):
        for newest in ({}, None):
            forecast = DemandForecast(0.0)
            demand = forecast.update(0.0, {"big": 4.0}, newest, {"big": 0.01})
            self.assertEqual(demand, {"big": 4.0})

    def test_planner_that_takes_over_starts_with_the_jump(self):
        """Guards against a planner that follows a jump only from its own past on.

        The jump began two seconds before, so the mean has risen by then.
        """
        mean = 4.0
        for _ in range(2):
            mean = DECAY_PER_S * mean + (1 - DECAY_PER_S) * 10.0
        self.assertEqual(self.update(100.0, mean, 10.0)["big"], 10.0)

    def changes(self, now, mean, newest):
        self.update(now, mean, newest)
        return [
            change.cause
            for change in self.forecast.changes(
                now, {"big": mean}, {"big": newest}, ["big"]
            )
        ]

    def test_begin_and_end_of_a_high_forecast_are_reported_once(self):
        self.assertEqual(self.changes(0.0, 4.0, 4.0), [])
        self.assertEqual(self.changes(1.0, 5.5, 10.0), ["newest second"])
        self.assertEqual(self.changes(1.5, 5.5, 10.0), [])
        self.assertEqual(self.changes(4.0, 8.0, 10.0), ["mean is close again"])
        self.assertEqual(self.changes(5.0, 8.2, 10.0), [])

    def test_forecast_held_after_a_fall_has_a_cause_of_its_own(self):
        self.changes(0.0, 10.0, 10.0)
        self.assertEqual(self.changes(2.0, 4.0, 3.0), ["earlier demand"])

    def test_reports_on_a_model_are_bounded(self):
        """Guards against a line per plan when the demand changes all the time."""
        times = []
        for tick in range(200):
            now = tick * 0.15
            mean, newest = (4.0, 10.0) if tick % 2 else (12.0, 12.0)
            times += [now] * len(self.changes(now, mean, newest))
        self.assertGreater(len(times), 3)
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        self.assertGreaterEqual(min(gaps), REPORT_PERIOD_S)


class RandomSecondsTests(unittest.TestCase):
    """Random requests at a constant rate: the forecast must not stay far too high.

    A maximum that falls slowly follows every random second upwards.
    """

    def mean_ratio(self, per_s, request_work):
        """Return the mean ratio of the forecast to the demand over 2,000 s."""
        rng, forecast = random.Random(4), DemandForecast(0.0)
        level = mean = per_s * REQUEST_WORK
        ratios = []
        for second in range(2_000):
            # The number of arrivals in a second at exponential intervals.
            arrivals, at = 0, rng.expovariate(per_s)
            while at < 1.0:
                arrivals, at = arrivals + 1, at + rng.expovariate(per_s)
            newest = arrivals * REQUEST_WORK
            mean = DECAY_PER_S * mean + (1 - DECAY_PER_S) * newest
            demand = forecast.update(
                float(second), {"big": mean}, {"big": newest}, request_work
            )
            ratios.append(demand["big"] / level)
        return sum(ratios) / len(ratios)

    def test_random_seconds_count_little(self):
        """20 requests/s, as for the large model of the first fleet."""
        from_mean = self.mean_ratio(20, None)
        without_noise_rule = self.mean_ratio(20, {"big": 0.0})
        ratio = self.mean_ratio(20, {"big": REQUEST_WORK})
        self.assertLess(ratio, from_mean + 0.1)
        self.assertGreater(without_noise_rule, ratio + 0.05)


class ManyNodesTests(unittest.TestCase):
    """A jump of 2.5 times that reaches 61 nodes, each of which sees few requests."""

    def seconds_to_follow(self, ahead, per_s=60, handed_over_after_s=None):
        """Return the time from the jump until the forecast is within 15 % of it.

        The meters of the nodes are updated once a second, not at the same time.
        """
        rng, clock = random.Random(3), FakeClock()
        began_at = clock.now
        meters = [DemandMeter(clock) for _ in range(61)]
        phases = [rng.random() for _ in meters]
        request = SimpleNamespace(
            model="big",
            work=Work(1_500, 100),
            is_retried=False,
            route=SimpleNamespace(priority=1),
        )
        forecast, jump_at = DemandForecast(clock.now), began_at + 12.0
        work = {"big": REQUEST_WORK} if ahead else None
        while clock.now < jump_at + 8.0:
            rate = per_s * (2.5 if clock.now >= jump_at else 1.0)
            for _ in range(int(rate * 0.05 + rng.random())):
                rng.choice(meters).record_request(request, ENGINE)
            clock.now += 0.05
            for number, meter in enumerate(meters):
                if int(clock.now + phases[number]) != int(
                    clock.now - 0.05 + phases[number]
                ):
                    meter.step()
            load = sum_loads(
                load_of_pulse(
                    Pulse(
                        has_traffic=meter.has_traffic,
                        demand=meter.groups_needed(),
                        newest_demand=meter.newest_groups() if ahead else None,
                        running={},
                        suspects=[],
                    )
                )
                for meter in meters
            )
            since_s = clock.now - jump_at
            if handed_over_after_s is not None and since_s >= handed_over_after_s:
                forecast, handed_over_after_s = DemandForecast(clock.now), None
            demand = forecast.update(clock.now, load.demand, load.newest_demand, work)
            level = 2.5 * per_s * REQUEST_WORK
            if since_s > 0 and demand.get("big", 0.0) >= 0.85 * level:
                return since_s
        return None

    def test_jump_is_followed_within_two_seconds(self):
        self.assertLess(self.seconds_to_follow(True), 2.0)
        self.assertGreater(self.seconds_to_follow(False), 4.0)

    def test_new_planner_follows_a_jump_that_began_before(self):
        """The planner is lost 1 s after the jump has begun."""
        seconds = self.seconds_to_follow(True, handed_over_after_s=1.0)
        self.assertLess(seconds - 1.0, 1.0)


if __name__ == "__main__":
    unittest.main()
