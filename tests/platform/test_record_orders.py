"""A copy goes by the newest value of a key, wherever that stands in the store's log.

Guards against a version, an evacuation or a server's leaving that is held back after
the store has lost records.
"""

import json
import unittest
from unittest import mock

from auburnwall.fleet.registrations import Registry
from auburnwall.node.routed.source import ConfigSource
from auburnwall.platform.operator import OperatorDecoder, VersionOrder
from auburnwall.platform.servers import (
    RegistrationOrder,
    decode_registration,
    is_same_registration,
)
from auburnwall.state.table.replica import SETTLE_S, TableReplica
from standins.platformconfig import registration_entry, routes
from tests.state.test_era import DrilledTable
from tests.state.test_table import FakeClock

OUT = "evacuate/norte"


def version(number):
    """Return a configuration with a route that is named after its version."""
    body = routes()
    body["Version"], body["Routes"][0]["Name"] = number, f"v{number}"
    return json.dumps(body).encode()


class OperatorTestCase(unittest.TestCase):
    """A store, and a node's copy of the operators' table with what it goes by."""

    def setUp(self):
        self.table, self.clock = DrilledTable(), FakeClock()
        self.enterContext(mock.patch("auburnwall.node.routed.source.event"))
        self.replica, self.source = self.new_node()

    def new_node(self, client=None):
        replica = TableReplica(
            "operator", client or self.table, self.clock, order=VersionOrder()
        )
        return replica, ConfigSource(replica, OperatorDecoder(), 2.0)

    def write(self, number):
        self.table.write("config", version(number))

    def in_force(self, source=None):
        return (source or self.source).config.version

    def refresh(self, after_s=0.0):
        self.clock.now += after_s
        self.replica.refresh(0.0)


class LostRecordTests(OperatorTestCase):
    def test_version_of_the_new_era_counts_at_once(self):
        self.write(7)
        self.write(8)
        self.refresh()
        self.table.lose(1)
        self.write(9)
        self.refresh()
        self.assertEqual(self.in_force(), 9)
        self.assertEqual(self.replica.unsettled, {})
        self.assertEqual(self.replica.age_s(), 0.0)

    def test_lost_version_stays_for_good(self):
        self.write(7)
        self.write(8)
        self.refresh()
        self.table.lose(1)
        self.refresh()
        self.refresh(SETTLE_S + 0.1)
        self.assertEqual(self.in_force(), 8)
        self.assertEqual(self.replica.unsettled, {})
        records, _ = self.replica.records_for_peer(-1, self.replica.era)
        self.assertEqual([record.value for record in records], [version(8)])

    def test_evacuation_of_the_new_era_counts_at_once(self):
        self.write(7)
        self.write(8)
        self.refresh()
        self.table.lose(1)
        self.table.write(OUT, b"{}")
        self.refresh()
        self.assertEqual(self.source.evacuated_data_centers, {"norte"})

    def test_copy_is_not_complete_while_a_key_is_held_back(self):
        self.write(7)
        self.table.write(OUT, b"{}")
        self.refresh()
        self.table.lose(1)
        self.refresh(0.5)
        self.assertEqual(self.source.evacuated_data_centers, {"norte"})
        self.refresh(1.0)
        self.assertEqual((self.replica.age_s(), self.replica.read_age_s()), (1.5, 0.0))
        self.assertTrue(self.source.is_current())
        self.refresh(0.9)
        self.assertFalse(self.source.is_current())
        self.refresh(0.2)
        self.assertEqual(self.source.evacuated_data_centers, set())
        self.assertEqual(self.replica.age_s(), 0.0)

    def test_version_that_cannot_be_read_is_held_back_and_told(self):
        self.write(7)
        self.write(8)
        self.refresh()
        self.table.lose(1)
        self.table.write("config", b"{}")
        self.refresh()
        self.assertEqual(self.in_force(), 8)
        self.assertEqual(self.source.pending.why, "held back")


class RegistrationTests(unittest.TestCase):
    def setUp(self):
        self.table, self.clock = DrilledTable(), FakeClock()
        self.replica = TableReplica(
            "servers",
            self.table,
            self.clock,
            order=RegistrationOrder(),
            is_repeat=is_same_registration,
        )
        self.registry = Registry(self.replica, decode_registration, self.clock)

    def write(self, **changes):
        entry = {**registration_entry(), **changes}
        self.table.write("i-1", json.dumps(entry).encode())

    def is_usable(self):
        return self.registry.usable_registration("i-1") is not None

    def test_leaving_server_of_the_new_era_gets_nothing_at_once(self):
        self.write(Seqno=4)
        self.write(Seqno=5)
        self.replica.refresh(0.0)
        self.assertTrue(self.is_usable())
        self.table.lose(1)
        self.write(Seqno=6, State="draining")
        self.replica.refresh(0.0)
        self.assertFalse(self.is_usable())

    def test_older_entry_of_the_store_does_not_bring_a_server_back(self):
        self.write(Seqno=4)
        self.write(Seqno=5, State="draining")
        self.replica.refresh(0.0)
        self.table.lose(1)
        self.replica.refresh(0.0)
        self.clock.now += SETTLE_S + 0.1
        self.replica.refresh(0.0)
        self.assertFalse(self.is_usable())

    def test_count_of_another_writer_does_not_outlast_the_next_entry(self):
        self.write(Seqno=10**9, BatchSlots=1)
        self.write(Seqno=5)
        self.replica.refresh(0.0)
        self.assertEqual(self.registry.servers["i-1"].slots, 9)


if __name__ == "__main__":
    unittest.main()
