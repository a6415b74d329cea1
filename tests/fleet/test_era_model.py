"""Planners on a store that loses records: epochs rise and are not given twice.

Random series of reads, writes, lost records, restarted nodes and writes that the store
carries out late. Each is repeated with a mechanism switched off, and must then fail.
"""

import itertools
import random
import unittest
from unittest import mock

from auburnwall.fleet.formation import records
from auburnwall.fleet.formation.records import NotPlannerError
from auburnwall.state.exceptions import LogUnavailableError, TableChangedError
from tests.state.test_era import DrilledTable, FleetNode
from tests.state.test_table import FakeClock

SEEDS = range(300)
STEPS = 60


class RecordingTable(DrilledTable):
    """Leaves some conditional writes without a response, to carry them out late."""

    def __init__(self, rng):
        super().__init__()
        self.late = []
        self._rng = rng

    def append(self, table, entries, *, at=None):
        if at is not None and self._rng.random() < 0.3:
            self.late.append((at, entries))
            raise LogUnavailableError("no response")
        return super().append(table, entries, at=at)

    def lose_records(self):
        """Lose some records, and carry out a late write if its condition holds."""
        self.lose(self._rng.randint(1, 3))
        for at, entries in self.late:
            if at == len(self.records):
                super().append("fleet", entries, at=at)
                return


def bad_epoch(seed):
    """Run one series; return an epoch that two lists of members got, or ``None``.

    Also returns the epoch of a new group if an earlier one had a greater epoch.
    """
    rng = random.Random(seed)
    table, clock = RecordingTable(rng), FakeClock()
    names = itertools.count()
    nodes = [FleetNode(f"n{next(names)}", table, clock) for _ in range(2)]
    lists, newest = {}, -1
    for _ in range(STEPS):
        clock.now += rng.choice((0.1, 1.0, 4.0))
        index = rng.randrange(2)
        node = nodes[index]
        step = rng.random()
        try:
            if step < 0.35:
                node.replica.refresh(0.0)
                if node.writer.is_planner():
                    node.writer.write_lost_entries()
            elif step < 0.5:
                node.writer.become_planner()
            elif step < 0.85:
                servers = rng.sample("abcdefgh", 2)
                epoch = node.form(*servers).epoch
                if epoch < newest:
                    return epoch
                newest = epoch
            elif step < 0.93 and table.records:
                table.lose_records()
                for other in nodes:
                    other.replica.refresh(0.0)
            else:
                nodes[index] = FleetNode(f"n{next(names)}", table, clock)
        except (TableChangedError, NotPlannerError, LogUnavailableError):
            node.replica.refresh(0.0)
        for node in nodes:
            for group in node.state.groups.values():
                members = {member.server for member in group.members}
                if lists.setdefault(group.epoch, members) != members:
                    return group.epoch
    return None


class EraModelTests(unittest.TestCase):
    def failures(self):
        return [seed for seed in SEEDS if bad_epoch(seed) is not None]

    def test_epochs_rise_and_are_not_given_twice(self):
        self.assertEqual(self.failures(), [])

    def test_epochs_without_the_era_do_not_rise(self):
        with mock.patch.object(records, "OFFSETS_PER_ERA", 0):
            self.assertTrue(self.failures())

    def test_epochs_without_the_members_are_given_twice(self):
        with mock.patch.object(records, "_hash", return_value=1):
            self.assertTrue(self.failures())


if __name__ == "__main__":
    unittest.main()
