"""Order of models by urgency, the spare group of the largest, and staging for it."""

import unittest

from auburnwall.fleet.formation.assembly import assemble
from auburnwall.fleet.formation.model_order import CoverageOrder, UrgencyOrder
from auburnwall.fleet.formation.shifting import ShiftableGroup, find_shift
from auburnwall.fleet.formation.staging import HostView, choose_staging
from tests.fleet.test_assembly import MODELS, free, several


def counts(big, small):
    """Return the number of groups by model and data centre."""
    return {("big", "norte"): big, ("small", "norte"): small}


def urgency(demand, big=1, small=0):
    """Return an order with these ranks of the models."""
    return UrgencyOrder(MODELS, demand, {"big": big, "small": small})


def groups_of(model, count, size, domain="d0", staged=()):
    """Return serving groups whose hosts have ``staged``."""
    return [
        ShiftableGroup(
            f"{model}-{n}",
            model,
            tuple(
                free(f"{model}-{domain}-{n}-{m}", domain, model=model, staged=staged)
                for m in range(size)
            ),
        )
        for n in range(count)
    ]


class AssemblyOrderTests(unittest.TestCase):
    def first(self, servers, group_counts, demand, order):
        found = assemble(servers, MODELS, group_counts, demand, 99, True, order)
        return [formation.model for formation in found]

    def test_urgent_model_with_too_few_groups_comes_first(self):
        demand = {"big": 4.0, "small": 4.0}
        by_coverage = self.first(several(4), counts(2, 4), demand, None)
        self.assertEqual(by_coverage, ["big"])
        by_urgency = self.first(several(4), counts(2, 4), demand, urgency(demand))
        self.assertEqual(by_urgency[0], "small")

    def test_less_urgent_model_comes_first_once_no_urgent_one_is_short(self):
        demand = {"big": 4.0, "small": 4.0}
        found = self.first(several(4), counts(2, 5), demand, urgency(demand))
        self.assertEqual(found, ["big"])

    def test_coverage_decides_between_models_of_equal_rank(self):
        demand = {"big": 4.0, "small": 4.0}
        order = urgency(demand, 1, 1)
        self.assertEqual(self.first(several(4), counts(2, 4), demand, order)[0], "big")

    def test_coverage_decides_while_no_model_is_short(self):
        demand = {"big": 2.0, "small": 4.0}
        order = urgency(demand)
        group_counts = counts(5, 7)  # 2.5 and 1.75 times the demand
        found = self.first(several(4), group_counts, demand, order)
        self.assertEqual(found[0], "small")

    def test_largest_model_gets_one_group_more_than_it_needs(self):
        """Each loss of a server costs it a whole group.

        It has 1.33 times its demand, the other model 1.28 times.
        """
        demand = {"big": 3.0, "small": 14.0}
        by_coverage = self.first(several(4), counts(4, 18), demand, None)
        self.assertEqual(by_coverage[0], "small")
        order = urgency(demand)
        self.assertEqual(self.first(several(4), counts(4, 18), demand, order), ["big"])
        found = self.first(several(4), counts(5, 18), demand, order)
        self.assertEqual(found[0], "small")

    def test_spare_group_is_not_formed_while_another_model_is_short(self):
        demand = {"big": 3.0, "small": 14.0}
        order = urgency(demand, 2, 2)
        found = self.first(several(4), counts(4, 15), demand, order)
        self.assertEqual(set(found), {"small"})

    def test_models_of_equal_size_need_no_spare_group(self):
        models = {
            "a": MODELS["small"]._replace(name="a"),
            "b": MODELS["small"]._replace(name="b"),
        }
        order = UrgencyOrder(models, {"a": 3.0, "b": 3.0}, {"a": 1, "b": 1})
        names = {("a", "norte"): 4, ("b", "norte"): 4}
        self.assertEqual(order.names_to_shift_to(names), [])

    def test_no_group_has_fewer_servers_than_its_model(self):
        demand = {"big": 9.0, "small": 9.0}
        for size in range(9):
            order = urgency(demand, 0, 1)
            found = assemble(several(size), MODELS, {}, demand, 99, True, order)
            for formation in found:
                members = {member.server for member in formation.members}
                self.assertEqual(len(members), MODELS[formation.model].members)


