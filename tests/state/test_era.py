"""A store that comes back from an older copy and gives offsets out again."""

import json
import unittest
from types import SimpleNamespace

from auburnwall.fleet.formation.records import (
    GROUP_PREFIX,
    PLANNER_KEY,
    FleetState,
    FleetWriter,
    Member,
)
from auburnwall.node.routed.handler import RoutedHandler
from auburnwall.node.routed.source import ConfigSource
from auburnwall.node.routed.tables import learn_from_peer
from auburnwall.state.exceptions import LogTruncatedError, TableChangedError
from auburnwall.state.table.base import (
    AppendResult,
    TableBatch,
    TableClient,
    TableRecord,
)
from auburnwall.state.table.replica import SETTLE_S, TableReplica

from .test_table import FakeClock


class DrilledTable(TableClient):
    """A table in memory that can lose its newest records."""

    def __init__(self):
        self.records = []
        self.era = 1

    def newest(self, table):
        newest = {record.key: record for record in self.records}
        present = [record for record in newest.values() if record.value is not None]
        return TableBatch(present, len(self.records), self.era)

    def read(self, table, offset, *, wait_s):
        if offset > len(self.records):
            raise LogTruncatedError(0)
        return TableBatch(self.records[offset:], len(self.records), self.era)

    def append(self, table, entries, *, at=None):
        if at is not None and at != len(self.records):
            raise TableChangedError(len(self.records))
        offset = len(self.records)
        self.records += [
            TableRecord(offset + index, key, value)
            for index, (key, value) in enumerate(entries)
        ]
        return AppendResult(offset, self.era)

    def write(self, key, value):
        return self.append("", [(key, value)])

    def lose(self, count):
        """Lose the newest records and begin a new era."""
        del self.records[len(self.records) - count :]
        self.era += 1


