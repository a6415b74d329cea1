"""A planner acts only on what it knows of the present era, life and moment."""

import unittest

from auburnwall.fleet.formation.knowledge import (
    ENTRIES_RENEWED_S,
    MAX_EVIDENCE_AGE_S,
    PlannerKnowledge,
)
from auburnwall.fleet.formation.lifecycle import (
    NO_ACTIONS,
    GroupStatus,
    Liveness,
    MemberView,
    next_actions,
)
from auburnwall.fleet.formation.member_monitor import MemberMonitor
from auburnwall.fleet.formation.records import SERVING, FleetState, GroupRecord, Member
from auburnwall.fleet.registrations import GroupMembership, Registry
from auburnwall.state.table.replica import TableReplica
from tests.state.test_era import DrilledTable, FleetNode
from tests.state.test_table import FakeClock

from .test_formation_controller import FakeMemberClient, PlannerTestCase, Tasks
from .test_registrations import registration
from .test_server_reach import FixedReach


class StartTests(unittest.TestCase):
    """Guards against a planner that starts after a drill and takes open groups."""

    def setUp(self):
        self.table, self.clock = DrilledTable(), FakeClock()
        self.one = FleetNode("one", self.table, self.clock)
        self.one.writer.become_planner()
        self.one.form("a", "b")

    def knowledge(self, node, *, first_start=False):
        return PlannerKnowledge(node.state, first_start, self.clock)

    def restarted(self, *, first_start=False):
        node = FleetNode("two", self.table, self.clock)
        return node, self.knowledge(node, first_start=first_start)

    def test_node_that_starts_in_a_new_era_waits_for_the_servers(self):
        self.table.lose(1)
        _, knowledge = self.restarted()
        self.assertFalse(knowledge.is_sufficient())
        self.clock.now += ENTRIES_RENEWED_S - 0.1
        self.assertFalse(knowledge.is_sufficient())
        self.clock.now += 0.2
        self.assertTrue(knowledge.is_sufficient())

    def test_records_of_the_new_era_do_not_end_the_wait(self):
        """The entries of the servers may be from before those groups."""
        self.table.lose(1)
        node, knowledge = self.restarted()
        self.one.replica.refresh(0.0)
        self.one.writer.write_lost_entries()
        node.replica.refresh(0.0)
        self.assertFalse(knowledge.is_sufficient())

    def test_node_that_followed_the_table_need_not_wait(self):
        self.clock.now += ENTRIES_RENEWED_S
        knowledge = self.knowledge(self.one)
        self.table.lose(1)
        self.one.replica.refresh(0.0)
        self.assertTrue(knowledge.is_sufficient())

    def test_first_start_and_a_store_without_eras_need_no_wait(self):
        self.table.lose(1)
        _, knowledge = self.restarted(first_start=True)
        self.assertTrue(knowledge.is_sufficient())
        self.table.era = 0
        _, knowledge = self.restarted()
        self.assertTrue(knowledge.is_sufficient())

    def test_nothing_is_known_before_the_first_load(self):
        state = FleetState(TableReplica("fleet", self.table, self.clock))
        knowledge = PlannerKnowledge(state, False, self.clock)
        self.assertFalse(knowledge.is_sufficient())


class PauseTests(unittest.TestCase):
    """Guards against a planner that was frozen in a drill and undoes newer groups."""

    def setUp(self):
        self.table, self.clock = DrilledTable(), FakeClock()
        self.one = self.node("one", survives_pause=False)
        self.one.writer.become_planner()
        self.lost = self.one.form("a", "b")

    def node(self, name, *, survives_pause):
        node = FleetNode(name, self.table, self.clock)
        node.replica._survives_pause = survives_pause
        return node

    def pause_during_a_drill(self, node):
        """Freeze a node while another plans in a new era; return its group."""
        self.table.lose(2)
        two = self.node("two", survives_pause=False)
        two.writer.become_planner()
        newer = two.form("a", "c")
        node.replica.read_at = None
        node.replica.refresh(0.0)
        return newer

    def test_paused_planner_takes_what_others_have_written(self):
        newer = self.pause_during_a_drill(self.one)
        self.assertFalse(self.one.writer.is_planner())
        self.assertEqual(self.one.state.lost_entries(), [])
        self.assertEqual(self.one.state.groups, {newer.name: newer})
        self.assertEqual(self.one.state.known_groups, {newer.name})

    def test_paused_node_waits_again_even_after_a_first_start(self):
        knowledge = PlannerKnowledge(self.one.state, True, self.clock)
        self.assertTrue(knowledge.is_sufficient())
        self.clock.now += 4.0
        self.table.lose(2)
        self.one.replica.read_at = None
        self.one.replica.refresh(0.0)
        self.assertFalse(knowledge.is_sufficient())

    def test_node_that_keeps_its_memory_would_undo_newer_groups(self):
        self.one.replica._survives_pause = True
        newer = self.pause_during_a_drill(self.one)
        keys = [key for key, _ in self.one.state.lost_entries()]
        self.assertIn(f"group/{newer.name}", keys)

    def test_node_that_was_not_paused_keeps_its_memory(self):
        self.table.lose(1)
        self.one.replica.refresh(0.0)
        self.assertEqual(self.one.state.groups, {self.lost.name: self.lost})


