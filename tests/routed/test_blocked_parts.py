"""Records of blocked prompt parts: when they are applied, written and removed."""

import unittest

from auburnwall.fleet.formation.records import BLOCKED_PART_PREFIX, FleetState
from auburnwall.node.routed.blocked_parts import WRITE_RETRY_S, BlockedParts
from auburnwall.routing.crash_evidence import CrashEvidence
from auburnwall.state.exceptions import LogUnavailableError
from auburnwall.state.table.base import TableRecord
from auburnwall.state.table.replica import TableReplica
from tests.state.test_table import FakeClock


class Writer:
    """Collects the writes of a node; ``error`` is raised instead if it is set."""

    def __init__(self, is_planner):
        self.writes, self.error = [], None
        self.is_planner = lambda: is_planner

    def write_blocked_parts(self, blocked, unblocked):
        if self.error:
            raise self.error
        self.writes.append((blocked, unblocked))


class BlockedPartsTests(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.replica = TableReplica("fleet", None, self.clock)
        self.evidence = CrashEvidence(self.clock, lambda: 0.0)
        self.writer = Writer(is_planner=True)
        self.parts = BlockedParts(
            self.evidence, FleetState(self.replica), self.writer, self.clock
        )

    def read(self, part, value):
        offset = max(0, self.replica.end)
        record = TableRecord(offset, BLOCKED_PART_PREFIX + part, value)
        self.replica.apply_records([record], offset + 1, self.clock.now)

    def test_record_is_in_force_as_soon_as_it_is_read(self):
        """A node that has read the table takes requests before its next step."""
        self.read("bad", b'"n1"')
        self.assertEqual(self.evidence.blocked_causes(), {"bad"})
        self.read("bad", None)
        self.assertEqual(self.evidence.blocked_causes(), set())

    def test_planner_writes_what_has_changed_and_nothing_else(self):
        self.parts.step()
        self.assertEqual(self.writer.writes, [])
        self.evidence.block_known("bad")
        self.parts.step()
        self.assertEqual(self.writer.writes, [(["bad"], [])])
        self.read("bad", b'"n1"')
        self.parts.step()
        self.assertEqual(len(self.writer.writes), 1)
        self.evidence.note_answered(("bad",))
        self.parts.step()
        self.assertEqual(self.writer.writes[1:], [([], ["bad"])])

    def test_other_nodes_write_nothing(self):
        self.writer.is_planner = lambda: False
        self.evidence.block_known("bad")
        self.parts.step()
        self.assertEqual(self.writer.writes, [])

    def test_failed_write_is_tried_again_after_a_time(self):
        self.writer.error = LogUnavailableError("down", step="append")
        self.evidence.block_known("bad")
        self.parts.step()
        self.writer.error = None
        self.parts.step()
        self.assertEqual(self.writer.writes, [])
        self.clock.now += WRITE_RETRY_S
        self.parts.step()
        self.assertEqual(self.writer.writes, [(["bad"], [])])