class ReplicaEraTests(unittest.TestCase):
    def setUp(self):
        self.table, self.clock = DrilledTable(), FakeClock()
        self.replica = TableReplica("servers", self.table, self.clock)
        self.notified = []
        self.replica.listeners.append(self.notified.append)

    def values(self, replica=None):
        entries = (replica or self.replica).entries
        return {key: record.value for key, record in entries.items()}

    def refresh_after(self, seconds):
        self.clock.now += seconds
        self.replica.refresh(0.0)

    def test_lost_entries_stay_until_their_writers_had_time_to_write_again(self):
        self.table.write("a", b"1")
        self.table.write("a", b"2")
        self.table.write("b", b"1")
        self.replica.refresh(0.0)
        self.table.lose(2)
        self.refresh_after(0.0)
        self.assertEqual(self.values(), {"a": b"2", "b": b"1"})
        self.refresh_after(SETTLE_S - 0.1)
        self.assertEqual(self.values(), {"a": b"2", "b": b"1"})
        self.refresh_after(0.2)
        self.assertEqual(self.values(), {"a": b"1"})

    def test_entry_that_is_written_again_is_applied_at_once(self):
        self.table.write("a", b"1")
        self.table.write("a", b"2")
        self.replica.refresh(0.0)
        self.table.lose(1)
        self.refresh_after(0.0)
        self.table.write("a", b"3")
        self.refresh_after(0.0)
        self.assertEqual(self.values(), {"a": b"3"})
        self.refresh_after(SETTLE_S + 0.1)
        self.assertEqual(self.values(), {"a": b"3"})

    def test_removal_that_was_lost_is_kept_for_the_same_time(self):
        self.table.write("a", b"1")
        self.table.write("a", None)
        self.replica.refresh(0.0)
        self.table.lose(1)
        self.refresh_after(0.0)
        self.assertEqual(self.values(), {})
        self.refresh_after(SETTLE_S + 0.1)
        self.assertEqual(self.values(), {"a": b"1"})

    def test_reader_that_missed_the_drill_notices_it_by_the_era(self):
        """The table is as long again as before; only the records differ."""
        for number in range(4):
            self.table.write(f"k{number}", b"old")
        self.replica.refresh(0.0)
        self.table.lose(3)
        for number in range(1, 6):
            self.table.write(f"k{number}", b"new")
        self.refresh_after(0.0)
        self.refresh_after(SETTLE_S + 0.1)
        expected = {f"k{number}": b"new" for number in range(1, 6)}
        self.assertEqual(self.values(), {"k0": b"old", **expected})

    def test_second_drill_before_the_first_has_settled(self):
        self.table.write("a", b"1")
        self.table.write("b", b"1")
        self.table.write("c", b"1")
        self.replica.refresh(0.0)
        self.table.lose(1)
        self.refresh_after(0.5)
        self.table.lose(1)
        self.refresh_after(0.5)
        self.assertEqual(self.values(), {"a": b"1", "b": b"1", "c": b"1"})
        self.refresh_after(SETTLE_S + 0.1)
        self.assertEqual(self.values(), {"a": b"1"})

    def test_reload_within_the_same_era_keeps_lost_entries_too(self):
        self.table.write("a", b"1")
        self.table.write("a", b"2")
        self.table.write("b", b"1")
        self.replica.refresh(0.0)
        self.table.lose(2)
        self.refresh_after(0.0)
        batch = self.table.newest("servers")
        self.replica.replace(batch.records, batch.end, self.clock.now, batch.era)
        self.assertEqual(self.values(), {"a": b"2", "b": b"1"})

    def test_own_write_in_an_unknown_era_is_read_before_it_counts(self):
        self.table.write("a", b"1")
        self.table.write("a", b"2")
        self.replica.refresh(0.0)
        self.table.lose(1)
        result = self.table.write("b", b"1")
        self.replica.apply_written(result, [("b", b"1")], self.clock.now)
        self.assertNotIn("b", self.replica.entries)
        self.refresh_after(0.0)
        self.refresh_after(SETTLE_S + 0.1)
        self.assertEqual(self.values(), {"a": b"1", "b": b"1"})

    def rows(self, peer):
        handler = RoutedHandler(None, {"servers": self.replica}, None, self.clock)
        return handler.rows("servers", peer.end, 0, peer.era)

    def test_peer_of_an_earlier_era_gets_the_whole_table_once_it_is_settled(self):
        self.table.write("a", b"1")
        self.table.write("b", b"1")
        self.replica.refresh(0.0)
        peer = TableReplica("servers", None, self.clock)
        learn_from_peer(peer, self.rows(peer), self.clock.now, self.clock.now)
        self.assertEqual(self.values(peer), {"a": b"1", "b": b"1"})
        self.table.lose(1)
        self.refresh_after(0.0)
        rows = self.rows(peer)
        self.assertFalse(learn_from_peer(peer, rows, self.clock.now, self.clock.now))
        self.refresh_after(SETTLE_S + 0.1)
        rows = self.rows(peer)
        self.assertTrue(rows.whole)
        self.assertTrue(learn_from_peer(peer, rows, self.clock.now, self.clock.now))
        self.assertEqual((peer.era, peer.end), (2, 1))
        self.clock.now += SETTLE_S + 0.1
        peer.settle_due()
        self.assertEqual(self.values(peer), {"a": b"1"})

    def test_records_of_an_earlier_era_are_not_taken_from_a_peer(self):
        self.table.write("a", b"1")
        self.replica.refresh(0.0)
        peer = TableReplica("servers", None, self.clock)
        peer.era, peer.end = 2, 0
        rows = self.rows(peer)
        self.assertFalse(learn_from_peer(peer, rows, self.clock.now, self.clock.now))


class ConfigurationEraTests(unittest.TestCase):
    """A configuration never goes back, and a new one counts at once."""

    def setUp(self):
        self.table, self.clock = DrilledTable(), FakeClock()
        self.replica = TableReplica("operator", self.table, self.clock)
        codec = SimpleNamespace(
            is_config=lambda key: key == "config",
            evacuated_data_center=lambda key: (
                key.partition("/")[2] if key.startswith("out/") else None
            ),
            decode_config=lambda data: SimpleNamespace(version=int(data), routes=()),
            version=int,
        )
        self.source = ConfigSource(self.replica, codec)

    def refresh(self):
        self.replica.refresh(0.0)

    def test_version_does_not_go_back_with_the_store(self):
        self.table.write("config", b"7")
        self.table.write("config", b"9")
        self.refresh()
        self.table.lose(1)
        self.refresh()
        self.clock.now += SETTLE_S + 0.1
        self.refresh()
        self.assertEqual(self.source.config.version, 9)
        self.table.write("config", b"12")
        self.refresh()
        self.assertEqual(self.source.config.version, 12)

    def test_data_centre_stays_out_while_its_order_is_written_again(self):
        self.table.write("config", b"7")
        self.table.write("out/norte", b"{}")
        self.refresh()
        self.table.lose(1)
        self.refresh()
        self.assertEqual(self.source.evacuated_data_centers, {"norte"})
        self.clock.now += SETTLE_S / 2
        self.table.write("out/norte", b"{}")
        self.refresh()
        self.clock.now += SETTLE_S
        self.refresh()
        self.assertEqual(self.source.evacuated_data_centers, {"norte"})
        self.table.write("out/norte", None)
        self.refresh()
        self.assertEqual(self.source.evacuated_data_centers, set())


