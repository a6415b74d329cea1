"""Choice of groups to form, groups to shift, hosts to stage, and loads to allow."""

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


def several(count, domain="d0", **fields):
    """Return ``count`` free servers of one domain."""
    return [free(f"{domain}-{n}", domain, **fields) for n in range(count)]


def formed(formations):
    """Return model and domain of each formation, sorted."""
    return sorted((f.model, f.members[0].domain) for f in formations)


class AssemblyTests(unittest.TestCase):
    def test_survivors_with_one_replacement_are_preferred_to_a_load(self):
        """One of four servers is lost; the three others still hold the model."""
        servers = [free(f"s{n}", model="big") for n in range(3)]
        servers += [free("spare", staged=("big",))] + several(4, "d1")
        first = assemble(servers, MODELS, {}, {"big": 3.0, "small": 0.1}, 9)[0]
        self.assertEqual((first.model, first.ready_s, first.loads), ("big", 1.6, 0))
        self.assertEqual({m.domain for m in first.members}, {"d0"})

    def test_members_are_in_one_domain(self):
        servers = several(3, "d0") + several(3, "d1")
        formations = assemble(servers, MODELS, {}, {"big": 9.0, "small": 0.1}, 99)
        for formation in formations:
            self.assertEqual(len({m.domain for m in formation.members}), 1)
        self.assertNotIn("big", [f.model for f in formations])

    def test_model_with_the_lowest_coverage_comes_first(self):
        group_counts = {("big", "norte"): 3, ("small", "norte"): 1}
        demand = {"big": 3.0, "small": 4.0}
        formations = assemble(several(4), MODELS, group_counts, demand, 99)
        self.assertEqual({f.model for f in formations}, {"small"})

    def test_model_with_sufficient_coverage_leaves_servers_free(self):
        group_counts = {("big", "norte"): 4, ("small", "norte"): 9}
        demand = {"big": 1.0, "small": 2.0}
        self.assertEqual(assemble(several(8), MODELS, group_counts, demand, 99), [])

    def test_number_of_new_loads_is_limited(self):
        formations = assemble(several(8), MODELS, {}, {"big": 0.3, "small": 5.0}, 5)
        self.assertLessEqual(sum(f.loads for f in formations), 5)

    def test_reserved_servers_are_used_for_their_model_only(self):
        servers = several(4, reserved="big", staged=("big", "small"))
        found = assemble(servers, MODELS, {}, {"big": 0.3, "small": 9.0}, 99)
        self.assertEqual({f.model for f in found}, {"big"})

    def test_reserved_servers_wait_for_the_rest_of_their_group(self):
        """Three of the four servers are free shortly before the last one."""
        servers = several(3, reserved="big", staged=("big",)) + [free("cold")]
        demand = {"big": 0.3, "small": 0.1}
        found = assemble(servers, MODELS, {("small", "norte"): 9}, demand, 99)
        self.assertEqual(found, [])
        servers.append(free("last", reserved="big", staged=("big",)))
        (found,) = assemble(servers, MODELS, {("small", "norte"): 9}, demand, 99)
        self.assertEqual((found.model, found.loads), ("big", 0))

    def test_at_the_start_small_groups_wait_for_servers_of_a_large_one(self):
        """Servers register one by one over 2 s."""
        demand = {"big": 7.5, "small": 15.0}
        early = several(2, "d0") + several(3, "d1")
        self.assertEqual(assemble(early, MODELS, {}, demand, 99, settled=False), [])
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

    def test_survivors_get_partners_from_a_model_with_surplus_groups(self):
        survivors = [free(f"s{n}", model="big") for n in range(3)]
        group_counts = {("big", "norte"): 2, ("small", "norte"): 12}
        demand = {"big": 3.0, "small": 4.0}
        shift = find_shift(self.shiftable(3), survivors, MODELS, group_counts, demand)
        self.assertEqual(shift.model, "big")
        self.assertEqual(len(shift.groups), 1)
        self.assertEqual(len(shift.servers), 4)

    def test_free_servers_without_the_weights_do_not_prevent_a_shift(self):
        survivors = [free(f"s{n}", model="big") for n in range(3)]
        group_counts = {("big", "norte"): 2, ("small", "norte"): 12}
        demand = {"big": 3.0, "small": 4.0}
        servers = survivors + several(4)
        shift = find_shift(self.shiftable(3), servers, MODELS, group_counts, demand)
        self.assertEqual((shift.model, len(shift.groups)), ("big", 1))

    def test_model_without_surplus_gives_up_no_group(self):
        survivors = [free(f"s{n}", model="big") for n in range(3)]
        group_counts = {("big", "norte"): 2, ("small", "norte"): 6}
        demand = {"big": 3.0, "small": 4.0}
        shift = find_shift(self.shiftable(3), survivors, MODELS, group_counts, demand)
        self.assertEqual(shift.groups, ())

    def test_large_surplus_frees_servers_in_the_domain_of_the_largest_groups(self):
        shiftable = self.shiftable(2) + self.shiftable(1, model="big", size=4)
        group_counts = {("big", "norte"): 6, ("small", "norte"): 14}
        demand = {"big": 3.0, "small": 4.0}
        shift = find_shift(shiftable, [], MODELS, group_counts, demand)
        self.assertEqual(len(shift.groups), 1)
        with_free = find_shift(shiftable, [free("x")], MODELS, group_counts, demand)
        self.assertEqual(with_free.groups, ())