class LifeTests(unittest.TestCase):
    """Guards against a probe of an earlier life of a server that ends its group."""

    def setUp(self):
        self.clock, self.engine = FakeClock(), FakeMemberClient()
        self.registry = Registry(
            TableReplica("servers", None, self.clock), None, self.clock
        )
        self.monitor = MemberMonitor(
            self.registry,
            self.engine,
            FixedReach(),
            lambda member: None,
            self.clock,
            Tasks(),
        )

    def view(self, born):
        member = Member("a", born, "")
        group = GroupRecord("g1", 1, "assist", "big", (member,))
        return self.monitor.view(group, member, set())

    def register(self, born, membership=None):
        self.registry._store(registration("a", born=born, group_membership=membership))

    def test_probe_of_an_earlier_life(self):
        # The probe finds incarnation 1; the server has started again since.
        self.monitor.probe_server(Member("a", 1, ""))
        self.register(2)
        self.assertEqual(self.view(born=2).liveness, Liveness.ALIVE)

    def test_probe_of_a_later_life(self):
        self.register(0)
        self.monitor.probe_server(Member("a", 0, ""))
        self.assertEqual(self.view(born=0).liveness, Liveness.GONE)

    def test_entry_of_an_earlier_life_says_nothing_of_the_member(self):
        self.register(2)
        view = self.view(born=3)
        self.assertEqual(view.liveness, Liveness.ALIVE)
        self.assertFalse(view.membership_known)
        self.assertFalse(view.unusable)

    def test_old_failures_do_not_add_up_to_a_loss(self):
        self.engine.unresponsive = {"a"}
        for _ in range(3):
            self.clock.now += 0.2
            self.monitor.probe_server(Member("a", 1, ""))
        self.assertEqual(self.view(born=1).liveness, Liveness.GONE)
        self.clock.now += MAX_EVIDENCE_AGE_S + 0.1
        self.assertEqual(self.view(born=1).liveness, Liveness.ALIVE)

    def test_server_that_serves_in_a_group_unknown_to_its_entry_is_not_usable(self):
        entry = registration("a", born=1)
        self.registry._store(entry)
        self.clock.now += MAX_EVIDENCE_AGE_S + 0.1
        self.engine.group_memberships["a"] = GroupMembership("g9", 9, 0, "open")
        self.assertFalse(self.monitor.is_usable(entry))
        self.assertFalse(self.monitor.is_usable(entry))
        self.clock.now += 0.2
        self.engine.group_memberships["a"] = None
        self.monitor.is_usable(entry)
        self.assertTrue(self.monitor.is_usable(entry))

    def test_no_order_goes_to_members_whose_group_is_not_known(self):
        member = Member("a", 3, "")
        group = GroupRecord("g1", 1, "assist", "big", (member,))
        unknown = MemberView("a", Liveness.ALIVE, False, None, False)
        status = GroupStatus(group, (unknown,), 1.0, 16.0)
        self.assertEqual(next_actions(status), NO_ACTIONS)


class HandOverTests(PlannerTestCase):
    """Guards against conclusions of an earlier time as the planner."""

    def test_refusal_of_an_earlier_time_ends_no_group(self):
        controller = self.node.formation_controller
        controller.step()
        name = next(iter(self.groups()))
        controller._orders.refusals[name] = "refused long ago"
        controller.pause()
        controller.step()
        self.assertEqual(self.groups()[name].phase, SERVING)


if __name__ == "__main__":
    unittest.main()
