"""Which servers may get new work according to their registrations."""

import unittest

from auburnwall.fleet.registrations import (
    REMOVAL_GRACE_S,
    GroupMembership,
    Registration,
    Registry,
)
from auburnwall.state.table.base import TableRecord
from auburnwall.state.table.replica import TableReplica
from tests.state.test_table import FakeClock


def registration(server, **changes):
    """Return a registration with some fields changed."""
    default = Registration(
        server, "assist", "127.0.0.1:1", "norte", 9, False, 0.0, 1, "d0", "", (), None
    )
    return default._replace(**changes)


class RegistryTests(unittest.TestCase):
    def setUp(self):
        self.clock, self.offset = FakeClock(), 0
        self.replica = TableReplica("servers", None, self.clock)
        self.registry = Registry(self.replica, self.decode, self.clock)

    def decode(self, key, value):
        if value is None or isinstance(value, str):
            raise ValueError(value)
        return value

    def write(self, key, value):
        self.replica.apply_records(
            [TableRecord(self.offset, key, value)], self.offset + 1, self.clock.now
        )
        self.offset += 1

    def test_draining_server_stays_unusable_for_its_incarnation(self):
        self.write("i-1", registration("i-1"))
        self.write("i-1", registration("i-1", draining=True))
        self.write("i-1", registration("i-1"))
        self.assertIsNone(self.registry.usable_registration("i-1"))
        self.write("i-1", registration("i-1", born=2))
        self.assertIsNotNone(self.registry.usable_registration("i-1"))

    def test_entry_of_an_earlier_incarnation_is_ignored(self):
        self.write("i-1", registration("i-1", born=5))
        self.write("i-1", registration("i-1", born=4, draining=True))
        self.assertEqual(self.registry.usable_registration("i-1").born, 5)

    def test_removed_server_is_immediately_unusable(self):
        self.registry.record_read()
        self.write("i-1", registration("i-1"))
        self.write("i-1", None)
        self.registry.record_read()
        self.assertIsNone(self.registry.usable_registration("i-1"))

    def test_registrations_that_expired_during_an_outage_may_be_renewed(self):
        self.write("i-1", registration("i-1"))
        self.write("i-2", registration("i-2"))
        self.registry.record_read()
        self.clock.now += 6.0
        self.registry.record_read()
        self.write("i-1", None)
        self.write("i-2", None)
        self.registry.apply_due_removals()
        self.assertIsNotNone(self.registry.usable_registration("i-1"))
        self.write("i-1", registration("i-1"))
        self.clock.now += REMOVAL_GRACE_S + 0.01
        self.registry.record_read()
        self.assertIsNotNone(self.registry.usable_registration("i-1"))
        self.assertIsNone(self.registry.usable_registration("i-2"))

    def test_removal_that_is_read_first_after_an_outage_may_be_renewed(self):
        """Guards against servers that are lost because the store was away."""
        self.write("i-1", registration("i-1"))
        self.write("i-2", registration("i-2"))
        self.registry.record_read()
        self.clock.now += 6.0
        self.write("i-1", None)
        self.write("i-2", None)
        self.registry.record_read()
        self.assertIsNotNone(self.registry.usable_registration("i-1"))
        self.write("i-1", registration("i-1"))
        self.clock.now += REMOVAL_GRACE_S + 0.01
        self.registry.record_read()
        self.assertIsNotNone(self.registry.usable_registration("i-1"))
        self.assertIsNone(self.registry.usable_registration("i-2"))

    def test_undecodable_entry_removes_the_server_and_is_logged_once(self):
        self.write("i-1", registration("i-1"))
        with self.assertLogs("absl", "INFO") as logs:
            for _ in range(3):
                self.write("i-1", "no such state")
        bad = [line for line in logs.output if "bad registration" in line]
        self.assertEqual(len(bad), 1)
        self.assertIsNone(self.registry.usable_registration("i-1"))
        self.write("i-1", registration("i-1"))
        self.assertIsNotNone(self.registry.usable_registration("i-1"))

    def test_time_at_which_a_head_was_first_seen_open(self):
        group_membership = GroupMembership("g7", 7, 0, "open")
        self.write("i-1", registration("i-1", group_membership=group_membership))
        first_open_at = self.clock.now
        self.clock.now += 5.0
        self.write(
            "i-1", registration("i-1", group_membership=group_membership, slots=8)
        )
        closing = group_membership._replace(state="closing")
        self.write("i-1", registration("i-1", group_membership=closing))
        self.assertEqual(self.registry.open_since("i-1", 7), first_open_at)
        self.assertIsNone(self.registry.open_since("i-1", 6))
        self.assertIsNone(self.registry.open_since("i-2", 7))

    def test_cold_time_counts_down(self):
        self.write("i-1", registration("i-1", warmup_left_s=2.0))
        self.assertTrue(self.registry.is_cold("i-1"))
        self.clock.now += 2.1
        self.assertFalse(self.registry.is_cold("i-1"))

    def test_no_registration_is_expected_from_a_data_centre_that_is_cut_off(self):
        """Entries expire during the cut; live servers register within 2 s after it."""
        self.write("i-1", registration("i-1", data_center="sur"))
        self.clock.now += 3.0
        self.write("i-2", registration("i-2"))
        self.assertFalse(self.registry.is_registration_expected("i-1"))
        self.write("i-1", None)
        self.registry.apply_due_removals()
        self.write("i-3", registration("i-3", data_center="sur"))
        self.assertFalse(self.registry.is_registration_expected("i-1"))
        for _ in range(3):
            self.clock.now += 1.0
            self.write("i-3", registration("i-3", data_center="sur"))
        self.assertTrue(self.registry.is_registration_expected("i-1"))
        self.assertTrue(self.registry.is_registration_expected("never heard of"))
