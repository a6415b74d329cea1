"""A copy goes by the newest value of a key, wherever that stands in the store's log.

Guards against a version, an evacuation or a server's leaving that is held back after
the store has lost records, and against older values that are written late.
"""

import json
import unittest
from unittest import mock

from auburnwall.fleet.registrations import Registry
from auburnwall.node.routed.handler import RoutedHandler
from auburnwall.node.routed.source import ConfigSource
from auburnwall.node.routed.tables import WHOLE_TABLE, learn_from_peer
from auburnwall.platform.operator import OperatorDecoder, VersionOrder
from auburnwall.platform.servers import (
    RegistrationOrder,
    decode_registration,
    is_same_registration,
)
from auburnwall.state.exceptions import LogUnavailableError
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
        records, _ = self.replica.records_for_peer(WHOLE_TABLE, self.replica.era)
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


class LateWriteTests(OperatorTestCase):
    """Version 8 is written, then version 7 is carried out late."""

    def setUp(self):
        super().setUp()
        self.write(6)
        self.refresh()
        self.write(8)
        self.write(7)

    def peer(self):
        return RoutedHandler(None, {"operator": self.replica}, None, self.clock)

    def learn(self, replica, *, whole=False):
        end = WHOLE_TABLE if whole else replica.end
        rows = self.peer().rows("operator", end, 0, replica.era)
        return learn_from_peer(replica, rows, self.clock.now, self.clock.now)

    def test_node_keeps_the_newer_version_and_tells_of_the_older_one(self):
        self.refresh()
        self.assertEqual(self.in_force(), 8)
        self.assertEqual(self.source.pending[:2], (7, 2))
        self.assertEqual(self.source.pending.why, "skipped")
        self.assertEqual(self.replica.age_s(), 0.0)

    def test_node_that_starts_finds_the_newer_version_in_the_history(self):
        replica, source = self.new_node()
        replica.refresh(0.0)
        self.assertEqual(self.in_force(source), 8)

    def test_node_that_starts_without_the_history_goes_by_what_there_is(self):
        def read(*args, **kwargs):
            raise LogUnavailableError("silent")

        replica, source = self.new_node()
        with mock.patch.object(self.table, "read", read):
            replica.refresh(0.0)
        self.assertEqual(self.in_force(source), 7)
        self.refresh()
        self.learn(replica, whole=True)
        self.assertEqual(self.in_force(source), 8)

    def test_peers_get_the_newer_version(self):
        early, late = self.new_node(), self.new_node()
        self.learn(early[0])
        self.refresh()
        for replica, source in (early, late):
            self.learn(replica)
            self.assertEqual(self.in_force(source), 8)

    def test_history_takes_no_older_record_of_another_key(self):
        self.table.write(OUT, b"{}")
        self.table.write(OUT, None)
        replica, source = self.new_node()
        replica.refresh(0.0)
        self.assertEqual(source.evacuated_data_centers, set())
        self.assertEqual(self.in_force(source), 8)

    def test_older_version_after_one_that_is_refused_is_told(self):
        """None is in force: the node cannot decode the only one that it has read."""
        self.table.records.clear()
        body = {**json.loads(version(8)), "Routes": "none"}
        self.table.write("config", json.dumps(body).encode())
        replica, source = self.new_node()
        replica.refresh(0.0)
        self.write(7)
        replica.refresh(0.0)
        self.assertIsNone(source.version())
        self.assertEqual(source.pending[::2], (7, "skipped"))
        self.assertEqual(replica.end, 2)

    def test_later_version_counts(self):
        self.refresh()
        self.write(9)
        self.refresh()
        self.assertEqual(self.in_force(), 9)
        self.assertIsNone(self.source.pending)


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
