"""Planner: groups stay complete, selectors are filled, few accelerators go unused."""

import unittest

from auburnwall.fleet.planner.backends import PLANNERS
from auburnwall.fleet.planner.base import (
    DrainGroup,
    DropGroup,
    FleetView,
    FormGroup,
    RepairGroup,
    VmView,
)
from auburnwall.state.fold import Group, State

EPOCH_S = 1_800_000_000.0


class PlannerTestCase(unittest.TestCase):
    def setUp(self):
        self.state = State()
        self.state.config = {
            "data_centers": {"x": {"state": "in"}, "y": {"state": "in"}},
            "models": {"m": {"version": "1"}},
            "groups": {"pair": {"members": 2}},
            "selectors": {"s": {"model": "m", "group": "pair", "count": 2}},
            "services": {"desk": {"where": {"pool": "desk"}}},
        }
        self.vms = {}
        self.ready = set()

    def vm(self, name, center="x", domain="f", **fields):
        known = {"alive": True, "dead": False, "leaving": False, "labels": {}}
        group = self.state.group_of_vm.get(name, "")
        self.vms[name] = VmView(
            name, f"{name}:1", center, domain, group=group, **{**known, **fields}
        )

    def group(self, name, *vms, center="x", version="1", draining=False):
        members = tuple({"vm": vm, "address": f"{vm}:1"} for vm in vms)
        self.state.put_group(
            Group(name, "s", "m", version, center, members, 5, 3, draining)
        )

    def plan(self, planner="best-fit", now=EPOCH_S):
        view = FleetView(now, self.state, self.vms, frozenset(self.ready))
        return PLANNERS[planner]().plan(view)


class FormingTests(PlannerTestCase):
    def test_groups_never_span_fabric_domains(self):
        self.vm("a", domain="f1")
        self.vm("b", domain="f2")
        for name in PLANNERS:
            self.assertEqual(self.plan(name), [])

    def test_groups_spread_over_data_centres(self):
        for name in "abcd":
            self.vm(name, "x")
        for name in "efgh":
            self.vm(name, "y")
        forms = self.plan()
        self.assertEqual({form.data_center for form in forms}, {"x", "y"})

    def test_domain_that_leaves_no_vm_over_is_preferred(self):
        for name in "abc":
            self.vm(name, "x", "odd")
        for name in "de":
            self.vm(name, "x", "even")
        self.state.config["selectors"]["s"]["count"] = 1
        self.assertEqual(self.plan()[0].vms, ("d", "e"))

    def test_unusable_vms_are_not_placed(self):
        self.vm("a", leaving=True)
        self.vm("b", alive=False)
        self.vm("c", labels={"pool": "desk"})
        self.vm("d")
        self.state.config["data_centers"]["y"]["state"] = "out"
        self.vm("e", "y")
        self.vm("f", "y")
        self.assertEqual(self.plan(), [])

    def test_higher_priority_is_filled_first(self):
        selectors = self.state.config["selectors"]
        selectors["t"] = {**selectors["s"], "priority": 9}
        self.vm("a")
        self.vm("b")
        self.assertEqual([form.selector for form in self.plan()], ["t"])


class ReconcilingTests(PlannerTestCase):
    def test_lost_member_is_replaced_in_its_domain(self):
        self.group("g", "a", "b")
        self.vm("a")
        self.vm("b", alive=False, dead=True)
        self.vm("c", domain="elsewhere")
        self.vm("d")
        self.assertEqual(self.plan()[0], RepairGroup("g", "x", ("a", "d"), "lost b"))
        self.assertIsInstance(self.plan("first-fit")[0], DropGroup)

    def test_group_that_cannot_be_repaired_is_dropped(self):
        self.group("g", "a", "b")
        self.vm("a")
        self.vm("b", alive=False, dead=True)
        self.assertEqual(self.plan(), [DropGroup("g", "x", "lost b")])

    def test_member_without_fresh_evidence_is_not_replaced(self):
        self.group("g", "a", "b")
        self.vm("a")
        self.vm("b", alive=False)
        self.assertEqual(self.plan(), [])

    def test_group_with_leaving_member_is_drained_then_dropped_when_idle(self):
        self.group("g", "a", "b")
        self.vm("a", running=1)
        self.vm("b", leaving=True)
        self.assertIsInstance(self.plan()[0], DrainGroup)
        self.group("g", "a", "b", draining=True)
        self.assertEqual(self.plan(), [])
        self.vm("a", running=0)
        self.assertEqual(self.plan(), [DropGroup("g", "x", "drained")])

    def test_groups_of_data_centre_that_is_out_are_drained_and_formed_elsewhere(self):
        self.group("g", "a", "b")
        for name in "ab":
            self.vm(name)
        for name in "cdef":
            self.vm(name, "y")
        self.state.config["data_centers"]["x"]["state"] = "out"
        actions = self.plan()
        self.assertEqual(actions[0], DrainGroup("g", "x", "its data centre is out"))
        formed = [a.data_center for a in actions if isinstance(a, FormGroup)]
        self.assertEqual(formed, ["y", "y"])

    def test_group_is_drained_after_its_selectors_hours(self):
        self.group("g", "a", "b")
        self.vm("a")
        self.vm("b")
        selector = self.state.config["selectors"]["s"]
        selector |= {"from": "08:00", "until": "09:00", "zone": "UTC"}
        in_hours, out_of_hours = EPOCH_S + 1_800, EPOCH_S + 7_200
        self.assertEqual(self.plan(now=in_hours), [])
        self.assertIsInstance(self.plan(now=out_of_hours)[0], DrainGroup)

    def test_new_version_drains_one_group_at_a_time(self):
        self.state.config["models"]["m"]["version"] = "2"
        self.group("g", "a", "b")
        self.group("h", "c", "d")
        for name in "abcd":
            self.vm(name)
        self.assertEqual(self.plan(), [])
        self.ready = {"g", "h"}
        drained = [action.group for action in self.plan()]
        self.assertEqual(drained, ["g"])


if __name__ == "__main__":
    unittest.main()
