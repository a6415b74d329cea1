"""Who reads the store, and who takes the tables from a peer that does."""

import random
import unittest
from types import SimpleNamespace

from auburnwall.base.rendezvous import ranked
from auburnwall.node.routed.peers import RoutedHandler
from auburnwall.node.routed.tables import (
    ASK_PEER_S,
    FOLLOWED_AGE_S,
    StoreReaders,
    TableReader,
)
from auburnwall.state.exceptions import LogUnavailableError
from auburnwall.state.table.replica import TableReplica
from auburnwall.wire.exceptions import PeerUnavailableError
from tests.state.test_table import FakeClock, FakeTable

NODES = {
    f"n{number}": SimpleNamespace(
        data_center="norte" if number < 4 else "sur", peer=f"n{number}"
    )
    for number in range(6)
}


class CountingTable(FakeTable):
    """A table that counts its readings and may be away."""

    def __init__(self):
        super().__init__()
        self.calls = 0
        self.away_for = set()

    def newest(self, table):
        self.calls += 1
        return super().newest(table)

    def read(self, table, offset, *, wait_s):
        self.calls += 1
        return super().read(table, offset, wait_s=wait_s)


class OneNodesTable:
    """The table as one node reaches it."""

    def __init__(self, name, table):
        self._name, self._table = name, table

    def __getattr__(self, method):
        if self._name in self._table.away_for:
            raise LogUnavailableError("refused")
        return getattr(self._table, method)


class Node:
    """One node's copy of the table, and what it tells the others."""

    def __init__(self, name, nodes, table, clock):
        self.name, self.nodes, self.alive, self.planning = name, nodes, True, False
        self.stopping = False
        self.replica = TableReplica("servers", OneNodesTable(name, table), clock)
        handler = RoutedHandler(None, None, {"servers": self.replica}, None)
        self.rows = handler.rows
        identity = SimpleNamespace(node=name, data_center=NODES[name].data_center)
        state = SimpleNamespace(nodes=NODES)
        readers = StoreReaders(identity, state, self, lambda: self.planning)
        self.noted = 0
        self.reader = TableReader(
            self.replica,
            self,
            clock,
            random.Random(1),
            wait_s=0.0,
            pause_s=lambda: 0.0,
            after=self.note,
            to_follow=readers.to_follow,
        )
        self._clock = clock

    def note(self):
        self.noted += 1

    def pulse(self):
        return SimpleNamespace(
            reads_tables=self.reader.reads,
            stopping=self.stopping,
            table_ends={"servers": self.replica.end},
        )

    def live(self):
        others = [n for n in self.nodes.values() if n is not self and n.alive]
        return {node.name: node.pulse() for node in others}

    def address(self, name):
        return name

    def call(self, address, method, *args):
        if not self.nodes[address].alive:
            raise PeerUnavailableError("refused", step="connect", peer=address)
        return getattr(self.nodes[address], method)(*args)


class StoreReadersTests(unittest.TestCase):
    def setUp(self):
        self.clock, self.table = FakeClock(), CountingTable()
        self.nodes = {}
        for name in NODES:
            self.nodes[name] = Node(name, self.nodes, self.table, self.clock)
        self.table.write("a", b"1")
        self.steps(3)

    def steps(self, count=1):
        """Let every node read; sleeping is what moves the clock."""
        for _ in range(count):
            at = self.clock.now
            for node in self.nodes.values():
                if node.alive:
                    self.clock.now = at
                    node.reader.step()
            self.clock.now = at + 0.3

    def reading(self):
        return sorted(n.name for n in self.nodes.values() if n.alive and n.reader.reads)

    def best_of(self, data_center):
        near = [name for name, node in NODES.items() if node.data_center == data_center]
        return ranked("store reader", near)[0]

    def test_one_node_of_each_data_centre_reads(self):
        expected = sorted(map(self.best_of, ("norte", "sur")))
        self.assertEqual(self.reading(), expected)
        before = self.table.calls
        self.table.write("b", b"2")
        self.steps(2)
        self.assertEqual(self.table.calls - before, 2 * len(expected))
        for node in self.nodes.values():
            self.assertIn("b", node.replica.entries)

    def test_planner_reads_for_itself(self):
        planner = next(n for n in self.nodes.values() if not n.reader.reads)
        planner.planning = True
        self.steps(2)
        self.assertIn(planner.name, self.reading())

    def test_reader_that_is_lost_is_missed_at_once(self):
        best = self.nodes[self.best_of("norte")]
        best.alive = False
        self.table.write("b", b"2")
        self.steps(1)
        for node in self.nodes.values():
            self.assertEqual("b" in node.replica.entries, node.alive)

    def test_reader_that_does_not_answer_is_not_asked_again_and_again(self):
        """It is heard of, but calls to it end in silence after most of a second."""
        best = self.nodes[self.best_of("norte")]
        calls = []

        def silent(table, offset):
            calls.append(self.clock.now)
            self.clock.now += 0.8
            raise PeerUnavailableError("timed out", step="call", peer=best.name)

        best.rows = silent
        follower = next(
            node
            for node in self.nodes.values()
            if node is not best and node.reader._to_follow() == best.name
        )
        for _ in range(4):
            follower.reader.step()
            self.clock.now += 0.6
        self.assertEqual(len(calls), 1)
        self.assertTrue(follower.reader.reads)

    def test_reader_that_the_store_refuses_hands_over(self):
        best = self.best_of("norte")
        self.table.away_for.add(best)
        self.steps(4)
        self.table.write("b", b"2")
        self.steps(int(ASK_PEER_S / 0.3) + 2)
        self.assertNotIn(best, self.reading())
        for node in self.nodes.values():
            self.assertIn("b", node.replica.entries)

    def test_copy_that_is_too_old_is_not_taken(self):
        best = self.nodes[self.best_of("norte")]
        follower = next(
            node
            for node in self.nodes.values()
            if node is not best and node.reader._to_follow() == best.name
        )
        self.clock.now += FOLLOWED_AGE_S + 0.1
        before, noted = self.table.calls, follower.noted
        follower.reader.step()
        self.assertEqual(self.table.calls, before + 1)
        self.assertEqual(follower.noted, noted + 1)


if __name__ == "__main__":
    unittest.main()
