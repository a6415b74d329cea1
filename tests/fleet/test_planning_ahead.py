"""The formation controller with and without planning ahead, and its hand-over."""

import unittest
from unittest import mock

from prometheus_client import CollectorRegistry, generate_latest

from auburnwall.fleet.engines.group import StageOrder
from auburnwall.fleet.formation import capacity_report
from auburnwall.node.routed.metrics import CapacityGauges
from tests.fleet.test_formation_controller import ENGINE, PlannerTestCase


class PlanningAheadTests(PlannerTestCase):
    def setUp(self):
        super().setUp()
        self.view.measured_demand = {"big": 0.5, "small": 1.0}
        self.view.newest = {"big": 0.5, "small": 2.5}
        self.view.ranks = {"big": 1, "small": 0}
        self.controller = self.node.formation_controller

    def planned_models(self):
        return sorted(group.model for group in self.groups().values())

    def demand(self, controller):
        (models,) = controller.capacity.models.values()
        return {capacity.model: capacity.demand for capacity in models}

    def test_deployment_without_the_part_is_planned_from_the_mean(self):
        """Equal to a plan without any newest demand or rank, in all that is written."""
        self.controller.step()
        with_newest = [record.value for record in self.table.records]
        orders = list(self.engine.orders)
        self.setUp()
        self.view.newest, self.view.ranks = {}, {}
        self.node.formation_controller.step()
        self.assertEqual([record.value for record in self.table.records], with_newest)
        self.assertEqual(self.engine.orders, orders)

    def test_plan_follows_the_newest_second(self):
        self.view.ahead = True
        self.controller.step()
        self.assertEqual(self.demand(self.controller), {"big": 0.5, "small": 2.5})

    def test_urgent_model_gets_the_servers_in_a_shortage(self):
        """Four servers are too few for both models; the mean is measured."""
        self.view.measured_demand = {"big": 2.0, "small": 4.0}
        self.controller.step()
        self.assertIn("big", self.planned_models())
        self.setUp()
        self.view.ahead = True
        self.view.measured_demand = {"big": 2.0, "small": 4.0}
        self.node.formation_controller.step()
        self.assertEqual(self.planned_models(), ["small"] * 4)

    def test_new_planner_follows_a_jump_that_began_before(self):
        """The planner is lost a second after the jump has begun."""
        self.view.ahead = True
        self.controller.step()
        other = self.new_node("n2")
        self.clock.now += 1.0
        other.writer.become_planner()
        self.view.measured_demand = {"big": 0.5, "small": 1.4}
        other.formation_controller.step()
        self.assertEqual(self.demand(other.formation_controller)["small"], 2.5)

    def test_nothing_is_planned_before_the_first_measurement(self):
        """The expected demand counts; ranks of requests do not exist yet."""
        self.view.ahead = True
        self.view.measured_demand, self.view.newest = {}, {}
        self.controller.step()
        self.assertEqual(self.controller._scarcest, {"assist": ""})

    def test_high_forecast_is_logged_once(self):
        self.view.ahead = True
        with mock.patch.object(capacity_report, "event") as event:
            for _ in range(3):
                self.controller.step()
                self.clock.now += 0.15
        (found,) = [
            call for call in event.call_args_list if call.args == ("demand forecast",)
        ]
        expected = {
            "service": "assist",
            "model": "small",
            "mean": 1.0,
            "newest": 2.5,
            "forecast": 2.5,
            "why": "newest second",
        }
        self.assertEqual(found.kwargs, expected)

    def test_hosts_stage_the_scarcest_model(self):
        """No load may begin for a group; those that may begin later are for hosts.

        A group of the scarcest model needs one server. The other hosts stage the model
        with the largest groups, as before.
        """
        self.view.ahead = True
        self.view.measured_demand = {"big": 0.1, "small": 9.0}
        self.view.newest = {}
        with mock.patch.object(self.controller, "_loads_left", lambda engine: 0):
            self.controller.step()
        self.assertEqual(self.groups(), {})
        self.controller._stage("assist", ENGINE, 0)
        staged = [o.model for _, o in self.engine.orders if isinstance(o, StageOrder)]
        self.assertEqual(staged, ["small", "big", "big", "big"])

    def test_gauges_show_the_capacity_at_the_planner_only(self):
        self.view.ahead = True
        self.controller.step()
        registry = CollectorRegistry()
        registry.register(
            CapacityGauges(lambda: self.controller.capacity.models.values())
        )
        text = generate_latest(registry).decode()
        labels = 'model="small",service="assist"'
        self.assertIn(f"auburnwall_model_demand_groups{{{labels}}} 2.5", text)
        self.assertIn(f"auburnwall_model_coverage{{{labels}}} 0.0", text)
        self.controller.pause()
        self.assertNotIn(labels, generate_latest(registry).decode())


if __name__ == "__main__":
    unittest.main()