class FleetNode:
    """A node's view of the fleet table and its writer."""

    def __init__(self, name, table, clock):
        self.replica = TableReplica("fleet", table, clock, settle_s=6.0)
        self.state = FleetState(self.replica)
        identity = SimpleNamespace(node=name, incarnation=f"{name}-1")
        self.writer = FleetWriter(self.state, table, clock, identity)
        self.replica.refresh(0.0)

    def form(self, *servers):
        """Write a group of these servers and return its record."""
        members = tuple(Member(server, 1, "") for server in servers)
        self.writer.write_groups([], [], [("assist", "big", members)])
        return max(self.state.groups.values(), key=lambda group: group.epoch)


class FleetEraTests(unittest.TestCase):
    def setUp(self):
        self.table, self.clock = DrilledTable(), FakeClock()
        self.one = FleetNode("one", self.table, self.clock)
        self.one.writer.become_planner()

    def test_offset_given_out_again_gives_another_epoch(self):
        lost = self.one.form("a", "b")
        self.table.lose(1)
        two = FleetNode("two", self.table, self.clock)
        two.writer.become_planner()
        again = two.form("c", "d")
        self.assertGreater(again.epoch, lost.epoch)
        self.assertNotEqual(again.name, lost.name)

    def test_planner_writes_again_what_the_store_has_lost(self):
        kept = self.one.form("a", "b")
        lost = self.one.form("c", "d")
        self.one.writer.write_groups([(kept, False)], [], [])
        self.table.lose(2)
        self.one.replica.refresh(0.0)
        self.one.writer.write_lost_entries()
        two = FleetNode("two", self.table, self.clock)
        self.assertEqual(two.state.groups[kept.name].phase, "ending")
        self.assertEqual(two.state.groups[lost.name].members, lost.members)
        self.assertEqual(self.one.replica.unsettled, {})

    def test_claim_of_the_planner_is_written_again(self):
        self.table.lose(1)
        self.one.replica.refresh(0.0)
        self.assertTrue(self.one.writer.is_planner())
        self.one.writer.write_lost_entries()
        two = FleetNode("two", self.table, self.clock)
        self.assertEqual(two.state.planner.node, "one")

    def test_write_of_an_earlier_era_that_fits_again_changes_nothing(self):
        """Its condition holds, as the table has the same end once more."""
        two = FleetNode("two", self.table, self.clock)
        at = self.one.replica.end
        self.one.form("a", "b")
        record = self.table.records[-1]
        self.table.lose(1)
        two.replica.refresh(0.0)
        self.one.replica.refresh(0.0)
        late = json.loads(record.value)
        late[4] = [["c", 1, ""], ["d", 1, ""]]
        value = json.dumps(late).encode()
        self.table.append("fleet", [(record.key, value)], at=at)
        two.replica.refresh(0.0)
        self.assertEqual(two.state.groups, {})
        self.assertEqual(two.state.late_groups, {record.key})
        two.writer.become_planner()
        two.form("e", "f")
        self.assertEqual(two.state.late_groups, set())

    def test_known_names_are_those_of_dissolved_groups(self):
        """A group that the store has lost for good may still be serving."""
        lost = self.one.form("a", "b")
        dissolved = self.one.form("c", "d")
        self.one.writer.write_groups([], [dissolved], [])
        self.table.lose(3)
        self.one.replica.refresh(0.0)
        self.assertIn(lost.name, self.one.state.known_groups)
        self.clock.now += 6.1
        self.one.replica.refresh(0.0)
        self.assertEqual(self.one.state.groups, {})
        self.assertEqual(self.one.state.known_groups, {dissolved.name})

    def test_keys(self):
        self.one.form("a", "b")
        keys = [record.key.partition("/")[0] for record in self.table.records]
        self.assertEqual(keys, [PLANNER_KEY, GROUP_PREFIX[:-1]])


if __name__ == "__main__":
    unittest.main()
