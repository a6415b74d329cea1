"""Which groups are formed, freed and staged, each on the load that calls for it."""

import unittest

from auburnwall.fleet.formation.assembly import FreeServer, assemble
from auburnwall.fleet.formation.loads import LoadAllowance
from auburnwall.fleet.formation.shifting import ShiftableGroup, find_shift
from auburnwall.fleet.formation.staging import HostView, choose_staging
from auburnwall.routing.routes import ModelSpec

MODELS = {
    "big": ModelSpec("big", 4, 1.0, 0.5, 16.0, 1.6),
    "small": ModelSpec("small", 2, 0.6, 0.5, 12.0, 1.1),
}


def free(name, domain="d0", model="", staged=(), reserved="", data_center="norte"):
    """Return a free server."""
    return FreeServer(
        name, 1, "127.0.0.1:1", domain, data_center, model, staged, reserved
    )


def several(count, domain="d0", **what):
    """Return free servers of one domain."""
    return [free(f"{domain}-{n}", domain, **what) for n in range(count)]


def formed(formations):
    """Return model and domain of each formation."""
    return sorted((f.model, f.members[0].domain) for f in formations)


class AssemblyTests(unittest.TestCase):
    def test_survivors_with_one_replacement_come_before_a_load(self):
        """One of four servers was lost; the three others still hold the model."""
        servers = [free(f"s{n}", model="big") for n in range(3)]
        servers += [free("spare", staged=("big",))] + several(4, "d1")
        first = assemble(servers, MODELS, {}, {"big": 3.0, "small": 0.1}, 9)[0]
        self.assertEqual((first.model, first.ready_s, first.loads), ("big", 1.6, 0))
        self.assertEqual({m.domain for m in first.members}, {"d0"})

    def test_members_are_of_one_domain(self):
        servers = several(3, "d0") + several(3, "d1")
        formations = assemble(servers, MODELS, {}, {"big": 9.0, "small": 0.1}, 99)
        for formation in formations:
            self.assertEqual(len({m.domain for m in formation.members}), 1)
        self.assertNotIn("big", [f.model for f in formations])

    def test_model_with_the_least_coverage_comes_first(self):
        group_counts = {("big", "norte"): 3, ("small", "norte"): 1}
        demand = {"big": 3.0, "small": 4.0}
        formations = assemble(several(4), MODELS, group_counts, demand, 99)
        self.assertEqual({f.model for f in formations}, {"small"})

    def test_model_that_has_enough_leaves_servers_free(self):
        group_counts = {("big", "norte"): 4, ("small", "norte"): 9}
        demand = {"big": 1.0, "small": 2.0}
        self.assertEqual(assemble(several(8), MODELS, group_counts, demand, 99), [])

    def test_no_more_loads_begin_than_may(self):
        formations = assemble(several(8), MODELS, {}, {"big": 0.3, "small": 5.0}, 5)
        self.assertLessEqual(sum(f.loads for f in formations), 5)

    def test_reserved_servers_are_for_their_model_only(self):
        servers = several(4, reserved="big", staged=("big", "small"))
        found = assemble(servers, MODELS, {}, {"big": 0.3, "small": 9.0}, 99)
        self.assertEqual({f.model for f in found}, {"big"})

    def test_reserved_servers_wait_for_the_rest_of_their_group(self):
        """Three of the four are free a moment before the last one."""
        servers = several(3, reserved="big", staged=("big",)) + [free("cold")]
        demand = {"big": 0.3, "small": 0.1}
        found = assemble(servers, MODELS, {("small", "norte"): 9}, demand, 99)
        self.assertEqual(found, [])
        servers.append(free("last", reserved="big", staged=("big",)))
        (found,) = assemble(servers, MODELS, {("small", "norte"): 9}, demand, 99)
        self.assertEqual((found.model, found.loads), ("big", 0))

    def test_at_the_start_pairs_wait_for_the_domain_to_fill_up(self):
        """Servers register one by one over two seconds."""
        demand = {"big": 7.5, "small": 15.0}
        trickle = several(2, "d0") + several(3, "d1")
        self.assertEqual(assemble(trickle, MODELS, {}, demand, 99, settled=False), [])
        found = assemble(several(10), MODELS, {}, demand, 99, settled=False)
        self.assertIn("big", [f.model for f in found])


