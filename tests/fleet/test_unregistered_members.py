"""Groups serve on while members other than their heads are cut off from the table.

Nineteen of 162 servers lost their registrations while requests still reached them, and
sixteen of nineteen groups were ended, since each had one of them as a member.
"""

import unittest

from auburnwall.fleet.formation.member_monitor import FIRST_PROBE_S
from auburnwall.fleet.formation.records import SERVING
from auburnwall.fleet.registrations import OPEN, READY, GroupMembership
from auburnwall.state.table.base import TableRecord

from .test_formation_controller import PlannerTestCase

STEP_S = 0.15


class UnregisteredMemberTests(PlannerTestCase):
    def setUp(self):
        super().setUp()
        self.view.measured_demand = {"big": 1.0}
        self.node.formation_controller.step()
        self.group = next(g for g in self.groups().values() if g.model == "big")
        self.offset = 100
        for rank, member in enumerate(self.group.members):
            state = READY if rank else OPEN
            membership = GroupMembership(self.group.name, self.group.epoch, rank, state)
            self.engine.group_memberships[member.server] = membership
            self.register(member.server, group_membership=membership, model="big")
        self.run_for(0.5)

    def register(self, server, **changes):
        self.offset += 1
        self.node.register(server, self.offset, **changes)

    def unregister(self, member):
        self.offset += 1
        self.node.servers.apply_records(
            [TableRecord(self.offset, member.server, None)], self.offset + 1, 0.0
        )
        self.node.registry.record_read()

    def run_for(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.node.registry.record_read()
            self.node.formation_controller.step()
            self.clock.now += STEP_S

    def is_serving(self):
        group = self.groups().get(self.group.name)
        return group is not None and group.phase == SERVING

    def test_group_whose_member_is_cut_off_from_the_table_serves_on(self):
        self.unregister(self.group.members[1])
        self.run_for(10.0)
        self.assertTrue(self.is_serving())

    def test_group_whose_head_is_cut_off_ends(self):
        self.unregister(self.group.head)
        self.run_for(0.6)
        self.assertFalse(self.is_serving())

    def test_group_whose_member_says_that_it_leaves_ends(self):
        member = self.group.members[1]
        self.unregister(member)
        self.run_for(0.3)
        self.node.registry.note_leaving(member.server, member.born, "probe")
        self.run_for(0.3)
        self.assertFalse(self.is_serving())

    def test_group_whose_member_was_seen_draining_ends(self):
        member = self.group.members[1]
        membership = self.engine.group_memberships[member.server]
        self.register(member.server, group_membership=membership, draining=True)
        self.unregister(member)
        self.run_for(0.3)
        self.assertFalse(self.is_serving())

    def test_group_whose_member_does_not_respond_ends(self):
        self.unregister(self.group.members[1])
        self.engine.unresponsive = {self.group.members[1].server}
        self.run_for(FIRST_PROBE_S + 0.6)
        self.assertFalse(self.is_serving())

    def test_group_whose_member_is_in_another_group_ends(self):
        member = self.group.members[1]
        self.unregister(member)
        self.engine.group_memberships[member.server] = GroupMembership(
            "other", self.group.epoch + 1, 0, OPEN
        )
        self.run_for(FIRST_PROBE_S + 0.6)
        self.assertFalse(self.is_serving())

    def test_group_in_an_evacuated_data_centre_ends(self):
        self.unregister(self.group.members[1])
        self.view.evacuated = {"norte"}
        self.run_for(0.3)
        self.assertFalse(self.is_serving())


if __name__ == "__main__":
    unittest.main()