class ShiftOrderTests(unittest.TestCase):
    def test_urgent_model_gets_servers_before_one_that_is_covered_less(self):
        shiftable = groups_of("big", 3, 4, staged=("small",))
        shiftable += groups_of("small", 4, 2, staged=("big",))
        demand = {"big": 4.0, "small": 7.0}
        group_counts = counts(8, 8)
        shift = find_shift(shiftable, [], MODELS, group_counts, demand, urgency(demand))
        self.assertEqual((shift.model, len(shift.groups)), ("small", 1))

    def test_less_urgent_model_gives_only_what_it_does_not_need(self):
        shiftable = groups_of("big", 3, 4, staged=("small",))
        demand = {"big": 4.0, "small": 8.0}
        order = urgency(demand)
        with_surplus = find_shift(shiftable, [], MODELS, counts(6, 8), demand, order)
        self.assertEqual(len(with_surplus.groups), 1)
        short = find_shift(shiftable, [], MODELS, counts(5, 8), demand, order)
        self.assertEqual(short.groups, ())

    def test_more_urgent_model_keeps_more_when_it_gives(self):
        """Otherwise servers move to and fro between two models."""
        shiftable = groups_of("small", 4, 2, staged=("big",))
        demand = {"big": 4.0, "small": 8.0}
        order = urgency(demand)
        for small, groups in ((11, 0), (13, 0), (15, 2)):
            group_counts = counts(4, small)
            shift = find_shift(shiftable, [], MODELS, group_counts, demand, order)
            self.assertEqual(len(shift.groups), groups)

    def test_urgent_model_gives_no_servers_for_a_spare_group(self):
        """The demand for the urgent model may rise at any time."""
        shiftable = groups_of("small", 4, 2, staged=("big",))
        demand, group_counts = {"big": 4.0, "small": 8.0}, counts(5, 17)
        for rank, groups in ((0, 0), (1, 2), (2, 2)):
            order = urgency(demand, 1, rank)
            self.assertEqual(order.names_to_shift_to(group_counts), ["big"])
            shift = find_shift(shiftable, [], MODELS, group_counts, demand, order)
            self.assertEqual(len(shift.groups), groups)

    def test_no_group_of_a_short_model_is_ended(self):
        shiftable = groups_of("big", 3, 4, staged=("small",))
        shiftable += groups_of("small", 3, 2, staged=("big",))
        for big in range(12):
            for small in range(24):
                demand = {"big": 4.0, "small": 8.0}
                for order in (urgency(demand, 0, 1), urgency(demand, 1, 0)):
                    group_counts = counts(big, small)
                    shift = find_shift(
                        shiftable, [], MODELS, group_counts, demand, order
                    )
                    for name in shift.groups:
                        donor = name.partition("-")[0]
                        left = (big if donor == "big" else small) - len(shift.groups)
                        self.assertGreaterEqual(left, 1.25 * demand[donor])


class ScarcestModelStagingTests(unittest.TestCase):
    def host(self, name, domain="d0", staged="", available=True):
        staged = (staged,) if staged else ()
        return HostView(name, domain, "", staged, "", available)

    def staged(self, hosts, scarcest, max_loads=9):
        return choose_staging(hosts, MODELS, max_loads, False, scarcest)

    def test_hosts_of_one_group_stage_the_scarcest_model(self):
        """A host keeps one staged model; the others keep that of the largest one."""
        hosts = [self.host(f"s{n}", staged="big") for n in range(6)]
        self.assertEqual(self.staged(hosts, ""), [])
        found = self.staged(hosts, "small")
        self.assertEqual(found, [("s0", "small"), ("s1", "small")])

    def test_hosts_that_load_already_count(self):
        """Guards against more hosts with each plan until the first has loaded."""
        hosts = [self.host(f"s{n}", staged="big") for n in range(4)]
        hosts += [self.host(f"t{n}", available=False) for n in range(2)]
        self.assertEqual(self.staged(hosts, "small"), [])

    def test_domain_in_which_the_fewest_loads_are_missing_comes_first(self):
        hosts = [self.host(f"a{n}", "d0") for n in range(4)]
        hosts += [self.host("b0", "d1"), self.host("b1", "d1", "big")]
        hosts += [self.host(f"b{n}", "d1", "big") for n in (2, 3)]
        found = self.staged(hosts, "big", max_loads=1)
        self.assertEqual(found, [("b0", "big")])

    def test_domain_with_too_few_hosts_is_not_used(self):
        hosts = [self.host(f"a{n}", f"d{n}", "big") for n in range(6)]
        self.assertEqual(self.staged(hosts, "small"), [])

    def test_hosts_that_have_the_scarcest_model_keep_it(self):
        """Otherwise they load the largest model again with the next plan."""
        hosts = [self.host(f"s{n}", staged="small") for n in range(2)]
        hosts += [self.host("s2", staged="big")]
        self.assertEqual(self.staged(hosts, "small"), [])
        self.assertEqual(len(self.staged(hosts, "")), 2)


class CoverageOrderTests(unittest.TestCase):
    def test_order_by_coverage_is_the_default(self):
        """Deployments without the part are planned as before."""
        servers = several(9) + several(5, "d1", staged=("big",))
        shiftable = groups_of("small", 4, 2, staged=("big",))
        for big in range(9):
            for small in range(0, 24, 3):
                demand, group_counts = {"big": 4.0, "small": 8.0}, counts(big, small)
                order = CoverageOrder(MODELS, demand)
                for function, args in (
                    (assemble, (servers, MODELS, group_counts, demand, 9, True)),
                    (find_shift, (shiftable, [], MODELS, group_counts, demand)),
                ):
                    self.assertEqual(function(*args), function(*args, order))
                self.assertEqual(order.scarcest(group_counts), "")


if __name__ == "__main__":
    unittest.main()