class ShiftTests(unittest.TestCase):
    def shiftable(self, count, domain="d0", model="small", size=2):
        return [
            ShiftableGroup(
                f"g-{domain}-{n}",
                model,
                tuple(
                    free(f"{domain}-{n}-{m}", domain, model=model, staged=("big",))
                    for m in range(size)
                ),
            )
            for n in range(count)
        ]

    def test_survivors_get_partners_from_a_model_with_too_many_groups(self):
        survivors = [free(f"s{n}", model="big") for n in range(3)]
        group_counts = {("big", "norte"): 2, ("small", "norte"): 12}
        demand = {"big": 3.0, "small": 4.0}
        shift = find_shift(self.shiftable(3), survivors, MODELS, group_counts, demand)
        self.assertEqual(shift.model, "big")
        self.assertEqual(len(shift.groups), 1)
        self.assertEqual(len(shift.servers), 4)

    def test_free_servers_that_would_have_to_load_keep_nobody_from_shifting(self):
        survivors = [free(f"s{n}", model="big") for n in range(3)]
        group_counts = {("big", "norte"): 2, ("small", "norte"): 12}
        demand = {"big": 3.0, "small": 4.0}
        idle = survivors + several(4)
        shift = find_shift(self.shiftable(3), idle, MODELS, group_counts, demand)
        self.assertEqual((shift.model, len(shift.groups)), ("big", 1))

    def test_model_that_needs_its_groups_gives_none_up(self):
        survivors = [free(f"s{n}", model="big") for n in range(3)]
        group_counts = {("big", "norte"): 2, ("small", "norte"): 6}
        demand = {"big": 3.0, "small": 4.0}
        shift = find_shift(self.shiftable(3), survivors, MODELS, group_counts, demand)
        self.assertEqual(shift.groups, ())

    def test_plenty_frees_servers_beside_the_largest_groups(self):
        shiftable = self.shiftable(2) + self.shiftable(1, model="big", size=4)
        group_counts = {("big", "norte"): 6, ("small", "norte"): 14}
        demand = {"big": 3.0, "small": 4.0}
        shift = find_shift(shiftable, [], MODELS, group_counts, demand)
        self.assertEqual(len(shift.groups), 1)
        with_free = find_shift(shiftable, [free("x")], MODELS, group_counts, demand)
        self.assertEqual(with_free.groups, ())


class StagingTests(unittest.TestCase):
    def host(self, name, group_model="", staged=(), settled=True):
        return HostView(name, "d0", group_model, staged, group_model, settled)

    def test_before_traffic_hosts_get_the_model_that_they_do_not_serve(self):
        hosts = [self.host("a", "small", ("small",)), self.host("b", "big", ("big",))]
        found = choose_staging(hosts, MODELS, 9, quiet=True)
        self.assertEqual(found, [("a", "big"), ("b", "small")])

    def test_under_traffic_only_free_servers_load(self):
        hosts = [self.host("a", "small", ("small",)), self.host("b")]
        self.assertEqual(choose_staging(hosts, MODELS, 9, quiet=False), [("b", "big")])
        self.assertEqual(choose_staging(hosts, MODELS, 0, quiet=False), [])
        self.assertEqual(choose_staging(hosts, MODELS, -3, quiet=False), [])


class LoadAllowanceTests(unittest.TestCase):
    def begin_all(self, per_s, at_once, largest, seconds, load_s=2.0):
        """Begin as many loads as may; return the moments at which each began."""
        allowance, begun = LoadAllowance(), []
        for tick in range(int(seconds * 10)):
            now = 100.0 + tick / 10
            left = allowance.left(per_s, at_once, largest, now)
            allowance.note(left, load_s, now)
            begun += [now] * left
        return begun

    def test_no_window_has_more_than_the_rate(self):
        """The platform allows a tenth and three more than the rate in any 5 s."""
        for per_s in (0.5, 1.0, 5.0):
            begun = self.begin_all(per_s, 99, 4, 40, load_s=0.1)
            most = max(sum(t <= other < t + 5.0 for other in begun) for t in begun)
            self.assertLessEqual(most, per_s * 5 * 1.1 + 3)
            self.assertGreater(len(begun), per_s * 25)

    def test_number_at_once_is_bounded(self):
        allowance = LoadAllowance()
        self.assertEqual(allowance.left(5.0, 7, 4, 10.0), 7)
        allowance.note(5, 12.0, 10.0)
        self.assertEqual(allowance.left(5.0, 7, 4, 10.1), 2)
        allowance.note(2, 12.0, 10.1)
        self.assertEqual(allowance.left(5.0, 7, 4, 20.0), 0)
        self.assertEqual(allowance.left(5.0, 7, 4, 22.05), 5)

    def test_loads_before_the_first_request_leave_the_rate_alone(self):
        allowance = LoadAllowance()
        allowance.note(60, 1.6, 10.0, free=True)
        self.assertEqual(allowance.left(5.0, 7, 4, 10.1), 0)
        self.assertEqual(allowance.left(5.0, 7, 4, 11.7), 7)

    def test_loads_that_another_planner_began_take_their_places(self):
        allowance = LoadAllowance()
        self.assertEqual(allowance.left(5.0, 7, 4, 10.0, seen=5), 2)
        allowance.note(2, 12.0, 10.0)
        self.assertEqual(allowance.left(5.0, 7, 4, 10.5, seen=9), 0)

    def test_group_with_more_members_than_loads_at_once_can_form(self):
        allowance = LoadAllowance()
        self.assertEqual(allowance.left(5.0, 7, 8, 10.0), 8)
        allowance.note(1, 12.0, 10.0)
        self.assertEqual(allowance.left(5.0, 7, 8, 10.1), 6)
