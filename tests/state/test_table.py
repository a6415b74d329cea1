"""Table replicas are complete, never revert and can be relayed to peers."""

import unittest

from auburnwall.state.exceptions import LogTruncatedError
from auburnwall.state.table.base import TableBatch, TableClient, TableRecord
from auburnwall.state.table.replica import TableReplica


class FakeClock:
    """A clock that the test advances."""

    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now

    def sleep(self, seconds):
        self.now += seconds

    def wait(self, waitable, timeout_s=None):
        if not waitable.ready():
            self.now += timeout_s
        return waitable.ready()


class FakeTable(TableClient):
    """An in-memory table that can expire records or report an older end."""

    def __init__(self):
        self.records = []
        self.first = 0
        self.page_end = None
        self.most_records = None

    def write(self, key, value):
        self.records.append(TableRecord(len(self.records), key, value))

    def newest(self, table):
        end = len(self.records) if self.page_end is None else self.page_end
        newest = {record.key: record for record in self.records}
        present = [record for record in newest.values() if record.value is not None]
        return TableBatch(present, end)

    def read(self, table, offset, *, wait_s):
        if offset < self.first:
            raise LogTruncatedError(self.first)
        records = self.records[offset:][: self.most_records]
        end = offset + len(records)
        return TableBatch(records, end, at_end=end == len(self.records))

    def append(self, table, entries, *, at=None):
        raise NotImplementedError


class ReplicaTests(unittest.TestCase):
    def setUp(self):
        self.table, self.clock = FakeTable(), FakeClock()
        self.replica = TableReplica("servers", self.table, self.clock)
        self.notified = []
        self.replica.listeners.append(self.notified.append)

    def test_copy_is_not_complete_before_a_read_reaches_the_end(self):
        """A read that reached its size limit does not make the copy younger."""
        self.table.write("a", b"1")
        self.replica.refresh(0.0)
        for value in (b"2", b"3", b"4"):
            self.table.write("a", value)
        self.table.most_records = 2
        self.clock.now += 1.0
        self.replica.refresh(0.0)
        self.assertEqual(self.replica.entries["a"].value, b"3")
        self.assertEqual(self.replica.age_s(), 1.0)
        self.replica.refresh(0.0)
        self.assertEqual(self.replica.age_s(), 0.0)

    def values(self, replica=None):
        entries = (replica or self.replica).entries
        return {key: record.value for key, record in entries.items()}

    def test_later_records_are_applied_after_the_first_read(self):
        self.table.write("a", b"1")
        self.replica.refresh(0.0)
        self.table.write("b", b"2")
        self.table.write("a", None)
        self.replica.refresh(0.0)
        self.assertEqual(self.values(), {"b": b"2"})
        self.assertEqual(self.replica.end, 3)

    def test_peer_gets_only_the_newest_record_of_each_key(self):
        """Each replaced configuration would take the time of a new one on its link."""
        self.replica.refresh(0.0)
        for value in (b"1", b"2", b"3"):
            self.table.write("config", value)
            self.replica.refresh(0.0)
        self.table.write("a", None)
        self.replica.refresh(0.0)
        records, whole = self.replica.records_for_peer(1, 0)
        self.assertFalse(whole)
        self.assertEqual(
            [(r.offset, r.key, r.value) for r in records],
            [(2, "config", b"3"), (3, "a", None)],
        )

    def test_replaced_records_are_not_kept_for_peers(self):
        self.replica.refresh(0.0)
        for number in range(20):
            self.table.write("config", bytes(1_000) + bytes([number]))
            self.replica.refresh(0.0)
        self.assertEqual(len(self.replica._recent), 1)

    def test_wait_without_records_counts_as_complete_to_its_end(self):
        self.table.write("a", b"1")
        self.replica.refresh(0.0)

        def read(table, offset, *, wait_s):
            self.clock.now += wait_s + 0.01
            return FakeTable.read(self.table, table, offset, wait_s=wait_s)

        self.table.read = read
        self.replica.refresh(1.0)
        self.assertAlmostEqual(self.replica.age_s(), 0.01)
        self.table.write("b", b"1")
        self.replica.refresh(1.0)
        self.assertAlmostEqual(self.replica.age_s(), 1.01)

    def test_record_written_between_two_pages_is_not_missed(self):
        self.table.write("a", b"1")
        self.table.write("b", b"2")
        self.table.page_end = 1
        self.replica.refresh(0.0)
        self.assertEqual(self.replica.end, 1)
        self.replica.refresh(0.0)
        self.assertEqual(self.values(), {"a": b"1", "b": b"2"})

    def test_removal_in_expired_records_is_applied(self):
        self.table.write("a", b"1")
        self.table.write("b", b"1")
        self.replica.refresh(0.0)
        self.table.write("a", None)
        self.table.write("b", b"2")
        self.table.first = 4
        self.replica.refresh(0.0)
        self.assertEqual(self.values(), {"b": b"2"})
        removed = [record.key for record in self.notified if record.value is None]
        self.assertEqual(removed, ["a"])

    def test_older_responses_change_nothing(self):
        self.table.write("a", b"1")
        self.table.write("a", b"2")
        self.replica.refresh(0.0)
        self.replica.apply_records([TableRecord(0, "a", b"1")], 1, self.clock.now)
        self.replica.replace([TableRecord(0, "a", b"1")], 1, self.clock.now)
        self.assertEqual(self.values(), {"a": b"2"})
        self.assertEqual(self.replica.end, 2)

    def test_peer_can_continue_from_any_offset(self):
        for number in range(6):
            self.table.write(f"k{number % 3}", str(number).encode())
        self.replica.refresh(0.0)
        for start in (-1, 0, 4, 6):
            with self.subTest(start):
                peer = TableReplica("servers", self.table, self.clock)
                peer.end = start
                records, whole = self.replica.records_for_peer(start, 0)
                apply = peer.replace if whole else peer.apply_records
                apply(records, self.replica.end, self.clock.now)
                self.assertEqual(peer.end, 6)
                if start < 4:
                    self.assertEqual(self.values(peer), self.values())

    def test_age_counts_from_before_the_read(self):
        self.replica.refresh(0.0)
        self.clock.now += 1.5
        self.assertEqual(self.replica.age_s(), 1.5)