class StagingTests(unittest.TestCase):
    def host(self, name, group_model="", staged=(), available=True):
        return HostView(name, "d0", group_model, staged, group_model, available)

    def test_before_the_first_request_hosts_stage_a_model_that_they_do_not_serve(self):
        hosts = [self.host("a", "small", ("small",)), self.host("b", "big", ("big",))]
        found = choose_staging(hosts, MODELS, 9, at_start=True)
        self.assertEqual(found, [("a", "big"), ("b", "small")])

    def test_after_the_first_request_only_free_servers_stage(self):
        hosts = [self.host("a", "small", ("small",)), self.host("b")]
        self.assertEqual(
            choose_staging(hosts, MODELS, 9, at_start=False), [("b", "big")]
        )
        self.assertEqual(choose_staging(hosts, MODELS, 0, at_start=False), [])
        self.assertEqual(choose_staging(hosts, MODELS, -3, at_start=False), [])


class LoadAllowanceTests(unittest.TestCase):
    def begin_all(self, per_s, at_once, largest, seconds, load_s=2.0):
        """Begin all loads that are allowed; return the time at which each began."""
        allowance, begun = LoadAllowance(), []
        for tick in range(int(seconds * 10)):
            now = 100.0 + tick / 10
            left = allowance.available_loads(per_s, at_once, largest, now)
            allowance.record_loads(left, load_s, now)
            begun += [now] * left
        return begun

    def test_rate_holds_in_every_window(self):
        """In any 5 s, the platform allows 10 % more loads than the rate, and 3 more."""
        for per_s in (0.5, 1.0, 5.0):
            begun = self.begin_all(per_s, 99, 4, 40, load_s=0.1)
            max_count = max(sum(t <= other < t + 5.0 for other in begun) for t in begun)
            self.assertLessEqual(max_count, per_s * 5 * 1.1 + 3)
            self.assertGreater(len(begun), per_s * 25)

    def test_number_of_concurrent_loads_is_limited(self):
        allowance = LoadAllowance()
        self.assertEqual(allowance.available_loads(5.0, 7, 4, 10.0), 7)
        allowance.record_loads(5, 12.0, 10.0)
        self.assertEqual(allowance.available_loads(5.0, 7, 4, 10.1), 2)
        allowance.record_loads(2, 12.0, 10.1)
        self.assertEqual(allowance.available_loads(5.0, 7, 4, 20.0), 0)
        self.assertEqual(allowance.available_loads(5.0, 7, 4, 22.05), 5)

    def test_loads_before_the_first_request_do_not_count_towards_the_rate(self):
        allowance = LoadAllowance()
        allowance.record_loads(60, 1.6, 10.0, unrated=True)
        self.assertEqual(allowance.available_loads(5.0, 7, 4, 10.1), 0)
        self.assertEqual(allowance.available_loads(5.0, 7, 4, 11.7), 7)

    def test_loads_of_an_earlier_planner_count_as_running(self):
        allowance = LoadAllowance()
        self.assertEqual(allowance.available_loads(5.0, 7, 4, 10.0, reported=5), 2)
        allowance.record_loads(2, 12.0, 10.0)
        self.assertEqual(allowance.available_loads(5.0, 7, 4, 10.5, reported=9), 0)

    def test_group_with_more_members_than_concurrent_loads_can_form(self):
        allowance = LoadAllowance()
        self.assertEqual(allowance.available_loads(5.0, 7, 8, 10.0), 8)
        allowance.record_loads(1, 12.0, 10.0)
        self.assertEqual(allowance.available_loads(5.0, 7, 8, 10.1), 6)
